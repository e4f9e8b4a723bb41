// After a client has disconnected or cancelled its request, the gateway starts no further attempt of it,
// neither a first one nor a retry. Each test brings the gateway into one state, lets the client disconnect,
// and checks what endpoints receive.
#include <gtest/gtest.h>

#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

using transport::Micros;

constexpr Micros kSecond = 1'000'000;
constexpr Micros kLongerThanAnyBackoff = 10 * kSecond;  // between two attempts

enum class Disconnect { Close, Reset };

void disconnect(Disconnect how, PlainSocket& client) {
  if (how == Disconnect::Close) {
    client.hangUp();
  } else {
    client.resetNow();
  }
}

class Rig final : public GatewayRig {
 public:
  using GatewayRig::GatewayRig;
  // Returns how many statements with a request id the endpoints have received.
  std::size_t sent(const std::string& id) const {
    std::size_t count = 0;
    for (const std::string& statement : statements()) {
      if (statement.find("id=" + id + ",") != std::string::npos) ++count;
    }
    return count;
  }
  void advance(Micros duration) {
    const Micros end = loop.now() + duration;
    EXPECT_TRUE(until([&] { return loop.now() >= end; }));
  }
  // Leaves an idle connection to the primary, so that an attempt reaches it in the same loop turn.
  void warmUp() {
    ClientStandIn client(loop, socketAddress);
    client.ask(request("save", "warm-up"));
    ASSERT_TRUE(client.answered());
    client.hangUp();
    ASSERT_TRUE(until([&] { return counters().descriptors == counters().connectionsOpened; }));
  }
};

class DisconnectedClient : public testing::TestWithParam<Speaks> {
 protected:
  static GatewayOptions options() {
    GatewayOptions out;
    out.speaks = GetParam();
    out.manualClock = true;
    return out;
  }
  static std::string asking(const std::string& id) { return askingOf(GetParam(), request("save", id)); }
  static std::string opening() { return openingOf(GetParam()); }
};

// The request and the disconnect are read in one loop turn, on an open connection and on a new one.
TEST_P(DisconnectedClient, WhoseRequestIsReadWithTheDisconnectGetsNoAttempt) {
  for (const Disconnect how : {Disconnect::Close, Disconnect::Reset}) {
    for (const bool connected : {false, true}) {
      Rig rig(options(), 1);
      rig.warmUp();
      PlainSocket client(rig.loop, rig.socketAddress);
      if (connected) {
        ASSERT_TRUE(client.send(opening()));
        ASSERT_TRUE(rig.until([&] { return !client.read().empty(); }));
      }
      ASSERT_TRUE(client.send((connected ? "" : opening()) + asking("one") + asking("two")));
      disconnect(how, client);
      ASSERT_TRUE(
          rig.until([&] { return rig.counters().clientsAccepted == 2 && rig.counters().descriptors <= 1; }));
      rig.advance(kLongerThanAnyBackoff);
      EXPECT_EQ(rig.statements().size(), 1U) << "the warm-up";
      EXPECT_EQ(rig.counters().attemptsStarted, 1U);
    }
  }
}

// The primary rejects the request, and the client disconnects before the retry. The same run with a client
// that stays shows that there is a retry otherwise.
TEST_P(DisconnectedClient, WhoseRequestWaitsForARetryIsNotRetried) {
  for (const bool disconnects : {false, true}) {
    Rig rig(options(), 1);
    rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->error("53300")); });
    PlainSocket client(rig.loop, rig.socketAddress);
    ASSERT_TRUE(client.send(opening() + asking("one")));
    ASSERT_TRUE(rig.until([&] { return rig.outcomes(AttemptOutcome::Overloaded) == 1; }));
    const std::size_t before = rig.sent("one");
    if (disconnects) client.hangUp();
    rig.advance(kLongerThanAnyBackoff);
    if (disconnects) {
      EXPECT_EQ(rig.sent("one"), before);
      EXPECT_EQ(rig.counters().requestsCancelled, 1U);
    } else {
      EXPECT_GT(rig.sent("one"), before);
    }
  }
}

