// Pipelined requests: the timeout of each starts at its own last byte, whether bytes of other requests arrive
// before, with or after it. The tests move the clock of the event loop.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "race_test.h"

namespace heathflow::test {
namespace {

using transport::Micros;

constexpr Micros kMicrosPerMilli = 1'000;
// The timeout of a request that is expected to time out, and for how long another one is in flight before it.
constexpr long kShortTimeoutMs = 2'000;
constexpr Micros kShortTimeout = kShortTimeoutMs * kMicrosPerMilli;
constexpr Micros kHeadStart = 200 * kMicrosPerMilli;
// The longest delay of a timer. A timer never fires early.
constexpr Micros kMaxTimerDelay = kMicrosPerMilli;

// One client and one endpoint, which answers a request when the test says so.
class Pipelining : public testing::TestWithParam<Speaks> {
 protected:
  Pipelining() : rig_(options(), 1), client_(rig_.loop, rig_.socketAddress) {
    rig_.answerAll([this](Line& line, const std::string&) { openLine_ = &line; });
  }
  static GatewayOptions options() {
    GatewayOptions out;
    out.speaks = GetParam();
    out.manualClock = true;
    return out;
  }
  std::string requestBytes(const std::string& id, long timeoutMs) const {
    return askingOf(GetParam(), request("save", id, "", timeoutMs));
  }
  // Waits until the endpoint has received 'count' requests.
  bool waitForRequests(std::size_t count) {
    return rig_.until([&] { return rig_.endpoints[0]->statements.size() == count; });
  }
  void answer(const std::string& value) { openLine_->say(rig_.endpoints[0]->value(value)); }
  // Lets time pass until 'at'.
  bool waitUntil(Micros at) {
    return rig_.until([&] { return rig_.loop.now() >= at; });
  }
  // Sends bytes and waits until they have been read.
  bool sendAndWait(std::string_view bytes) {
    if (!client_.send(bytes)) return false;
    for (int i = 0; i < 5; ++i) rig_.loop.turn(0);
    return true;
  }
  std::uint64_t answeredCount() const {
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
  Line* openLine_ = nullptr;
};

// The second request is complete at once. A part of a third arrives later, while the first is still in
// flight; guards against that part extending the timeout of the second.
TEST_P(Pipelining, LaterBytesDoNotExtendARequestsTimeout) {
  const std::string third = requestBytes("3", 50'000);
  ASSERT_TRUE(
      client_.send(openingOf(GetParam()) + requestBytes("1", 50'000) + requestBytes("2", kShortTimeoutMs)));
  ASSERT_TRUE(waitForRequests(1));
  const Micros completeAt = rig_.loop.now();
  ASSERT_TRUE(waitUntil(completeAt + kHeadStart));
  ASSERT_TRUE(sendAndWait(third.substr(0, 20)));
  answer("the first");
  ASSERT_TRUE(waitForRequests(2));
  ASSERT_TRUE(rig_.until([&] { return answeredCount() == 2; }));
  EXPECT_GE(rig_.loop.now(), completeAt + kShortTimeout);
  EXPECT_LE(rig_.loop.now(), completeAt + kShortTimeout + kMaxTimerDelay);
}

// The second request has timed out by the time that the first is answered. It gets its answer at once and is
// not forwarded.
TEST_P(Pipelining, ARequestThatTimesOutBehindAnotherIsNotForwarded) {
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "1")) +
                           requestBytes("2", kShortTimeoutMs)));
  ASSERT_TRUE(waitForRequests(1));
  const Micros completeAt = rig_.loop.now();
  ASSERT_TRUE(waitUntil(completeAt + kShortTimeout - kHeadStart));
  ASSERT_TRUE(sendAndWait(requestBytes("3", 50'000)));
  ASSERT_TRUE(waitUntil(completeAt + kShortTimeout));
  const Micros due = rig_.loop.now();
  answer("the first");
  ASSERT_TRUE(rig_.until([&] { return answeredCount() == 2; }));
  EXPECT_LE(rig_.loop.now(), due + kMaxTimerDelay);
  EXPECT_FALSE(everReceived("2"));
  // In Bolt the requests behind one that fails are ignored.
  if (GetParam() == Speaks::Postgres) {
    EXPECT_TRUE(rig_.until([&] { return everReceived("3"); }));
  }
}

// The second half of the second request arrives later, together with the beginning of a third. Its timeout
// starts at its own last byte (in Bolt, the last byte of its RUN message).
TEST_P(Pipelining, TheTimeoutOfARequestInPartsStartsAtItsLastByte) {
  const std::string second = requestBytes("2", kShortTimeoutMs);
  const std::string third = requestBytes("3", 50'000);
  const std::size_t half = second.size() / 2;
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + requestBytes("1", 50'000) + second.substr(0, half)));
  ASSERT_TRUE(waitForRequests(1));
  ASSERT_TRUE(waitUntil(rig_.loop.now() + kHeadStart));
  ASSERT_TRUE(sendAndWait(second.substr(half) + third.substr(0, 20)));
  const Micros completeAt = rig_.loop.now();
  ASSERT_TRUE(waitUntil(completeAt + kHeadStart));
  ASSERT_TRUE(sendAndWait(third.substr(20, 20)));
  answer("the first");
  ASSERT_TRUE(waitForRequests(2));
  ASSERT_TRUE(rig_.until([&] { return answeredCount() == 2; }));
  EXPECT_GE(rig_.loop.now(), completeAt + kShortTimeout);
  EXPECT_LE(rig_.loop.now(), completeAt + kShortTimeout + kMaxTimerDelay);
}

// The third request does not fit into the input buffer (a little over 136 KiB) until the first is answered.
// It has waited in the socket meanwhile, so its timeout starts when the input is full, not when it is read.
TEST_P(Pipelining, TheTimeoutOfARequestInTheSocketStartsWhenTheInputIsFull) {
  const auto large = [this](const std::string& id, long timeoutMs) {
    const std::string blob(80'000, '0');
    return askingOf(GetParam(), "INSERT INTO rows (handle, blob) VALUES ('key', '\\x" + blob +
                                    "') RETURNING blob /* id=" + id +
                                    ",c=save,d=" + std::to_string(timeoutMs) + ",cluster=0 */");
  };
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + large("1", 50'000) + large("2", 50'000)));
  ASSERT_TRUE(waitForRequests(1));
  ASSERT_TRUE(sendAndWait(requestBytes("3", kShortTimeoutMs)));
  const Micros completeAt = rig_.loop.now();
  ASSERT_TRUE(waitUntil(completeAt + kHeadStart));
  answer("the first");
  ASSERT_TRUE(waitForRequests(2));
  answer("the second");
  ASSERT_TRUE(waitForRequests(3));
  ASSERT_TRUE(rig_.until([&] { return answeredCount() == 3; }));
  EXPECT_LE(rig_.loop.now(), completeAt + kShortTimeout + kMaxTimerDelay);
}

// The gateway shuts down while two requests wait behind one in flight. All are answered before the connection
// is closed.
TEST_P(Pipelining, PipelinedRequestsAreServedBeforeTheConnectionCloses) {
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + requestBytes("1", 50'000) + requestBytes("2", 50'000) +
                           requestBytes("3", 50'000)));
  ASSERT_TRUE(waitForRequests(1));
  bool done = false;
  rig_.gateway->beginShutdown([&] { done = true; });
  const std::vector<std::string> values = {"the first", "the second", "the third"};
  for (std::size_t i = 0; i < values.size(); ++i) {
    ASSERT_TRUE(waitForRequests(i + 1));
    ASSERT_TRUE(waitUntil(rig_.loop.now() + kHeadStart));
    EXPECT_FALSE(done);
    answer(values[i]);
  }
  EXPECT_TRUE(client_.gone());
  EXPECT_FALSE(client_.reset);
  for (const std::string& value : values) EXPECT_NE(client_.read().find(value), std::string::npos) << value;
  client_.hangUp();
  EXPECT_TRUE(rig_.until([&] { return done; }));
}

// Guards against requests behind one that hangs being unanswered when the process is killed, 1.1 s after the
// signal if the longest request timeout is 0.4 s.
TEST_P(Pipelining, PipelinedRequestsBehindOneThatHangsAreAnsweredBeforeTheKill) {
  GatewayOptions brief = options();
  brief.aimMs = 200;
  brief.requestTimeoutMs = 400;
  GatewayRig rig(brief, 1);
  rig.answerAll([](Line&, const std::string&) {});
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(openingOf(GetParam()) + requestBytes("1", 60'000) + requestBytes("2", 60'000) +
                          requestBytes("3", 60'000)));
  ASSERT_TRUE(rig.until([&] { return rig.statements().size() == 1; }));
  const Micros startedAt = rig.loop.now();
  rig.gateway->beginShutdown([] {});
  EXPECT_TRUE(client.gone());
  EXPECT_FALSE(client.reset);
  EXPECT_LE(rig.loop.now(), startedAt + 1'100 * kMicrosPerMilli);
  EXPECT_EQ(rig.statements().size(), 1U);
  // In Bolt the requests behind one that fails are ignored.
  EXPECT_EQ(rig.counters().requestsRejected + rig.counters().requestsFailed,
            GetParam() == Speaks::Bolt ? 1U : 3U);
}

// A reload changes the address of discovery while a request waits behind another; guards against that
// extending the timeout of the waiting request.
TEST_P(Pipelining, AReloadDoesNotExtendARequestsTimeout) {
  ASSERT_TRUE(
      client_.send(openingOf(GetParam()) + requestBytes("1", 50'000) + requestBytes("2", kShortTimeoutMs)));
  ASSERT_TRUE(waitForRequests(1));
  const Micros completeAt = rig_.loop.now();
  DiscoveryStandIn moved(rig_.loop);
  moved.endpoints = rig_.discovery.endpoints;
  program::Config fresh = rig_.config;
  fresh.discovery = moved.socketAddress();
  rig_.gateway->reload(fresh);
  ASSERT_TRUE(rig_.until([&] { return moved.waiting != nullptr; }));
  ASSERT_TRUE(waitUntil(completeAt + kHeadStart));
  ASSERT_TRUE(sendAndWait(requestBytes("3", 50'000).substr(0, 20)));
  answer("the first");
  ASSERT_TRUE(waitForRequests(2));
  ASSERT_TRUE(rig_.until([&] { return answeredCount() == 2; }));
  EXPECT_GE(rig_.loop.now(), completeAt + kShortTimeout);
  EXPECT_LE(rig_.loop.now(), completeAt + kShortTimeout + kMaxTimerDelay);
}

INSTANTIATE_TEST_SUITE_P(Protocols, Pipelining, kBothProtocols, protocolName);

}  // namespace
}  // namespace heathflow::test
