// Where two events cross: each test holds one of them in an exact state, makes the other happen there, and
// looks from outside at what the client read, what members received and how connections ended.
// docs/crossings.md lists the pairs.
#include <gtest/gtest.h>

#include <chrono>

#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

class ClosingRule : public testing::TestWithParam<Speaks> {
 protected:
  static GatewayOptions speaking() {
    GatewayOptions out;
    out.speaks = GetParam();
    return out;
  }
};

// What a client of that protocol sends first, and what it asks by.
std::string openingOf(Speaks speaks) {
  return speaks == Speaks::Bolt ? bolt::handshake() + bolt::hello() + bolt::logon() : pg::startup();
}
std::string askingOf(Speaks speaks, const std::string& statement) {
  if (speaks == Speaks::Postgres) return pg::query(statement);
  const auto [query, extra] = boltRequest(statement);
  return bolt::run(query, extra) + bolt::pull();
}

// ---- Closing a connection to a client ----

// Both orders: what stands unread when the gateway would close is served; what comes behind its close is
// neither sent on nor answered by a reset, and the answer before it is read whole.
TEST_P(ClosingRule, ARequestThatCrossesTheCloseIsServedOrDroppedAndNeverReset) {
  GatewayRig rig(speaking());
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.members[0]->value("the answer")); });
  PlainSocket early(rig.loop, rig.endpoint);
  PlainSocket late(rig.loop, rig.endpoint);
  ASSERT_TRUE(early.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "1"))));
  ASSERT_TRUE(late.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "2"))));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsServed == 2; }));
  // Neither has read a byte. No turn of the loop lies between these lines.
  ASSERT_TRUE(early.send(askingOf(GetParam(), request("any", "3"))));
  rig.gateway->drain([] {});
  ASSERT_TRUE(late.send(askingOf(GetParam(), request("any", "4"))));
  EXPECT_TRUE(early.gone());
  EXPECT_TRUE(late.gone());
  // A reset would show here, if not in what is read.
  EXPECT_TRUE(late.send(askingOf(GetParam(), request("any", "5"))));
  for (PlainSocket* client : {&early, &late}) EXPECT_FALSE(client->reset);
  const auto answers = [](const std::string& bytes) {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = bytes.find("the answer", at)) != std::string::npos; ++at) ++count;
    return count;
  };
  EXPECT_EQ(answers(early.read()), 2U);
  EXPECT_EQ(answers(late.read()), 1U);
  std::size_t sentOn = 0;
  for (const std::string& statement : rig.statements()) {
    EXPECT_EQ(statement.find("id=4"), std::string::npos) << statement;
    EXPECT_EQ(statement.find("id=5"), std::string::npos) << statement;
    ++sentOn;
  }
  EXPECT_EQ(sentOn, 3U);
}

// Many more requests than one, in several pieces, come while the gateway lingers: the end is still one in
// order, and the process waits for it.
TEST_P(ClosingRule, TheEndWaitsForAClientThatWritesOnAndHasNotReadYet) {
  GatewayRig rig(speaking());
  PlainSocket client(rig.loop, rig.endpoint);
  ASSERT_TRUE(client.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "1"))));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsServed == 1; }));
  bool done = false;
  rig.gateway->drain([&] { done = true; });
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(client.send(askingOf(GetParam(), request("any", "x" + std::to_string(i)))));
    rig.loop.turn(0);
  }
  EXPECT_FALSE(done);
  EXPECT_TRUE(client.gone());
  EXPECT_FALSE(client.reset);
  EXPECT_EQ(rig.statements().size(), 1U);
  client.hangUp();
  EXPECT_TRUE(rig.until([&] { return done; }));
  EXPECT_EQ(rig.counters().descriptors, 1U) << "but for the idle connection to a member";
}

// The bound in time: one that neither reads nor closes does not hold the end up for good.
TEST_P(ClosingRule, TheEndComesThoughAClientNeverCloses) {
  GatewayRig rig(speaking());
  PlainSocket client(rig.loop, rig.endpoint);
  ASSERT_TRUE(client.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "1"))));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsServed == 1; }));
  bool done = false;
  rig.gateway->drain([&] { done = true; });
  EXPECT_TRUE(rig.until([&] { return done; }));
  EXPECT_TRUE(client.gone());
  EXPECT_FALSE(client.reset);
}

