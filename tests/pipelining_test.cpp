// Pipelined requests: the timeout of each counts from its own last byte, while bytes of others come before,
// with and after it. The loop's clock is moved by hand.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "crossing.h"

namespace heathflow::test {
namespace {

using transport::Micros;

constexpr Micros kMillis = 1'000;
// The timeout of a request that is to time out, and for how long another one is in flight before it.
constexpr long kShortMs = 2'000;
constexpr Micros kShort = kShortMs * kMillis;
constexpr Micros kAhead = 200 * kMillis;
// A timer may be due a moment after its time, never before.
constexpr Micros kNextTurn = kMillis;

// One client and one endpoint, which answers a request when the test says so.
class Pipelining : public testing::TestWithParam<Speaks> {
 protected:
  Pipelining() : rig_(options(), 1), client_(rig_.loop, rig_.socketAddress) {
    rig_.answerAll([this](Line& line, const std::string&) { open_ = &line; });
  }
  static GatewayOptions options() {
    GatewayOptions out;
    out.speaks = GetParam();
    out.byHand = true;
    return out;
  }
  std::string asking(const std::string& id, long timeoutMs) const {
    return askingOf(GetParam(), request("save", id, "", timeoutMs));
  }
  // Waits until the endpoint has received so many requests.
  bool received(std::size_t count) {
    return rig_.until([&] { return rig_.endpoints[0]->statements.size() == count; });
  }
  void answer(const std::string& value) { open_->say(rig_.endpoints[0]->value(value)); }
  // Lets time pass.
  bool passes(Micros at) {
    return rig_.until([&] { return rig_.loop.now() >= at; });
  }
  // Sends bytes and waits until they have been read.
  bool sendAndRead(std::string_view bytes) {
    if (!client_.send(bytes)) return false;
    for (int i = 0; i < 5; ++i) rig_.loop.turn(0);
    return true;
  }
  std::uint64_t answered() const {
    const stats::Counters& counters = rig_.counters();
    return counters.requestsServed + counters.requestsRejected + counters.requestsFailed;
  }
  bool everReceived(const std::string& id) const {
    for (const std::string& statement : rig_.endpoints[0]->statements) {
      if (statement.find("id=" + id + ",") != std::string::npos) return true;
    }
    return false;
  }

