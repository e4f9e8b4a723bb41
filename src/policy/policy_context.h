// State shared by all parts of the policy: settings, the time of the current event, random numbers, and the
// actions that result from the event.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <random>
#include <utility>
#include <vector>

#include "common/uniform.h"
#include "policy/routing_policy.h"

namespace heathflow::policy {

inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000 * kMillisecond;
// Earlier than any clock reading; subtracting it from a clock reading does not overflow.
inline constexpr Micros kNever = std::numeric_limits<Micros>::min() / 4;
// Less than the position of any endpoint.
inline constexpr LogPosition kNoPosition{kNever};

inline double toDouble(Micros value) { return static_cast<double>(value); }
inline Micros shareOf(double share, Micros span) { return static_cast<Micros>(share * toDouble(span)); }

// The purpose of a timer. The comments give the subject that its token carries.
enum class TimerKind : std::uint64_t {
  RequestExpiry,  // request
  QueueDispatch,  // group
  DiscoveryPoll,  // number of the poll
  Shutdown        // none
};

class PolicyContext {
 public:
  PolicyContext(PolicySettings settings, std::uint64_t seed, Micros now, std::vector<Action>& actions)
      : settings_(std::move(settings)), random_(seed), now_(now), actions_(&actions) {
    for (const RequestClassSettings& requestClass : settings_.classes) {
      if (requestClass.consistency != Consistency::BoundedStaleness || requestClass.maxStaleness <= 0)
        continue;
      smallestStaleness_ = smallestStaleness_ == 0 ? requestClass.maxStaleness
                                                   : std::min(smallestStaleness_, requestClass.maxStaleness);
    }
    if (smallestStaleness_ == 0) smallestStaleness_ = kSecond;
  }
  PolicyContext(const PolicyContext&) = delete;
  PolicyContext& operator=(const PolicyContext&) = delete;

  // Begins an event at the given time; its actions are appended to `actions`.
  void begin(Micros now, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
  }

  const PolicySettings& settings() const { return settings_; }
  const RequestClassSettings& classAt(std::size_t index) const { return settings_.classes[index]; }
  Micros now() const { return now_; }
  void setClockLead(Micros lead) { clockLead_ = lead; }
  // Returns the time of this process up to which an endpoint with the given position has certainly applied
  // all commits; kNever for kNoPosition.
  Micros processTimeOf(LogPosition position) const {
    return position == kNoPosition ? kNever : static_cast<Micros>(position) - clockLead_;
  }
  // Returns the smallest bound of the classes with bounded staleness; one second if there is none.
  Micros smallestStaleness() const { return smallestStaleness_; }
  // Returns the time over which the load of an endpoint in slow start is counted, at least a millisecond.
  Micros overloadWindow() const { return std::max(settings_.overloadWindow, kMillisecond); }

  // Returns a random number from 0 to 1.
  double random() { return uniformUnit(random_()); }
  std::uint64_t randomBits() { return random_(); }

  template <typename A>
  void emit(A action) {
    actions_->push_back(action);
  }
  void setTimer(TimerKind kind, std::uint64_t subject, Micros after) {
    emit(SetTimer{(static_cast<std::uint64_t>(kind) << kTimerKindShift) | subject,
                  std::max<Micros>(after, 0)});
  }
  static TimerKind timerKindOf(std::uint64_t token) {
    return static_cast<TimerKind>(token >> kTimerKindShift);
  }
  static std::uint64_t timerSubjectOf(std::uint64_t token) {
    return token & ((std::uint64_t{1} << kTimerKindShift) - 1);
  }

 private:
  static constexpr unsigned kTimerKindShift = 56;

  PolicySettings settings_;
  std::mt19937_64 random_;
  Micros now_;
  std::vector<Action>* actions_;
  Micros smallestStaleness_ = 0;
  Micros clockLead_ = 0;  // by how much the endpoints' clocks may lead this process's clock
};

}  // namespace heathflow::policy
