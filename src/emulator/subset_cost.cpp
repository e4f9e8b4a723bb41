#include "emulator/subset_cost.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "subset/subset.h"

namespace heathflow::emulator {
namespace {

using Gateways = std::vector<std::size_t>;
// Returns which gateways serve a group if only the first 'gateways' of them are present.
using SubsetChoice = std::function<Gateways(std::size_t group, std::size_t gateways)>;

// Ten groups for every eleven gateways.
constexpr unsigned kGroups = 10;
constexpr unsigned kPerGateways = 11;

SubsetCost costOf(unsigned gateways, const SubsetChoice& choice) {
  const std::size_t groups = std::max(1U, gateways * kGroups / kPerGateways);
  std::vector<std::size_t> load(gateways, 0);
  std::size_t pairs = 0, moved = 0;
  for (std::size_t group = 0; group < groups; ++group) {
    const Gateways before = choice(group, gateways);
    const Gateways after = choice(group, gateways - 1);
    const std::set<std::size_t> earlier(before.begin(), before.end());
    pairs += before.size();
    for (const std::size_t gateway : before) ++load[gateway];
    for (const std::size_t gateway : after) moved += earlier.contains(gateway) ? 0 : 1;
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
  return costOf(gateways, [&](std::size_t group, std::size_t present) {
    return subset::rendezvousSubset("group-" + std::to_string(group), present == gateways ? all : fewer,
                                    each);
  });
}

SubsetCost deterministicCost(unsigned gateways, unsigned each) {
  return costOf(gateways, [&](std::size_t group, std::size_t present) {
    return subset::deterministicSubset(group, present, each);
  });
}

}  // namespace heathflow::emulator
