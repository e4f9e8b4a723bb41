// The sessions of a listener by their states, and the order in which idle ones are evicted.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "downstream/client_session.h"

namespace heathflow::downstream {

class SessionRegistry {
 public:
  // The new session counts as idle.
  void add(std::unique_ptr<ClientSession> session);
  struct Removed {
    std::unique_ptr<ClientSession> session;  // null where it is not registered
    bool lingered = false;
  };
  Removed remove(ClientSession& session);

  void setBusy(ClientSession& session) { move(session, busy_); }
  void setIdle(ClientSession& session);
  void setLingering(ClientSession& session) { move(session, lingering_); }

  bool empty() const { return index_.empty(); }
  std::vector<ClientSession*> all() const;
  // @return the session that has lingered longest, or null.
  ClientSession* oldestLingering() const { return lingering_.empty() ? nullptr : lingering_.front().get(); }
  // Closes one idle session in order.
  // @param idleSince  only one that became idle at that time or before.
  // @return false where none can be closed.
  bool evictOne(std::optional<Micros> idleSince = {});

 private:
  using Sessions = std::list<std::unique_ptr<ClientSession>>;
  struct Entry {
    Sessions* list;
    Sessions::iterator position;
  };

  std::vector<Sessions*> evictable();
  bool closeOneOf(Sessions& sessions);
  void move(ClientSession& session, Sessions& to);

  Sessions busy_;           // with an open request
  Sessions returning_;      // idle, have sent more than one request; the longest idle first
  Sessions singleRequest_;  // idle, have sent one request; the longest idle first
  Sessions newcomers_;      // nothing they sent could be read so far; the oldest first
  Sessions lingering_;      // are closing; the oldest first
  std::unordered_map<ClientSession*, Entry> index_;
};

}  // namespace heathflow::downstream
