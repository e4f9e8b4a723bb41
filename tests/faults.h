// What tests with failing system calls share.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "faultshim/shim.h"

namespace heathflow::test {

using faultshim::Fault;
using faultshim::FaultPlan;
using faultshim::InForce;

// A plan from its text (faultshim/fault_plan.h); one that can't be read fails the test.
inline FaultPlan planOf(const std::string& text) {
  std::string problem;
  const auto plan = faultshim::parsePlan(text, problem);
  EXPECT_TRUE(plan) << problem;
  return plan.value_or(FaultPlan{});
}

}  // namespace heathflow::test
