// A client that has closed its connection, or taken its request back, has left: none of its requests is begun
// any more, neither a first attempt nor a further one. Each test brings the gateway into one state, lets the
// client leave there, and looks at what endpoints receive.
#include <gtest/gtest.h>

#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

using transport::Micros;

constexpr Micros kSecond = 1'000'000;
// Longer than any wait of the gateway between two attempts.
constexpr Micros kLongEnough = 10 * kSecond;

enum class Leave { Close, Reset };

void leaveBy(Leave how, PlainSocket& client) {
  if (how == Leave::Close) {
    client.hangUp();
  } else {
    client.resetNow();
  }
}

class Rig final : public GatewayRig {
 public:
  using GatewayRig::GatewayRig;
  // How many statements with such an id endpoints have had.
  std::size_t sent(const std::string& id) const {
    std::size_t count = 0;
    for (const std::string& statement : statements()) {
      if (statement.find("id=" + id + ",") != std::string::npos) ++count;
    }
    return count;
  }
  void pass(Micros span) {
    const Micros end = loop.now() + span;
    EXPECT_TRUE(until([&] { return loop.now() >= end; }));
  }
  // Leaves an idle connection to the primary, so that whatever is begun reaches it in the same turn.
  void warmUp() {
    ClientStandIn client(loop, socketAddress);
    client.ask(request("save", "warm-up"));
    ASSERT_TRUE(client.answered());
    client.hangUp();
    ASSERT_TRUE(until([&] { return counters().descriptors == counters().connectionsOpened; }));
  }
};

class DepartedClient : public testing::TestWithParam<Speaks> {
 protected:
  static GatewayOptions options() {
    GatewayOptions out;
    out.speaks = GetParam();
    out.byHand = true;
    return out;
  }
  static std::string asking(const std::string& id) { return askingOf(GetParam(), request("save", id)); }
  static std::string opening() { return openingOf(GetParam()); }
};

// Its request and its end are read in one turn, on a connection that stood and on a new one: the end counts.
TEST_P(DepartedClient, WhoseRequestAndEndAreReadTogetherIsSentNowhere) {
  for (const Leave how : {Leave::Close, Leave::Reset}) {
    for (const bool stood : {false, true}) {
      Rig rig(options(), 1);
      rig.warmUp();
      PlainSocket client(rig.loop, rig.socketAddress);
      if (stood) {
        ASSERT_TRUE(client.send(opening()));
        ASSERT_TRUE(rig.until([&] { return !client.read().empty(); }));
      }
      ASSERT_TRUE(client.send((stood ? "" : opening()) + asking("one") + asking("two")));
      leaveBy(how, client);
      ASSERT_TRUE(
          rig.until([&] { return rig.counters().clientsAccepted == 2 && rig.counters().descriptors <= 1; }));
      rig.pass(kLongEnough);
      EXPECT_EQ(rig.statements().size(), 1U) << "the one that warmed up";
      EXPECT_EQ(rig.counters().attemptsStarted, 1U);
    }
  }
}

// Turned away by the primary, the request waits for its next attempt. The same with a client that stays shows
// that there would have been one.
TEST_P(DepartedClient, WhoseRequestWaitsForItsNextAttemptIsNotSentAgain) {
  for (const bool leaves : {false, true}) {
    Rig rig(options(), 1);
    rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->error("53300")); });
    PlainSocket client(rig.loop, rig.socketAddress);
    ASSERT_TRUE(client.send(opening() + asking("one")));
    ASSERT_TRUE(rig.until([&] { return rig.outcomes(AttemptOutcome::Overloaded) == 1; }));
    const std::size_t before = rig.sent("one");
    if (leaves) client.hangUp();
    rig.pass(kLongEnough);
    if (leaves) {
      EXPECT_EQ(rig.sent("one"), before);
      EXPECT_EQ(rig.counters().requestsCancelled, 1U);
    } else {
      EXPECT_GT(rig.sent("one"), before);
    }
  }
}

