// Who the members are: names as discovery gives them, to what the module and the pool know them by.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "logic.h"
#include "protocol/member_list.h"
#include "routing/member_pool.h"
#include "routing/observer.h"
#include "wallclock/launch_times.h"

namespace heathflow::routing {

class Directory {
 public:
  // How members are reached in a protocol, in the order of the pool's.
  struct Door {
    std::string protocol;
    bool spoken = false;     // at all
    bool listed = false;     // at the address that the list gives
    std::uint16_t port = 0;  // at this port of the same machine where the list names none; 0: nowhere then
  };
  using Doors = std::vector<Door>;
  // 'families': of groups that differ from the rest.
  Directory(MemberPool& pool, Doors doors, std::unordered_map<GroupId, Doors> families, Observer& observer)
      : pool_(pool), doors_(std::move(doors)), families_(std::move(families)), observer_(observer) {}

  // Takes in a list, whole or of changes, and gives it as the module's event. 'confirmed': by the list
  // service now; a list of an earlier life is not.
  MembersChanged take(const protocol::MemberList& list, transport::Micros now, bool confirmed);

 private:
  struct Known {
    MemberId id = 0;
    bool gone = false;
    std::optional<protocol::ListedMember::Phase> phase;  // as last told
  };
  Known& known(const std::string& name);
  std::vector<std::optional<transport::Endpoint>> placesOf(const protocol::ListedMember& listed,
                                                           const transport::Endpoint& endpoint) const;
  void forgetGone();
  void traceChange(Known& entry, const protocol::ListedMember& listed) const;

  MemberPool& pool_;
  Doors doors_;
  std::unordered_map<GroupId, Doors> families_;
  Observer& observer_;
  std::unordered_map<std::string, Known> byName_;
  std::unordered_map<MemberId, std::string> names_;
  wallclock::LaunchTimes launches_;
};

}  // namespace heathflow::routing
