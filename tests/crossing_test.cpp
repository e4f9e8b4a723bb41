// Where two events cross: each test holds one of them in an exact state, makes the other happen there, and
// looks from outside at what the client read, what members received and how connections ended.
// docs/crossings.md lists the pairs.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <chrono>

#include "program_process.h"
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

const auto kBoth = testing::Values(Speaks::Postgres, Speaks::Bolt);
std::string nameOf(const testing::TestParamInfo<Speaks>& spoken) {
  return spoken.param == Speaks::Postgres ? "Postgres" : "Bolt";
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

// The client's first request is served, its answer is not read, and the gateway is told to end.
void endBehindAnUnreadAnswer(GatewayRig& rig, PlainSocket& client, bool& done) {
  ASSERT_TRUE(client.send(openingOf(rig.speaks) + askingOf(rig.speaks, request("any", "1"))));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsServed == 1; }));
  rig.gateway->drain([&] { done = true; });
}

// Many more requests than one, in several pieces, come while the gateway lingers: the end is still one in
// order, and the process waits for it.
TEST_P(ClosingRule, TheEndWaitsForAClientThatWritesOnAndHasNotReadYet) {
  GatewayRig rig(speaking());
  PlainSocket client(rig.loop, rig.endpoint);
  bool done = false;
  ASSERT_NO_FATAL_FAILURE(endBehindAnUnreadAnswer(rig, client, done));
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
  bool done = false;
  ASSERT_NO_FATAL_FAILURE(endBehindAnUnreadAnswer(rig, client, done));
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

INSTANTIATE_TEST_SUITE_P(Closing, ClosingRule, kBoth, nameOf);

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

// Deadlines so short that the kill comes a second after the word to end, members that hang just then, a
// request held for a primary that is not there, and a client that goes on asking: each has its one answer and
// the process is done before the kill (the longest deadline and 0.7 s).
TEST_P(ClosingRule, WhatHangsOrIsHeldIsAnsweredBeforeTheKill) {
  GatewayOptions options = speaking();
  options.byHand = true;
  options.aimMs = 200;
  options.deadlineMs = 400;
  for (const bool held : {false, true}) {
    GatewayRig rig(options, 1);
    std::size_t asked = 0;
    rig.answerAll([&](Line&, const std::string&) { ++asked; });
    if (held) rig.members[0]->shut();
    ClientStandIn client(rig.loop, rig.endpoint);
    client.ask(request("save", "1", "", 60'000));
    ASSERT_TRUE(rig.until([&] { return rig.counters().requestsTaken == 1 && (held || asked == 1); }));
    const transport::Micros told = rig.loop.now();
    bool done = false;
    rig.gateway->drain([&] { done = true; });
    ASSERT_TRUE(rig.until([&] { return !client.code().empty(); }));
    EXPECT_LE(rig.loop.now(), told + 650'000);
    EXPECT_TRUE(client.gone());
    EXPECT_EQ(client.types(), GetParam() == Speaks::Bolt ? "E" : "EZ") << "one answer";
    ASSERT_TRUE(rig.until([&] { return done; }));
    EXPECT_LE(rig.loop.now(), told + 1'100'000);
    EXPECT_LE(asked, 1U);
  }
}

// A request that comes on an open connection after all others had their answer, and one behind it: the first
// is answered at once, nothing is begun any more.
TEST_P(ClosingRule, WhatIsAskedAfterTheLastAnswersIsRefusedAtOnce) {
  GatewayOptions options = speaking();
  options.byHand = true;
  options.deadlineMs = 400;
  options.aimMs = 200;
  GatewayRig rig(options, 1);
  PlainSocket late(rig.loop, rig.endpoint);
  ASSERT_TRUE(late.send(openingOf(GetParam())));
  // It has begun a message, so that it is not let go at the last call.
  const std::string asks = askingOf(GetParam(), request("save", "1"));
  ASSERT_TRUE(late.send(asks.substr(0, 3)));
  rig.loop.turn(0);
  const transport::Micros told = rig.loop.now();
  rig.gateway->drain([] {});
  ASSERT_TRUE(rig.until([&] { return rig.loop.now() > told + 700'000; }));
  ASSERT_TRUE(late.send(asks.substr(3) + askingOf(GetParam(), request("save", "2"))));
  EXPECT_TRUE(late.gone());
  EXPECT_FALSE(late.reset);
  EXPECT_TRUE(rig.statements().empty());
  // In Bolt a failure has what stands behind it ignored.
  EXPECT_EQ(rig.counters().requestsRefused, GetParam() == Speaks::Bolt ? 1U : 2U);
}

// The program itself, told to end at its very start: it ends at once or as it always does, and never hangs.
TEST(CrossingProcess, ToldToEndBeforeItIsReady) {
  transport::EventLoop loop;
  MemberStandIn member(loop, kLoopback);
  member.primary = true;
  PlainListener silent(loop);  // discovery that takes connections and never answers
  const std::string known = "[" + entry("m0", member.address(), true) + "]";
  for (int i = 0; i < 20; ++i) {
    Process process(configText({}, silent.address(), known));
    // From before the program's first line to well behind it.
    for (int spin = 0; spin < i * i * 20'000; ++spin) std::atomic_signal_fence(std::memory_order_seq_cst);
    process.signal(SIGTERM);
    ASSERT_TRUE(until(loop, [&] { return process.over(); })) << i;
    // By the signal itself where it had not set up its handling yet; it had said nothing then.
    if (process.status() != 0) {
      EXPECT_EQ(process.status(), -SIGTERM);
      EXPECT_EQ(process.log(), "");
    }
  }
}

// Discovery is silent, or away, from the start: the program is ready and serves by the list it was given.
TEST(CrossingProcess, IsReadyWhileDiscoveryIsSilentOrAway) {
  for (const bool away : {false, true}) {
    transport::EventLoop loop;
    MemberStandIn member(loop, kLoopback);
    member.primary = true;
    auto discovery = std::make_unique<PlainListener>(loop);
    const std::string config =
        configText({}, discovery->address(), "[" + entry("m0", member.address(), true) + "]");
    if (away) discovery.reset();
    Process process(config);
    ASSERT_TRUE(until(loop, [&] { return process.says("serves at"); }));
    ClientStandIn client(loop, process.endpoint());
    client.ask(request("save", "1"));
    ASSERT_TRUE(client.answered());
    EXPECT_EQ(client.value(), "from " + member.address());
    // Told twice to end, and to read its configuration again between the two, with a request out.
    Line* held = nullptr;
    member.answer = [&](Line& line, const std::string&) { held = &line; };
    client.ask(request("save", "2"));
    ASSERT_TRUE(until(loop, [&] { return held != nullptr; }));
    process.signal(SIGTERM);
    ASSERT_TRUE(until(loop, [&] { return process.says("told to end"); }));
    process.signal(SIGHUP);
    ASSERT_TRUE(until(loop, [&] { return process.says("was read again"); }));
    process.signal(SIGTERM);
    held->say(member.value("the last"));
    ASSERT_TRUE(client.answered(2));
    EXPECT_EQ(client.value(1), "the last");
    ASSERT_TRUE(until(loop, [&] { return process.over(); }));
    EXPECT_EQ(process.status(), 0);
  }
}

// ---- Floods ----

// One sends as much as it can, whole and half messages, and goes without reading: nothing of it stays, what
// good clients hold meanwhile is theirs, and no more of it is begun than can have been read before it went.
TEST_P(ClosingRule, OneThatSendsMuchAndGoesLeavesNothingBehind) {
  GatewayRig rig(speaking(), 1);
  ClientStandIn good(rig.loop, rig.endpoint);
  good.ask(request("save", "good"));
  ASSERT_TRUE(good.answered());
  const std::size_t before = rig.loop.memory().taken();
  for (int i = 0; i < 10; ++i) {
    PlainSocket flood(rig.loop, rig.endpoint);
    std::string much = openingOf(GetParam());
    for (int k = 0; k < 200; ++k)
      much += askingOf(GetParam(), request("save", std::to_string(i) + "-" + std::to_string(k)));
    much += askingOf(GetParam(), request("save", "half")).substr(0, 40);
    ASSERT_TRUE(flood.send(much));
    flood.resetNow();
  }
  ASSERT_TRUE(rig.until([&] { return rig.counters().clientsAccepted == 11; }));
  ASSERT_TRUE(rig.until([&] { return rig.counters().descriptors <= 1 + rig.members[0]->openLines(); }));
  EXPECT_EQ(rig.loop.memory().taken(), before);
  EXPECT_FALSE(good.ended());
  good.ask(request("save", "still good"));
  ASSERT_TRUE(good.answered(2));
  EXPECT_EQ(good.types(), "TDCZTDCZ");
}

// Those that are turned away come again at once, again and again, while all places are taken: each is told
// within its connection, those that hold a place keep it, and no descriptor is lost.
TEST(CrossingFloods, WhoIsTurnedAwayAndComesAgainAtOnceIsToldEachTime) {
  GatewayOptions options;
  options.sockets = 100;  // less what is kept back sixty, half of which are for clients
  GatewayRig rig(options, 1);
  std::vector<Line*> held;
  rig.answerAll([&](Line& line, const std::string&) { held.push_back(&line); });
  std::vector<std::unique_ptr<ClientStandIn>> busy;
  for (std::size_t i = 0; i < 30; ++i) {
    busy.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.endpoint));
    busy.back()->ask(request("save", "busy" + std::to_string(i)));
    ASSERT_TRUE(rig.until([&] { return rig.counters().requestsTaken == i + 1; }));
  }
  const std::size_t out = held.size();
  for (int i = 0; i < 100; ++i) {
    PlainSocket again(rig.loop, rig.endpoint);
    ASSERT_TRUE(again.send(pg::startup() + pg::query(request("save", "again" + std::to_string(i)))));
    ASSERT_TRUE(again.gone());
    EXPECT_FALSE(again.reset);
    EXPECT_EQ(again.lastCode(), "53300");
  }
  for (const auto& client : busy) EXPECT_FALSE(client->ended());
  EXPECT_EQ(rig.counters().requestsTaken, 30U);
  EXPECT_EQ(held.size(), out);
  EXPECT_LE(rig.counters().descriptorsPeak, 100U);
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

constexpr transport::Micros kSecond = 1'000'000;

GatewayOptions byHand(long askWithinMs) {
  GatewayOptions out;
  out.byHand = true;
  out.askWithinMs = askWithinMs;
  return out;
}

// A watch falls silent right after its call. What it misses counts as told 2 s after its wait of 5 s, and the
// next call, on a new connection, has to bring it before.
TEST(CrossingLists, WhoseWatchFallsSilentAreAskedForAnewWithinTheTimeThatCounts) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const transport::Micros silentFrom = rig.discovery.calledAt.back();
  Line* silent = std::exchange(rig.discovery.waiting, nullptr);
  rig.discovery.news = "[" + rig.entryOf(1, "Terminating") + "]";
  const std::size_t calls = rig.discovery.calls.size();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() > calls; }));
  EXPECT_NE(rig.discovery.calls.back().find("timeout_ms=1 "), std::string::npos);
  EXPECT_GE(rig.discovery.calledAt.back(), silentFrom + 5 * kSecond);
  EXPECT_LE(rig.discovery.calledAt.back(), silentFrom + 7 * kSecond - kSecond / 4);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EXPECT_TRUE(silent->ended);
  ClientStandIn client(rig.loop, rig.endpoint);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.members[1]->statements.empty());
}

// The next call is silent as well: the one after it still comes within 6 s of the first silence.
TEST(CrossingLists, WhoseNextCallIsSilentTooAreAskedForWithinSixSeconds) {
  GatewayRig rig(byHand(4'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const transport::Micros silentFrom = rig.discovery.calledAt.back();
  rig.discovery.waiting = nullptr;
  rig.discovery.silent = true;
  const std::size_t calls = rig.discovery.calls.size();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() >= calls + 2; }));
  EXPECT_LE(rig.discovery.calledAt.back(), silentFrom + 6 * kSecond - kSecond / 4);
}

// Half a list and then nothing: it is no list, and the rest of it is no part of the next.
TEST(CrossingLists, ThatStopHalfwayAreNothing) {
  GatewayRig rig(byHand(4'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  Line* line = std::exchange(rig.discovery.waiting, nullptr);
  ++rig.discovery.revision;
  const std::string whole =
      DiscoveryStandIn::response(rig.discovery.document(false, "[" + rig.entryOf(1, "Terminating") + "]"));
  const std::uint64_t before = rig.counters().listsTaken;
  line->say(whole.substr(0, whole.size() - 1));
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 1; }));
  EXPECT_EQ(rig.counters().listsTaken, before);
  line->say(whole.substr(whole.size() - 1));
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken > before; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 1U);
  EXPECT_NE(rig.discovery.calls[rig.discovery.calls.size() - 2].find("since=1&"), std::string::npos)
      << "what the half list named as its revision is not held";
}

