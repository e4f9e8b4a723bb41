#include "membership/probe_round.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace heathflow::membership {

void ProbeRound::insert(const std::string& name, double position) {
  const auto at = static_cast<std::ptrdiff_t>(position * static_cast<double>(names_.size() + 1));
  names_.insert(names_.begin() + at, name);
}

std::optional<std::string> ProbeRound::nextOfThisRound(
    const std::function<bool(const std::string&)>& mayProbe) {
  while (!names_.empty()) {
    std::string name = std::move(names_.back());
    names_.pop_back();
    if (mayProbe(name)) return name;
  }
  return std::nullopt;
}

std::optional<std::string> ProbeRound::next(const std::function<bool(const std::string&)>& mayProbe,
                                            const std::function<std::vector<std::string>()>& candidates,
                                            std::mt19937_64& random) {
  if (auto name = nextOfThisRound(mayProbe)) return name;
  names_ = candidates();
  std::shuffle(names_.begin(), names_.end(), random);
  return nextOfThisRound(mayProbe);
}

}  // namespace heathflow::membership
