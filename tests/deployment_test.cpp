// Tests of the emulator's models and scenarios, and of deployments of real gateways in difficult cold starts.
#include "emulator/deployment.h"

#include <gtest/gtest.h>
#include <signal.h>

#include <filesystem>
#include <fstream>

#include "emulator/arrivals.h"
#include "emulator/endpoint_model.h"
#include "emulator/latency_histogram.h"
#include "emulator/scenario.h"

namespace heathflow::emulator {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

// ---- Models ----

TEST(EmulatedEndpoint, IsSlowInSlowStartAndRejectsRequestsBeyondItsQueue) {
  EndpointCosts costs;
  costs.slots = 1;
  costs.queue = 2;
  costs.service = 10 * kMs;
  EndpointModel model(costs, false, 1);
  EXPECT_EQ(model.speedShare(kS), 1);
  model.start(kS);
  EXPECT_DOUBLE_EQ(model.speedShare(kS), 0.2);
  EXPECT_DOUBLE_EQ(model.capacity(kS), 20);
  EXPECT_DOUBLE_EQ(model.speedShare(6 * kS), 0.6);
  const auto first = model.request(kS, false);
  EXPECT_GE(first.at, kS + 25 * kMs);  // half of the mean cost at a fifth of the speed
  EXPECT_LE(first.at, kS + 75 * kMs);
  EXPECT_FALSE(model.hasCapacity(kS));
  EXPECT_GT(model.request(kS, false).at, first.at);
  EXPECT_EQ(model.request(kS, false).kind, EndpointModel::RequestOutcome::Kind::Served);
  EXPECT_EQ(model.request(kS, false).kind, EndpointModel::RequestOutcome::Kind::Full);
  EXPECT_EQ(model.request(kS, true).kind, EndpointModel::RequestOutcome::Kind::NotPrimary);
  EXPECT_TRUE(model.hasCapacity(20 * kS));
}

TEST(EmulatedEndpoint, AcceptsConnectionsOneAfterTheOtherUpToItsLimit) {
  EndpointCosts costs;
  costs.connections = 2;
  costs.accept = kMs;
  EndpointModel model(costs, true, 1);
  EXPECT_EQ(model.connect(kS).at, kS + kMs);
  EXPECT_EQ(model.connect(kS).at, kS + 2 * kMs);
  EXPECT_FALSE(model.connect(kS).accepted);
  EXPECT_EQ(model.connects().mostWithin(100 * kMs), 3U);
  model.disconnected();
  EXPECT_TRUE(model.connect(2 * kS).accepted);
  EXPECT_EQ(model.connectionsRejected(), 1U);
}

TEST(EmulatedEndpoint, KeepsItsLogPositionThroughAFailover) {
  EndpointModel replica({}, false, 1);
  EXPECT_EQ(replica.position(kS), kS - 100 * kMs);
  replica.stopReplication(kS);
  EXPECT_EQ(replica.position(5 * kS), kS - 100 * kMs);
  replica.becomePrimary();
  EXPECT_TRUE(replica.primary());
  EXPECT_EQ(replica.position(6 * kS), 6 * kS);
  replica.stop(7 * kS);
  EXPECT_FALSE(replica.primary());
  EXPECT_FALSE(replica.hasCapacity(8 * kS));
}

TEST(OpenLoop, SendsAtItsRateIndependentlyOfTheAnswers) {
  Arrivals arrivals(50, {}, 3, 7, 0);
  Arrivals same(50, {}, 3, 7, 0);
  std::map<RequestKind, int> kinds;
  int count = 0;
  while (arrivals.next() < 100 * kS) {
    const auto arrival = arrivals.take();
    EXPECT_EQ(same.take().at, arrival.at);
    EXPECT_LT(arrival.group, 3U);
    ++kinds[arrival.kind];
    ++count;
  }
  EXPECT_NEAR(count, 5000, 250);
  EXPECT_NEAR(kinds[RequestKind::View], 2500, 200);
  EXPECT_NEAR(kinds[RequestKind::Save], 250, 80);
  EXPECT_GT(Arrivals(0, {}, 1, 1, 0).next(), 3600 * kS);
}

TEST(Quantiles, AreWithinAPercent) {
  LatencyHistogram times;
  EXPECT_EQ(times.quantile(0.5), 0);
  for (int i = 1; i <= 1000; ++i) times.add(i * kMs);
  EXPECT_NEAR(static_cast<double>(times.quantile(0.5)), 500e3, 5e3);
  EXPECT_NEAR(static_cast<double>(times.quantile(0.99)), 990e3, 10e3);
}

// ---- Scenarios ----

TEST(Scenarios, OfThisRepositoryAreValid) {
  std::size_t count = 0;
  for (const auto& file : std::filesystem::directory_iterator(HEATHFLOW_SOURCE "/scenarios")) {
    if (file.path().extension() != ".xml") continue;
    std::vector<xml::Problem> problems;
    const auto scenario = loadScenario(file.path(), problems);
    for (const auto& problem : problems) ADD_FAILURE() << toText(problem);
    if (!scenario) continue;
    EXPECT_EQ(scenario->name, file.path().stem()) << "a scenario has the name of its file";
    ++count;
  }
  EXPECT_GE(count, 1U);
}

std::string problemsOf(const std::string& gateways, const std::string& endpoints, const std::string& load,
                       const std::string& rest = "") {
  std::vector<xml::Problem> problems;
  const std::string text =
      "<scenario xmlns=\"urn:heathflow:scenario:1\" name=\"x\" seconds=\"5\">\n<drivers " + gateways +
      "/><members " + endpoints + "/><list/><load " + load + "/>" + rest + "</scenario>";
  const auto read = parseScenario("x.xml", text, problems);
  EXPECT_EQ(read.has_value(), problems.empty());
  std::string out;
  for (const auto& problem : problems) out += toText(problem) + "\n";
  return out;
}

TEST(Scenarios, ReportWhyTheyCanNotBePlayed) {
  EXPECT_EQ(problemsOf("count=\"3\"", "", "per-driver=\"1\""), "");
  EXPECT_NE(problemsOf("", "", "per-driver=\"1\"").find("'count'"), std::string::npos);
  EXPECT_NE(problemsOf("count=\"3\" known=\"maybe\"", "", "per-driver=\"1\"").find("maybe"),
            std::string::npos);
  EXPECT_NE(problemsOf("count=\"3\"", "groups=\"500\" replicas=\"5\"", "per-driver=\"1\"").find("1,000"),
            std::string::npos);
  EXPECT_NE(problemsOf("count=\"3\"", "bad=\"3\"", "per-driver=\"1\"").find("no more than 2"),
            std::string::npos);
  EXPECT_NE(problemsOf("count=\"3\"", "", "per-driver=\"1\"", "<fault at-ms=\"5000\" kind=\"list-down\"/>")
                .find("after the end of the scenario"),
            std::string::npos);
  EXPECT_NE(problemsOf("count=\"3\"", "", "per-driver=\"1\"", "<fault at-ms=\"1\" kind=\"earthquake\"/>")
                .find("earthquake"),
            std::string::npos);
}

// ---- Deployments ----
// No test depends on the speed of the machine: the rules hold, no gateway crashes, and requests are served.

Scenario small() {
  Scenario out;
  out.name = "small";
  out.duration = 4 * kS;
  out.gateways = 6;
  out.requestsPerGateway = 10;
  out.patience = 4 * kS;
  out.endpoint.slowStartDuration = 3 * kS;
  out.list.line = kMs;
  return out;
}

DeploymentResults played(const Scenario& scenario) {
  transport::EventLoop loop;
  DeploymentResults out = Deployment(loop, scenario, HEATHFLOW_PROGRAM).play();
  for (const Breach& breach : out.breaches)
    ADD_FAILURE() << nameOf(breach.rule) << " " << breach.who << " " << breach.what;
  for (const std::string& crash : out.crashes) ADD_FAILURE() << crash;
  EXPECT_GT(out.served, 0U);
  return out;
}

TEST(ColdStart, ServesWhereAllAreColdAndTheListServiceIsSlow) {
  Scenario scenario = small();
  scenario.cold = true;
  scenario.list.line = 30 * kMs;
  const DeploymentResults out = played(scenario);
  ASSERT_TRUE(out.lastList);
  EXPECT_GE(out.callsUntilListed, 6U);
}

TEST(ColdStart, ReplacesAListOfEndpointsThatAreAllGone) {
  Scenario scenario = small();
  scenario.knownList = KnownList::Gone;
  EXPECT_TRUE(played(scenario).lastList);
}

TEST(ColdStart, KeepsTheRulesWithFewConnectionsAndASlowEndpoint) {
  Scenario scenario = small();
  scenario.cold = true;
  scenario.replicas = 3;
  scenario.slowReplicas = 1;
  scenario.endpoint.connections = 8;
  played(scenario);
}

TEST(ColdStart, KeepsTheRulesThroughAFailover) {
  Scenario scenario = small();
  scenario.listUpAt = 500 * kMs;
  scenario.faultEvents = {{FaultEvent::Kind::KillPrimary, 300 * kMs, 1, kS}};
  played(scenario);
}

TEST(ColdStart, KeepsTheRulesWhereSevenInTenRestartFromTheirSnapshots) {
  Scenario scenario = small();
  scenario.snapshot = true;
  scenario.busyShare = 0.2;
  scenario.busyFactor = 10;
  scenario.faultEvents = {{FaultEvent::Kind::KillGateways, 1500 * kMs, 0.7, 500 * kMs}};
  played(scenario);
}

TEST(ColdStart, LosesNothingInARollingRestart) {
  Scenario scenario = small();
  scenario.duration = 6 * kS;
  scenario.faultEvents = {{FaultEvent::Kind::RollGateways, kS, 0.5, 2 * kS}};
  EXPECT_EQ(played(scenario).failed, 0U);
}

TEST(ColdStart, FindsAListServiceThatMovesMeanwhile) {
  Scenario scenario = small();
  scenario.list.line = 20 * kMs;
  scenario.faultEvents = {{FaultEvent::Kind::ListMoves, 200 * kMs, 1, kS}};
  EXPECT_TRUE(played(scenario).lastList);
}

// A gateway that starts between the move and the drain has to learn of both at the new address.
TEST(ColdStart, RespectsADrainAfterAMoveOfTheListService) {
  Scenario scenario = small();
  scenario.duration = 6 * kS;
  scenario.groups = 2;
  scenario.replicas = 3;
  scenario.requestsPerGateway = 40;
  scenario.faultEvents = {{FaultEvent::Kind::ListMoves, 2000 * kMs, 1, 1500 * kMs},
                          {FaultEvent::Kind::KillGateways, 2100 * kMs, 0.5, 400 * kMs},
                          {FaultEvent::Kind::DrainEndpoints, 2200 * kMs, 0.4, kS}};
  played(scenario);
}

TEST(ColdStart, KeepsTheRulesAfterAPauseOfHalfOfTheGateways) {
  Scenario scenario = small();
  scenario.faultEvents = {{FaultEvent::Kind::PauseGateways, kS, 0.5, kS}};
  played(scenario);
}

TEST(ColdStart, KeepsTheRulesWhereTheListServiceHasAnOlderState) {
  Scenario scenario = small();
  scenario.faultEvents = {{FaultEvent::Kind::ListOlder, kS, 1, 500 * kMs}};
  played(scenario);
}

TEST(ColdStart, IgnoresAnUnusableSnapshot) {
  transport::EventLoop loop;
  Scenario scenario = small();
  scenario.gateways = 2;
  scenario.snapshot = true;
  scenario.faultEvents = {{FaultEvent::Kind::KillGateways, kS, 1, 500 * kMs}};
  Deployment deployment(loop, scenario, HEATHFLOW_PROGRAM);
  std::size_t malformed = 0;
  const DeploymentResults out = deployment.play([&](std::size_t, const TimelineRow&) {
    for (const auto& file : std::filesystem::directory_iterator(deployment.folder())) {
      if (file.path().extension() != ".snapshot" || malformed >= 2) continue;
      std::ofstream(file.path(), std::ios::trunc) << "heathflow-snapshot\nmalformed";
      ++malformed;
    }
    return true;
  });
  EXPECT_EQ(malformed, 2U);
  EXPECT_TRUE(out.rulesKept());
  EXPECT_GT(out.timeline.back().served + out.timeline[out.timeline.size() - 2].served, 0U);
}

}  // namespace
}  // namespace heathflow::emulator
