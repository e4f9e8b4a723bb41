// The built program's surroundings: a list service and one member that leads.
#pragma once

#include <string>
#include <utility>

#include "program_process.h"
#include "standins/gateway_rig.h"

namespace heathflow::test {

struct ProcessSite {
  ProcessSite() : discovery(loop), member(loop) {
    member.primary = true;
    discovery.members = "[" + entry("m0", member.address(), true) + "]";
  }
  std::string config() const { return configText({}, discovery.address(), discovery.members); }
  template <typename Condition>
  bool until(Condition&& condition) {
    return test::until(loop, std::forward<Condition>(condition));
  }
  transport::EventLoop loop;
  DiscoveryStandIn discovery;
  MemberStandIn member;
};

}  // namespace heathflow::test
