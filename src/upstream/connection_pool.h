// Opens, reuses and closes the connections to endpoints. It keeps the address of each endpoint by protocol,
// and the idle connections to it.
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
    Micros connect;  // for a new connection to become ready
    Micros idle;     // after which endpoints close an idle connection
  };

  // The index of a protocol identifies it. The protocols outlive the pool.
  using Protocols = std::vector<const protocol::Protocol*>;

  ConnectionPool(transport::EventLoop& loop, Protocols protocols, Timeouts timeouts, DescriptorBudget& budget,
                 stats::Observer& observer);
  ~ConnectionPool() override;

  // Sets the addresses of an endpoint, and closes the idle connections to an address that has changed.
  // @param addresses  by protocol; nothing for a protocol that the endpoint does not speak.
  void setAddresses(EndpointId endpoint, std::vector<std::optional<transport::SocketAddress>> addresses);
  void remove(EndpointId endpoint);

  enum class StartResult { Started, LocalShortage, Unreachable };
  enum class Selection { NewestIdle, OldestIdle, NewConnection };
  // Starts an exchange on an idle connection, or on a new one if no idle connection can be used.
  // @param connection  receives the connection, before the exchange is called for the first time.
  StartResult start(EndpointId endpoint, std::size_t protocol, Exchange& exchange,
                    EndpointConnection*& connection, Selection selection = Selection::NewestIdle);
  // Returns the first protocol for which the endpoint has an address, or 0 if there is none.
  std::size_t firstProtocol(EndpointId endpoint) const;
  // Returns the endpoint's address in its first protocol, for the log.
  std::string addressText(EndpointId endpoint) const;
  // Closes the connections to an endpoint that became idle at 'idleSince' or before.
  void closeIdle(EndpointId endpoint, Micros idleSince = std::numeric_limits<Micros>::max());
  // Closes the connection that has been idle longest, to free its descriptor. Returns false if none is idle.
  bool evictLongestIdle();

 private:
  using IdleList = std::list<std::pair<Micros, EndpointConnection*>>;  // the longest idle first
  // An endpoint's address in one protocol, and the idle connections to it.
  struct ProtocolPool {
    std::optional<transport::SocketAddress> address;
    std::vector<IdleList::iterator> idle;  // the last to become idle last
  };
  using ProtocolPools = std::vector<ProtocolPool>;  // by protocol
  struct PooledConnection {
    std::unique_ptr<EndpointConnection> connection;
    stats::ConnectionUsage usage;
  };

  void onIdle(EndpointConnection& connection) override;
  void onClosed(EndpointConnection& connection, bool whileIdle) override;
  void onProtocolError(EndpointConnection& connection) override;
  void onSurplusAnswers(EndpointConnection& connection, std::size_t count) override;
  void onConnectFailed(EndpointConnection& connection) override;
  EndpointConnection* takeIdle(ProtocolPool& pool, Selection selection);
  StartResult startOnNewConnection(EndpointId endpoint, std::size_t protocol, Exchange& exchange,
                                   EndpointConnection*& connection, const transport::SocketAddress& address);
  static EndpointConnection* select(const ProtocolPool& pool, Selection selection);
  ProtocolPool* poolOf(const EndpointConnection& connection);
  void closeIdle(ProtocolPool& pool, Micros idleSince);
  void removeIdle(EndpointConnection& connection);
  void closeExpired();

  transport::EventLoop& loop_;
  Protocols protocols_;
  Timeouts timeouts_;
  Micros maxIdleTime_;
  DescriptorBudget& budget_;
  stats::Observer& observer_;
  std::unordered_map<EndpointId, ProtocolPools> pools_;
  std::unordered_map<EndpointConnection*, PooledConnection> connections_;
  IdleList idle_;
  transport::Timer expiryTimer_;
};

}  // namespace heathflow::upstream
