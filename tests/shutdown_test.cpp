// The process shuts down while clients connect, send requests and wait for answers.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "program_process.h"
#include "race_test.h"

namespace heathflow::test {
namespace {

// The listener closes while the accept queue holds more connections than one loop turn accepts, each with a
// request.
TEST(ShutdownRace, ClientsInTheAcceptQueueAreServed) {
  constexpr std::size_t kQueued = 200;
  GatewayOptions options;
  options.sockets = 1024;
  options.manualClock = true;
  GatewayRig rig(options);
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value("served")); });
  bool done = false;
  const transport::Micros startedAt = rig.loop.now();
  rig.gateway->beginShutdown([&] { done = true; });
  // The loop does not turn until the listener is due to close, and finds the queue full in that turn.
  std::vector<std::unique_ptr<PlainSocket>> queued;
  for (std::size_t i = 0; i < kQueued; ++i) {
    queued.push_back(std::make_unique<PlainSocket>(rig.loop, rig.socketAddress));
    ASSERT_TRUE(queued.back()->send(pg::startup() + pg::query(request("any", std::to_string(i)))));
  }
  ASSERT_EQ(rig.loop.now(), startedAt) << "the loop has turned meanwhile";
  rig.loop.clock().advanceTo(startedAt + 500'000);
  for (auto& client : queued) {
    EXPECT_TRUE(client->reads("served"));
    EXPECT_TRUE(client->gone());
    EXPECT_FALSE(client->reset);
    client->hangUp();
  }
  EXPECT_TRUE(rig.until([&] { return done; }));
  EXPECT_EQ(rig.counters().requestsServed, kQueued);
}

// A connected client that has sent no request gets an error. A request that it sends afterwards is not
// forwarded.
TEST(ShutdownRace, AClientWithoutARequestGetsAnError) {
  GatewayRig rig;
  PlainSocket silent(rig.loop, rig.socketAddress);
  ASSERT_TRUE(silent.send(pg::startup()));
  ASSERT_TRUE(silent.reads(pg::ready()));
  bool done = false;
  rig.gateway->beginShutdown([&] { done = true; });
  ASSERT_TRUE(silent.gone());
  EXPECT_FALSE(silent.reset);
  EXPECT_EQ(silent.lastCode(), "57P03");
  (void)silent.send(pg::query(request("any", "1")));
  rig.loop.turn(0);
  silent.hangUp();
  EXPECT_TRUE(rig.until([&] { return done; }));
  EXPECT_TRUE(rig.statements().empty());
}

// A second shutdown, after one of two listeners has closed, neither restarts the first one nor waits forever.
TEST(ShutdownRace, ASecondShutdownChangesNothing) {
  GatewayOptions options;
  options.both = true;
  GatewayRig rig(options);
  Line* pending = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { pending = &line; });
  ClientStandIn busy(rig.loop, rig.socketAddress);
  busy.ask(request("any", "1"));
  ASSERT_TRUE(rig.until([&] { return pending != nullptr; }));
  int done = 0;
  rig.gateway->beginShutdown([&] { ++done; });
  // The other listener has closed by now.
  ASSERT_TRUE(rig.until([&] { return PlainSocket(rig.loop, rig.boltAddress).gone(); }));
  ASSERT_TRUE(rig.until([&] {
    transport::SocketResult opened = transport::startConnect(rig.boltAddress);
    rig.loop.turn(1'000);
    return !opened.fd || transport::pendingError(opened.fd.get()) != 0;
  }));
  rig.gateway->beginShutdown([&] { ++done; });
  pending->say(rig.endpoints[0]->value("at last"));
  ASSERT_TRUE(busy.answered());
  EXPECT_TRUE(busy.gone());
  EXPECT_TRUE(rig.until([&] { return done > 0; }));
  EXPECT_EQ(done, 1);
}

