// Runs one gateway until SIGTERM or SIGINT.
#pragma once

#include <string>

namespace heathflow::program {

// Exit codes of the program; --help lists them.
enum ExitCode { kSuccess = 0, kFailure = 1, kInvalidInput = 2, kUsageError = 64 };

// Serves with the configuration file that NODE_CONFIG names or, if NODE_CONFIG is not set, with the one that
// the settings file names. Errors are logged.
// @param settingsFile  the installation's settings; empty: none.
ExitCode serve(const std::string& settingsFile);

}  // namespace heathflow::program
