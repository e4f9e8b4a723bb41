// Who the endpoints are: names as discovery gives them, to what the routing policy and the pool know them by.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"
#include "protocol/endpoint_list.h"
#include "stats/observer.h"
#include "upstream/connection_pool.h"
#include "wallclock/launch_times.h"

namespace heathflow::routing {

class Directory {
 public:
  // How endpoints are reached in a protocol, in the order of the pool's.
  struct Door {
    std::string protocol;
    bool spoken = false;     // at all
    bool listed = false;     // at the address that the list gives
    std::uint16_t port = 0;  // at this port of the same machine where the list names none; 0: nowhere then
  };
  using Doors = std::vector<Door>;
  // 'families': of groups that differ from the rest.
  Directory(upstream::ConnectionPool& pool, Doors doors, std::unordered_map<GroupId, Doors> families,
            stats::Observer& observer)
      : pool_(pool), doors_(std::move(doors)), families_(std::move(families)), observer_(observer) {}

  // Takes in a list, whole or of changes, and gives it as the routing policy's event. 'confirmed': by the
  // list service now; a list of an earlier life is not.
  EndpointsChanged take(const protocol::EndpointList& list, transport::Micros now, bool confirmed);

 private:
  struct Known {
    EndpointId id = 0;
    bool gone = false;
    std::optional<protocol::ListedEndpoint::Phase> phase;  // as last told
  };
  Known& known(const std::string& name);
  std::vector<std::optional<transport::SocketAddress>> placesOf(
      const protocol::ListedEndpoint& listed, const transport::SocketAddress& socketAddress) const;
  void forgetGone();
  void traceChange(Known& entry, const protocol::ListedEndpoint& listed) const;

  upstream::ConnectionPool& pool_;
  Doors doors_;
  std::unordered_map<GroupId, Doors> families_;
  stats::Observer& observer_;
  std::unordered_map<std::string, Known> byName_;
  std::unordered_map<EndpointId, std::string> names_;
  wallclock::LaunchTimes launches_;
};

}  // namespace heathflow::routing
