// Tests of scale runs in their small form: protocol-only gateways compared with real ones, their numbers of
// calls and bytes, and the figures of a run.
#include "emulator/scale.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>

#include "standins/loopback.h"

namespace heathflow::emulator {
namespace {

const std::string kProgram = HEATHFLOW_PROGRAM;
const std::string kSource = HEATHFLOW_SOURCE;
// Long enough that no watch ends by its timeout within a test: a watch lasts a quarter of this.
constexpr Micros kMaxPollInterval = 60'000'000;

FleetPlan planOf(unsigned protocolOnly, unsigned real) {
  FleetPlan out;
  out.protocolOnly = protocolOnly;
  out.real = real;
  out.maxPollInterval = kMaxPollInterval;
  out.program = kProgram;
  return out;
}

bool allUpToDate(transport::EventLoop& loop, GatewayFleet& fleet) {
  return test::until(loop, [&] { return fleet.upToDate() == fleet.size(); });
}

// ---- Linear fits ----

TEST(LinearFit, FindsTheLineThatPointsLieOn) {
  const LinearFit slope = fit({{10, 25}, {100, 205}, {1000, 2005}});
  EXPECT_NEAR(slope.base, 5, 1e-6);
  EXPECT_NEAR(slope.each, 2, 1e-6);
  EXPECT_NEAR(slope.residual, 0, 1e-6);
}

TEST(LinearFit, ShowsABendInItsResidual) {
  // The values grow with the square of the size, so no line is close to all points.
  EXPECT_GT(fit({{10, 100}, {100, 10'000}, {1000, 1'000'000}}).residual, 0.5);
}

TEST(LinearFit, OfOneSizeOrOfNoPositiveValueHasOnlyABase) {
  const LinearFit one = fit({{10, 7}, {10, 7}});
  EXPECT_NEAR(one.base, 7, 1e-9);
  EXPECT_EQ(one.each, 0);
  EXPECT_EQ(fit({{10, 0}}).base, 0);
}

// ---- Plans ----

std::optional<ScalePlan> planWith(const std::string& parts, std::vector<xml::Problem>& problems) {
  return parseScalePlan(
      "plan.xml", "<scale xmlns=\"urn:heathflow:scale:1\" name=\"made\">" + parts + "</scale>", problems);
}

std::vector<xml::Problem> problemsOf(const std::string& parts) {
  std::vector<xml::Problem> problems;
  planWith(parts, problems);
  return problems;
}

TEST(ScalePlan, OfThisRepositoryCanBeUsedAndReachesTheWantedSizes) {
  std::vector<xml::Problem> problems;
  const auto plan = loadScalePlan(kSource + "/scenarios/scale/scale.xml", problems);
  ASSERT_TRUE(plan) << toText(problems.at(0));
  EXPECT_EQ(plan->gateways->sizes, (Sizes{10, 100, 1000, 3300}));
  EXPECT_EQ(plan->endpoints->sizes, (Sizes{100, 1000, 10'000, 33'000}));
  EXPECT_GE(plan->changes->sizes.size(), 4U);
  EXPECT_GE(plan->clients->sizes.size(), 4U);
  EXPECT_EQ(plan->faults->burst, 100U);
  EXPECT_TRUE(loadScalePlan(kSource + "/scenarios/scale/scale-small.xml", problems));
}

TEST(ScalePlan, ThatCanNotBeRunIsRejectedWithAllItsProblems) {
  EXPECT_TRUE(problemsOf("<members sizes=\"10 20\"/>").empty());
  const auto problems = problemsOf("<drivers sizes=\"10 3301\"/><members sizes=\"20 10\" real=\"0\"/>");
  ASSERT_EQ(problems.size(), 3U);
  EXPECT_NE(problems[0].text.find("3301"), std::string::npos);
  EXPECT_NE(problems[1].text.find("do not rise"), std::string::npos);
  EXPECT_NE(problems[2].text.find("at least one"), std::string::npos);
  EXPECT_FALSE(problemsOf("<drivers sizes=\"ten\"/>").empty());
}

TEST(ScalePlan, CountsItsDescriptorsBeforeAnythingStarts) {
  std::vector<xml::Problem> problems;
  const auto few = planWith("<drivers sizes=\"10 1000\"/>", problems);
  const auto many = planWith("<drivers sizes=\"10 2000\"/>", problems);
  ASSERT_TRUE(few && many);
  EXPECT_EQ(descriptorsFor(*many) - descriptorsFor(*few),
            3000U);  // per gateway: listener, watch, and the other end of the watch
}

std::string outputOf(const std::string& command) {
  std::string out;
  FILE* pipe = ::popen((command + " 2>&1; echo status $?").c_str(), "r");
  if (pipe == nullptr) return out;
  std::array<char, 256> bytes;
  while (std::fgets(bytes.data(), bytes.size(), pipe) != nullptr) out += bytes.data();
  ::pclose(pipe);
  return out;
}

TEST(ScalePlan, WithTooFewDescriptorsIsRejectedWithTheirNumber) {
  const std::string out = outputOf("ulimit -n 300; " HEATHFLOW_EMULATOR " scale " + kSource +
                                   "/scenarios/scale/scale-small.xml --program " + kProgram);
  EXPECT_NE(out.find("descriptors are needed and "), std::string::npos) << out;
  EXPECT_NE(out.find("status 2"), std::string::npos) << out;
}

// ---- Protocol-only gateways behave like real ones ----

// Returns the request lines of all calls. How often a watch ends without a change and is repeated depends on
// the speed of the machine, so equal calls in a row count once.
std::vector<std::string> callsOf(ListFeed& feed) {
  std::vector<std::string> out = feed.calls;
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

// Returns the calls of one gateway through a fixed schedule: start, changes, an outage of the service during
// which the list changes, and a restart of the gateway.
std::vector<std::string> callsUnderTheSchedule(const FleetPlan& plan, std::uint64_t& bytesOut) {
  transport::EventLoop loop;
  GatewayFleet fleet(loop, plan, listOf(40));
  ListFeed& feed = fleet.feed();
  feed.keepsCalls = true;
  fleet.start();
  EXPECT_TRUE(allUpToDate(loop, fleet));
  for (std::size_t endpoint = 0; endpoint < 3; ++endpoint) {
    feed.change(endpoint);
    EXPECT_TRUE(allUpToDate(loop, fleet));
  }
  feed.goDown();
  feed.change(7);
  feed.comeUp();
  EXPECT_TRUE(allUpToDate(loop, fleet));
  EXPECT_EQ(fleet.killHalf(), 1U);
  EXPECT_TRUE(test::until(loop, [&] { return feed.watching(0) == 0; }));
  fleet.startKilled();
  EXPECT_TRUE(allUpToDate(loop, fleet));
  bytesOut = feed.traffic().bytesOut;
  return callsOf(feed);
}

TEST(ListFeed, ReturnsTheMeanWaitOfItsWaitingWatches) {
  transport::EventLoop loop;
  GatewayFleet fleet(loop, planOf(2, 0), listOf(20));
  EXPECT_EQ(fleet.feed().meanWait(), 0);
  fleet.start();
  EXPECT_TRUE(allUpToDate(loop, fleet));
  EXPECT_EQ(fleet.feed().meanWait(), kMaxPollInterval / 4);
  fleet.feed().goDown();
  EXPECT_EQ(fleet.feed().meanWait(), 0);
}

TEST(ProtocolOnlyGateway, CallsTheListServiceAsARealOneDoesUnderTheSameSchedule) {
  std::uint64_t protocolOnlyBytes = 0, realBytes = 0;
  const auto protocolOnly = callsUnderTheSchedule(planOf(1, 0), protocolOnlyBytes);
  const auto real = callsUnderTheSchedule(planOf(0, 1), realBytes);
  EXPECT_EQ(protocolOnly, real);
  EXPECT_EQ(protocolOnlyBytes, realBytes);
  // A watch that breaks on a connection that has carried calls before is repeated unchanged.
  const auto call = [](int since, int wait) {
    return "GET /v1/endpoints?since=" + std::to_string(since) + "&timeout_ms=" + std::to_string(wait) +
           " HTTP/1.1";
  };
  const std::vector<std::string> expected = {call(0, 1),       call(100, 15000), call(101, 15000),
                                             call(102, 15000), call(103, 15000), call(104, 15000),
                                             call(0, 1),       call(104, 15000)};
  EXPECT_EQ(real, expected);
}

// ---- Gateways that are cut off ----

TEST(GatewayFleet, GetsChangesAtOnceAfterACutHoweverLongItsConnectionWasOpen) {
  transport::EventLoop loop(transport::Clock::manual(transport::Clock().now()));
  FleetPlan plan = planOf(1, 0);
  plan.hasCutLink = true;
  GatewayFleet fleet(loop, plan, listOf(20));
  const Micros start = loop.now();
  fleet.start();
  ASSERT_TRUE(allUpToDate(loop, fleet));
  ASSERT_TRUE(test::until(loop, [&] { return loop.now() > start + 20'000'000 && fleet.upToDate() == 1; }));
  fleet.cut();
  fleet.feed().change(0);
  EXPECT_EQ(fleet.upToDate(), 0U);
  const Micros cutUntil = loop.now() + 1'000'000;
  ASSERT_TRUE(test::until(loop, [&] { return loop.now() > cutUntil; }));
  EXPECT_EQ(fleet.upToDate(), 0U);
  const Micros restoredAt = loop.now();
  fleet.restore();
  ASSERT_TRUE(allUpToDate(loop, fleet));
  EXPECT_LE(loop.now() - restoredAt, 100'000);  // by the loop's manual clock, which only timers advance
}

// A datagram that is in flight when the conditions change still arrives at its original time.
TEST(DatagramLink, KeepsTheArrivalTimesOfDatagramsInFlightWhenItIsChanged) {
  transport::EventLoop loop(transport::Clock::manual(transport::Clock().now()));
  const auto socketOf = [] {
    transport::UniqueFd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(test::kLoopback);
    EXPECT_EQ(::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    return fd;
  };
  const transport::UniqueFd from = socketOf(), to = socketOf();
  Fault slow;
  slow.delay = 2'000'000;
  DatagramLink link(loop, {test::kLoopback, 0}, *transport::localAddress(to.get()),
                    LinkConditions({slow}, 1));
  const Micros start = loop.now();
  transport::Timer tenSeconds(loop, [] {});
  tenSeconds.arm(start + 10'000'000);
  ASSERT_TRUE(test::until(loop, [&] { return !tenSeconds.armed(); }));
  sockaddr_in linkAddress{};
  linkAddress.sin_family = AF_INET;
  linkAddress.sin_port = htons(link.socketAddress().port);
  linkAddress.sin_addr.s_addr = htonl(test::kLoopback);
  ASSERT_EQ(
      ::sendto(from.get(), "x", 1, 0, reinterpret_cast<const sockaddr*>(&linkAddress), sizeof linkAddress),
      1);
  // Now the link has taken the datagram, but its arrival is still far off.
  const Micros sent = loop.now();
  transport::Timer soon(loop, [] {});
  soon.arm(sent + 100'000);
  ASSERT_TRUE(test::until(loop, [&] { return !soon.armed(); }));
  link.change(LinkConditions({}, 1));
  ASSERT_TRUE(test::until(loop, [&] { return link.delivered() == 1; }));
  EXPECT_GE(loop.now() - sent, 2'000'000);
  EXPECT_LE(loop.now() - sent, 2'200'000);  // by the loop's manual clock
}

// ---- Counts of calls and bytes ----

struct Counts {
  ListFeed::Traffic start;
  ListFeed::Traffic change;  // in addition, for one change
};

Counts measureCounts(unsigned gateways, unsigned endpoints) {
  transport::EventLoop loop;
  GatewayFleet fleet(loop, planOf(gateways, 0), listOf(endpoints));
  Counts out;
  fleet.start();
  EXPECT_TRUE(allUpToDate(loop, fleet));
  out.start = fleet.feed().traffic();
  fleet.feed().change(0);
  EXPECT_TRUE(allUpToDate(loop, fleet));
  const ListFeed::Traffic& after = fleet.feed().traffic();
  out.change = {after.calls - out.start.calls, after.bytesIn - out.start.bytesIn,
                after.bytesOut - out.start.bytesOut, after.completeLists - out.start.completeLists,
                after.deltas - out.start.deltas};
  return out;
}

TEST(ScaleBounds, AStartCostsEachGatewayOneCompleteListAndTwoCalls) {
  const Counts counts = measureCounts(6, 50);
  EXPECT_EQ(counts.start.completeLists, 6U);
  EXPECT_GE(counts.start.calls, 12U);
  EXPECT_LE(counts.start.calls, 18U);               // a watch of each gateway may have ended meanwhile
  EXPECT_LE(counts.start.bytesOut, 6U * 50 * 200);  // up to 200 bytes per entry
  EXPECT_LE(counts.start.bytesIn, counts.start.calls * 160);  // up to 160 bytes per call
}

TEST(ScaleBounds, AChangeCostsEachGatewayOneCallAndTheSameBytesWhateverTheListsSize) {
  const Counts small = measureCounts(4, 20);
  const Counts large = measureCounts(4, 400);
  for (const Counts& counts : {small, large}) {
    EXPECT_EQ(counts.change.deltas, 4U);
    EXPECT_EQ(counts.change.completeLists, 0U);
    EXPECT_GE(counts.change.calls, 4U);
    EXPECT_LE(counts.change.calls, 8U);
    EXPECT_LE(counts.change.bytesOut, 4U * 400);
  }
  EXPECT_EQ(small.change.bytesOut, large.change.bytesOut);
}

// ---- Whole runs ----

TEST(ScaleRun, InItsSmallFormCompletesEveryStepAndRecordsItsFigures) {
  std::vector<xml::Problem> problems;
  const auto plan = loadScalePlan(kSource + "/scenarios/scale/scale-small.xml", problems);
  ASSERT_TRUE(plan);
  transport::EventLoop loop;
  ScaleRun run(loop, *plan, kProgram, {[] { return true; }, {}});
  const ScaleOutcome outcome = run.play();
  EXPECT_TRUE(outcome.problems.empty()) << outcome.problems.front();
  EXPECT_FALSE(outcome.ended);
  std::map<std::string, double> figures;
  for (const auto& [key, value] : outcome.results.figures()) figures[key] = value;
  EXPECT_EQ(figures.at("drivers.8.start_whole_lists"), 8);
  EXPECT_EQ(figures.at("drivers.8.change_deltas"), 8);
  EXPECT_GE(figures.at("drivers.8.watch_s"), 5);  // between a quarter of the plan's 20 s and all of them
  EXPECT_LE(figures.at("drivers.8.watch_s"), 20);
  EXPECT_NEAR(figures.at("drivers.change_deltas.each"), 1, 1e-9);
  EXPECT_GT(figures.at("members.200.whole_bytes"), 9 * figures.at("members.20.whole_bytes"));
  EXPECT_GT(figures.at("members.200.resident_kb"), 0);
  EXPECT_GT(figures.at("changes.10.bytes_per_s"), figures.at("changes.1.bytes_per_s"));
  EXPECT_EQ(figures.at("clients.8.held"), 8);
  EXPECT_EQ(figures.at("statements.count"), 50);
  EXPECT_EQ(figures.at("statements.failed"), 0);
  EXPECT_GE(figures.at("gossip.20.messages_per_s"),
            2);  // a health check and an answer in each period of one second
  EXPECT_GT(figures.at("gossip.20.death_known_s"), 0);
  EXPECT_LT(figures.at("subsets.40.rendezvous_moved_share"), figures.at("subsets.40.dealt_moved_share"));
  EXPECT_LE(figures.at("subsets.40.dealt_most_over_mean"),
            figures.at("subsets.40.rendezvous_most_over_mean"));
  EXPECT_EQ(figures.at("restart_half.whole_lists"), 4);
  EXPECT_EQ(figures.at("cut_seventh.drivers"), 1);
  EXPECT_GE(figures.at("list_away.calls"), 8);
  EXPECT_GE(figures.at("burst.calls"), 8);
  const auto document = nlohmann::json::parse(outcome.results.json({"made", "today", "here"}));
  EXPECT_EQ(document.at("figures").at("statements.count"), 50);
  EXPECT_NE(outcome.results.table().find("| `whole_bytes` |"), std::string::npos);
  EXPECT_NE(outcome.results.columns().find("# members.whole_bytes\n20 "), std::string::npos);
}

TEST(ScaleRun, LeavesNoProcessBehindWhenItIsEndedEarly) {
  std::vector<xml::Problem> problems;
  const auto plan = planWith("<members sizes=\"20 40\"/>", problems);
  ASSERT_TRUE(plan);
  transport::EventLoop loop;
  int turns = 0;
  ScaleRun run(loop, *plan, kProgram, {[&] { return ++turns < 3; }, {}});
  EXPECT_TRUE(run.play().ended);
  EXPECT_EQ(turns, 3);
  EXPECT_EQ(::waitpid(-1, nullptr, WNOHANG), -1);
  EXPECT_EQ(errno, ECHILD);
}

}  // namespace
}  // namespace heathflow::emulator
