// The complete gateway with stand-ins for clients, endpoints and discovery.
#include <gtest/gtest.h>

#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

TEST(GatewayServes, AnEmptyQueryOnceItHasItsListAndSettings) {
  GatewayRig rig;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask("");
  EXPECT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "IZ");
}

// Guards against connections without a connect timeout: if the settings have none, the longest request
// timeout is used.
TEST(GatewayServes, WithoutAConnectTimeoutInItsSettings) {
  GatewayOptions options;
  options.connectTimeoutMs = 0;
  GatewayRig rig(options);
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "TDCZ");
  EXPECT_EQ(rig.counters().connectionsFailed, 0U);
}

TEST(GatewayServes, AValueByteForByte) {
  GatewayRig rig;
  std::string value;
  for (int i = 0; i < 64 * 1024; ++i) value += static_cast<char>(i * 7);
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value(value)); });
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "TDCZ");
  EXPECT_EQ(client.value(), value);
  EXPECT_EQ(rig.counters().requestsServed, 1U);
}

TEST(GatewayServes, AQueryRightBehindTheStartupAndSeveralInOrder) {
  GatewayRig rig;
  rig.answerAll([&](Line& line, const std::string& statement) {
    line.say(rig.endpoints[0]->value(statement.substr(statement.find("id="), 4)));
  });
  ClientStandIn client(rig.loop, rig.socketAddress, false);
  client.say(pg::startup() + pg::query(request("any", "1")) + pg::query(request("any", "2")) + pg::query("") +
             pg::query(request("any", "3")));
  ASSERT_TRUE(client.answered(5));
  EXPECT_EQ(client.value(0), "id=1");
  EXPECT_EQ(client.value(1), "id=2");
  EXPECT_EQ(client.value(2), "id=3");
}

TEST(GatewayForwards, TheStatementWithTheRestOfItsTimeout) {
  GatewayRig rig;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(
      "INSERT INTO rows (handle, blob) VALUES ('k', '\\x9f03') RETURNING blob /* "
      "id=a1,c=save,d=50000,k=5c0f,cluster=0 */");
  ASSERT_TRUE(client.answered());
  const auto statements = rig.statements();
  ASSERT_EQ(statements.size(), 1U);
  const std::string head =
      "INSERT INTO rows (handle, blob) VALUES ('k', '\\x9f03') RETURNING blob /* id=a1,c=save,d=";
  ASSERT_EQ(statements[0].substr(0, head.size()), head);
  const std::size_t comma = statements[0].find(',', head.size());
  EXPECT_EQ(statements[0].substr(comma), ",k=5c0f,cluster=0 */");
  const int left = std::stoi(statements[0].substr(head.size(), comma - head.size()));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 50'000);
}

TEST(GatewayForwards, TheLongestValueAsText) {
  GatewayRig rig;
  ClientStandIn client(rig.loop, rig.socketAddress);
  const std::string head =
      "INSERT INTO rows (handle, blob) VALUES ('k', '\\x" + std::string(std::size_t{128} * 1024, 'f');
  client.ask(head + "') RETURNING blob /* id=a1,c=save,d=50000,k=5c0f,cluster=0 */");
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "TDCZ");
  ASSERT_EQ(rig.statements().size(), 1U);
  EXPECT_EQ(rig.statements()[0].substr(0, head.size()), head);
}

TEST(GatewayForwards, NothingOfARequestThatItCanNotRead) {
  GatewayRig rig;
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t sent = 0;
  const std::string read = "SELECT blob FROM rows WHERE handle = 'k'";
  const std::string write = "INSERT INTO rows (handle, blob) VALUES ('k', '\\x9f') RETURNING blob";
  const std::string good = " /* id=1,c=any,d=100,cluster=0 */";
  for (const std::string& statement : std::vector<std::string>{
           read, read + " /* c=any,d=100,cluster=0 */", read + " /* id=1,d=100,cluster=0 */",
           read + " /* id=1,c=any,d=100 */", read + " /* id=1,c=other,d=100,cluster=0 */",
           read + " /* id=1,c=any,d=soon,cluster=0 */", read + " /* id=1,c=any,d=-5,cluster=0 */",
           read + " /* id=" + std::string(200, '1') + ",c=any,d=100,cluster=0 */",
           read + " /* id=1,c=save,d=100,cluster=0 */", write + good, read + "; DROP TABLE rows" + good,
           "SELECT blob FROM rows" + good, "SELECT 1" + good, "SELECT 'open" + good,
           "DELETE FROM rows" + good,
           "INSERT INTO rows (handle, blob) VALUES ('k', '\\x9') RETURNING blob /* "
           "id=1,c=save,d=100,cluster=0 "
           "*/"}) {
    client.forget();
    client.ask(statement);
    ASSERT_TRUE(client.answered());
    EXPECT_EQ(client.types(), "EZ") << statement;
    EXPECT_EQ(client.code(), "22023") << statement;
    EXPECT_EQ(rig.counters().requestsMalformed, ++sent);
  }
  EXPECT_TRUE(rig.statements().empty());
}

