// Tracks the connections of a listener by their state, and decides the order in which idle ones are evicted.
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
  // Adds a new connection as idle.
  void add(std::unique_ptr<ClientConnection> connection);
  struct Removed {
    std::unique_ptr<ClientConnection> connection;  // null if it was not registered
    bool lingered = false;
  };
  Removed remove(ClientConnection& connection);

  void setBusy(ClientConnection& connection) { move(connection, busy_); }
  void setIdle(ClientConnection& connection);
  void setLingering(ClientConnection& connection) { move(connection, lingering_); }

  bool empty() const { return index_.empty(); }
  std::vector<ClientConnection*> all() const;
  // Returns the connection that has lingered longest, or null.
  ClientConnection* oldestLingering() const {
    return lingering_.empty() ? nullptr : lingering_.front().get();
  }
  // Closes one idle connection gracefully.
  // @param idleSince  if given, only a connection that has been idle since then or longer.
  // @return false if none can be closed.
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
  Connections reused_;         // idle after more than one valid request; the longest idle first
  Connections singleRequest_;  // idle after one valid request; the longest idle first
  Connections unidentified_;   // idle, neither logon nor valid request when they became so; the oldest first
  Connections lingering_;      // closing; the oldest first
  std::unordered_map<ClientConnection*, Entry> index_;
};

}  // namespace heathflow::downstream
