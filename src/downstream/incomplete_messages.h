// The client messages that have been received in part and hold buffer memory, and the order in which they
// give it up while memory is short.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

#include "transport/clock.h"
#include "transport/memory_budget.h"

namespace heathflow::downstream {

class ClientConnection;

// A message that is incomplete has promised nothing yet, so it is closed, with an error that says why, before
// a complete request goes without memory.
class IncompleteMessages final : public transport::MemoryReclaimer {
 public:
  // Adds the message of a connection that has no open request. Has no effect if it has been added already.
  void add(ClientConnection& connection);
  // Removes the message, once it is complete or its connection closes.
  void remove(ClientConnection& connection);

  // Closes the connection of one message in favour of an accepted request. Clients that have sent no valid
  // request come first, then the oldest message.
  // @return false if there is none.
  bool reclaimMemory() override;
  // Closes the connection of one message in favour of the message of 'connection': one of a client that has
  // sent no valid request if this one has, otherwise one that has been incomplete for long.
  // @return false if there is none.
  bool closeOneFor(const ClientConnection& connection, transport::Micros now);
  std::size_t size() const { return index_.size(); }

 private:
  using Connections = std::list<ClientConnection*>;
  struct Entry {
    Connections* list;
    Connections::iterator position;
  };

  Connections withoutRequest_;  // the oldest message first
  Connections withRequest_;     // the oldest message first
  std::unordered_map<const ClientConnection*, Entry> index_;
};

}  // namespace heathflow::downstream