// The answer and its limit are both there in one turn.
TEST(CrossingLists, ThatComeInTheTurnOfTheirLimitAreTaken) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const std::uint64_t before = rig.counters().listsTaken;
  rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "]");
  rig.loop.clock().moveTo(rig.loop.now() + 10 * kSecond);
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken > before; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 0U);
}

// A push comes from an agent of the driver's own, whose word counts at once when it is back: it is not left
// alone for longer the longer it was away.
TEST(CrossingLists, ThatArePushedAreAskedForSoonHoweverLongTheAgentWasAway) {
  GatewayOptions options = byHand(60'000);
  options.discovery = "push";
  GatewayRig rig(options, 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.discovery.waiting = nullptr;
  rig.discovery.shut();
  const transport::Micros gone = rig.loop.now();
  ASSERT_TRUE(rig.until([&] { return rig.loop.now() > gone + 8 * kSecond; }));
  const std::size_t calls = rig.discovery.calls.size();
  rig.discovery.reopen();
  const transport::Micros back = rig.loop.now();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() > calls; }));
  EXPECT_LE(rig.discovery.calledAt.back(), back + kSecond / 4 + kSecond / 50);
}

// A new configuration moves discovery, and the first call there gets no answer: what the new place has to say
// counts as told 4 s later.
TEST(CrossingLists, FromANewPlaceWhoseFirstCallIsSilentComeWithinFourSeconds) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  DiscoveryStandIn place(rig.loop);
  place.members = rig.discovery.members;
  place.revision = 0;  // its revisions are its own
  place.silent = true;
  const transport::Micros moved = rig.loop.now();
  moveTo(rig, place.endpoint());
  ASSERT_TRUE(rig.until([&] { return place.calls.size() == 1; }));
  place.silent = false;
  ASSERT_TRUE(rig.until([&] { return place.waiting != nullptr; }));
  EXPECT_LE(place.calledAt[1], moved + 4 * kSecond - kSecond / 4);
  EXPECT_EQ(place.calls[1], "GET /v1/endpoints HTTP/1.1") << "the whole list";
  EXPECT_TRUE(rig.until([&] { return rig.discovery.openLines() == 0; }));
}

