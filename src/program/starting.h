// Starts what a call of the system may reject for a moment: tries again within a bounded time.
#pragma once

#include <functional>
#include <string>

namespace heathflow::program {

// Calls 'attempt' until it gives 0, an error that can't pass, or the time of a start is over; says once that
// it waits. The last error. Nothing else runs meanwhile.
int untilStarted(const std::string& what, const std::function<int()>& attempt);

}  // namespace heathflow::program
