// System calls of this process that fail by a plan: shim.cpp defines them in place of the C library's. It is
// linked into a test, or preloaded into a gateway that a rig starts, and touches no other process.
#pragma once

#include "faultshim/fault_plan.h"

namespace heathflow::faultshim {

// The variable that holds a plan's text for a process into which the shim is preloaded.
inline constexpr const char* kVariable = "HEATHFLOW_FAULTS";

// From now on calls fail by this plan; its times count from now. An empty one ends all faults.
void use(const FaultPlan& plan);
// How many calls have failed so since then.
std::uint64_t struck(Fault fault);

// Calls fail by a plan for as long as it lives.
class InForce {
 public:
  explicit InForce(const FaultPlan& plan) { use(plan); }
  ~InForce() { use({}); }
  InForce(const InForce&) = delete;
  InForce& operator=(const InForce&) = delete;
};

}  // namespace heathflow::faultshim
