// The counters as text, for SIGUSR1 and the end.
#pragma once

#include <string>

#include "stats/observer.h"

namespace heathflow::program {

// Lines of "name value", in groups.
std::string describe(const routing::Counters& counters);

}  // namespace heathflow::program
