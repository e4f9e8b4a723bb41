// The log and the counters.
#include <gtest/gtest.h>

#include "policy/routing_policy.h"
#include "program/counters.h"
#include "program/log.h"

namespace heathflow::program {
namespace {

// Guards the CPU and the disk of a machine in trouble.
TEST(LogLines, AreLimitedByTopic) {
  std::int64_t second = 100;
  Log log([&] { return second; });
  testing::internal::CaptureStderr();
  for (int i = 0; i < 1000; ++i) log.note(routing::Topic::Endpoints, "line " + std::to_string(i));
  log.note(routing::Topic::Discovery, "another topic");
  ++second;
  log.note(routing::Topic::Endpoints, "the next second");
  EXPECT_EQ(testing::internal::GetCapturedStderr(),
            "heathflow: members: line 0\nheathflow: members: line 1\nheathflow: members: line 2\n"
            "heathflow: members: line 3\nheathflow: members: line 4\nheathflow: discovery: another topic\n"
            "heathflow: members: 995 more lines were left out\nheathflow: members: the next second\n");
}

TEST(CounterLines, NameEveryGroup) {
  routing::Counters counters;
  counters.requestsTaken = 7;
  counters.attemptsEnded[static_cast<std::size_t>(heathflow::AttemptOutcome::PreconditionFailed)] = 3;
  counters.descriptorsPeak = 9;
  const std::string text = describe(counters);
  EXPECT_NE(text.find("requests: taken=7 "), std::string::npos);
  EXPECT_NE(text.find(" miss=3 "), std::string::npos);
  EXPECT_NE(text.find("descriptors: now=0 peak=9\n"), std::string::npos);
  for (const char* group : {"attempts:", "probes:", "clients:", "members:", "discovery:"}) {
    EXPECT_NE(text.find(group), std::string::npos) << group;
  }
}

}  // namespace
}  // namespace heathflow::program
