// Shared by the tests of races between two events: each brings one event into an exact state, makes the other
// happen there, and checks what the client read, what endpoints received and how connections ended.
// docs/crossings.md lists the races.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "standins/gateway_rig.h"

namespace heathflow::test {

// Runs on every protocol. The suites of single subjects derive from it.
class ConnectionRace : public testing::TestWithParam<Speaks> {
 protected:
  static GatewayOptions speaking() {
    GatewayOptions out;
    out.speaks = GetParam();
    return out;
  }
};

inline const auto kBoth = testing::Values(Speaks::Postgres, Speaks::Bolt);
inline std::string nameOf(const testing::TestParamInfo<Speaks>& spoken) {
  return spoken.param == Speaks::Postgres ? "Postgres" : "Bolt";
}

constexpr transport::Micros kSecond = 1'000'000;

// A gateway whose clock is moved by hand.
// @param maxPollIntervalMs  the longest time between two calls to discovery.
inline GatewayOptions byHand(long maxPollIntervalMs) {
  GatewayOptions out;
  out.byHand = true;
  out.maxPollIntervalMs = maxPollIntervalMs;
  return out;
}

}  // namespace heathflow::test
