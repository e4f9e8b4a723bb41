#include "upstream/connection_pool.h"

#include <algorithm>

namespace heathflow::upstream {
namespace {

// Idle connections are closed this many connect timeouts before the endpoint closes them, so that no request
// is sent on a connection that the endpoint is closing, even with a late timer or a slow network.
constexpr Micros kIdleMarginConnectTimeouts = 4;

Micros maxIdleTime(const ConnectionPool::Timeouts& timeouts) {
  return std::max(timeouts.idle / 2, timeouts.idle - kIdleMarginConnectTimeouts * timeouts.connect);
}

}  // namespace

ConnectionPool::ConnectionPool(transport::EventLoop& loop, Protocols protocols, Timeouts timeouts,
                               DescriptorBudget& budget, stats::Observer& observer)
    : loop_(loop),
      protocols_(std::move(protocols)),
      timeouts_(timeouts),
      maxIdleTime_(maxIdleTime(timeouts)),
      budget_(budget),
      observer_(observer),
      expiryTimer_(loop, [this] { closeExpired(); }) {}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::setAddresses(EndpointId endpoint,
                                  std::vector<std::optional<transport::SocketAddress>> addresses) {
  ProtocolPools& pools = pools_[endpoint];
  pools.resize(protocols_.size());
  addresses.resize(protocols_.size());
  for (std::size_t i = 0; i < pools.size(); ++i) {
    if (pools[i].address == addresses[i]) continue;
    pools[i].address = addresses[i];
    closeIdle(pools[i], std::numeric_limits<Micros>::max());
  }
}

void ConnectionPool::remove(EndpointId endpoint) {
  closeIdle(endpoint);
  pools_.erase(endpoint);
  observer_.upstreamStats.endpointRemoved(endpoint);
}

std::size_t ConnectionPool::firstProtocol(EndpointId endpoint) const {
  const auto found = pools_.find(endpoint);
  if (found == pools_.end()) return 0;
  const auto at = std::find_if(found->second.begin(), found->second.end(),
                               [](const ProtocolPool& pool) { return pool.address.has_value(); });
  return at == found->second.end() ? 0 : static_cast<std::size_t>(at - found->second.begin());
}

std::string ConnectionPool::addressText(EndpointId endpoint) const {
  const auto found = pools_.find(endpoint);
  if (found == pools_.end()) return "an unknown address";
  const auto& address = found->second[firstProtocol(endpoint)].address;
  return address ? toText(*address) : "an unknown address";
}

ConnectionPool::StartResult ConnectionPool::start(EndpointId endpoint, std::size_t protocol,
                                                  Exchange& exchange, EndpointConnection*& connection,
                                                  Selection selection) {
  const auto found = pools_.find(endpoint);
  if (found == pools_.end() || protocol >= found->second.size()) return StartResult::Unreachable;
  ProtocolPool& pool = found->second[protocol];
  if (!pool.address) return StartResult::Unreachable;
  if (EndpointConnection* idle = takeIdle(pool, selection)) {
    ++observer_.counters.connectionsReused;
    observer_.upstreamStats.connectionReused(connections_.at(idle).usage, exchange.trafficType());
    connection = idle;
    idle->start(exchange);
    return StartResult::Started;
  }
  return startOnNewConnection(endpoint, protocol, exchange, connection, *pool.address);
}

// Returns an idle connection that can be used, or null if there is none or a new one is requested. Closes the
// idle connections that it finds unusable.
EndpointConnection* ConnectionPool::takeIdle(ProtocolPool& pool, Selection selection) {
  while (selection != Selection::NewConnection && !pool.idle.empty()) {
    EndpointConnection* idle = select(pool, selection);
    if (idle->reusable()) {
      removeIdle(*idle);
      return idle;
    }
    // The endpoint has closed it, or it has received bytes that would be taken for a response.
    ++observer_.counters.connectionsStale;
    idle->close();
  }
  return nullptr;
}

ConnectionPool::StartResult ConnectionPool::startOnNewConnection(EndpointId endpoint, std::size_t protocol,
                                                                 Exchange& exchange,
                                                                 EndpointConnection*& connection,
                                                                 const transport::SocketAddress& address) {
  if (!budget_.canOpenUpstream() && !evictLongestIdle()) return StartResult::LocalShortage;
  auto opened =
      std::make_unique<EndpointConnection>(loop_, static_cast<EndpointConnectionOwner&>(*this), endpoint,
                                           protocol, protocols_[protocol]->makeEndpointSide());
  int error = 0;
  if (!opened->connect(address, timeouts_.connect, error)) {
    ++observer_.counters.connectionsFailed;
    return transport::isLocalShortage(error) ? StartResult::LocalShortage : StartResult::Unreachable;
  }
  ++observer_.counters.connectionsOpened;
  budget_.upstreamOpened();
  connection = opened.get();
  connections_.emplace(
      connection,
      PooledConnection{std::move(opened), observer_.upstreamStats.connectionOpened(exchange.trafficType())});
  connection->start(exchange);
  return StartResult::Started;
}

EndpointConnection* ConnectionPool::select(const ProtocolPool& pool, Selection selection) {
  if (selection == Selection::NewestIdle) return pool.idle.back()->second;
  const auto oldest = std::max_element(pool.idle.begin(), pool.idle.end(), [](const auto& a, const auto& b) {
    return a->second->age() < b->second->age();
  });
  return (*oldest)->second;
}

void ConnectionPool::closeIdle(EndpointId endpoint, Micros idleSince) {
  const auto found = pools_.find(endpoint);
  if (found == pools_.end()) return;
  for (ProtocolPool& pool : found->second) closeIdle(pool, idleSince);
}

void ConnectionPool::closeIdle(ProtocolPool& pool, Micros idleSince) {
  while (!pool.idle.empty() && pool.idle.front()->first <= idleSince) {
    ++observer_.counters.idleConnectionsClosed;
    pool.idle.front()->second->close();
  }
}

bool ConnectionPool::evictLongestIdle() {
  if (idle_.empty()) return false;
  ++observer_.counters.connectionsEvicted;
  idle_.front().second->close();
  return true;
}

ConnectionPool::ProtocolPool* ConnectionPool::poolOf(const EndpointConnection& connection) {
  const auto found = pools_.find(connection.endpoint());
  return found == pools_.end() ? nullptr : &found->second[connection.protocol()];
}

void ConnectionPool::onIdle(EndpointConnection& connection) {
  ProtocolPool* pool = poolOf(connection);
  // The endpoint was removed, or its address has changed.
  if (pool == nullptr || pool->address != connection.socketAddress()) return connection.close();
  idle_.emplace_back(loop_.now(), &connection);
  pool->idle.push_back(std::prev(idle_.end()));
  if (!expiryTimer_.armed()) expiryTimer_.arm(loop_.now() + maxIdleTime_);
}

void ConnectionPool::removeIdle(EndpointConnection& connection) {
  ProtocolPool* pool = poolOf(connection);
  if (pool == nullptr) return;
  auto& idle = pool->idle;
  const auto at = std::find_if(idle.rbegin(), idle.rend(),
                               [&](const auto& entry) { return entry->second == &connection; });
  if (at == idle.rend()) return;
  idle_.erase(*at);
  idle.erase(std::next(at).base());
}

void ConnectionPool::onClosed(EndpointConnection& connection, bool whileIdle) {
  if (whileIdle) ++observer_.counters.connectionsStale;
  removeIdle(connection);
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  budget_.upstreamClosed();
  observer_.upstreamStats.connectionClosed(found->second.usage);
  loop_.deleteLater(std::move(found->second.connection));
  connections_.erase(found);
}

void ConnectionPool::onProtocolError(EndpointConnection& connection) {
  ++observer_.counters.endpointProtocolErrors;
  observer_.log(stats::Topic::Upstream, "closing the connection to " + toText(connection.socketAddress()) +
                                            ": its response can't be read");
}

void ConnectionPool::onSurplusAnswers(EndpointConnection& connection, std::size_t count) {
  observer_.counters.endpointSurplusAnswers += count;
  observer_.log(stats::Topic::Upstream, toText(connection.socketAddress()) +
                                            " sent an answer again; the copy was not taken for the next one");
}

void ConnectionPool::onConnectFailed(EndpointConnection&) { ++observer_.counters.connectionsFailed; }

void ConnectionPool::closeExpired() {
  while (!idle_.empty() && idle_.front().first + maxIdleTime_ <= loop_.now()) {
    ++observer_.counters.idleConnectionsClosed;
    idle_.front().second->close();
  }
  if (!idle_.empty()) expiryTimer_.arm(idle_.front().first + maxIdleTime_);
}

}  // namespace heathflow::upstream