TEST(GatewayClients, ThatViolateTheProtocolAreClosedAndCounted) {
  GatewayRig rig;
  ClientStandIn good(rig.loop, rig.socketAddress);
  ClientStandIn bad(rig.loop, rig.socketAddress);
  bad.say("?" + pg::u32(1 << 30));
  EXPECT_TRUE(bad.gone());
  EXPECT_EQ(rig.counters().clientProtocolErrors, 1U);
  good.ask(request("any", "1"));
  EXPECT_TRUE(good.answered());
  EXPECT_EQ(good.types(), "TDCZ");
}

// Guards against connections that send nothing, or an incomplete message, and keep their descriptors.
TEST(GatewayClients, ThatSendNoCompleteMessageGetAnErrorOrAreClosed) {
  GatewayRig rig;
  ClientStandIn silent(rig.loop, rig.socketAddress, false);
  ClientStandIn welcomed(rig.loop, rig.socketAddress);
  ClientStandIn half(rig.loop, rig.socketAddress, false);
  half.say(pg::startup().substr(0, 7));
  ClientStandIn begun(rig.loop, rig.socketAddress);
  begun.say(pg::query(request("any", "1")).substr(0, 20));
  ClientStandIn known(rig.loop, rig.socketAddress);
  known.ask(request("any", "2"));
  ASSERT_TRUE(known.answered());
  known.forget();
  known.say(pg::query(request("any", "3")).substr(0, 20));
  for (ClientStandIn* client : {&silent, &welcomed, &half, &begun, &known}) EXPECT_TRUE(client->gone());
  EXPECT_EQ(silent.types() + welcomed.types(), "");
  for (ClientStandIn* client : {&half, &begun, &known}) EXPECT_EQ(client->code(), "08P01");
  EXPECT_EQ(rig.counters().requestsAccepted, 1U);
}

// Guards against a reset in place of the error for a client that keeps sending.
TEST(GatewayClients, ThatSendFarTooMuchGetAnErrorAndNoReset) {
  GatewayRig rig;
  PlainSocket bad(rig.loop, rig.socketAddress);
  ASSERT_TRUE(bad.send(pg::startup() + "Q" + pg::u32(60'000'000)));
  const std::string piece(1'000'000, 'x');
  for (int i = 0; i < 60; ++i) ASSERT_TRUE(bad.send(piece)) << i;
  bad.endSending();
  EXPECT_TRUE(bad.gone());
  EXPECT_FALSE(bad.reset);
  EXPECT_EQ(bad.lastCode(), "08P01");
  EXPECT_TRUE(rig.until([&] { return rig.counters().descriptors == 0; }));
}

// Guards against a client that pipelines many commands and delays the others.
TEST(GatewayClients, ThatPipelineManyCommandsTakeTurnsWithOthers) {
  constexpr std::size_t kMany = 2000;
  GatewayRig rig;
  ClientStandIn flood(rig.loop, rig.socketAddress);
  ClientStandIn good(rig.loop, rig.socketAddress);
  std::string many;
  for (std::size_t i = 0; i < kMany; ++i) many += pg::query("SELECT");
  flood.say(many);
  good.ask(request("any", "1"));
  ASSERT_TRUE(good.answered());
  EXPECT_EQ(good.types(), "TDCZ");
  EXPECT_LT(rig.counters().requestsMalformed, kMany);
  EXPECT_TRUE(flood.answered(kMany)) << "each has its error";
  EXPECT_EQ(rig.counters().requestsMalformed, kMany);
}

