// Limits the sockets that are open to clients and endpoints, so that the rest of the process keeps its own.
#pragma once

#include <algorithm>
#include <cstddef>

#include "stats/observer.h"

namespace heathflow::upstream {

class DescriptorBudget {
 public:
  // For standard streams, epoll, signals, listeners, discovery, and what the system opens.
  static constexpr std::size_t kReserved = 24;
  // So many clients beyond their share are accepted at a time, to be sent an error.
  static constexpr std::size_t kMaxRejectedClients = 16;

  // @param limit  of descriptors for the whole process.
  DescriptorBudget(std::size_t limit, stats::Counters& counters)
      : limit_(std::max(limit, 2 * (kReserved + kMaxRejectedClients)) - kReserved - kMaxRejectedClients),
        counters_(counters) {}

  // Clients get half of all descriptors: each of their requests needs a connection to an endpoint as well.
  bool canServeClient() const { return clients_ < limit_ / 2; }
  // Whether one more client may be accepted to be sent an error.
  bool canRejectClient() const { return clients_ < limit_ / 2 + kMaxRejectedClients; }
  // Whether clients use more than half of their share, so that idle ones are evicted before new ones have to
  // be rejected. Lingering connections don't count: they are closed as soon as a descriptor is needed.
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
  std::size_t lingering_ = 0;  // of the clients
  std::size_t endpoints_ = 0;
  stats::Counters& counters_;
};

}  // namespace heathflow::upstream
