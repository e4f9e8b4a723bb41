#include "upstream/connection_pool.h"

#include <algorithm>

namespace heathflow::upstream {
namespace {

// Guards against a request that crosses the endpoint's own close: idle connections go this many connect
// limits before the endpoint's limit, so that neither a late clock nor a slow path lets the two meet.
constexpr Micros kMarginInConnectLimits = 4;

}  // namespace

ConnectionPool::ConnectionPool(transport::EventLoop& loop, Protocols protocols, Times times,
                               DescriptorBudget& budget, stats::Observer& observer)
    : loop_(loop),
      protocols_(std::move(protocols)),
      times_(times),
      keepIdle_(std::max(times.idleLimit / 2, times.idleLimit - kMarginInConnectLimits * times.connectLimit)),
      budget_(budget),
      observer_(observer),
      retirement_(loop, [this] { retireOld(); }) {}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::place(EndpointId endpoint,
                           std::vector<std::optional<transport::SocketAddress>> socketAddresses) {
  Place& place = places_[endpoint];
  place.resize(protocols_.size());
  socketAddresses.resize(protocols_.size());
  for (std::size_t i = 0; i < place.size(); ++i) {
    if (place[i].socketAddress == socketAddresses[i]) continue;
    place[i].socketAddress = socketAddresses[i];
    closeIdle(place[i], std::numeric_limits<Micros>::max());
  }
}

void ConnectionPool::forget(EndpointId endpoint) {
  closeIdle(endpoint);
  places_.erase(endpoint);
  observer_.upstreamStats.endpointRemoved(endpoint);
}

std::size_t ConnectionPool::protocolFor(EndpointId endpoint) const {
  const auto found = places_.find(endpoint);
  if (found == places_.end()) return 0;
  const auto at = std::find_if(found->second.begin(), found->second.end(),
                               [](const Route& route) { return route.socketAddress.has_value(); });
  return at == found->second.end() ? 0 : static_cast<std::size_t>(at - found->second.begin());
}

std::string ConnectionPool::whereOf(EndpointId endpoint) const {
  const auto found = places_.find(endpoint);
  if (found == places_.end()) return "nowhere";
  const auto& socketAddress = found->second[protocolFor(endpoint)].socketAddress;
  return socketAddress ? toText(*socketAddress) : "nowhere";
}

ConnectionPool::Started ConnectionPool::start(EndpointId endpoint, std::size_t protocol, Exchange& exchange,
                                              EndpointConnection*& connection, Over over) {
  const auto found = places_.find(endpoint);
  if (found == places_.end() || protocol >= found->second.size()) return Started::Unreachable;
  Route& route = found->second[protocol];
  if (!route.socketAddress) return Started::Unreachable;
  while (over != Over::NewOne && !route.idle.empty()) {
    EndpointConnection* idle = idleOf(route, over);
    if (!idle->fresh()) {
      // Closed by the endpoint, or it holds bytes that would be taken for an answer.
      ++observer_.counters.connectionsStale;
      idle->close();
      continue;
    }
    removeIdle(*idle);
    ++observer_.counters.connectionsReused;
    observer_.upstreamStats.connectionReused(connections_.at(idle).usage, exchange.trafficType());
    connection = idle;
    idle->begin(exchange);
    return Started::Yes;
  }
  if (!budget_.endpointFits() && !closeLongestIdle()) return Started::NoRoom;
  auto opened =
      std::make_unique<EndpointConnection>(loop_, static_cast<EndpointConnectionOwner&>(*this), endpoint,
                                           protocol, protocols_[protocol]->towardsEndpoint());
  int error = 0;
  if (!opened->connect(*route.socketAddress, times_.connectLimit, error)) {
    ++observer_.counters.connectionsFailed;
    return transport::ownLack(error) ? Started::NoRoom : Started::Unreachable;
  }
  ++observer_.counters.connectionsOpened;
  budget_.endpointOpened();
  connection = opened.get();
  connections_.emplace(connection, Opened{std::move(opened),
                                          observer_.upstreamStats.connectionOpened(exchange.trafficType())});
  connection->begin(exchange);
  return Started::Yes;
}

EndpointConnection* ConnectionPool::idleOf(const Route& route, Over over) {
  if (over == Over::NewestIdle) return route.idle.back()->second;
  const auto oldest = std::max_element(
      route.idle.begin(), route.idle.end(),
      [](const auto& a, const auto& b) { return a->second->connectionAge() < b->second->connectionAge(); });
  return (*oldest)->second;
}

void ConnectionPool::closeIdle(EndpointId endpoint, Micros idleSince) {
  const auto found = places_.find(endpoint);
  if (found == places_.end()) return;
  for (Route& route : found->second) closeIdle(route, idleSince);
}

void ConnectionPool::closeIdle(Route& route, Micros idleSince) {
  while (!route.idle.empty() && route.idle.front()->first <= idleSince) {
    ++observer_.counters.idleConnectionsClosed;
    route.idle.front()->second->close();
  }
}

bool ConnectionPool::closeLongestIdle() {
  if (idle_.empty()) return false;
  ++observer_.counters.connectionsEvicted;
  idle_.front().second->close();
  return true;
}

ConnectionPool::Route* ConnectionPool::routeOf(const EndpointConnection& connection) {
  const auto found = places_.find(connection.endpoint());
  return found == places_.end() ? nullptr : &found->second[connection.protocol()];
}

void ConnectionPool::onIdle(EndpointConnection& connection) {
  Route* route = routeOf(connection);
  // Its endpoint has moved, or is known no more.
  if (route == nullptr || route->socketAddress != connection.socketAddress()) return connection.close();
  idle_.emplace_back(loop_.now(), &connection);
  route->idle.push_back(std::prev(idle_.end()));
  if (!retirement_.armed()) retirement_.arm(loop_.now() + keepIdle_);
}

void ConnectionPool::removeIdle(EndpointConnection& connection) {
  Route* route = routeOf(connection);
  if (route == nullptr) return;
  auto& idle = route->idle;
  const auto at = std::find_if(idle.rbegin(), idle.rend(),
                               [&](const auto& entry) { return entry->second == &connection; });
  if (at == idle.rend()) return;
  idle_.erase(*at);
  idle.erase(std::next(at).base());
}

void ConnectionPool::onDone(EndpointConnection& connection, bool unasked) {
  if (unasked) ++observer_.counters.connectionsStale;
  removeIdle(connection);
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  budget_.endpointClosed();
  observer_.upstreamStats.connectionClosed(found->second.usage);
  loop_.retire(std::move(found->second.connection));
  connections_.erase(found);
}

void ConnectionPool::onProtocolError(EndpointConnection& connection) {
  ++observer_.counters.endpointProtocolErrors;
  observer_.note(stats::Topic::Upstream,
                 "an answer from " + toText(connection.socketAddress()) + " can't be read");
}

void ConnectionPool::onConnectFailed(EndpointConnection&) { ++observer_.counters.connectionsFailed; }

void ConnectionPool::retireOld() {
  while (!idle_.empty() && idle_.front().first + keepIdle_ <= loop_.now()) {
    ++observer_.counters.idleConnectionsClosed;
    idle_.front().second->close();
  }
  if (!idle_.empty()) retirement_.arm(idle_.front().first + keepIdle_);
}

}  // namespace heathflow::upstream