// Two new configurations in one turn, and one that names the place it has: the last one counts, what the one
// between would have said is nothing, and a watch that stands is left alone.
TEST(CrossingLists, FollowTheLastOfTwoNewConfigurations) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  DiscoveryStandIn between(rig.loop);
  between.members = "[" + rig.entryOf(0) + "]";
  DiscoveryStandIn last(rig.loop);
  last.members = rig.discovery.members;
  moveTo(rig, between.endpoint());
  moveTo(rig, last.endpoint());
  ASSERT_TRUE(rig.until([&] { return last.waiting != nullptr; }));
  EXPECT_TRUE(between.calls.empty());
  const std::size_t calls = last.calls.size();
  moveTo(rig, last.endpoint());
  ClientStandIn client(rig.loop, rig.endpoint);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(rig.members[1]->statements.size(), 1U) << "the replica is still known";
  EXPECT_EQ(last.calls.size(), calls);
  // And back to where it came from: its old revision is not asked from.
  const std::size_t first = rig.discovery.calls.size();
  moveTo(rig, rig.discovery.endpoint());
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() > first; }));
  EXPECT_EQ(rig.discovery.calls.back(), "GET /v1/endpoints HTTP/1.1");
}

// ---- Attempts that wait for their connection ----

class DialRule : public ClosingRule {};

