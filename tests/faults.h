// Helpers for tests that inject faults into system calls.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "faultshim/shim.h"

namespace heathflow::test {

using faultshim::Fault;
using faultshim::FaultPlan;
using faultshim::ScopedFaultPlan;

// Parses a plan (its text form is described in faultshim/fault_plan.h). An invalid text fails the test and
// gives an empty plan.
inline FaultPlan planOf(const std::string& text) {
  std::string problem;
  const auto plan = faultshim::parsePlan(text, problem);
  EXPECT_TRUE(plan) << problem;
  return plan.value_or(FaultPlan{});
}

}  // namespace heathflow::test
