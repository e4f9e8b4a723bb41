// Injects faults into the system calls of this process by a plan: shim.cpp defines the calls in place of the
// C library's. It is linked into a test, or preloaded (LD_PRELOAD) into a gateway process, and affects no
// other process.
#pragma once

#include "faultshim/fault_plan.h"

namespace heathflow::faultshim {

// The environment variable with the plan's text for a process into which the shim is preloaded.
inline constexpr const char* kPlanVariable = "HEATHFLOW_FAULTS";

// Replaces the plan in use; the times of the new plan count from now. An empty plan ends all faults.
void setPlan(const FaultPlan& plan);
// Returns how many calls have had this fault since the plan was set.
std::uint64_t injectedCount(Fault fault);

// Applies a plan during its lifetime.
class ScopedFaultPlan {
 public:
  explicit ScopedFaultPlan(const FaultPlan& plan) { setPlan(plan); }
  ~ScopedFaultPlan() { setPlan({}); }
  ScopedFaultPlan(const ScopedFaultPlan&) = delete;
  ScopedFaultPlan& operator=(const ScopedFaultPlan&) = delete;
};

}  // namespace heathflow::faultshim