// A crowd is thinned out just as one of it asks again.
TEST_P(ClosingRule, AnIdleClientWhosePlaceIsWantedIsNotResetAsItAsks) {
  GatewayOptions options = speaking();
  options.sockets = 100;  // less what is kept back sixty, half of which are for clients
  GatewayRig rig(options);
  std::vector<std::unique_ptr<PlainSocket>> crowd;
  for (int i = 0; i < 30; ++i) {
    crowd.push_back(std::make_unique<PlainSocket>(rig.loop, rig.endpoint));
    ASSERT_TRUE(
        crowd.back()->send(openingOf(GetParam()) + askingOf(GetParam(), request("any", std::to_string(i)))));
    ASSERT_TRUE(
        rig.until([&] { return rig.counters().requestsServed == static_cast<std::uint64_t>(i) + 1; }));
  }
  ASSERT_TRUE(rig.until([&] { return rig.counters().clientsRested > 0; }));
  // All ask at once, whether their connection lingers by now or not.
  for (std::size_t i = 0; i < crowd.size(); ++i)
    (void)crowd[i]->send(askingOf(GetParam(), request("any", "again" + std::to_string(i))));
  for (int i = 0; i < 5; ++i) rig.loop.turn(0);
  for (auto& client : crowd) {
    (void)client->read();
    EXPECT_FALSE(client->reset);
    EXPECT_TRUE(client->send(askingOf(GetParam(), request("any", "more"))));
  }
  // New ones find a place all the same: those that linger go first.
  ClientStandIn fresh(rig.loop, rig.endpoint);
  fresh.ask(request("any", "fresh"));
  EXPECT_TRUE(fresh.answered());
  EXPECT_EQ(fresh.types(), "TDCZ");
}

INSTANTIATE_TEST_SUITE_P(Closing, ClosingRule, testing::Values(Speaks::Postgres, Speaks::Bolt),
                         [](const auto& spoken) {
                           return std::string(spoken.param == Speaks::Postgres ? "Postgres" : "Bolt");
                         });

// ---- The end of the process ----

// The listener's last moment: more stand in its queue than one turn takes in, each with its request behind
// it, when the time to shut it has come.
TEST(CrossingEnd, WhoStandsInTheQueueAsTheListenerShutsIsServed) {
  constexpr std::size_t kQueued = 200;
  GatewayOptions options;
  options.sockets = 1024;
  GatewayRig rig(options);
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.members[0]->value("served")); });
  bool done = false;
  const transport::Micros told = rig.loop.now();
  rig.gateway->drain([&] { done = true; });
  // No turn of the loop until the listener is due to shut: it finds the queue full in that very turn.
  const auto soon = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
  std::vector<std::unique_ptr<PlainSocket>> queued;
  for (std::size_t i = 0; i < kQueued; ++i) {
    queued.push_back(std::make_unique<PlainSocket>(rig.loop, rig.endpoint));
    ASSERT_TRUE(queued.back()->send(pg::startup() + pg::query(request("any", std::to_string(i)))));
  }
  while (std::chrono::steady_clock::now() < soon) continue;
  ASSERT_EQ(rig.loop.now(), told) << "the loop has turned meanwhile";
  for (auto& client : queued) {
    EXPECT_TRUE(client->reads("served"));
    EXPECT_TRUE(client->gone());
    EXPECT_FALSE(client->reset);
    client->hangUp();
  }
  EXPECT_TRUE(rig.until([&] { return done; }));
  EXPECT_EQ(rig.counters().requestsServed, kQueued);
}

// One that has made itself known and not asked by the last call is told so; what it asks behind that is not
// sent on.
TEST(CrossingEnd, AClientThatNeverAskedIsToldThatTheGatewayEnds) {
  GatewayRig rig;
  PlainSocket silent(rig.loop, rig.endpoint);
  ASSERT_TRUE(silent.send(pg::startup()));
  ASSERT_TRUE(silent.reads(pg::ready()));
  bool done = false;
  rig.gateway->drain([&] { done = true; });
  ASSERT_TRUE(silent.gone());
  EXPECT_FALSE(silent.reset);
  EXPECT_EQ(silent.lastCode(), "57P03");
  (void)silent.send(pg::query(request("any", "1")));
  rig.loop.turn(0);
  silent.hangUp();
  EXPECT_TRUE(rig.until([&] { return done; }));
  EXPECT_TRUE(rig.statements().empty());
}

