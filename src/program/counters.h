// The counters as text, for SIGUSR1, for the periodic print and for the end.
#pragma once

#include <string>

#include "stats/observer.h"

namespace heathflow::program {

// Lines of "group: name=value ...".
std::string describe(const stats::Counters& counters);

}  // namespace heathflow::program
