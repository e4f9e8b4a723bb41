// What requests get while the memory for buffers is used up. The tests set the limit of the memory budget to
// what is in use, so that no buffer can grow beyond its first allocation.
#include <gtest/gtest.h>

#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "rule_test.h"

namespace heathflow::test {
namespace {

using transport::Micros;

constexpr Micros kMicrosPerMilli = 1'000;
// What a usual client may wait for its answers in these tests, and how much later than that an answer may
// come.
constexpr long kRequestTimeoutMs = 1'500;
constexpr Micros kAnswerSlack = 500 * kMicrosPerMilli;
// Bytes of a value that does not fit into the first allocation of a buffer.
constexpr std::size_t kLongValue = 20'000;
// Bytes of an incomplete message, and of the buffer that holds it.
constexpr std::size_t kIncompleteBytes = 100'000;
constexpr std::size_t kIncompleteBuffer = 131'072;

class MemoryShortage : public RuleTest {
 protected:
  static GatewayOptions options() {
    GatewayOptions out;
    out.manualClock = true;
    return out;
  }
  static void useUpMemory(GatewayRig& rig) { rig.loop.memory().setLimit(rig.loop.memory().used()); }
  static void releaseMemory(GatewayRig& rig) {
    rig.loop.memory().setLimit(std::numeric_limits<std::size_t>::max());
  }
  static void turn(GatewayRig& rig, int times = 10) {
    for (int i = 0; i < times; ++i) rig.loop.turn(0);
  }
  static std::string shortRequest(const std::string& id) { return askingOf(GetParam(), request("any", id)); }
  static std::string longRequest(const std::string& id, std::size_t size = kLongValue) {
    std::string statement = request("save", id, ",k=" + id, kRequestTimeoutMs);
    statement.insert(statement.find("9f03"), size, '9');
    return askingOf(GetParam(), statement);
  }
  static std::string rejection() {
    return GetParam() == Speaks::Bolt ? "Neo.TransientError.Request.NoThreadsAvailable" : "53300";
  }
  // Has the client served once, after which its buffers have their first allocation.
  static bool logOnAndAsk(PlainSocket& client) {
    return client.send(openingOf(GetParam()) + shortRequest("0")) && client.reads("from ");
  }
  // Connects clients that have sent a part of a long message each and nothing before it.
  std::vector<std::unique_ptr<PlainSocket>> connectIncomplete(GatewayRig& rig, std::size_t count) {
    std::vector<std::unique_ptr<PlainSocket>> out;
    const std::string part =
        openingOf(GetParam()) + longRequest("incomplete", kIncompleteBytes).substr(0, kIncompleteBytes);
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t before = rig.loop.memory().used();
      out.push_back(std::make_unique<PlainSocket>(rig.loop, rig.socketAddress));
      EXPECT_TRUE(out.back()->send(part));
      EXPECT_TRUE(rig.until([&] { return rig.loop.memory().used() == before + kIncompleteBuffer; }));
    }
    return out;
  }
};

// Guards against a request behind another one that is neither read nor rejected while memory is short.
TEST_P(MemoryShortage, ARequestBehindAnotherIsRejectedInItsTime) {
  GatewayRig rig(options(), 1);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(logOnAndAsk(client));
  Line* open = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { open = &line; });
  useUpMemory(rig);
  ASSERT_TRUE(client.send(shortRequest("1") + longRequest("2")));
  ASSERT_TRUE(rig.until([&] { return open != nullptr; }));
  open->say(rig.endpoints[0]->value("first"));
  ASSERT_TRUE(client.reads("first"));
  const Micros answeredAt = rig.loop.now();
  EXPECT_TRUE(client.reads(rejection()));
  EXPECT_LE(rig.loop.now(), answeredAt + kRequestTimeoutMs * kMicrosPerMilli + kAnswerSlack);
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 2U);
  EXPECT_EQ(rig.counters().memoryRejections, 1U);
}

// Guards against a request whose bytes are never read, because they were in the socket before there was
// memory.
TEST_P(MemoryShortage, ARequestBehindAnotherIsReadOnceThereIsMemory) {
  GatewayRig rig(options(), 1);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(logOnAndAsk(client));
  Line* open = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { open = &line; });
  useUpMemory(rig);
  ASSERT_TRUE(client.send(shortRequest("1") + longRequest("2")));
  ASSERT_TRUE(rig.until([&] { return open != nullptr; }));
  turn(rig);
  releaseMemory(rig);
  turn(rig);
  useUpMemory(rig);
  std::exchange(open, nullptr)->say(rig.endpoints[0]->value("first"));
  ASSERT_TRUE(client.reads("first"));
  releaseMemory(rig);
  ASSERT_TRUE(rig.until([&] { return open != nullptr; }));
  open->say(rig.endpoints[0]->value("second"));
  EXPECT_TRUE(client.reads("second"));
  EXPECT_EQ(rig.counters().memoryRejections, 0U);
}

