// What the tests of crossing events share: each holds one event in an exact state, makes the other happen
// there, and looks from outside at what the client read, what endpoints received and how connections ended.
// docs/crossings.md lists the pairs.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "standins/gateway_rig.h"

namespace heathflow::test {

// Runs on every protocol that clients and endpoints may speak. Suites of a subject derive from it.
class ClosingRule : public testing::TestWithParam<Speaks> {
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

// A gateway whose clock is moved by hand, and that asks discovery within that time.
inline GatewayOptions byHand(long maxPollIntervalMs) {
  GatewayOptions out;
  out.byHand = true;
  out.maxPollIntervalMs = maxPollIntervalMs;
  return out;
}

}  // namespace heathflow::test
