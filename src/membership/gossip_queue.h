// The updates that this gateway passes on with its messages, each a limited number of times.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "membership/messages.h"

namespace heathflow::membership {

class GossipQueue {
 public:
  // Adds an update, which replaces older updates about the same gateway.
  void add(const StateUpdate& update);
  // Appends the updates that were sent least often, until the message has 'maxUpdates'.
  // @param maxTransmissions the number of transmissions after which an update is dropped.
  void appendTo(std::vector<StateUpdate>& updates, std::size_t maxUpdates, unsigned maxTransmissions);

 private:
  struct Entry {
    StateUpdate update;
    unsigned transmissions = 0;
  };
  std::deque<Entry> entries_;
};

}  // namespace heathflow::membership
