#include "downstream/session_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heathflow::downstream {
namespace {

// So many sessions that can't be closed yet are passed over in search of one that can.
constexpr int kMaxPassedOver = 8;

}  // namespace

void SessionRegistry::add(std::unique_ptr<ClientSession> session) {
  ClientSession* key = session.get();
  newcomers_.push_back(std::move(session));
  index_.emplace(key, Entry{&newcomers_, std::prev(newcomers_.end())});
}

SessionRegistry::Removed SessionRegistry::remove(ClientSession& session) {
  const auto found = index_.find(&session);
  if (found == index_.end()) return {};
  const Entry entry = found->second;
  Removed removed{std::move(*entry.position), entry.list == &lingering_};
  entry.list->erase(entry.position);
  index_.erase(found);
  return removed;
}

void SessionRegistry::setIdle(ClientSession& session) {
  if (!session.introduced()) return move(session, newcomers_);
  move(session, session.hasReturned() ? returning_ : singleRequest_);
}

std::vector<ClientSession*> SessionRegistry::all() const {
  std::vector<ClientSession*> out;
  out.reserve(index_.size());
  for (const Sessions* list : {&returning_, &singleRequest_, &newcomers_, &lingering_, &busy_}) {
    for (const auto& session : *list) out.push_back(session.get());
  }
  return out;
}

bool SessionRegistry::evictOne(std::optional<Micros> idleSince) {
  const auto lists = evictable();
  return std::any_of(lists.begin(), lists.end(), [&](Sessions* sessions) {
    if (idleSince && (sessions->empty() || sessions->front()->idleSince() > *idleSince)) return false;
    return closeOneOf(*sessions);
  });
}

// The lists of idle sessions in the order of eviction: newcomers, then those with a single request, then
// those that return. A list is spared while the lists before it are larger: many newcomers don't evict
// clients that have proved useful.
std::vector<SessionRegistry::Sessions*> SessionRegistry::evictable() {
  std::vector<Sessions*> lists = {&newcomers_};
  if (singleRequest_.size() >= newcomers_.size()) lists.push_back(&singleRequest_);
  const auto busyReturning = static_cast<std::size_t>(
      std::count_if(busy_.begin(), busy_.end(), [](const auto& session) { return session->hasReturned(); }));
  const std::size_t others = newcomers_.size() + singleRequest_.size() + busy_.size() - busyReturning;
  if (returning_.size() + busyReturning > others) lists.push_back(&returning_);
  return lists;
}

bool SessionRegistry::closeOneOf(Sessions& sessions) {
  for (int passed = 0; !sessions.empty() && passed < kMaxPassedOver; ++passed) {
    ClientSession& oldest = *sessions.front();
    if (oldest.closeIfIdle()) return true;
    // It has something unread: it is about to be busy, or is looked at again later.
    move(oldest, sessions);
  }
  return false;
}

void SessionRegistry::move(ClientSession& session, Sessions& to) {
  const auto found = index_.find(&session);
  if (found == index_.end()) return;
  to.splice(to.end(), *found->second.list, found->second.position);
  found->second.list = &to;
}

}  // namespace heathflow::downstream
