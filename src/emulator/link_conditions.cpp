#include "emulator/link_conditions.h"

#include <algorithm>
#include <utility>

namespace heathflow::emulator {
namespace {

const Fault kNoFault;

bool cut(const Fault& fault, Direction direction) {
  return direction == Direction::ToServer ? fault.cutToServer : fault.cutToClient;
}

}  // namespace

LinkConditions::LinkConditions(std::vector<Fault> schedule, std::uint64_t seed)
    : schedule_(std::move(schedule)), random_(seed) {
  std::stable_sort(schedule_.begin(), schedule_.end(),
                   [](const Fault& a, const Fault& b) { return a.from < b.from; });
}

const Fault& LinkConditions::at(Micros now) const {
  const auto next = std::upper_bound(schedule_.begin(), schedule_.end(), now,
                                     [](Micros when, const Fault& fault) { return when < fault.from; });
  return next == schedule_.begin() ? kNoFault : *std::prev(next);
}

std::optional<Micros> LinkConditions::nextChangeAfter(Micros now) const {
  const auto next = std::upper_bound(schedule_.begin(), schedule_.end(), now,
                                     [](Micros when, const Fault& fault) { return when < fault.from; });
  if (next == schedule_.end()) return {};
  return next->from;
}

Micros LinkConditions::drawDelay(const Fault& fault) {
  return fault.delay + static_cast<Micros>(random() * static_cast<double>(fault.jitter));
}

std::vector<Micros> LinkConditions::arrivals(Micros now, Direction direction) {
  const Fault& fault = at(now);
  // All values are drawn for every datagram, so that the draws do not depend on the fault that applies.
  const bool lost = random() < fault.loss;
  const bool doubled = random() < fault.duplicates;
  const Micros first = now + drawDelay(fault);
  const Micros second = now + drawDelay(fault);
  if (cut(fault, direction) || lost) return {};
  if (!doubled) return {first};
  return {first, second};
}

std::optional<Micros> LinkConditions::streamArrival(Micros now, Direction direction, Micros notBefore) {
  const Fault& fault = at(now);
  if (cut(fault, direction)) return {};
  return std::max(notBefore, now + drawDelay(fault));
}

}  // namespace heathflow::emulator
