// The cost of subsets of gateways for each group: balance, and what moves when a gateway is removed.
#pragma once

#include <cstddef>

namespace heathflow::emulator {

struct SubsetCost {
  double mostOverMean = 0;  // groups of the gateway with the most, by the mean of all
  double movedShare = 0;    // new pairs of group and gateway after the removal of a gateway, of all pairs
};

// Ten groups for eleven gateways.
// @param each  how many gateways serve a group.
SubsetCost rendezvousCost(unsigned gateways, unsigned each);
SubsetCost dealtCost(unsigned gateways, unsigned each);

}  // namespace heathflow::emulator