// Guards against requests without an answer at the time of the kill, 0.7 s after the longest request timeout.
// The request is in flight at an endpoint that hangs, or queued without a primary.
TEST_P(ConnectionRace, RequestsInFlightOrQueuedAreAnsweredBeforeTheKill) {
  GatewayOptions options = speaking();
  options.manualClock = true;
  options.aimMs = 200;
  options.requestTimeoutMs = 400;
  for (const bool queued : {false, true}) {
    GatewayRig rig(options, 1);
    std::size_t received = 0;
    rig.answerAll([&](Line&, const std::string&) { ++received; });
    if (queued) rig.endpoints[0]->shut();
    ClientStandIn client(rig.loop, rig.socketAddress);
    client.ask(request("save", "1", "", 60'000));
    ASSERT_TRUE(rig.until([&] { return rig.counters().requestsAccepted == 1 && (queued || received == 1); }));
    const transport::Micros startedAt = rig.loop.now();
    bool done = false;
    rig.gateway->beginShutdown([&] { done = true; });
    ASSERT_TRUE(rig.until([&] { return !client.code().empty(); }));
    EXPECT_LE(rig.loop.now(), startedAt + 650'000);
    EXPECT_TRUE(client.gone());
    EXPECT_EQ(client.types(), GetParam() == Speaks::Bolt ? "E" : "EZ") << "one answer";
    ASSERT_TRUE(rig.until([&] { return done; }));
    EXPECT_LE(rig.loop.now(), startedAt + 1'100'000);
    EXPECT_LE(received, 1U);
  }
}

// A request that arrives on an open connection after the time of the last answers, and one pipelined behind
// it, are rejected at once.
TEST_P(ConnectionRace, RequestsAfterTheLastAnswersAreRejectedAtOnce) {
  GatewayOptions options = speaking();
  options.manualClock = true;
  options.requestTimeoutMs = 400;
  options.aimMs = 200;
  GatewayRig rig(options, 1);
  PlainSocket late(rig.loop, rig.socketAddress);
  ASSERT_TRUE(late.send(openingOf(GetParam())));
  // The incomplete message keeps the connection from being closed as one without a request.
  const std::string asks = askingOf(GetParam(), request("save", "1"));
  ASSERT_TRUE(late.send(asks.substr(0, 3)));
  rig.loop.turn(0);
  const transport::Micros startedAt = rig.loop.now();
  rig.gateway->beginShutdown([] {});
  ASSERT_TRUE(rig.until([&] { return rig.loop.now() > startedAt + 700'000; }));
  ASSERT_TRUE(late.send(asks.substr(3) + askingOf(GetParam(), request("save", "2"))));
  EXPECT_TRUE(late.gone());
  EXPECT_FALSE(late.reset);
  EXPECT_TRUE(rig.statements().empty());
  // In Bolt the requests behind one that fails are ignored.
  EXPECT_EQ(rig.counters().requestsRejected, GetParam() == Speaks::Bolt ? 1U : 2U);
}

// Guards against a program that hangs after a SIGTERM during its start.
TEST(ProcessRace, EndsOnASignalBeforeItIsReady) {
  transport::EventLoop loop;
  EndpointStandIn endpoint(loop, kLoopback);
  endpoint.primary = true;
  PlainListener silent(loop);  // discovery that accepts connections and never answers
  const std::string known = "[" + entry("m0", endpoint.address(), true) + "]";
  for (int i = 0; i < 20; ++i) {
    Process process(configText({}, silent.address(), known));
    // The delays reach from before the program has blocked the signal to well after it.
    for (int spin = 0; spin < i * i * 20'000; ++spin) std::atomic_signal_fence(std::memory_order_seq_cst);
    process.signal(SIGTERM);
    ASSERT_TRUE(until(loop, [&] { return process.over(); })) << i;
    // The signal itself ends the program if it is not blocked yet. Nothing is logged in that case.
    if (process.status() != 0) {
      EXPECT_EQ(process.status(), -SIGTERM);
      EXPECT_EQ(process.log(), "");
    }
  }
}

// Discovery does not answer, or is unreachable, from the start: the program serves with the list of its
// configuration.
TEST(ProcessRace, IsReadyWhileDiscoveryIsSilentOrUnreachable) {
  for (const bool unreachable : {false, true}) {
    transport::EventLoop loop;
    EndpointStandIn endpoint(loop, kLoopback);
    endpoint.primary = true;
    auto discovery = std::make_unique<PlainListener>(loop);
    const std::string config =
        configText({}, discovery->address(), "[" + entry("m0", endpoint.address(), true) + "]");
    if (unreachable) discovery.reset();
    Process process(config);
    ASSERT_TRUE(until(loop, [&] { return process.says("serves at"); }));
    ClientStandIn client(loop, process.socketAddress());
    client.ask(request("save", "1"));
    ASSERT_TRUE(client.answered());
    EXPECT_EQ(client.value(), "from " + endpoint.address());
    // SIGTERM, SIGHUP and again SIGTERM while a request is in flight.
    Line* pending = nullptr;
    endpoint.answer = [&](Line& line, const std::string&) { pending = &line; };
    client.ask(request("save", "2"));
    ASSERT_TRUE(until(loop, [&] { return pending != nullptr; }));
    process.signal(SIGTERM);
    ASSERT_TRUE(until(loop, [&] { return process.says("shutting down"); }));
    process.signal(SIGHUP);
    ASSERT_TRUE(until(loop, [&] { return process.says("configuration reloaded"); }));
    process.signal(SIGTERM);
    pending->say(endpoint.value("the last"));
    ASSERT_TRUE(client.answered(2));
    EXPECT_EQ(client.value(1), "the last");
    ASSERT_TRUE(until(loop, [&] { return process.over(); }));
    EXPECT_EQ(process.status(), 0);
  }
}

}  // namespace
}  // namespace heathflow::test
