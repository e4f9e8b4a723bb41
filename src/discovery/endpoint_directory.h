// Maps the endpoint names of the list service to the ids that the routing policy and the connection pool use,
// and converts endpoint lists to events of the policy.
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
#include "wallclock/start_times.h"

namespace heathflow::discovery {

// The port at which endpoints accept a protocol.
struct ProtocolPort {
  std::string protocol;
  bool supported = false;        // endpoints accept the protocol
  bool atListedAddress = false;  // at the address in the list
  // On the same host, if the list gives no port; 0: then the protocol can't be used.
  std::uint16_t defaultPort = 0;
};
using ProtocolPorts = std::vector<ProtocolPort>;  // in the order of the connection pool's protocols

class EndpointDirectory {
 public:
  // @param portsByGroup the ports of groups that differ from 'defaultPorts'.
  EndpointDirectory(upstream::ConnectionPool& pool, ProtocolPorts defaultPorts,
                    std::unordered_map<GroupId, ProtocolPorts> portsByGroup, stats::Observer& observer)
      : pool_(pool),
        defaultPorts_(std::move(defaultPorts)),
        portsByGroup_(std::move(portsByGroup)),
        observer_(observer) {}

  // Stores a complete list or a list of changes, and returns it as an event of the routing policy. Entries
  // with an unreadable address are skipped.
  // @param confirmed whether the list service has just sent the list; a cached list is not confirmed.
  EndpointsChanged apply(const protocol::EndpointList& list, transport::Micros now, bool confirmed);

 private:
  using SocketAddresses = std::vector<std::optional<transport::SocketAddress>>;
  struct Entry {
    EndpointId id = 0;
    bool removed = false;
    std::optional<protocol::ListedEndpoint::Phase> phase;  // in the newest list that contained it
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
  wallclock::StartTimes startTimes_;
};

}  // namespace heathflow::discovery