// A request has been taken, and its connection to the first member stands and waits for the welcome.
bool waitsForAWelcome(GatewayRig& rig) {
  return rig.until([&] {
    return rig.counters().requestsTaken == 1 && rig.members[0]->openLines() > 0 &&
           !rig.members[0]->lines.back()->got.empty();
  });
}

// The one replica lets its connection wait, and the list that says that it drains is there in the turn of its
// welcome. Read first, it keeps the request away; read second, it comes too late for one that is out.
TEST_P(DialRule, ADrainToldInTheTurnInWhichAConnectionComesUp) {
  for (const bool listFirst : {true, false}) {
    GatewayRig rig(speaking(), 2);
    ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
    rig.members[1]->welcomes = false;
    ClientStandIn client(rig.loop, rig.endpoint);
    client.ask(request("any", "1"));
    ASSERT_TRUE(
        rig.until([&] { return rig.counters().attemptsMade == 1 && rig.members[1]->openLines() > 0; }));
    if (!listFirst) rig.members[1]->welcomeNow();
    rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "]");
    if (listFirst) rig.members[1]->welcomeNow();
    ASSERT_TRUE(client.answered());
    EXPECT_EQ(client.types(), "TDCZ");
    EXPECT_EQ(rig.statements().size(), 1U) << "once, wherever it was";
    if (listFirst) {
      EXPECT_TRUE(rig.members[1]->statements.empty());
    }
    client.ask(request("any", "2"));
    ASSERT_TRUE(client.answered(2));
    EXPECT_EQ(client.value(1), "from " + rig.members[0]->address()) << "what comes later goes elsewhere";
  }
}

