#include "downstream/client_connection_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heathflow::downstream {
namespace {

// Bounds the search for a connection that can be closed.
constexpr int kMaxSkipped = 8;

}  // namespace

void ClientConnectionRegistry::add(std::unique_ptr<ClientConnection> connection) {
  ClientConnection* key = connection.get();
  unidentified_.push_back(std::move(connection));
  index_.emplace(key, Entry{&unidentified_, std::prev(unidentified_.end())});
}

ClientConnectionRegistry::Removed ClientConnectionRegistry::remove(ClientConnection& connection) {
  const auto found = index_.find(&connection);
  if (found == index_.end()) return {};
  const Entry entry = found->second;
  Removed removed{std::move(*entry.position), entry.list == &lingering_};
  entry.list->erase(entry.position);
  index_.erase(found);
  return removed;
}

void ClientConnectionRegistry::setIdle(ClientConnection& connection) {
  if (!connection.identified()) return move(connection, unidentified_);
  move(connection, connection.isReused() ? reused_ : singleRequest_);
}

std::vector<ClientConnection*> ClientConnectionRegistry::all() const {
  std::vector<ClientConnection*> out;
  out.reserve(index_.size());
  for (const Connections* list : {&reused_, &singleRequest_, &unidentified_, &lingering_, &busy_}) {
    for (const auto& connection : *list) out.push_back(connection.get());
  }
  return out;
}

bool ClientConnectionRegistry::evictOne(std::optional<Micros> idleSince) {
  const auto lists = evictable();
  return std::any_of(lists.begin(), lists.end(), [&](Connections* connections) {
    if (idleSince && (connections->empty() || connections->front()->idleSince() > *idleSince)) return false;
    return closeOneOf(*connections);
  });
}

// Returns the lists of idle connections in the order of eviction: unidentified clients, then clients with a
// single request, then reused connections. A list is left out while the lists before it are larger, so that
// many new connections don't evict clients that send requests.
std::vector<ClientConnectionRegistry::Connections*> ClientConnectionRegistry::evictable() {
  std::vector<Connections*> lists = {&unidentified_};
  if (singleRequest_.size() >= unidentified_.size()) lists.push_back(&singleRequest_);
  const auto busyReused = static_cast<std::size_t>(std::count_if(
      busy_.begin(), busy_.end(), [](const auto& connection) { return connection->isReused(); }));
  const std::size_t others = unidentified_.size() + singleRequest_.size() + busy_.size() - busyReused;
  if (reused_.size() + busyReused > others) lists.push_back(&reused_);
  return lists;
}

bool ClientConnectionRegistry::closeOneOf(Connections& connections) {
  for (int skipped = 0; !connections.empty() && skipped < kMaxSkipped; ++skipped) {
    ClientConnection& oldest = *connections.front();
    if (oldest.closeIfIdle()) return true;
    // Its input or output is not empty: it becomes busy soon, or is tried again later.
    move(oldest, connections);
  }
  return false;
}

void ClientConnectionRegistry::move(ClientConnection& connection, Connections& to) {
  const auto found = index_.find(&connection);
  if (found == index_.end()) return;
  to.splice(to.end(), *found->second.list, found->second.position);
  found->second.list = &to;
}

}  // namespace heathflow::downstream
