// The process is told to end while clients come, ask and wait. docs/crossings.md lists the pairs.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "crossing.h"
#include "program_process.h"

namespace heathflow::test {
namespace {

// The listener's last moment: more stand in its queue than one turn takes in, each with its request behind
// it, when the time to shut it has come.
TEST(CrossingEnd, WhoStandsInTheQueueAsTheListenerShutsIsServed) {
  constexpr std::size_t kQueued = 200;
  GatewayOptions options;
  options.sockets = 1024;
  options.byHand = true;
  GatewayRig rig(options);
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value("served")); });
  bool done = false;
  const transport::Micros told = rig.loop.now();
  rig.gateway->drain([&] { done = true; });
  // No turn of the loop until the listener is due to shut: it finds the queue full in that very turn.
  std::vector<std::unique_ptr<PlainSocket>> queued;
  for (std::size_t i = 0; i < kQueued; ++i) {
    queued.push_back(std::make_unique<PlainSocket>(rig.loop, rig.socketAddress));
    ASSERT_TRUE(queued.back()->send(pg::startup() + pg::query(request("any", std::to_string(i)))));
  }
  ASSERT_EQ(rig.loop.now(), told) << "the loop has turned meanwhile";
  rig.loop.clock().moveTo(told + 500'000);
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
  PlainSocket silent(rig.loop, rig.socketAddress);
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
  ClientStandIn busy(rig.loop, rig.socketAddress);
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
  held->say(rig.endpoints[0]->value("at last"));
  ASSERT_TRUE(busy.answered());
  EXPECT_TRUE(busy.gone());
  EXPECT_TRUE(rig.until([&] { return done > 0; }));
  EXPECT_EQ(done, 1);
}

// Deadlines so short that the kill comes a second after the word to end, endpoints that hang just then, a
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
    if (held) rig.endpoints[0]->shut();
    ClientStandIn client(rig.loop, rig.socketAddress);
    client.ask(request("save", "1", "", 60'000));
    ASSERT_TRUE(rig.until([&] { return rig.counters().requestsAccepted == 1 && (held || asked == 1); }));
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
TEST_P(ClosingRule, WhatIsAskedAfterTheLastAnswersIsRejectedAtOnce) {
  GatewayOptions options = speaking();
  options.byHand = true;
  options.deadlineMs = 400;
  options.aimMs = 200;
  GatewayRig rig(options, 1);
  PlainSocket late(rig.loop, rig.socketAddress);
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
  EXPECT_EQ(rig.counters().requestsRejected, GetParam() == Speaks::Bolt ? 1U : 2U);
}

// The program itself, told to end at its very start: it ends at once or as it always does, and never hangs.
TEST(CrossingProcess, ToldToEndBeforeItIsReady) {
  transport::EventLoop loop;
  EndpointStandIn endpoint(loop, kLoopback);
  endpoint.primary = true;
  PlainListener silent(loop);  // discovery that takes connections and never answers
  const std::string known = "[" + entry("m0", endpoint.address(), true) + "]";
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
    EndpointStandIn endpoint(loop, kLoopback);
    endpoint.primary = true;
    auto discovery = std::make_unique<PlainListener>(loop);
    const std::string config =
        configText({}, discovery->address(), "[" + entry("m0", endpoint.address(), true) + "]");
    if (away) discovery.reset();
    Process process(config);
    ASSERT_TRUE(until(loop, [&] { return process.says("serves at"); }));
    ClientStandIn client(loop, process.socketAddress());
    client.ask(request("save", "1"));
    ASSERT_TRUE(client.answered());
    EXPECT_EQ(client.value(), "from " + endpoint.address());
    // Told twice to end, and to read its configuration again between the two, with a request out.
    Line* held = nullptr;
    endpoint.answer = [&](Line& line, const std::string&) { held = &line; };
    client.ask(request("save", "2"));
    ASSERT_TRUE(until(loop, [&] { return held != nullptr; }));
    process.signal(SIGTERM);
    ASSERT_TRUE(until(loop, [&] { return process.says("told to end"); }));
    process.signal(SIGHUP);
    ASSERT_TRUE(until(loop, [&] { return process.says("was read again"); }));
    process.signal(SIGTERM);
    held->say(endpoint.value("the last"));
    ASSERT_TRUE(client.answered(2));
    EXPECT_EQ(client.value(1), "the last");
    ASSERT_TRUE(until(loop, [&] { return process.over(); }));
    EXPECT_EQ(process.status(), 0);
  }
}

}  // namespace
}  // namespace heathflow::test
