#include "emulator/subset_cost.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "subset/subset.h"

namespace heathflow::emulator {
namespace {

using Places = std::vector<std::size_t>;
// Which gateways serve a group where only the first 'gateways' of them are there.
using Choice = std::function<Places(std::size_t group, std::size_t gateways)>;

constexpr unsigned kGroups = 10;
constexpr unsigned kForGateways = 11;

SubsetCost costOf(unsigned gateways, const Choice& choice) {
  const std::size_t groups = std::max(1U, gateways * kGroups / kForGateways);
  std::vector<std::size_t> load(gateways, 0);
  std::size_t pairs = 0, moved = 0;
  for (std::size_t group = 0; group < groups; ++group) {
    const Places before = choice(group, gateways);
    const Places after = choice(group, gateways - 1);
    const std::set<std::size_t> had(before.begin(), before.end());
    pairs += before.size();
    for (const std::size_t place : before) ++load[place];
    for (const std::size_t place : after) moved += had.contains(place) ? 0 : 1;
  }
  SubsetCost out;
  const double mean = static_cast<double>(pairs) / gateways;
  out.mostOverMean = static_cast<double>(*std::max_element(load.begin(), load.end())) / mean;
  out.movedShare = static_cast<double>(moved) / static_cast<double>(pairs);
  return out;
}

}  // namespace

SubsetCost rendezvousCost(unsigned gateways, unsigned each) {
  subset::Names all, fewer;
  for (unsigned i = 0; i < gateways; ++i) all.push_back("n" + std::to_string(i));
  fewer.assign(all.begin(), all.end() - 1);
  return costOf(gateways, [&](std::size_t group, std::size_t there) {
    return subset::rendezvousSubset("group-" + std::to_string(group), there == gateways ? all : fewer, each);
  });
}

SubsetCost dealtCost(unsigned gateways, unsigned each) {
  return costOf(gateways, [&](std::size_t group, std::size_t there) {
    return subset::deterministicSubset(group, there, each);
  });
}

}  // namespace heathflow::emulator
