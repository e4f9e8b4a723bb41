#include "downstream/client_connection_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heathflow::downstream {
namespace {

// So many connections that can't be closed yet are passed over in search of one that can.
constexpr int kMaxPassedOver = 8;

}  // namespace

void ClientConnectionRegistry::add(std::unique_ptr<ClientConnection> connection) {
  ClientConnection* key = connection.get();
  newcomers_.push_back(std::move(connection));
  index_.emplace(key, Entry{&newcomers_, std::prev(newcomers_.end())});
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
  if (!connection.introduced()) return move(connection, newcomers_);
  move(connection, connection.hasReturned() ? returning_ : singleRequest_);
}

std::vector<ClientConnection*> ClientConnectionRegistry::all() const {
  std::vector<ClientConnection*> out;
  out.reserve(index_.size());
  for (const Connections* list : {&returning_, &singleRequest_, &newcomers_, &lingering_, &busy_}) {
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

// The lists of idle connections in the order of eviction: newcomers, then those with a single request, then
// those that return. A list is spared while the lists before it are larger: many newcomers don't evict
// clients that have proved useful.
std::vector<ClientConnectionRegistry::Connections*> ClientConnectionRegistry::evictable() {
  std::vector<Connections*> lists = {&newcomers_};
  if (singleRequest_.size() >= newcomers_.size()) lists.push_back(&singleRequest_);
  const auto busyReturning = static_cast<std::size_t>(std::count_if(
      busy_.begin(), busy_.end(), [](const auto& connection) { return connection->hasReturned(); }));
  const std::size_t others = newcomers_.size() + singleRequest_.size() + busy_.size() - busyReturning;
  if (returning_.size() + busyReturning > others) lists.push_back(&returning_);
  return lists;
}

bool ClientConnectionRegistry::closeOneOf(Connections& connections) {
  for (int passed = 0; !connections.empty() && passed < kMaxPassedOver; ++passed) {
    ClientConnection& oldest = *connections.front();
    if (oldest.closeIfIdle()) return true;
    // It has something unread: it is about to be busy, or is looked at again later.
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