// Guards against clients that stop in the middle of a request and keep the memory that served clients need.
TEST_P(MemoryShortage, IncompleteMessagesGiveWayToAServedClientsRequest) {
  GatewayRig rig(options(), 1);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(logOnAndAsk(client));
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value("second")); });
  auto incomplete = connectIncomplete(rig, 3);
  useUpMemory(rig);
  ASSERT_TRUE(client.send(longRequest("2")));
  EXPECT_TRUE(client.reads("second"));
  // The oldest one has made room, and was told so; the others keep their time.
  EXPECT_TRUE(incomplete[0]->reads(rejection()));
  EXPECT_EQ(rig.counters().memoryRejections, 1U);
  EXPECT_EQ(rig.counters().requestsServed, 2U);
}

// Guards against a client of which nothing is known and that takes the memory of others at once.
TEST_P(MemoryShortage, AnUnknownClientsMessageDoesNotClaimMemoryOfOthersAtOnce) {
  GatewayRig rig(options(), 1);
  auto incomplete = connectIncomplete(rig, 2);
  useUpMemory(rig);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(openingOf(GetParam()) + longRequest("1")));
  EXPECT_TRUE(client.reads(rejection()));
  EXPECT_EQ(rig.counters().memoryRejections, 1U);
  EXPECT_TRUE(rig.endpoints[0]->statements.empty());
}

// Guards against an endpoint's answer that is taken for too large, and an endpoint that is blamed, while it
// is the gateway that has no memory.
TEST_P(MemoryShortage, AnEndpointsAnswerIsReadOnceThereIsMemory) {
  GatewayRig rig(options(), 1);
  const std::string value(kLongValue, 'v');
  rig.answerAll([&](Line& line, const std::string&) {
    line.say(rig.endpoints[0]->value(value));
    useUpMemory(rig);
  });
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(openingOf(GetParam()) + shortRequest("1")));
  ASSERT_TRUE(rig.until([&] { return !rig.endpoints[0]->statements.empty(); }));
  turn(rig);
  releaseMemory(rig);
  EXPECT_TRUE(client.reads(value));
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 1U);
  EXPECT_EQ(rig.counters().endpointProtocolErrors, 0U);
}

// Guards against an answer that can't be read or forwarded while incomplete messages hold the memory.
TEST_P(MemoryShortage, IncompleteMessagesGiveWayToAnAnswer) {
  GatewayRig rig(options(), 1);
  const std::string value(kLongValue, 'v');
  rig.answerAll([&](Line& line, const std::string&) {
    line.say(rig.endpoints[0]->value(value));
    useUpMemory(rig);
  });
  auto incomplete = connectIncomplete(rig, 2);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(openingOf(GetParam()) + shortRequest("1")));
  EXPECT_TRUE(client.reads(value));
  EXPECT_TRUE(incomplete[0]->reads(rejection()));
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 1U);
}

// Guards against a shutdown that waits for a request that can't be read.
TEST_P(MemoryShortage, ARequestThatIsNotReadDoesNotDelayTheShutdown) {
  GatewayRig rig(options(), 1);
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(logOnAndAsk(client));
  Line* open = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { open = &line; });
  useUpMemory(rig);
  ASSERT_TRUE(client.send(shortRequest("1") + longRequest("2")));
  ASSERT_TRUE(rig.until([&] { return open != nullptr; }));
  bool done = false;
  rig.gateway->beginShutdown([&] { done = true; });
  open->say(rig.endpoints[0]->value("first"));
  EXPECT_TRUE(client.reads("first"));
  const Micros answeredAt = rig.loop.now();
  EXPECT_TRUE(client.reads(rejection()));
  EXPECT_LE(rig.loop.now(), answeredAt + kRequestTimeoutMs * kMicrosPerMilli + kAnswerSlack);
  client.hangUp();
  EXPECT_TRUE(rig.until([&] { return done; }));
}

HEATHFLOW_BOTH_PROTOCOLS(MemoryShortage);

}  // namespace
}  // namespace heathflow::test
