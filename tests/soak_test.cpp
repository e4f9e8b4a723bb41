// Tests of the fault soak: its scenarios are valid and reproducible, a program that fails is reported, and
// short plays with many kinds of faults keep all rules.
#include <gtest/gtest.h>

#include "deployment_play.h"
#include "emulator/random_scenario.h"

namespace heathflow::emulator {
namespace {

TEST(SoakScenarios, AreEqualForEqualSeedsAndAfterARoundTripThroughXml) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const Scenario scenario = randomScenario(seed, {});
    const std::string text = textOf(scenario);
    EXPECT_EQ(text, textOf(randomScenario(seed, {})));
    std::vector<xml::Problem> problems;
    const auto again = parseScenario("soak.xml", text, problems);
    ASSERT_TRUE(again) << text << (problems.empty() ? "" : toText(problems.front()));
    EXPECT_EQ(textOf(*again), text);
    EXPECT_GE(scenario.faultEvents.size(), 2U);
  }
}

// All kinds of failing system calls at once, in every gateway.
TEST(SoakPlays, KeepAllRulesUnderFailingSystemCallsAndASteppedClock) {
  Scenario scenario = quiet();
  scenario.faults =
      "short-read=0.05;short-write=0.05;interrupt=0.1;interrupt-io=0.1;socket=0.1;accept=0.1;connect=0.1;"
      "watch=0.05;create=0.2;listen=0.2;file-open=0.2;file-read=0.2;file-write=0.3;file-sync=0.3;"
      "file-rename=0.3;step=-900@0;step=+3600000@1000;step=-10000@2000";
  scenario.snapshot = true;
  scenario.disconnectShare = 0.1;
  scenario.misbehavingClientsPerSecond = 2;
  scenario.faultEvents = {{FaultEvent::Kind::ReloadGateways, kS, 1, 0}};
  expectKept(played(scenario));
}

TEST(SoakPlays, KeepAllRulesWhereLinksAndProcessesFailTogether) {
  Scenario scenario = quiet();
  scenario.duration = 8 * kS;
  scenario.disconnectShare = 0.1;
  scenario.faultEvents = {{FaultEvent::Kind::CutEndpoints, kS, 0.3, kS},
                          {FaultEvent::Kind::RollGateways, kS, 0.5, kS},
                          {FaultEvent::Kind::CutList, 1200 * kMs, 0.5, kS},
                          {FaultEvent::Kind::ReloadGateways, 1300 * kMs, 1, 0},
                          {FaultEvent::Kind::ResetEndpoints, 1500 * kMs, 0.5, kS},
                          {FaultEvent::Kind::LogsUnread, 1500 * kMs, 0.5, kS},
                          {FaultEvent::Kind::HangEndpoints, 3 * kS, 0.3, kS},
                          {FaultEvent::Kind::SlowEndpoints, 3 * kS, 0.5, kS}};
  expectKept(played(scenario));
}

TEST(SoakResults, ReportAProgramThatDoesNotStart) {
  Scenario scenario = quiet();
  scenario.duration = kS;
  scenario.gateways = 1;
  transport::EventLoop loop;
  const DeploymentResults results = Deployment(loop, scenario, ProgramPaths{"/bin/false", "", ""}).play();
  EXPECT_FALSE(results.rulesKept());
  EXPECT_FALSE(results.crashes.empty());
}

// Guards against a soak that plays its scenarios without their system call faults.
TEST(SoakPlays, DoNotStartWithoutTheFaultLibrary) {
  Scenario scenario = quiet();
  scenario.faults = "short-read=0.1";
  transport::EventLoop loop;
  EXPECT_THROW(Deployment(loop, scenario, HEATHFLOW_PROGRAM), std::runtime_error);
}

}  // namespace
}  // namespace heathflow::emulator
