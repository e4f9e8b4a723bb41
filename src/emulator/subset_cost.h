// What subsets of gateways for each group cost at a size: balance, and what moves when one gateway goes.
#pragma once

#include <cstddef>

namespace heathflow::emulator {

struct SubsetCost {
  double mostOverMean = 0;  // groups of the gateway that has most, by the mean of all
  double movedShare = 0;    // of all pairs of group and gateway, when one gateway goes: new ones
};

// Ten groups for eleven gateways, each served by so many ('each').
SubsetCost rendezvousCost(unsigned gateways, unsigned each);
SubsetCost dealtCost(unsigned gateways, unsigned each);

}  // namespace heathflow::emulator
