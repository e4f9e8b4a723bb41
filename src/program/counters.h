// Formats the counters for the log.
#pragma once

#include <string>

#include "stats/observer.h"

namespace heathflow::program {

// Returns one line per group: "group: name=value ...".
std::string describe(const stats::Counters& counters);

}  // namespace heathflow::program
