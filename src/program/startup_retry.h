// Repeats a step of the start that a system call may reject for a moment.
#pragma once

#include <functional>
#include <string>

namespace heathflow::program {

// Blocks until the step succeeds, fails with an error that will not pass, or the time for a start is over.
// Logs once that it waits.
// @param name  of the step, for the log.
// @param step  returns an error number or throws std::system_error; 0: success.
// @return the last error number; 0: success.
int retryAtStartup(const std::string& name, const std::function<int()>& step);

}  // namespace heathflow::program
