// Limits the sockets that are open to clients and endpoints, so that the rest of the process has descriptors
// left.
#pragma once

#include <algorithm>
#include <cstddef>

#include "stats/observer.h"

namespace heathflow::upstream {

class DescriptorBudget {
 public:
  // For standard streams, epoll, signals, listeners, discovery, and descriptors that the system opens.
  static constexpr std::size_t kReservedDescriptors = 24;
  // How many clients beyond their share may be connected at a time, so that they can be sent an error.
  static constexpr std::size_t kMaxRejectedClients = 16;

  // @param limit  the number of descriptors that the whole process may open.
  DescriptorBudget(std::size_t limit, stats::Counters& counters)
      : limit_(std::max(limit, 2 * (kReservedDescriptors + kMaxRejectedClients)) - kReservedDescriptors -
               kMaxRejectedClients),
        counters_(counters) {}

  // Clients get half of the descriptors, since each of their requests needs a connection to an endpoint too.
  bool canServeClient() const { return clients_ < limit_ / 2; }
  // Returns whether one more client may be accepted in order to send it an error.
  bool canRejectClient() const { return clients_ < limit_ / 2 + kMaxRejectedClients; }
  // Returns whether clients use more than half of their share. Idle ones are then evicted, before new ones
  // have to be rejected. Lingering connections don't count, because they are closed as soon as a descriptor
  // is needed.
  bool shouldEvictIdleClients() const { return clients_ - lingering_ > limit_ / 4; }
  bool canOpenUpstream() const { return std::min(clients_, limit_ / 2) + endpoints_ < limit_; }

  void clientOpened() { setInUse(++clients_ + endpoints_); }
  void clientLingers() { ++lingering_; }
  void clientClosed(bool lingered) {
    if (lingered) --lingering_;
    setInUse(--clients_ + endpoints_);
  }
  void upstreamOpened() { setInUse(clients_ + ++endpoints_); }
  void upstreamClosed() { setInUse(clients_ + --endpoints_); }

 private:
  void setInUse(std::size_t descriptors) {
    counters_.descriptors = descriptors;
    counters_.descriptorsPeak = std::max<std::uint64_t>(counters_.descriptorsPeak, descriptors);
  }

  std::size_t limit_;
  std::size_t clients_ = 0;
  std::size_t lingering_ = 0;  // clients whose connection lingers; included in clients_
  std::size_t endpoints_ = 0;
  stats::Counters& counters_;
};

}  // namespace heathflow::upstream
