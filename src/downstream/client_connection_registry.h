// The connections of a listener by their states, and the order in which idle ones are evicted.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "downstream/client_connection.h"

namespace heathflow::downstream {

class ClientConnectionRegistry {
 public:
  // The new connection counts as idle.
  void add(std::unique_ptr<ClientConnection> connection);
  struct Removed {
    std::unique_ptr<ClientConnection> connection;  // null where it is not registered
    bool lingered = false;
  };
  Removed remove(ClientConnection& connection);

  void setBusy(ClientConnection& connection) { move(connection, busy_); }
  void setIdle(ClientConnection& connection);
  void setLingering(ClientConnection& connection) { move(connection, lingering_); }

  bool empty() const { return index_.empty(); }
  std::vector<ClientConnection*> all() const;
  // @return the connection that has lingered longest, or null.
  ClientConnection* oldestLingering() const {
    return lingering_.empty() ? nullptr : lingering_.front().get();
  }
  // Closes one idle connection in order.
  // @param idleSince  only one that became idle at that time or before.
  // @return false where none can be closed.
  bool evictOne(std::optional<Micros> idleSince = {});

 private:
  using Connections = std::list<std::unique_ptr<ClientConnection>>;
  struct Entry {
    Connections* list;
    Connections::iterator position;
  };

  std::vector<Connections*> evictable();
  bool closeOneOf(Connections& connections);
  void move(ClientConnection& connection, Connections& to);

  Connections busy_;           // with an open request
  Connections returning_;      // idle, have sent more than one request; the longest idle first
  Connections singleRequest_;  // idle, have sent one request; the longest idle first
  Connections newcomers_;      // nothing they sent could be read so far; the oldest first
  Connections lingering_;      // are closing; the oldest first
  std::unordered_map<ClientConnection*, Entry> index_;
};

}  // namespace heathflow::downstream
