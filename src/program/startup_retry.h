// Retries a startup step that fails with a transient system error.
#pragma once

#include <functional>
#include <string>

namespace heathflow::program {

// Blocks until the step succeeds, fails with a permanent error, or the retry time of a start is used up. Logs
// only the first retry.
// @param name  the name of the step, for the log.
// @param step  returns an errno value, 0 on success, or throws std::system_error.
// @return the last errno value; 0 on success.
int retryStartupStep(const std::string& name, const std::function<int()>& step);

}  // namespace heathflow::program