TEST(GatewayDiscovery, MalformedBodiesAreCountedAsFailures) {
  GatewayRig rig;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  Line* line = std::exchange(rig.discovery.waiting, nullptr);
  line->say(DiscoveryStandIn::response("{\"revision\":"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 1; }));
  EXPECT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  EXPECT_TRUE(client.answered());
}

// Guards against a busy loop of calls to a service that answers every watch at once.
TEST(GatewayDiscovery, ThatAnswersWatchesAtOnceIsNotCalledInABusyLoop) {
  GatewayRig rig;
  rig.discovery.holds = false;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() >= 3; }));
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t sent = 0;
  const std::size_t before = rig.discovery.calls.size();
  while (rig.discovery.calls.size() < before + 3) {
    client.ask(request("any", std::to_string(sent)));
    ASSERT_TRUE(client.answered(++sent));
  }
  // Requests were served between calls.
  EXPECT_GT(sent, 0U);
}

// A gateway with 100 descriptors: 60 after the reserve, half of them for clients. Each of these clients has a
// request in flight that no endpoint answers.
class FullGatewayRig : public GatewayRig {
 public:
  static constexpr int kClients = 30;
  FullGatewayRig() : GatewayRig(options()) {
    answerAll([](Line&, const std::string&) {});
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(std::make_unique<ClientStandIn>(loop, socketAddress));
      clients.back()->ask(request("any", std::to_string(i)));
    }
    if (!until([&] { return counters().requestsAccepted == kClients; })) {
      throw std::runtime_error("the gateway accepts fewer clients than it has descriptors for");
    }
  }
  static GatewayOptions options() {
    GatewayOptions out;
    out.sockets = 100;
    return out;
  }
  std::vector<std::unique_ptr<ClientStandIn>> clients;
};

// Guards against clients that use up the descriptors for connections to endpoints.
TEST(GatewayLimits, ClientsBeyondTheirShareOfDescriptorsAreRejected) {
  FullGatewayRig rig;
  ClientStandIn extra(rig.loop, rig.socketAddress);
  extra.ask(request("any", "extra"));
  EXPECT_TRUE(extra.gone());
  EXPECT_EQ(extra.code(), "53300");
  EXPECT_EQ(rig.counters().clientsRejected, 1U);
  EXPECT_EQ(rig.counters().requestsAccepted, 30U);
  EXPECT_LE(rig.counters().descriptorsPeak, 100U);
}

// Guards against closing a client without an error because no descriptor is left to reject it.
TEST(GatewayLimits, ClientsBeyondThoseThatCanBeRejectedWaitInTheQueue) {
  FullGatewayRig rig;
  // These clients have sent no request, so each one is evicted for the next.
  std::vector<std::unique_ptr<ClientStandIn>> silent;
  for (int i = 0; i < 16; ++i) silent.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
  ClientStandIn last(rig.loop, rig.socketAddress, false);
  last.say(pg::startup() + pg::query(request("any", "last")));
  EXPECT_TRUE(last.gone());
  EXPECT_EQ(last.code(), "53300") << "rejected with an error, not just closed";
  EXPECT_EQ(rig.counters().requestsAccepted, 30U);
}

// Guards against clients with incomplete messages that keep their descriptors.
TEST(GatewayLimits, ClientsWithIncompleteMessagesAreEvicted) {
  GatewayOptions options;
  options.sockets = 100;
  GatewayRig rig(options);
  std::vector<std::unique_ptr<ClientStandIn>> stuck;
  for (int i = 0; i < 46; ++i) {
    stuck.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress, false));
    stuck.back()->say(pg::startup().substr(0, 7));
  }
  // Others are rejected at first, and served once the incomplete messages have timed out.
  std::size_t sent = 0;
  EXPECT_TRUE(rig.until([&] {
    ClientStandIn client(rig.loop, rig.socketAddress, false);
    client.say(pg::startup() + pg::query(request("any", std::to_string(++sent))));
    rig.until([&] { return client.ended() || client.types().find("TDC") != std::string::npos; });
    return client.types().find("TDC") != std::string::npos;
  }));
}