// A client that leaves while its attempt dials, before the welcome and in the turn of the welcome: nothing is
// sent on, and the connection that came up serves the next.
TEST_P(DialRule, NothingIsSentForAClientThatLeftWhileAConnectionCameUp) {
  for (const bool sameTurn : {false, true}) {
    GatewayRig rig(speaking(), 1);
    rig.members[0]->welcomes = false;
    auto client = std::make_unique<ClientStandIn>(rig.loop, rig.endpoint);
    client->ask(request("save", "1"));
    ASSERT_TRUE(waitsForAWelcome(rig));
    client->hangUp();
    if (!sameTurn) {
      ASSERT_TRUE(rig.until([&] { return rig.counters().requestsLeft == 1; }));
    }
    rig.members[0]->welcomeNow();
    ASSERT_TRUE(rig.until([&] { return rig.counters().requestsLeft == 1; }));
    ClientStandIn next(rig.loop, rig.endpoint);
    next.ask(request("save", "2"));
    ASSERT_TRUE(next.answered());
    EXPECT_EQ(next.value(), "from " + rig.members[0]->address());
    EXPECT_EQ(rig.counters().requestsServed, 1U);
    // In the turn of the welcome it may have gone out before the leave was seen, and is then taken back.
    const std::size_t sent = rig.members[0]->statements.size() - 1;
    EXPECT_LE(sent, sameTurn ? 1U : 0U);
    EXPECT_EQ(rig.outcomes(Outcome::Cancelled), sent);
    EXPECT_EQ(rig.outcomes(Outcome::NeverSent), 1U - sent);
  }
}

