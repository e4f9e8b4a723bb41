// Shared by the tests of routing behavior that run on every protocol. They connect a whole gateway to
// stand-ins for clients, endpoints and discovery. The tests are the same for all protocols; the stand-ins
// translate requests and responses.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "standins/gateway_rig.h"

namespace heathflow::test {

class RuleTest : public testing::TestWithParam<Speaks> {
 protected:
  // A gateway whose clients and endpoints speak the protocol of the test.
  class GatewayRig : public test::GatewayRig {
   public:
    explicit GatewayRig(GatewayOptions options = {}, std::size_t size = 3)
        : test::GatewayRig(speaking(std::move(options)), size) {}

   private:
    static GatewayOptions speaking(GatewayOptions options) {
      options.speaks = GetParam();
      return options;
    }
  };
  static GatewayOptions fewDescriptors() {
    GatewayOptions out;
    out.sockets = 100;
    return out;
  }
};

inline std::string protocolName(const testing::TestParamInfo<Speaks>& info) {
  return info.param == Speaks::Bolt ? "Bolt" : "Postgres";
}

#define HEATHFLOW_BOTH_PROTOCOLS(Suite) \
  INSTANTIATE_TEST_SUITE_P(Rules, Suite, testing::Values(Speaks::Postgres, Speaks::Bolt), protocolName)

}  // namespace heathflow::test