// Guards against long incomplete messages that use up the process's memory.
TEST(GatewayLimits, MessagesWithoutMemoryAreRejected) {
  GatewayOptions options;
  options.memoryMb = 1;
  GatewayRig rig(options);
  const std::string begun = pg::startup() + "Q" + pg::u32(130'000) + std::string(120'000, 'x');
  std::vector<std::unique_ptr<PlainSocket>> greedy;
  for (int i = 0; i < 8; ++i) {
    greedy.push_back(std::make_unique<PlainSocket>(rig.loop, rig.socketAddress));
    ASSERT_TRUE(greedy.back()->send(begun));
  }
  ASSERT_TRUE(rig.until([&] { return rig.counters().memoryRejections >= 1; }));
  EXPECT_LE(rig.loop.memory().used(), 500'000U);
  ClientStandIn usual(rig.loop, rig.socketAddress);
  usual.ask(request("any", "1"));
  ASSERT_TRUE(usual.answered());
  EXPECT_EQ(usual.types(), "TDCZ");
  std::size_t rejected = 0;
  for (auto& client : greedy) {
    EXPECT_TRUE(client->gone());
    EXPECT_FALSE(client->reset);
    rejected += client->lastCode() == "53300" ? 1 : 0;
  }
  EXPECT_EQ(rejected, rig.counters().memoryRejections);
  EXPECT_LT(rig.loop.memory().used(), 100'000U) << "freed";
}

// Guards against many silent connections that evict clients which have sent requests.
TEST(GatewayLimits, SilentClientsAreEvictedBeforeActiveOnes) {
  GatewayRig rig(FullGatewayRig::options());
  std::vector<std::unique_ptr<ClientStandIn>> usual;
  for (std::size_t i = 0; i < 8; ++i) {
    usual.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    usual.back()->ask(request("any", std::to_string(i)));
    ASSERT_TRUE(usual.back()->answered());
  }
  std::vector<std::unique_ptr<ClientStandIn>> silent;
  for (std::size_t i = 0; i < 60; ++i)
    silent.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress, false));
  ASSERT_TRUE(rig.until([&] { return rig.counters().clientsAccepted == 68; }));
  // Silent clients are evicted until few enough descriptors are in use.
  ASSERT_TRUE(rig.until([&] { return rig.counters().descriptors <= 15 + rig.counters().connectionsOpened; }));
  for (const auto& client : usual) EXPECT_FALSE(client->ended());
  EXPECT_EQ(rig.counters().clientsRejected, 0U);
  EXPECT_GE(rig.counters().idleClientsEvicted, 1U);
}

// A gateway with large values, and a client that does not read.
class SlowReaderRig : public GatewayRig {
 public:
  SlowReaderRig() : slow(loop, socketAddress) {
    answerAll(
        [this](Line& line, const std::string&) { line.say(endpoints[0]->value(std::string(60'000, 'v'))); });
    slow.line().inputPaused = true;
  }
  ClientStandIn slow;
};

// Guards against a client that does not read and uses up memory or delays the others.
TEST(GatewayLimits, ASlowReaderDelaysNoOtherClient) {
  SlowReaderRig rig;
  std::string many;
  for (int i = 0; i < 400; ++i) many += pg::query(request("any", "s" + std::to_string(i)));
  rig.slow.say(many);
  ClientStandIn quick(rig.loop, rig.socketAddress);
  for (std::size_t i = 0; i < 20; ++i) {
    quick.ask(request("any", "q" + std::to_string(i)));
    ASSERT_TRUE(quick.answered(i + 1));
  }
  EXPECT_GE(rig.counters().requestsServed, 20U);
}

// Guards against a client that does not read its answers and keeps its descriptor after its deadline.
TEST(GatewayLimits, AClientThatNeverReadsIsClosed) {
  SlowReaderRig rig;
  std::string many;
  // The answers are larger than the socket buffers of both sides.
  for (int i = 0; i < 600; ++i) {
    many += pg::query(request("any", std::to_string(i), "", 400));
  }
  rig.slow.say(many);
  EXPECT_TRUE(rig.until([&] { return rig.counters().slowReadersClosed == 1; }));
  EXPECT_LT(rig.counters().requestsServed, 600U);
}

}  // namespace
}  // namespace heathflow::test
