// Shared by the tests of races between two events. Each test brings the system to the point at which one
// event is about to take effect, causes the other event there, and checks what the client read, what the
// endpoints received and how the connections ended.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "standins/gateway_rig.h"

namespace heathflow::test {

// The base of suites that run on every protocol.
class ConnectionRace : public testing::TestWithParam<Speaks> {
 protected:
  static GatewayOptions speaking() {
    GatewayOptions out;
    out.speaks = GetParam();
    return out;
  }
};

inline const auto kBothProtocols = testing::Values(Speaks::Postgres, Speaks::Bolt);
inline std::string protocolName(const testing::TestParamInfo<Speaks>& info) {
  return info.param == Speaks::Postgres ? "Postgres" : "Bolt";
}

constexpr transport::Micros kSecond = 1'000'000;

// Returns the options of a gateway whose clock the test moves.
// @param maxPollIntervalMs  the longest time between two calls to discovery.
inline GatewayOptions byHand(long maxPollIntervalMs) {
  GatewayOptions out;
  out.manualClock = true;
  out.maxPollIntervalMs = maxPollIntervalMs;
  return out;
}

}  // namespace heathflow::test
