// The timeout that an attempt passes to its endpoint (the field 'd') is never longer than the time for which
// the client still waits: not after a slow connect, not for a retry and not for a pipelined request. The
// tests move the clock.
#include <gtest/gtest.h>

#include <cstdlib>

#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

using transport::Micros;

constexpr Micros kMicrosPerMilli = 1'000;
constexpr long kTimeoutMs = 20'000;  // of each request, given by the client

// Records the timeout of each attempt, and leaves its request unanswered.
class Rig final : public GatewayRig {
 public:
  Rig(const GatewayOptions& options, std::size_t size) : GatewayRig(options, size) {
    for (auto& endpoint : endpoints) {
      endpoint->answer = [this, &at = *endpoint](Line& line, const std::string& statement) {
        timeouts.push_back(timeoutOf(statement));
        receivedAt.push_back(loop.now());
        openLine = &line;
        openEndpoint = &at;
      };
    }
  }
  // Returns the timeout in a statement in milliseconds, or -1 if it has none.
  static long timeoutOf(const std::string& statement) {
    const std::size_t at = statement.find(",d=");
    return at == std::string::npos ? -1 : std::atol(statement.c_str() + at + 3);
  }
  bool waitForAttempts(std::size_t count) {
    return until([&] { return timeouts.size() >= count; });
  }
  void waitFor(Micros span) {
    const Micros end = loop.now() + span;
    EXPECT_TRUE(until([&] { return loop.now() >= end; }));
  }
  // Returns for how many more milliseconds a client that sent its request at 'sentAt' waited when the attempt
  // was received.
  long remainingMs(std::size_t attempt, Micros sentAt) const {
    return kTimeoutMs - static_cast<long>((receivedAt[attempt] - sentAt) / kMicrosPerMilli);
  }

  std::vector<long> timeouts;
  std::vector<Micros> receivedAt;
  Line* openLine = nullptr;
  EndpointStandIn* openEndpoint = nullptr;
};

class AttemptTimeout : public testing::TestWithParam<Speaks> {
 protected:
  static GatewayOptions options() {
    GatewayOptions out;
    out.speaks = GetParam();
    out.manualClock = true;
    return out;
  }
  static std::string requestBytes(const std::string& id, const std::string& className = "save") {
    return askingOf(GetParam(), request(className, id, "", kTimeoutMs));
  }
  static std::string startupBytes() { return openingOf(GetParam()); }
};

TEST_P(AttemptTimeout, IsTheRemainingTimeAfterASlowConnect) {
  Rig rig(options(), 1);
  rig.endpoints[0]->welcomes = false;
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(startupBytes() + requestBytes("one")));
  ASSERT_TRUE(rig.until([&] { return rig.counters().attemptsStarted == 1; }));
  const Micros sentAt = rig.loop.now();
  rig.waitFor(3'000 * kMicrosPerMilli);
  rig.endpoints[0]->welcomeNow();
  ASSERT_TRUE(rig.waitForAttempts(1));
  EXPECT_GT(rig.timeouts[0], 0);
  EXPECT_LE(rig.timeouts[0], kTimeoutMs - 3'000);
  EXPECT_LE(rig.timeouts[0], rig.remainingMs(0, sentAt));
}

// The first attempt fails after two seconds, and the retry needs 1.5 s to connect.
TEST_P(AttemptTimeout, IsTheRemainingTimeForARetryWithASlowConnect) {
  Rig rig(options(), 3);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(startupBytes() + requestBytes("one", "any")));
  ASSERT_TRUE(rig.waitForAttempts(1));
  const Micros sentAt = rig.loop.now();
  for (auto& endpoint : rig.endpoints) endpoint->welcomes = endpoint.get() == rig.openEndpoint;
  rig.waitFor(2'000 * kMicrosPerMilli);
  rig.openLine->say(rig.openEndpoint->error("XX000"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().attemptsStarted == 2; }));
  rig.waitFor(1'500 * kMicrosPerMilli);
  for (auto& endpoint : rig.endpoints) endpoint->welcomeNow();
  ASSERT_TRUE(rig.waitForAttempts(2));
  EXPECT_GT(rig.timeouts[1], 0);
  EXPECT_LE(rig.timeouts[1], kTimeoutMs - 3'500);
  EXPECT_LE(rig.timeouts[1], rig.remainingMs(1, sentAt));
}

// A rejected request is retried at the same endpoint over the same connection.
TEST_P(AttemptTimeout, IsTheRemainingTimeAfterABackoff) {
  Rig rig(options(), 1);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(startupBytes() + requestBytes("one")));
  ASSERT_TRUE(rig.waitForAttempts(1));
  const Micros sentAt = rig.loop.now();
  rig.waitFor(1'000 * kMicrosPerMilli);
  rig.openLine->say(rig.openEndpoint->error("53300"));
  ASSERT_TRUE(rig.waitForAttempts(2));
  EXPECT_GT(rig.timeouts[1], 0);
  EXPECT_LE(rig.timeouts[1], kTimeoutMs - 1'000);
  EXPECT_LE(rig.timeouts[1], rig.remainingMs(1, sentAt));
}

// A pipelined request has at most its full timeout when its turn comes, and its retries have the rest of
// that. Requests behind it don't extend it.
TEST_P(AttemptTimeout, IsTheRemainingTimeForAPipelinedRequest) {
  Rig rig(options(), 1);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(startupBytes() + requestBytes("one") + requestBytes("two")));
  ASSERT_TRUE(rig.waitForAttempts(1));
  rig.waitFor(2'000 * kMicrosPerMilli);
  rig.openLine->say(rig.openEndpoint->value("of the first"));
  ASSERT_TRUE(rig.waitForAttempts(2));
  const Micros turn = rig.loop.now();
  EXPECT_GT(rig.timeouts[1], 0);
  EXPECT_LE(rig.timeouts[1], kTimeoutMs);
  rig.waitFor(2'000 * kMicrosPerMilli);
  ASSERT_TRUE(client.send(requestBytes("three")));
  rig.waitFor(1'000 * kMicrosPerMilli);
  rig.openLine->say(rig.openEndpoint->error("53300"));
  ASSERT_TRUE(rig.waitForAttempts(3));
  EXPECT_GT(rig.timeouts[2], 0);
  EXPECT_LE(rig.timeouts[2], kTimeoutMs - 3'000);
  EXPECT_LE(rig.timeouts[2], rig.remainingMs(2, turn));
}

INSTANTIATE_TEST_SUITE_P(Protocols, AttemptTimeout, testing::Values(Speaks::Postgres, Speaks::Bolt),
                         [](const testing::TestParamInfo<Speaks>& spoken) {
                           return spoken.param == Speaks::Postgres ? "Postgres" : "Bolt";
                         });

}  // namespace
}  // namespace heathflow::test
