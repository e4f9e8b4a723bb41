// What subsets of drivers for each group cost at a size: balance, and what moves when one driver goes.
#pragma once

#include <cstddef>

namespace heathflow::rig {

struct SubsetCost {
  double mostOverMean = 0;  // groups of the driver that has most, by the mean of all
  double movedShare = 0;    // of all pairs of group and driver, when one driver goes: new ones
};

// Ten groups for eleven drivers, each served by so many ('each').
SubsetCost rendezvousCost(unsigned drivers, unsigned each);
SubsetCost dealtCost(unsigned drivers, unsigned each);

}  // namespace heathflow::rig