// Told to end twice, with one of two listeners done already: the end neither starts anew nor waits for ever.
TEST(CrossingEnd, ToldTwiceItEndsOnce) {
  GatewayOptions options;
  options.both = true;
  GatewayRig rig(options);
  Line* held = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { held = &line; });
  ClientStandIn busy(rig.loop, rig.endpoint);
  busy.ask(request("any", "1"));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  int done = 0;
  rig.gateway->drain([&] { ++done; });
  // The other listener has shut by now.
  ASSERT_TRUE(rig.until([&] { return PlainSocket(rig.loop, rig.graphEndpoint).gone(); }));
  ASSERT_TRUE(rig.until([&] {
    transport::Opened opened = transport::startConnect(rig.graphEndpoint);
    rig.loop.turn(1'000);
    return !opened.fd || transport::pendingError(opened.fd.get()) != 0;
  }));
  rig.gateway->drain([&] { ++done; });
  held->say(rig.members[0]->value("at last"));
  ASSERT_TRUE(busy.answered());
  EXPECT_TRUE(busy.gone());
  EXPECT_TRUE(rig.until([&] { return done > 0; }));
  EXPECT_EQ(done, 1);
}

// ---- Lists ----

// Moves a gateway's discovery to another place.
void moveTo(GatewayRig& rig, const transport::Endpoint& place) {
  program::Config fresh = rig.config;
  fresh.discovery = place;
  rig.gateway->reload(fresh);
}

std::string withoutLength(const std::string& body) { return "HTTP/1.1 200 OK\r\n\r\n" + body; }

// A list whose response has no length: whole where the connection closes, nothing where it is reset, though
// what has come of it could be read as a list.
TEST(CrossingLists, WithoutALengthAreWholeAtACloseAndNothingAtAReset) {
  GatewayRig rig;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  PlainListener place(rig.loop);
  moveTo(rig, place.endpoint());
  auto call = place.next();
  ASSERT_TRUE(call && call->reads("\r\n\r\n"));
  // As if the second and third member were gone. Body and reset are there before the loop turns again.
  const std::uint64_t before = rig.counters().listsTaken;
  ASSERT_TRUE(call->send(withoutLength(rig.discovery.document(true, "[" + rig.entryOf(0) + "]"))));
  call->resetNow();
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 1; }));
  EXPECT_EQ(rig.counters().listsTaken, before);
  call = place.next();
  ASSERT_TRUE(call && call->reads("\r\n\r\n"));
  ASSERT_TRUE(call->send(withoutLength(rig.discovery.document(true, "[" + rig.entryOf(0) + "]"))));
  call->hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken == before + 1; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 1U);
  ClientStandIn client(rig.loop, rig.endpoint);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(rig.members[0]->statements.size(), 1U);
}

// A list longer than what one read takes, with its close right behind it, both there in one turn.
TEST(CrossingLists, LongerThanOneReadAreTakenWholeWhenTheirConnectionCloses) {
  GatewayRig rig;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  std::string entries = rig.entryOf(0);
  for (int i = 0; i < 2000; ++i)
    entries += ",\n        " + entry("s" + std::to_string(i), "127.0.0.9:1", false);
  for (const bool withLength : {false, true}) {
    PlainListener place(rig.loop);
    moveTo(rig, place.endpoint());
    auto call = place.next();
    ASSERT_TRUE(call && call->reads("\r\n\r\n"));
    const std::string body = rig.discovery.document(true, "[" + entries + "]");
    ASSERT_GT(body.size(), 200'000U);
    const std::uint64_t before = rig.counters().listsTaken;
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    ASSERT_TRUE(
        call->send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + (withLength ? length : "") + "\r\n" + body));
    call->hangUp();
    ASSERT_TRUE(rig.until(
        [&] { return rig.counters().listsTaken > before || rig.counters().discoveryFailures > 0; }));
    EXPECT_EQ(rig.counters().discoveryFailures, 0U);
  }
}

// Where the settings say that lists are pushed, a push comes over a watch all the same.
TEST(CrossingLists, ThatArePushedAreWatchedForFromTheStart) {
  GatewayOptions options;
  options.discovery = "push";
  GatewayRig rig(options);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "," + rig.entryOf(2, "Terminating") + "]");
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken >= 3; }));
  ClientStandIn client(rig.loop, rig.endpoint);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.members[1]->statements.empty());
  EXPECT_TRUE(rig.members[2]->statements.empty());
}

}  // namespace
}  // namespace heathflow::test
