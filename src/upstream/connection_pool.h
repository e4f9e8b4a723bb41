// The connections to all endpoints: the addresses of each endpoint by protocol, and its idle connections.
#pragma once

#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"
#include "protocol/wire.h"
#include "stats/observer.h"
#include "upstream/descriptor_budget.h"
#include "upstream/endpoint_connection.h"

namespace heathflow::upstream {

class ConnectionPool final : private EndpointConnectionOwner {
 public:
  struct Timeouts {
    Micros connect;  // until a connection has to be ready
    Micros idle;     // after which endpoints close an idle one
  };

  // By index. They outlive the pool.
  using Protocols = std::vector<const protocol::Protocol*>;

  ConnectionPool(transport::EventLoop& loop, Protocols protocols, Timeouts timeouts, DescriptorBudget& budget,
                 stats::Observer& observer);
  ~ConnectionPool() override;

  // Idle connections to an address that changes are closed.
  // @param addresses  of the endpoint, by protocol; nothing where it does not speak that protocol.
  void setAddresses(EndpointId endpoint, std::vector<std::optional<transport::SocketAddress>> addresses);
  void remove(EndpointId endpoint);

  enum class StartResult { Started, NoDescriptor, Unreachable };
  enum class Selection { NewestIdle, OldestIdle, NewConnection };
  // Starts an exchange over an idle connection, or a new one where there is none that can be used.
  // @param connection  receives the connection; it is set before the exchange gets its first call.
  StartResult start(EndpointId endpoint, std::size_t protocol, Exchange& exchange,
                    EndpointConnection*& connection, Selection selection = Selection::NewestIdle);
  // The first protocol that the endpoint has an address for.
  std::size_t firstProtocol(EndpointId endpoint) const;
  // Of the first protocol, for the log.
  std::string addressText(EndpointId endpoint) const;
  // Closes the connections to an endpoint that became idle at that time or before.
  void closeIdle(EndpointId endpoint, Micros idleSince = std::numeric_limits<Micros>::max());
  // Frees a descriptor. @return false when no connection is idle.
  bool evictLongestIdle();

 private:
  using IdleList = std::list<std::pair<Micros, EndpointConnection*>>;  // the longest idle first
  // How an endpoint is reached in one protocol.
  struct Route {
    std::optional<transport::SocketAddress> address;
    std::vector<IdleList::iterator> idle;  // the newest last
  };
  using Routes = std::vector<Route>;  // by protocol
  struct PooledConnection {
    std::unique_ptr<EndpointConnection> connection;
    stats::ConnectionUsage usage;
  };

  void onIdle(EndpointConnection& connection) override;
  void onClosed(EndpointConnection& connection, bool whileIdle) override;
  void onProtocolError(EndpointConnection& connection) override;
  void onConnectFailed(EndpointConnection& connection) override;
  EndpointConnection* takeIdle(Route& route, Selection selection);
  StartResult startOnNewConnection(EndpointId endpoint, std::size_t protocol, Exchange& exchange,
                                   EndpointConnection*& connection, const transport::SocketAddress& address);
  static EndpointConnection* select(const Route& route, Selection selection);
  Route* routeOf(const EndpointConnection& connection);
  void closeIdle(Route& route, Micros idleSince);
  void removeIdle(EndpointConnection& connection);
  void closeExpired();

  transport::EventLoop& loop_;
  Protocols protocols_;
  Timeouts timeouts_;
  Micros maxIdleTime_;
  DescriptorBudget& budget_;
  stats::Observer& observer_;
  std::unordered_map<EndpointId, Routes> routes_;
  std::unordered_map<EndpointConnection*, PooledConnection> connections_;
  IdleList idle_;
  transport::Timer expiryTimer_;
};

}  // namespace heathflow::upstream
