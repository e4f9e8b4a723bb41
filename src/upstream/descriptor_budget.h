// How many sockets may be open to clients and endpoints, so that the rest of the process keeps its own.
#pragma once

#include <algorithm>
#include <cstddef>

#include "stats/observer.h"

namespace heathflow::upstream {

class DescriptorBudget {
 public:
  // Kept back: standard streams, epoll, signals, listener, discovery, and a little for what the system opens.
  static constexpr std::size_t kReserved = 24;
  // Clients beyond their part are still let in, up to so many, to be told so.
  static constexpr std::size_t kTurnedAwayAtOnce = 16;

  DescriptorBudget(std::size_t limit, stats::Counters& counters)
      : limit_(std::max(limit, 2 * (kReserved + kTurnedAwayAtOnce)) - kReserved - kTurnedAwayAtOnce),
        counters_(counters) {}

  // Clients get half of all descriptors: each of their requests needs a connection to an endpoint as well.
  bool clientFits() const { return clients_ < limit_ / 2; }
  // Whether one more may still be taken in to be told that there is no place for it.
  bool clientMayBeRejected() const { return clients_ < limit_ / 2 + kTurnedAwayAtOnce; }
  // They hold so much of the third that fronts count on that new ones might soon find no place. Those that
  // only linger give theirs as soon as it is wanted.
  bool clientsCrowd() const { return clients_ - lingering_ > limit_ / 4; }
  bool endpointFits() const { return std::min(clients_, limit_ / 2) + endpoints_ < limit_; }

  void clientOpened() { changed(++clients_ + endpoints_); }
  void clientLingers() { ++lingering_; }
  void clientClosed(bool lingered) {
    if (lingered) --lingering_;
    changed(--clients_ + endpoints_);
  }
  void endpointOpened() { changed(clients_ + ++endpoints_); }
  void endpointClosed() { changed(clients_ + --endpoints_); }

 private:
  void changed(std::size_t now) {
    counters_.descriptors = now;
    counters_.descriptorsPeak = std::max<std::uint64_t>(counters_.descriptorsPeak, now);
  }

  std::size_t limit_;
  std::size_t clients_ = 0;
  std::size_t lingering_ = 0;  // of these
  std::size_t endpoints_ = 0;
  stats::Counters& counters_;
};

}  // namespace heathflow::upstream