// The time of the request is over in the turn in which its connection comes up: it is not written any more.
TEST_P(DialRule, NothingIsSentInTheTurnInWhichItsTimeIsOver) {
  GatewayOptions options = speaking();
  options.byHand = true;
  options.connectTimeoutMs = 60'000;
  GatewayRig rig(options, 1);
  rig.members[0]->welcomes = false;
  ClientStandIn client(rig.loop, rig.endpoint);
  client.ask(request("save", "1", "", 1'000));
  ASSERT_TRUE(waitsForAWelcome(rig));
  rig.members[0]->welcomeNow();
  rig.loop.clock().moveTo(rig.loop.now() + 2 * kSecond);
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "EZ");
  EXPECT_TRUE(rig.members[0]->statements.empty());
}

// The limit of the connection is due in the turn in which its welcome is there: it is used. (Bolt's welcome
// takes several.)
TEST(CrossingDial, AConnectionThatComesUpInTheTurnOfItsLimitIsUsed) {
  GatewayOptions options = byHand(10'000);
  options.connectTimeoutMs = 1'000;
  GatewayRig rig(options, 1);
  rig.members[0]->welcomes = false;
  ClientStandIn client(rig.loop, rig.endpoint);
  client.ask(request("save", "1"));
  ASSERT_TRUE(waitsForAWelcome(rig));
  rig.members[0]->welcomeNow();
  rig.loop.clock().moveTo(rig.loop.now() + 2 * kSecond);
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "from " + rig.members[0]->address());
  EXPECT_EQ(rig.counters().connectionsFailed, 0U);
}

// The dial fails in the turn in which its request is given up: one answer, and the place is free again.
TEST_P(DialRule, AConnectionThatFailsInTheTurnInWhichItsClientLeavesEndsOnce) {
  GatewayRig rig(speaking(), 1);
  rig.members[0]->welcomes = false;
  auto client = std::make_unique<ClientStandIn>(rig.loop, rig.endpoint);
  client->ask(request("save", "1"));
  ASSERT_TRUE(
      rig.until([&] { return rig.counters().requestsTaken == 1 && rig.members[0]->openLines() > 0; }));
  client->hangUp();
  rig.members[0]->shut();
  ASSERT_TRUE(rig.until([&] {
    return rig.counters().requestsLeft + rig.counters().requestsFailed + rig.counters().requestsRefused == 1;
  }));
  EXPECT_TRUE(rig.until([&] { return rig.counters().descriptors == 0; }));
  EXPECT_TRUE(rig.members[0]->statements.empty());
}

INSTANTIATE_TEST_SUITE_P(Dialling, DialRule, kBoth, nameOf);

// ---- Connections to members ----

class MemberRule : public ClosingRule {};

// The member closes, or sends what nobody asked for, on an idle connection just as a request comes for it: a
// new one is taken, and the request runs once.
TEST_P(MemberRule, ARequestThatCrossesTheEndOfAnIdleConnectionGoesOutOnANewOne) {
  enum class How { Close, Reset, Stray };
  for (const How how : {How::Close, How::Reset, How::Stray}) {
    GatewayRig rig(speaking(), 1);
    rig.members[0]->resets = how == How::Reset;
    ClientStandIn client(rig.loop, rig.endpoint);
    client.ask(request("save", "1"));
    ASSERT_TRUE(client.answered());
    client.forget();
    // Both are there before the loop turns.
    client.ask(request("save", "2"));
    Line& idle = *rig.members[0]->lines.back();
    if (how == How::Stray) {
      idle.say(rig.members[0]->half("a stray value"));
    } else {
      idle.hangUp();
    }
    ASSERT_TRUE(client.answered());
    EXPECT_EQ(client.value(), "from " + rig.members[0]->address());
    EXPECT_EQ(rig.members[0]->statements.size(), 2U);
    EXPECT_GE(rig.counters().connectionsStale, 1U);
    EXPECT_EQ(rig.counters().requestsServed, 2U);
  }
}

// An idle connection is reset long after its request was answered: that says nothing of its member.
TEST_P(MemberRule, AResetOfAnIdleConnectionCostsNothing) {
  GatewayRig rig(speaking(), 1);
  rig.members[0]->resets = true;
  ClientStandIn client(rig.loop, rig.endpoint);
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  const std::uint64_t probes = rig.counters().probesMade;
  Line& idle = *rig.members[0]->lines.back();
  idle.hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().connectionsStale == 1; }));
  client.ask(request("save", "2"));
  ASSERT_TRUE(client.answered(2));
  EXPECT_EQ(rig.counters().requestsServed, 2U);
  EXPECT_EQ(rig.counters().probesMade, probes);
  EXPECT_EQ(rig.outcomes(Outcome::Reset), 0U);
}

// The answer and the end of the request's time are there in one turn: it is served.
TEST_P(MemberRule, AnAnswerInTheTurnOfItsDeadlineIsServed) {
  GatewayOptions options = speaking();
  options.byHand = true;
  GatewayRig rig(options, 1);
  Line* held = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { held = &line; });
  ClientStandIn client(rig.loop, rig.endpoint);
  client.ask(request("save", "1", "", 1'000));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  held->say(rig.members[0]->value("just in time"));
  rig.loop.clock().moveTo(rig.loop.now() + 2 * kSecond);
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "just in time");
}

// What a member says and the end of its connection, in order or by a reset, are there in one turn. Whole, the
// answer counts; half, a write may have run: it is failed, never repeated, and never served by half.
TEST_P(MemberRule, AnAnswerWithTheEndRightBehindItCountsIfItIsWhole) {
  for (const bool whole : {true, false}) {
    for (const bool reset : {false, true}) {
      GatewayRig rig(speaking(), 1);
      rig.members[0]->resets = reset;
      rig.answerAll([&](Line& line, const std::string&) {
        line.say(whole ? rig.members[0]->value("whole") : rig.members[0]->half("half"));
        line.hangUp();
      });
      ClientStandIn client(rig.loop, rig.endpoint);
      client.ask(request("save", "1"));
      ASSERT_TRUE(client.answered());
      EXPECT_EQ(client.types(), whole ? "TDCZ" : "EZ");
      EXPECT_EQ(client.value(), whole ? "whole" : "");
      EXPECT_EQ(rig.members[0]->statements.size(), 1U);
    }
  }
}

