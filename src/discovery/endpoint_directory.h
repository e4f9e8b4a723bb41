// The endpoints by the names that the list service gives them: assigns the ids that the routing policy and
// the connection pool use, and turns lists into events of the policy.
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

namespace heathflow::discovery {

// How a protocol reaches an endpoint.
struct ProtocolPort {
  std::string protocol;
  bool spoken = false;           // the endpoint speaks it
  bool atListedAddress = false;  // at the address that the list gives
  std::uint16_t defaultPort =
      0;  // of the same machine, where the list names no port; 0: then it is not reached
};
using ProtocolPorts = std::vector<ProtocolPort>;  // in the order of the pool's protocols

class EndpointDirectory {
 public:
  // @param portsByGroup of groups that differ from 'defaultPorts'.
  EndpointDirectory(upstream::ConnectionPool& pool, ProtocolPorts defaultPorts,
                    std::unordered_map<GroupId, ProtocolPorts> portsByGroup, stats::Observer& observer)
      : pool_(pool),
        defaultPorts_(std::move(defaultPorts)),
        portsByGroup_(std::move(portsByGroup)),
        observer_(observer) {}

  // Stores a list, complete or of changes, and returns it as an event of the routing policy.
  // @param confirmed the list service has just given it; a cached list is not confirmed.
  EndpointsChanged apply(const protocol::EndpointList& list, transport::Micros now, bool confirmed);

 private:
  using SocketAddresses = std::vector<std::optional<transport::SocketAddress>>;
  struct Entry {
    EndpointId id = 0;
    bool removed = false;
    std::optional<protocol::ListedEndpoint::Phase> phase;  // in the newest list that named it
  };
  Entry& entryFor(const std::string& name);
  SocketAddresses addressesOf(const protocol::ListedEndpoint& listed,
                              const transport::SocketAddress& listedAddress) const;
  Endpoint endpointOf(const protocol::ListedEndpoint& listed, EndpointId id);
  void forgetRemoved();
  void traceChange(Entry& entry, const protocol::ListedEndpoint& listed) const;

  upstream::ConnectionPool& pool_;
  ProtocolPorts defaultPorts_;
  std::unordered_map<GroupId, ProtocolPorts> portsByGroup_;
  stats::Observer& observer_;
  std::unordered_map<std::string, Entry> byName_;
  std::unordered_map<EndpointId, std::string> names_;
  wallclock::LaunchTimes launches_;
};

}  // namespace heathflow::discovery
