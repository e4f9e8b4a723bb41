// The time that an attempt tells its endpoint ('d') is never more than what is left to its client: not after
// a slow dial, not for a further attempt, not for a request that stood behind others. Time passes by hand.
#include <gtest/gtest.h>

#include <cstdlib>

#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

using transport::Micros;

constexpr Micros kMilli = 1'000;
constexpr long kGivenMs = 20'000;  // by the client, to each request

// Moves on a clock that nothing else moves, since no timer is due before.
class Rig final : public GatewayRig {
 public:
  Rig(const GatewayOptions& options, std::size_t size) : GatewayRig(options, size) {
    for (auto& endpoint : endpoints) {
      endpoint->answer = [this, &at = *endpoint](Line& line, const std::string& statement) {
        told.push_back(toldBy(statement));
        toldAt.push_back(loop.now());
        held = &line;
        holder = &at;
      };
    }
  }
  // Milliseconds that an endpoint was told.
  static long toldBy(const std::string& statement) {
    const std::size_t at = statement.find(",d=");
    return at == std::string::npos ? -1 : std::atol(statement.c_str() + at + 3);
  }
  bool nextTold(std::size_t count) {
    return until([&] { return told.size() >= count; });
  }
  void pass(Micros span) {
    const Micros end = loop.now() + span;
    EXPECT_TRUE(until([&] { return loop.now() >= end; }));
  }
  // What a client that sent its request then still gives it at the time of an attempt.
  long left(std::size_t attempt, Micros sentAt) const {
    return kGivenMs - static_cast<long>((toldAt[attempt] - sentAt) / kMilli);
  }

  std::vector<long> told;
  std::vector<Micros> toldAt;
  Line* held = nullptr;
  EndpointStandIn* holder = nullptr;
};

class AttemptTime : public testing::TestWithParam<Speaks> {
 protected:
  static GatewayOptions options() {
    GatewayOptions out;
    out.speaks = GetParam();
    out.byHand = true;
    return out;
  }
  static std::string asking(const std::string& id, const std::string& className = "save") {
    return askingOf(GetParam(), request(className, id, "", kGivenMs));
  }
  static std::string opening() { return openingOf(GetParam()); }
};

TEST_P(AttemptTime, IsWhatIsLeftAfterASlowDial) {
  Rig rig(options(), 1);
  rig.endpoints[0]->welcomes = false;
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("one")));
  ASSERT_TRUE(rig.until([&] { return rig.counters().attemptsStarted == 1; }));
  const Micros sentAt = rig.loop.now();
  rig.pass(3'000 * kMilli);
  rig.endpoints[0]->welcomeNow();
  ASSERT_TRUE(rig.nextTold(1));
  EXPECT_GT(rig.told[0], 0);
  EXPECT_LE(rig.told[0], kGivenMs - 3'000);
  EXPECT_LE(rig.told[0], rig.left(0, sentAt));
}

// The first attempt fails after a while, the second has to dial for a while: both are taken off.
TEST_P(AttemptTime, IsWhatIsLeftForAFurtherAttemptBehindASlowDial) {
  Rig rig(options(), 3);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("one", "any")));
  ASSERT_TRUE(rig.nextTold(1));
  const Micros sentAt = rig.loop.now();
  for (auto& endpoint : rig.endpoints) endpoint->welcomes = endpoint.get() == rig.holder;
  rig.pass(2'000 * kMilli);
  rig.held->say(rig.holder->error("XX000"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().attemptsStarted == 2; }));
  rig.pass(1'500 * kMilli);
  for (auto& endpoint : rig.endpoints) endpoint->welcomeNow();
  ASSERT_TRUE(rig.nextTold(2));
  EXPECT_GT(rig.told[1], 0);
  EXPECT_LE(rig.told[1], kGivenMs - 3'500);
  EXPECT_LE(rig.told[1], rig.left(1, sentAt));
}

// Turned away, it waits and is sent again to the same endpoint over the same connection.
TEST_P(AttemptTime, IsWhatIsLeftAfterAWaitBetweenAttempts) {
  Rig rig(options(), 1);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("one")));
  ASSERT_TRUE(rig.nextTold(1));
  const Micros sentAt = rig.loop.now();
  rig.pass(1'000 * kMilli);
  rig.held->say(rig.holder->error("53300"));
  ASSERT_TRUE(rig.nextTold(2));
  EXPECT_GT(rig.told[1], 0);
  EXPECT_LE(rig.told[1], kGivenMs - 1'000);
  EXPECT_LE(rig.told[1], rig.left(1, sentAt));
}

// A request behind another has its whole time from its turn on at the most, and its further attempts what is
// left of that. What comes behind it meanwhile gives it nothing.
TEST_P(AttemptTime, IsWhatIsLeftForAPipelinedRequest) {
  Rig rig(options(), 1);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("one") + asking("two")));
  ASSERT_TRUE(rig.nextTold(1));
  rig.pass(2'000 * kMilli);
  rig.held->say(rig.holder->value("of the first"));
  ASSERT_TRUE(rig.nextTold(2));
  const Micros turn = rig.loop.now();
  EXPECT_GT(rig.told[1], 0);
  EXPECT_LE(rig.told[1], kGivenMs);
  rig.pass(2'000 * kMilli);
  ASSERT_TRUE(client.send(asking("three")));
  rig.pass(1'000 * kMilli);
  rig.held->say(rig.holder->error("53300"));
  ASSERT_TRUE(rig.nextTold(3));
  EXPECT_GT(rig.told[2], 0);
  EXPECT_LE(rig.told[2], kGivenMs - 3'000);
  EXPECT_LE(rig.told[2], rig.left(2, turn));
}

INSTANTIATE_TEST_SUITE_P(Telling, AttemptTime, testing::Values(Speaks::Postgres, Speaks::Bolt),
                         [](const testing::TestParamInfo<Speaks>& spoken) {
                           return spoken.param == Speaks::Postgres ? "Postgres" : "Bolt";
                         });

}  // namespace
}  // namespace heathflow::test