// The primary falls between the write of a read that only a primary may answer and its answer, which says so:
// it is not served, and asked for again where the new primary is. Where it may not run twice it is failed.
TEST_P(MemberRule, AReadOnlyAPrimaryMayAnswerIsNotServedByOneThatFellMeanwhile) {
  for (const std::string className : {"status", "view"}) {
    for (const bool unsafe : {false, true}) {
      if (unsafe && className == "view") continue;
      GatewayOptions options = speaking();
      options.maxAgeMs = 3'000;
      if (unsafe) options.statusEffect = "fragile";
      GatewayRig rig(options, 2);
      rig.members[1]->lagMs = 100'000;  // too far behind for any bound
      ClientStandIn client(rig.loop, rig.endpoint);
      client.ask(request("status", "before"));
      ASSERT_TRUE(client.answered());
      rig.members[0]->answer = [&](Line& line, const std::string&) {
        rig.members[0]->primary = false;
        rig.members[1]->primary = true;
        rig.members[1]->lagMs = 0;
        line.say(rig.members[0]->value("stale"));
      };
      client.forget();
      client.ask(request(className, "1"));
      ASSERT_TRUE(client.answered());
      EXPECT_EQ(rig.outcomes(Outcome::Stale), 1U) << className;
      if (unsafe) {
        EXPECT_EQ(client.types(), "EZ");
        EXPECT_NE(client.code(), "53300") << "it has run";
        EXPECT_TRUE(rig.members[1]->statements.empty());
      } else {
        EXPECT_EQ(client.value(), "from " + rig.members[1]->address()) << className;
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Members, MemberRule, kBoth, nameOf);

// ---- Clients that leave ----

class LeavingRule : public ClosingRule {};

// A burst of clients whose requests are held leaves in the turn in which the primary is there again: nothing
// of theirs is sent on, and what a client that stays has asked is.
TEST_P(LeavingRule, NothingIsSentForABurstOfClientsThatLeftWhileHeld) {
  GatewayRig rig(speaking(), 1);
  rig.members[0]->shut();
  std::vector<std::unique_ptr<ClientStandIn>> burst;
  for (int i = 0; i < 20; ++i) {
    burst.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.endpoint));
    burst.back()->ask(request("save", "left" + std::to_string(i)));
  }
  ClientStandIn stays(rig.loop, rig.endpoint);
  stays.ask(request("save", "stays"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsTaken == 21; }));
  for (auto& client : burst) client->hangUp();
  rig.members[0]->reopen();
  ASSERT_TRUE(stays.answered());
  EXPECT_EQ(rig.counters().requestsLeft, 20U);
  for (const std::string& statement : rig.members[0]->statements)
    EXPECT_EQ(statement.find("id=left"), std::string::npos) << statement;
}

// A client sends several requests at once and leaves while the first is out: the others are never begun.
TEST_P(LeavingRule, NothingPipelinedIsSentForAClientThatLeft) {
  GatewayRig rig(speaking(), 1);
  Line* held = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { held = &line; });
  PlainSocket client(rig.loop, rig.endpoint);
  std::string all = openingOf(GetParam());
  for (int i = 0; i < 5; ++i) all += askingOf(GetParam(), request("save", std::to_string(i)));
  ASSERT_TRUE(client.send(all));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  // The answer to the first and the client's end are there in one turn, in both orders of the loop's choice.
  held->say(rig.members[0]->value("the first"));
  client.resetNow();
  ASSERT_TRUE(rig.until([&] {
    return rig.counters().requestsServed + rig.counters().requestsLeft >= 1 &&
           rig.counters().descriptors <= 1;
  }));
  rig.loop.turn(0);
  // Where the answer was seen before the end, the next one had begun by then.
  EXPECT_LE(rig.members[0]->statements.size(), 2U);
  EXPECT_LE(rig.counters().requestsTaken, 2U);
}

INSTANTIATE_TEST_SUITE_P(Leaving, LeavingRule, kBoth, nameOf);

}  // namespace
}  // namespace heathflow::test
