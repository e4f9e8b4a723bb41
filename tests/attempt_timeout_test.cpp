// The timeout that an attempt gives its endpoint ('d') is never longer than the client still waits: not after
// a slow connect, not for a retry, not for a pipelined request. The clock is moved by hand.
#include <gtest/gtest.h>

#include <cstdlib>

#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

using transport::Micros;

constexpr Micros kMilli = 1'000;
constexpr long kTimeoutMs = 20'000;  // of each request, given by the client

// Keeps the timeout of each attempt, and leaves its request open.
class Rig final : public GatewayRig {
 public:
  Rig(const GatewayOptions& options, std::size_t size) : GatewayRig(options, size) {
    for (auto& endpoint : endpoints) {
      endpoint->answer = [this, &at = *endpoint](Line& line, const std::string& statement) {
        timeouts.push_back(timeoutOf(statement));
        receivedAt.push_back(loop.now());
        open = &line;
        openAt = &at;
      };
    }
  }
  // The timeout in a statement, in milliseconds.
  static long timeoutOf(const std::string& statement) {
    const std::size_t at = statement.find(",d=");
    return at == std::string::npos ? -1 : std::atol(statement.c_str() + at + 3);
  }
  bool receives(std::size_t count) {
    return until([&] { return timeouts.size() >= count; });
  }
  void pass(Micros span) {
    const Micros end = loop.now() + span;
    EXPECT_TRUE(until([&] { return loop.now() >= end; }));
  }
  // How long a client that sent its request at that time still waited when the attempt was received.
  long left(std::size_t attempt, Micros sentAt) const {
    return kTimeoutMs - static_cast<long>((receivedAt[attempt] - sentAt) / kMilli);
  }

  std::vector<long> timeouts;
  std::vector<Micros> receivedAt;
  Line* open = nullptr;
  EndpointStandIn* openAt = nullptr;
};

class AttemptTimeout : public testing::TestWithParam<Speaks> {
 protected:
  static GatewayOptions options() {
    GatewayOptions out;
    out.speaks = GetParam();
    out.byHand = true;
    return out;
  }
  static std::string asking(const std::string& id, const std::string& className = "save") {
    return askingOf(GetParam(), request(className, id, "", kTimeoutMs));
  }
  static std::string opening() { return openingOf(GetParam()); }
};

TEST_P(AttemptTimeout, IsTheRestAfterASlowConnect) {
  Rig rig(options(), 1);
  rig.endpoints[0]->welcomes = false;
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("one")));
  ASSERT_TRUE(rig.until([&] { return rig.counters().attemptsStarted == 1; }));
  const Micros sentAt = rig.loop.now();
  rig.pass(3'000 * kMilli);
  rig.endpoints[0]->welcomeNow();
  ASSERT_TRUE(rig.receives(1));
  EXPECT_GT(rig.timeouts[0], 0);
  EXPECT_LE(rig.timeouts[0], kTimeoutMs - 3'000);
  EXPECT_LE(rig.timeouts[0], rig.left(0, sentAt));
}

// The first attempt fails after a while, and the retry needs a while to connect.
TEST_P(AttemptTimeout, IsTheRestForARetryWithASlowConnect) {
  Rig rig(options(), 3);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("one", "any")));
  ASSERT_TRUE(rig.receives(1));
  const Micros sentAt = rig.loop.now();
  for (auto& endpoint : rig.endpoints) endpoint->welcomes = endpoint.get() == rig.openAt;
  rig.pass(2'000 * kMilli);
  rig.open->say(rig.openAt->error("XX000"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().attemptsStarted == 2; }));
  rig.pass(1'500 * kMilli);
  for (auto& endpoint : rig.endpoints) endpoint->welcomeNow();
  ASSERT_TRUE(rig.receives(2));
  EXPECT_GT(rig.timeouts[1], 0);
  EXPECT_LE(rig.timeouts[1], kTimeoutMs - 3'500);
  EXPECT_LE(rig.timeouts[1], rig.left(1, sentAt));
}

// Rejected, the request is retried at the same endpoint over the same connection.
TEST_P(AttemptTimeout, IsTheRestAfterABackoff) {
  Rig rig(options(), 1);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("one")));
  ASSERT_TRUE(rig.receives(1));
  const Micros sentAt = rig.loop.now();
  rig.pass(1'000 * kMilli);
  rig.open->say(rig.openAt->error("53300"));
  ASSERT_TRUE(rig.receives(2));
  EXPECT_GT(rig.timeouts[1], 0);
  EXPECT_LE(rig.timeouts[1], kTimeoutMs - 1'000);
  EXPECT_LE(rig.timeouts[1], rig.left(1, sentAt));
}

// A pipelined request has at most its full timeout when its turn comes, and its retries the rest of that.
// Requests behind it don't extend it.
TEST_P(AttemptTimeout, IsTheRestForAPipelinedRequest) {
  Rig rig(options(), 1);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("one") + asking("two")));
  ASSERT_TRUE(rig.receives(1));
  rig.pass(2'000 * kMilli);
  rig.open->say(rig.openAt->value("of the first"));
  ASSERT_TRUE(rig.receives(2));
  const Micros turn = rig.loop.now();
  EXPECT_GT(rig.timeouts[1], 0);
  EXPECT_LE(rig.timeouts[1], kTimeoutMs);
  rig.pass(2'000 * kMilli);
  ASSERT_TRUE(client.send(asking("three")));
  rig.pass(1'000 * kMilli);
  rig.open->say(rig.openAt->error("53300"));
  ASSERT_TRUE(rig.receives(3));
  EXPECT_GT(rig.timeouts[2], 0);
  EXPECT_LE(rig.timeouts[2], kTimeoutMs - 3'000);
  EXPECT_LE(rig.timeouts[2], rig.left(2, turn));
}

INSTANTIATE_TEST_SUITE_P(Protocols, AttemptTimeout, testing::Values(Speaks::Postgres, Speaks::Bolt),
                         [](const testing::TestParamInfo<Speaks>& spoken) {
                           return spoken.param == Speaks::Postgres ? "Postgres" : "Bolt";
                         });

}  // namespace
}  // namespace heathflow::test