// The client disconnects while the retry waits for its connection.
TEST_P(DisconnectedClient, WhoseRetryWaitsForAConnectionIsNotForwarded) {
  Rig rig(options(), 3);
  for (auto& endpoint : rig.endpoints) {
    endpoint->answer = [&rig, &first = *endpoint](Line& line, const std::string&) {
      for (auto& other : rig.endpoints) other->welcomes = other.get() == &first;
      line.say(first.error("XX000"));
    };
  }
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + askingOf(GetParam(), request("any", "one"))));
  ASSERT_TRUE(rig.until([&] { return rig.counters().attemptsStarted == 2; }));
  ASSERT_EQ(rig.counters().attemptsWritten, 1U);
  client.hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  for (auto& endpoint : rig.endpoints) endpoint->welcomeNow();
  rig.advance(kLongerThanAnyBackoff);
  EXPECT_EQ(rig.sent("one"), 1U);
}

// The client disconnects while its request is queued for lack of a primary; then a primary becomes available.
TEST_P(DisconnectedClient, WhoseRequestIsQueuedGetsNoAttempt) {
  Rig rig(options(), 1);
  rig.endpoints[0]->shut();
  PlainSocket client(rig.loop, rig.socketAddress);
  ClientStandIn stays(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("one")));
  stays.ask(request("save", "two"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsAccepted == 2; }));
  client.hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  rig.endpoints[0]->reopen();
  ASSERT_TRUE(stays.answered());
  rig.advance(kLongerThanAnyBackoff);
  EXPECT_EQ(rig.sent("one"), 0U);
  EXPECT_EQ(rig.sent("two"), 1U);
}

// The client sends more than the gateway's input buffer holds, and disconnects while the first request is in
// flight: the gateway notices the disconnect although it has unread input.
TEST_P(DisconnectedClient, WithUnreadInputIsSeenToDisconnect) {
  Rig rig(options(), 1);
  Line* pending = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { pending = &line; });
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("first")));
  ASSERT_TRUE(rig.until([&] { return pending != nullptr; }));
  std::string more;
  while (more.size() < 400'000) more += asking("more");
  ASSERT_TRUE(client.send(more));
  client.hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  rig.advance(kLongerThanAnyBackoff);
  EXPECT_EQ(rig.counters().requestsAccepted, 1U);
  EXPECT_EQ(rig.sent("more"), 0U);
}

INSTANTIATE_TEST_SUITE_P(Protocols, DisconnectedClient, testing::Values(Speaks::Postgres, Speaks::Bolt),
                         [](const testing::TestParamInfo<Speaks>& spoken) {
                           return spoken.param == Speaks::Postgres ? "Postgres" : "Bolt";
                         });

// In Bolt a client can cancel its request and stay connected. The cancelled request gets no attempt, the next
// one does.
class CancelledRequest : public testing::Test {
 protected:
  static GatewayOptions options() {
    GatewayOptions out;
    out.speaks = Speaks::Bolt;
    out.manualClock = true;
    return out;
  }
  static std::string asking(const std::string& id) { return askingOf(Speaks::Bolt, request("save", id)); }
};

TEST_F(CancelledRequest, ThatWaitsForAConnectionIsNotForwarded) {
  Rig rig(options(), 1);
  rig.endpoints[0]->welcomes = false;
  BoltClientStandIn client(rig.loop, rig.socketAddress);
  client.say(asking("one"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().attemptsStarted == 1; }));
  client.say(bolt::plain(bolt::kReset));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  rig.endpoints[0]->welcomeNow();
  client.say(asking("two"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsServed == 1; }));
  rig.advance(kLongerThanAnyBackoff);
  EXPECT_EQ(rig.sent("one"), 0U);
  EXPECT_EQ(rig.sent("two"), 1U);
}

TEST_F(CancelledRequest, ThatWaitsForARetryIsNotRetried) {
  Rig rig(options(), 1);
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->error("53300")); });
  BoltClientStandIn client(rig.loop, rig.socketAddress);
  client.say(asking("one"));
  ASSERT_TRUE(rig.until([&] { return rig.outcomes(AttemptOutcome::Overloaded) == 1; }));
  const std::size_t before = rig.sent("one");
  client.say(bolt::plain(bolt::kReset));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  rig.advance(kLongerThanAnyBackoff);
  EXPECT_EQ(rig.sent("one"), before);
}

}  // namespace
}  // namespace heathflow::test
