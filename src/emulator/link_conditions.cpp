#include "emulator/link_conditions.h"

#include <algorithm>
#include <utility>

namespace heathflow::emulator {
namespace {

const Fault kNone;

bool cut(const Fault& fault, Way way) { return way == Way::Forth ? fault.cutForth : fault.cutBack; }

}  // namespace

LinkConditions::LinkConditions(std::vector<Fault> schedule, std::uint64_t seed)
    : schedule_(std::move(schedule)), random_(seed) {
  std::stable_sort(schedule_.begin(), schedule_.end(),
                   [](const Fault& a, const Fault& b) { return a.from < b.from; });
}

const Fault& LinkConditions::at(Micros now) const {
  const auto next = std::upper_bound(schedule_.begin(), schedule_.end(), now,
                                     [](Micros when, const Fault& fault) { return when < fault.from; });
  return next == schedule_.begin() ? kNone : *std::prev(next);
}

std::optional<Micros> LinkConditions::nextChangeAfter(Micros now) const {
  const auto next = std::upper_bound(schedule_.begin(), schedule_.end(), now,
                                     [](Micros when, const Fault& fault) { return when < fault.from; });
  if (next == schedule_.end()) return {};
  return next->from;
}

Micros LinkConditions::lateness(const Fault& fault) {
  return fault.delay + static_cast<Micros>(random() * static_cast<double>(fault.jitter));
}

std::vector<Micros> LinkConditions::arrivals(Micros now, Way way) {
  const Fault& fault = at(now);
  // Drawn also where they do not count, so that one fault's luck does not hang on another.
  const bool lost = random() < fault.loss;
  const bool doubled = random() < fault.twice;
  const Micros first = now + lateness(fault);
  const Micros second = now + lateness(fault);
  if (cut(fault, way) || lost) return {};
  if (!doubled) return {first};
  return {first, second};
}

std::optional<Micros> LinkConditions::streamArrival(Micros now, Way way, Micros notBefore) {
  const Fault& fault = at(now);
  if (cut(fault, way)) return {};
  return std::max(notBefore, now + lateness(fault));
}

}  // namespace heathflow::emulator
