// The connections to all endpoints: where each is reached, in each protocol, and which connections stand
// idle.
#pragma once

#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/routing_policy.h"
#include "protocol/wire.h"
#include "stats/observer.h"
#include "upstream/descriptor_budget.h"
#include "upstream/endpoint_connection.h"

namespace heathflow::upstream {

class ConnectionPool final : private EndpointConnectionOwner {
 public:
  struct Times {
    Micros connectLimit;  // within which a connection must be up
    Micros idleLimit;     // after which endpoints close an idle one
  };

  // The protocols that endpoints are spoken to in, by index. They outlive the pool.
  using Protocols = std::vector<const protocol::Protocol*>;

  ConnectionPool(transport::EventLoop& loop, Protocols protocols, Times times, DescriptorBudget& budget,
                 stats::Observer& observer);
  ~ConnectionPool() override;

  // Where an endpoint is reached from now on, by protocol; nothing where it is not. When that changes, idle
  // connections to the old place are closed.
  void place(EndpointId endpoint, std::vector<std::optional<transport::SocketAddress>> socketAddresses);
  void forget(EndpointId endpoint);

  enum class Started { Yes, NoRoom, Unreachable };
  // Over which connection: the newest idle one, the idle one that has stood longest, else, or where that is
  // asked for, a new one.
  enum class Over { NewestIdle, OldestIdle, NewOne };
  Started start(EndpointId endpoint, std::size_t protocol, Exchange& exchange,
                EndpointConnection*& connection, Over over = Over::NewestIdle);
  // The first protocol that the endpoint is reached in.
  std::size_t protocolFor(EndpointId endpoint) const;
  // Where it is reached, as text for the log.
  std::string whereOf(EndpointId endpoint) const;
  std::size_t protocols() const { return protocols_.size(); }
  // Closes the idle connections to an endpoint that have been so since that time or before.
  void closeIdle(EndpointId endpoint, Micros idleSince = std::numeric_limits<Micros>::max());
  // Closes the connection that has been idle longest; false when there is none.
  bool closeLongestIdle();

 private:
  using IdleList = std::list<std::pair<Micros, EndpointConnection*>>;  // the longest idle first
  struct Route {                                                       // of one protocol
    std::optional<transport::SocketAddress> socketAddress;
    std::vector<IdleList::iterator> idle;  // the newest last
  };
  using Place = std::vector<Route>;
  struct Opened {
    std::unique_ptr<EndpointConnection> connection;
    stats::ConnectionUsage usage;
  };

  void onIdle(EndpointConnection& connection) override;
  void onDone(EndpointConnection& connection, bool unasked) override;
  void onProtocolError(EndpointConnection& connection) override;
  void onConnectFailed(EndpointConnection& connection) override;
  static EndpointConnection* idleOf(const Route& route, Over over);
  Route* routeOf(const EndpointConnection& connection);
  void closeIdle(Route& route, Micros idleSince);
  void removeIdle(EndpointConnection& connection);
  void retireOld();

  transport::EventLoop& loop_;
  Protocols protocols_;
  Times times_;
  Micros keepIdle_;
  DescriptorBudget& budget_;
  stats::Observer& observer_;
  std::unordered_map<EndpointId, Place> places_;
  std::unordered_map<EndpointConnection*, Opened> connections_;
  IdleList idle_;
  transport::Timer retirement_;
};

}  // namespace heathflow::upstream
