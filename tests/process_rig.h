// The surroundings of the built program: a list service and a primary endpoint.
#pragma once

#include <string>
#include <utility>

#include "program_process.h"
#include "standins/gateway_rig.h"

namespace heathflow::test {

struct ProcessRig {
  ProcessRig() : discovery(loop), endpoint(loop) {
    endpoint.primary = true;
    discovery.endpoints = "[" + entry("m0", endpoint.address(), true) + "]";
  }
  std::string config() const { return configText({}, discovery.address(), discovery.endpoints); }
  template <typename Condition>
  bool until(Condition&& condition) {
    return test::until(loop, std::forward<Condition>(condition));
  }
  transport::EventLoop loop;
  DiscoveryStandIn discovery;
  EndpointStandIn endpoint;
};

}  // namespace heathflow::test
