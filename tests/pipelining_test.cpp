// Requests that are written one behind another: each has its own time, which begins with its own last byte,
// while bytes of others come before, with and after it. The loop's clock is moved by hand.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "crossing.h"

namespace heathflow::test {
namespace {

using transport::Micros;

constexpr Micros kMillis = 1'000;
// What a client gives a request that is to run out of time, and for how long another one stands before it.
constexpr long kShortMs = 2'000;
constexpr Micros kShort = kShortMs * kMillis;
constexpr Micros kAhead = 200 * kMillis;
// A timer may be due a moment after its time, never before.
constexpr Micros kNextTurn = kMillis;

// One client, whose requests the one endpoint leaves open until the test has them answered.
class PipeliningRule : public testing::TestWithParam<Speaks> {
 protected:
  PipeliningRule() : rig_(options(), 1), client_(rig_.loop, rig_.socketAddress) {
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
  // Waits until the endpoint has been asked for so many requests.
  bool asked(std::size_t count) {
    return rig_.until([&] { return rig_.endpoints[0]->statements.size() == count; });
  }
  void answer(const std::string& value) { open_->say(rig_.endpoints[0]->value(value)); }
  // Lets time go by up to there.
  bool passes(Micros at) {
    return rig_.until([&] { return rig_.loop.now() >= at; });
  }
  // Sends what need not be answered, and waits until it has been read.
  bool sendAndRead(std::string_view bytes) {
    if (!client_.send(bytes)) return false;
    for (int i = 0; i < 5; ++i) rig_.loop.turn(0);
    return true;
  }
  std::uint64_t answered() const {
    const stats::Counters& counters = rig_.counters();
    return counters.requestsServed + counters.requestsRejected + counters.requestsFailed;
  }
  bool everAsked(const std::string& id) const {
    for (const std::string& statement : rig_.endpoints[0]->statements) {
      if (statement.find("id=" + id + ",") != std::string::npos) return true;
    }
    return false;
  }

  GatewayRig rig_;
  PlainSocket client_;
  Line* open_ = nullptr;
};

// The second request was whole at once; a part of a third comes later, while the first is still out. The
// second one's time is not put off by that.
TEST_P(PipeliningRule, BytesThatComeLaterDoNotPutOffARequestsTime) {
  const std::string third = asking("3", 50'000);
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + asking("1", 50'000) + asking("2", kShortMs)));
  ASSERT_TRUE(asked(1));
  const Micros whole = rig_.loop.now();
  ASSERT_TRUE(passes(whole + kAhead));
  ASSERT_TRUE(sendAndRead(third.substr(0, 20)));
  answer("the first");
  ASSERT_TRUE(asked(2));
  ASSERT_TRUE(rig_.until([&] { return answered() == 2; }));
  EXPECT_GE(rig_.loop.now(), whole + kShort);
  EXPECT_LE(rig_.loop.now(), whole + kShort + kNextTurn);
}

// The second request's time is over by the time that the first has its answer: it is answered at once and not
// sent on, whatever has come behind it since.
TEST_P(PipeliningRule, ARequestWhoseTimeEndsBehindAnotherIsAnsweredAtOnceAndNotSent) {
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "1")) +
                           asking("2", kShortMs)));
  ASSERT_TRUE(asked(1));
  const Micros whole = rig_.loop.now();
  ASSERT_TRUE(passes(whole + kShort - kAhead));
  ASSERT_TRUE(sendAndRead(asking("3", 50'000)));
  ASSERT_TRUE(passes(whole + kShort));
  const Micros due = rig_.loop.now();
  answer("the first");
  ASSERT_TRUE(rig_.until([&] { return answered() == 2; }));
  EXPECT_LE(rig_.loop.now(), due + kNextTurn);
  EXPECT_FALSE(everAsked("2"));
  // In Bolt a failure has what stands behind it ignored.
  if (GetParam() == Speaks::Postgres) {
    EXPECT_TRUE(rig_.until([&] { return everAsked("3"); }));
  }
}

// The second request's rest comes later than its first half, together with the beginning of a third. Its time
// begins with its own last byte (in Bolt that of its RUN) and ends neither before nor after.
TEST_P(PipeliningRule, ARequestInPiecesHasItsTimeFromItsLastByteOn) {
  const std::string second = asking("2", kShortMs);
  const std::string third = asking("3", 50'000);
  const std::size_t half = second.size() / 2;
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + asking("1", 50'000) + second.substr(0, half)));
  ASSERT_TRUE(asked(1));
  ASSERT_TRUE(passes(rig_.loop.now() + kAhead));
  ASSERT_TRUE(sendAndRead(second.substr(half) + third.substr(0, 20)));
  const Micros whole = rig_.loop.now();
  ASSERT_TRUE(passes(whole + kAhead));
  ASSERT_TRUE(sendAndRead(third.substr(20, 20)));
  answer("the first");
  ASSERT_TRUE(asked(2));
  ASSERT_TRUE(rig_.until([&] { return answered() == 2; }));
  EXPECT_GE(rig_.loop.now(), whole + kShort);
  EXPECT_LE(rig_.loop.now(), whole + kShort + kNextTurn);
}

// The third request has no room in the input (136 KiB and a little) until the first has its answer. It has
// stood in the socket all the while: its time is not counted from when it is read at last.
TEST_P(PipeliningRule, ARequestThatWaitsForRoomHasItsTimeFromWhenTheInputWasFull) {
  const auto large = [this](const std::string& id, long timeoutMs) {
    const std::string blob(80'000, '0');
    return askingOf(GetParam(), "INSERT INTO rows (handle, blob) VALUES ('key', '\\x" + blob +
                                    "') RETURNING blob /* id=" + id +
                                    ",c=save,d=" + std::to_string(timeoutMs) + ",cluster=0 */");
  };
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + large("1", 50'000) + large("2", 50'000)));
  ASSERT_TRUE(asked(1));
  ASSERT_TRUE(sendAndRead(asking("3", kShortMs)));
  const Micros whole = rig_.loop.now();
  ASSERT_TRUE(passes(whole + kAhead));
  answer("the first");
  ASSERT_TRUE(asked(2));
  answer("the second");
  ASSERT_TRUE(asked(3));
  ASSERT_TRUE(rig_.until([&] { return answered() == 3; }));
  EXPECT_LE(rig_.loop.now(), whole + kShort + kNextTurn);
}

// The process is told to end while two requests wait behind one that is out: all have their answers before
// the connection ends in order.
TEST_P(PipeliningRule, WhatWaitsBehindAnotherIsServedBeforeTheConnectionEnds) {
  ASSERT_TRUE(
      client_.send(openingOf(GetParam()) + asking("1", 50'000) + asking("2", 50'000) + asking("3", 50'000)));
  ASSERT_TRUE(asked(1));
  bool done = false;
  rig_.gateway->drain([&] { done = true; });
  const std::vector<std::string> values = {"the first", "the second", "the third"};
  for (std::size_t i = 0; i < values.size(); ++i) {
    ASSERT_TRUE(asked(i + 1));
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

// The same where the first one hangs and the longest deadline is 0.4 s: the kill comes 1.1 s after the
// signal, and by then all have an answer, those that waited a rejection without being sent on.
TEST_P(PipeliningRule, WhatWaitsBehindOneThatHangsIsAnsweredBeforeTheKill) {
  GatewayOptions brief = options();
  brief.aimMs = 200;
  brief.deadlineMs = 400;
  GatewayRig rig(brief, 1);
  rig.answerAll([](Line&, const std::string&) {});
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(
      client.send(openingOf(GetParam()) + asking("1", 60'000) + asking("2", 60'000) + asking("3", 60'000)));
  ASSERT_TRUE(rig.until([&] { return rig.statements().size() == 1; }));
  const Micros told = rig.loop.now();
  rig.gateway->drain([] {});
  EXPECT_TRUE(client.gone());
  EXPECT_FALSE(client.reset);
  EXPECT_LE(rig.loop.now(), told + 1'100 * kMillis);
  EXPECT_EQ(rig.statements().size(), 1U);
  // In Bolt a failure has what stands behind it ignored.
  EXPECT_EQ(rig.counters().requestsRejected + rig.counters().requestsFailed,
            GetParam() == Speaks::Bolt ? 1U : 3U);
}

// A new configuration moves discovery while a request waits behind another: it is sent on as before, and its
// time is not put off.
TEST_P(PipeliningRule, ANewConfigurationLeavesARequestItsTime) {
  ASSERT_TRUE(client_.send(openingOf(GetParam()) + asking("1", 50'000) + asking("2", kShortMs)));
  ASSERT_TRUE(asked(1));
  const Micros whole = rig_.loop.now();
  DiscoveryStandIn place(rig_.loop);
  place.endpoints = rig_.discovery.endpoints;
  program::Config fresh = rig_.config;
  fresh.discovery = place.socketAddress();
  rig_.gateway->reload(fresh);
  ASSERT_TRUE(rig_.until([&] { return place.waiting != nullptr; }));
  ASSERT_TRUE(passes(whole + kAhead));
  ASSERT_TRUE(sendAndRead(asking("3", 50'000).substr(0, 20)));
  answer("the first");
  ASSERT_TRUE(asked(2));
  ASSERT_TRUE(rig_.until([&] { return answered() == 2; }));
  EXPECT_GE(rig_.loop.now(), whole + kShort);
  EXPECT_LE(rig_.loop.now(), whole + kShort + kNextTurn);
}

INSTANTIATE_TEST_SUITE_P(Pipelining, PipeliningRule, kBoth, nameOf);

}  // namespace
}  // namespace heathflow::test
