// Estimates the time, in microseconds, that one call takes the list service.
#pragma once

#include <cstdint>
#include <optional>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

class ServiceCallCost {
 public:
  // @param cached the cost that an earlier process stored.
  explicit ServiceCallCost(std::optional<Micros> cached);

  // Records the duration of a call that was answered without waiting for a change.
  void observeAnswer(Micros elapsed);
  // Records that the service rejected a call, which suggests that it is slower than assumed.
  void observeRejection();

  // Returns the cost used to spread calls: the cached or default cost, raised by rejections.
  double assumed() const { return assumed_; }
  // Returns the duration of this process's fastest call, or the assumed cost if there was none.
  double observedOrAssumed() const { return fastest_ ? static_cast<double>(*fastest_) : assumed_; }
  // Returns an upper bound of the cost, to store in the snapshot; std::nullopt if nothing is known.
  std::optional<Micros> toCache() const;

 private:
  std::optional<Micros> cached_;
  std::optional<Micros> fastest_;
  double assumed_;
};

}  // namespace heathflow::discovery
