// The log and the counters.
#include <gtest/gtest.h>

#include "policy/routing_policy.h"
#include "program/counters.h"
#include "program/log.h"

namespace heathflow::program {
namespace {

// Guards against an overloaded machine that spends its CPU time and disk space on log lines.
TEST(LogLines, AreLimitedByTopic) {
  std::int64_t second = 100;
  Log log([&] { return second; });
  testing::internal::CaptureStderr();
  for (int i = 0; i < 1000; ++i) log.log(stats::Topic::Upstream, "line " + std::to_string(i));
  log.log(stats::Topic::Discovery, "another topic");
  ++second;
  log.log(stats::Topic::Upstream, "the next second");
  EXPECT_EQ(testing::internal::GetCapturedStderr(),
            "heathflow: upstream: line 0\nheathflow: upstream: line 1\nheathflow: upstream: line 2\n"
            "heathflow: upstream: line 3\nheathflow: upstream: line 4\nheathflow: discovery: another topic\n"
            "heathflow: upstream: 995 more lines suppressed by the rate limit\nheathflow: upstream: the next "
            "second\n");
}

TEST(CounterLines, HaveEveryGroup) {
  stats::Counters counters;
  counters.requestsAccepted = 7;
  counters.attemptsEnded[static_cast<std::size_t>(heathflow::AttemptOutcome::PreconditionFailed)] = 3;
  counters.descriptorsPeak = 9;
  const std::string text = describe(counters);
  EXPECT_NE(text.find("requests: accepted=7 "), std::string::npos);
  EXPECT_NE(text.find(" precondition_failed=3 "), std::string::npos);
  EXPECT_NE(text.find("descriptors: now=0 peak=9\n"), std::string::npos);
  for (const char* group : {"attempts:", "health_checks:", "downstream:", "upstream:", "discovery:"}) {
    EXPECT_NE(text.find(group), std::string::npos) << group;
  }
}

}  // namespace
}  // namespace heathflow::program