// Its second attempt waits for its connection when the client leaves.
TEST_P(DepartedClient, WhoseFurtherAttemptWaitsForItsConnectionIsNotSentOn) {
  Rig rig(options(), 3);
  for (auto& endpoint : rig.endpoints) {
    endpoint->answer = [&rig, &first = *endpoint](Line& line, const std::string&) {
      for (auto& other : rig.endpoints) other->welcomes = other.get() == &first;
      line.say(first.error("XX000"));
    };
  }
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + askingOf(GetParam(), request("any", "one"))));
  ASSERT_TRUE(rig.until([&] { return rig.counters().attemptsStarted == 2; }));
  ASSERT_EQ(rig.counters().attemptsWritten, 1U);
  client.hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  for (auto& endpoint : rig.endpoints) endpoint->welcomeNow();
  rig.pass(kLongEnough);
  EXPECT_EQ(rig.sent("one"), 1U);
}

// Nobody leads the group, so that the request is held; then somebody does.
TEST_P(DepartedClient, WhoseRequestIsHeldIsNotSentWhenItCouldBe) {
  Rig rig(options(), 1);
  rig.endpoints[0]->shut();
  PlainSocket client(rig.loop, rig.socketAddress);
  ClientStandIn stays(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("one")));
  stays.ask(request("save", "two"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsAccepted == 2; }));
  client.hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  rig.endpoints[0]->reopen();
  ASSERT_TRUE(stays.answered());
  rig.pass(kLongEnough);
  EXPECT_EQ(rig.sent("one"), 0U);
  EXPECT_EQ(rig.sent("two"), 1U);
}

// It sends more than the gateway takes in at once and goes while the first is out: seen though much is
// unread.
TEST_P(DepartedClient, WhoLeavesMuchUnreadIsSeenToLeaveAndNothingMoreIsBegun) {
  Rig rig(options(), 1);
  Line* held = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { held = &line; });
  PlainSocket client(rig.loop, rig.socketAddress);
  ASSERT_TRUE(client.send(opening() + asking("first")));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  std::string more;
  while (more.size() < 400'000) more += asking("more");
  ASSERT_TRUE(client.send(more));
  client.hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  rig.pass(kLongEnough);
  EXPECT_EQ(rig.counters().requestsAccepted, 1U);
  EXPECT_EQ(rig.sent("more"), 0U);
}

INSTANTIATE_TEST_SUITE_P(Leaving, DepartedClient, testing::Values(Speaks::Postgres, Speaks::Bolt),
                         [](const testing::TestParamInfo<Speaks>& spoken) {
                           return spoken.param == Speaks::Postgres ? "Postgres" : "Bolt";
                         });

// Bolt: a client takes its request back and stays. What it has taken back is not begun, what it asks next is.
class TakenBack : public testing::Test {
 protected:
  static GatewayOptions options() {
    GatewayOptions out;
    out.speaks = Speaks::Bolt;
    out.byHand = true;
    return out;
  }
  static std::string asking(const std::string& id) { return askingOf(Speaks::Bolt, request("save", id)); }
};

TEST_F(TakenBack, ARequestThatWaitsForItsConnectionIsNotSentOn) {
  Rig rig(options(), 1);
  rig.endpoints[0]->welcomes = false;
  BoltClientStandIn client(rig.loop, rig.socketAddress);
  client.say(asking("one"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().attemptsStarted == 1; }));
  client.say(bolt::plain(bolt::kReset));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  rig.endpoints[0]->welcomeNow();
  client.say(asking("two"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsServed == 1; }));
  rig.pass(kLongEnough);
  EXPECT_EQ(rig.sent("one"), 0U);
  EXPECT_EQ(rig.sent("two"), 1U);
}

TEST_F(TakenBack, ARequestThatWaitsForItsNextAttemptIsNotSentAgain) {
  Rig rig(options(), 1);
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->error("53300")); });
  BoltClientStandIn client(rig.loop, rig.socketAddress);
  client.say(asking("one"));
  ASSERT_TRUE(rig.until([&] { return rig.outcomes(AttemptOutcome::Overloaded) == 1; }));
  const std::size_t before = rig.sent("one");
  client.say(bolt::plain(bolt::kReset));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  rig.pass(kLongEnough);
  EXPECT_EQ(rig.sent("one"), before);
}

}  // namespace
}  // namespace heathflow::test