  GatewayRig rig_;
  PlainSocket client_;
  Line* open_ = nullptr;
};

// The second request is complete at once; a part of a third comes later, while the first is still in flight.
// Failure: that extends the timeout of the second.
TEST_P(Pipelining, LaterBytesDoNotExtendARequestsTimeout) {
  const std::string third = asking("3", 50'000);
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + asking("1", 50'000) + asking("2", kShortMs)));
  ASSERT_TRUE(received(1));
  const Micros completeAt = rig_.loop.now();
  ASSERT_TRUE(passes(completeAt + kAhead));
  ASSERT_TRUE(sendAndRead(third.substr(0, 20)));
  answer("the first");
  ASSERT_TRUE(received(2));
  ASSERT_TRUE(rig_.until([&] { return answered() == 2; }));
  EXPECT_GE(rig_.loop.now(), completeAt + kShort);
  EXPECT_LE(rig_.loop.now(), completeAt + kShort + kNextTurn);
}

// The second request has timed out by the time that the first has its answer: it is answered at once and not
// forwarded.
TEST_P(Pipelining, ARequestThatTimesOutBehindAnotherIsNotForwarded) {
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "1")) +
                           asking("2", kShortMs)));
  ASSERT_TRUE(received(1));
  const Micros completeAt = rig_.loop.now();
  ASSERT_TRUE(passes(completeAt + kShort - kAhead));
  ASSERT_TRUE(sendAndRead(asking("3", 50'000)));
  ASSERT_TRUE(passes(completeAt + kShort));
  const Micros due = rig_.loop.now();
  answer("the first");
  ASSERT_TRUE(rig_.until([&] { return answered() == 2; }));
  EXPECT_LE(rig_.loop.now(), due + kNextTurn);
  EXPECT_FALSE(everReceived("2"));
  // In Bolt the requests behind one that fails are ignored.
  if (GetParam() == Speaks::Postgres) {
    EXPECT_TRUE(rig_.until([&] { return everReceived("3"); }));
  }
}

// The second half of the second request comes later, together with the beginning of a third. Its timeout
// counts from its own last byte (in Bolt that of its RUN).
TEST_P(Pipelining, ARequestInPartsHasItsTimeoutFromItsLastByteOn) {
  const std::string second = asking("2", kShortMs);
  const std::string third = asking("3", 50'000);
  const std::size_t half = second.size() / 2;
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + asking("1", 50'000) + second.substr(0, half)));
  ASSERT_TRUE(received(1));
  ASSERT_TRUE(passes(rig_.loop.now() + kAhead));
  ASSERT_TRUE(sendAndRead(second.substr(half) + third.substr(0, 20)));
  const Micros completeAt = rig_.loop.now();
  ASSERT_TRUE(passes(completeAt + kAhead));
  ASSERT_TRUE(sendAndRead(third.substr(20, 20)));
  answer("the first");
  ASSERT_TRUE(received(2));
  ASSERT_TRUE(rig_.until([&] { return answered() == 2; }));
  EXPECT_GE(rig_.loop.now(), completeAt + kShort);
  EXPECT_LE(rig_.loop.now(), completeAt + kShort + kNextTurn);
}

// The third request does not fit into the input (136 KiB and a little) until the first has its answer. It has
// waited in the socket meanwhile, so its timeout does not count from when it is read.
TEST_P(Pipelining, ARequestInTheSocketHasItsTimeoutFromWhenTheInputWasFull) {
  const auto large = [this](const std::string& id, long timeoutMs) {
    const std::string blob(80'000, '0');
    return askingOf(GetParam(), "INSERT INTO rows (handle, blob) VALUES ('key', '\\x" + blob +
                                    "') RETURNING blob /* id=" + id +
                                    ",c=save,d=" + std::to_string(timeoutMs) + ",cluster=0 */");
  };
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + large("1", 50'000) + large("2", 50'000)));
  ASSERT_TRUE(received(1));
  ASSERT_TRUE(sendAndRead(asking("3", kShortMs)));
  const Micros completeAt = rig_.loop.now();
  ASSERT_TRUE(passes(completeAt + kAhead));
  answer("the first");
  ASSERT_TRUE(received(2));
  answer("the second");
  ASSERT_TRUE(received(3));
  ASSERT_TRUE(rig_.until([&] { return answered() == 3; }));
  EXPECT_LE(rig_.loop.now(), completeAt + kShort + kNextTurn);
}

// The process shuts down while two requests wait behind one in flight: all have their answers before the
// connection closes.
TEST_P(Pipelining, PipelinedRequestsAreServedBeforeTheConnectionCloses) {
  ASSERT_TRUE(
      client_.send(openingOf(GetParam()) + asking("1", 50'000) + asking("2", 50'000) + asking("3", 50'000)));
  ASSERT_TRUE(received(1));
  bool done = false;
  rig_.gateway->beginShutdown([&] { done = true; });
  const std::vector<std::string> values = {"the first", "the second", "the third"};
  for (std::size_t i = 0; i < values.size(); ++i) {
    ASSERT_TRUE(received(i + 1));
    ASSERT_TRUE(passes(rig_.loop.now() + kAhead));
    EXPECT_FALSE(done);
    answer(values[i]);
  }
  EXPECT_TRUE(client_.gone());
  EXPECT_FALSE(client_.reset);
  for (const std::string& value : values) EXPECT_NE(client_.read().find(value), std::string::npos) << value;
  client_.hangUp();
  EXPECT_TRUE(rig_.until([&] { return done; }));
}

// Failure: requests behind one that hangs have no answer when the kill comes, 1.1 s after the signal with a
// longest request timeout of 0.4 s.
TEST_P(Pipelining, PipelinedRequestsBehindOneThatHangsAreAnsweredBeforeTheKill) {
  GatewayOptions brief = options();
  brief.aimMs = 200;
  brief.requestTimeoutMs = 400;
  GatewayRig rig(brief, 1);
  rig.answerAll([](Line&, const std::string&) {});
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(
      client.send(openingOf(GetParam()) + asking("1", 60'000) + asking("2", 60'000) + asking("3", 60'000)));
  ASSERT_TRUE(rig.until([&] { return rig.statements().size() == 1; }));
  const Micros startedAt = rig.loop.now();
  rig.gateway->beginShutdown([] {});
  EXPECT_TRUE(client.gone());
  EXPECT_FALSE(client.reset);
  EXPECT_LE(rig.loop.now(), startedAt + 1'100 * kMillis);
  EXPECT_EQ(rig.statements().size(), 1U);
  // In Bolt the requests behind one that fails are ignored.
  EXPECT_EQ(rig.counters().requestsRejected + rig.counters().requestsFailed,
            GetParam() == Speaks::Bolt ? 1U : 3U);
}

// A reload moves discovery while a request waits behind another. Failure: that extends its timeout.
TEST_P(Pipelining, AReloadDoesNotExtendARequestsTimeout) {
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + asking("1", 50'000) + asking("2", kShortMs)));
  ASSERT_TRUE(received(1));
  const Micros completeAt = rig_.loop.now();
  DiscoveryStandIn moved(rig_.loop);
  moved.endpoints = rig_.discovery.endpoints;
  program::Config fresh = rig_.config;
  fresh.discovery = moved.socketAddress();
  rig_.gateway->reload(fresh);
  ASSERT_TRUE(rig_.until([&] { return moved.waiting != nullptr; }));
  ASSERT_TRUE(passes(completeAt + kAhead));
  ASSERT_TRUE(sendAndRead(asking("3", 50'000).substr(0, 20)));
  answer("the first");
  ASSERT_TRUE(received(2));
  ASSERT_TRUE(rig_.until([&] { return answered() == 2; }));
  EXPECT_GE(rig_.loop.now(), completeAt + kShort);
  EXPECT_LE(rig_.loop.now(), completeAt + kShort + kNextTurn);
}

INSTANTIATE_TEST_SUITE_P(Protocols, Pipelining, kBoth, nameOf);

}  // namespace
}  // namespace heathflow::test
