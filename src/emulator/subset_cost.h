// Measures the algorithms that choose a subset of gateways for each group: their balance, and how many pairs
// of group and gateway change when a gateway is removed.
#pragma once

#include <cstddef>

namespace heathflow::emulator {

struct SubsetCost {
  double mostOverMean = 0;  // largest number of groups of a gateway, divided by the mean
  double movedShare = 0;    // share of pairs that are new after the removal of a gateway
};

// Both assume ten groups for every eleven gateways.
// @param each  the number of gateways that serve a group.
SubsetCost rendezvousCost(unsigned gateways, unsigned each);
SubsetCost deterministicCost(unsigned gateways, unsigned each);

}  // namespace heathflow::emulator
