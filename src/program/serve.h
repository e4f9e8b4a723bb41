// Runs one gateway until SIGTERM or SIGINT.
#pragma once

#include <string>

namespace heathflow::program {

// How the program ends; README.md lists them.
enum ExitCode { kGood = 0, kFailed = 1, kUnusable = 2, kUsage = 64 };

// Serves as NODE_CONFIG and the settings file say. Errors are logged.
// @param settingsFile  the installation's settings; empty: none.
ExitCode serve(const std::string& settingsFile);

}  // namespace heathflow::program
