#include "downstream/incomplete_messages.h"

#include <iterator>

#include "downstream/client_connection.h"

namespace heathflow::downstream {

void IncompleteMessages::add(ClientConnection& connection) {
  if (index_.contains(&connection)) return;
  Connections& list = connection.hasSentRequest() ? withRequest_ : withoutRequest_;
  list.push_back(&connection);
  index_.emplace(&connection, Entry{&list, std::prev(list.end())});
}

void IncompleteMessages::remove(ClientConnection& connection) {
  const auto found = index_.find(&connection);
  if (found == index_.end()) return;
  found->second.list->erase(found->second.position);
  index_.erase(found);
}

bool IncompleteMessages::reclaimMemory() {
  Connections& list = withoutRequest_.empty() ? withRequest_ : withoutRequest_;
  if (list.empty()) return false;
  list.front()->closeForMemory();
  return true;
}

bool IncompleteMessages::closeOneFor(const ClientConnection& connection, transport::Micros now) {
  if (connection.hasSentRequest() && !withoutRequest_.empty()) return reclaimMemory();
  Connections& list = connection.hasSentRequest() ? withRequest_ : withoutRequest_;
  if (list.empty() || list.front() == &connection || !list.front()->incompleteTooLong(now)) return false;
  list.front()->closeForMemory();
  return true;
}

}  // namespace heathflow::downstream
