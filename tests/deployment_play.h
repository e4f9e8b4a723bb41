// Helpers for tests that play deployments with the built program.
#pragma once

#include <gtest/gtest.h>

#include "emulator/deployment.h"
#include "transport/event_loop.h"

namespace heathflow::emulator {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

inline DeploymentResults played(const Scenario& scenario) {
  transport::EventLoop loop;
  return Deployment(loop, scenario, ProgramPaths{HEATHFLOW_PROGRAM, HEATHFLOW_FAULT_LIBRARY, ""}).play();
}

// Expects no breach, no crash, and some served requests.
inline void expectKept(const DeploymentResults& results) {
  for (const Breach& breach : results.breaches)
    ADD_FAILURE() << nameOf(breach.rule) << " " << breach.who << " " << breach.what;
  for (const std::string& crash : results.crashes) ADD_FAILURE() << crash;
  EXPECT_GT(results.served, 0U);
}

// Returns a short scenario without faults.
inline Scenario quiet() {
  Scenario out;
  out.name = "quiet";
  out.duration = 5 * kS;
  out.gateways = 4;
  out.groups = 2;
  out.requestsPerGateway = 20;
  out.patience = 2 * kS;
  out.endpoint.slowStartDuration = 2 * kS;
  out.hardStops = true;
  return out;
}

}  // namespace heathflow::emulator
