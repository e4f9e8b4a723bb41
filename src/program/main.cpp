// The gateway's command line. Without arguments it serves, which is how the platform starts it.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "files/files.h"
#include "installation/installation.h"
#include "program/config.h"
#include "program/log.h"
#include "program/serve.h"
#include "program/signals.h"

namespace {

using namespace heathflow;

constexpr std::string_view kServe = "serve";

// Checks the class names of the settings against the node's configuration.
void checkAgainstNode(const installation::Installation& settings, const std::string& settingsFile,
                      const std::string& nodeFile, std::vector<installation::Problem>& problems) {
  const files::Content text = files::read(nodeFile);
  if (!text.bytes) {
    problems.push_back(
        {nodeFile, 0, "", std::string("the file can't be opened: ") + std::strerror(text.error)});
    return;
  }
  try {
    const program::Config config = program::parseConfig(*text.bytes);
    installation::checkClasses(settings, settingsFile, config.settings.classNames, problems);
  } catch (const program::ConfigError& error) {
    problems.push_back({nodeFile, 0, "", error.what()});
  }
}

// Prints one line for each problem of a settings file, or a summary if there is none.
// @param nodeFile  the node's configuration; empty: none.
int checkConfig(const std::string& settingsFile, const std::string& nodeFile) {
  std::vector<installation::Problem> problems;
  const auto loaded = installation::load(settingsFile, problems);
  if (loaded && !nodeFile.empty()) checkAgainstNode(*loaded, settingsFile, nodeFile, problems);
  for (const auto& problem : problems) std::fprintf(stderr, "%s\n", toText(problem).c_str());
  if (!problems.empty()) return program::kInvalidInput;
  std::printf("%s: valid, %zu listeners, %zu families\n", settingsFile.c_str(), loaded->listeners.size(),
              loaded->families.size());
  return program::kSuccess;
}

int commandLine(int argc, char** argv) {
  CLI::App app("heathflow: a gateway that balances reads over replicas and sends writes to the primary",
               "heathflow");
  app.set_version_flag("--version", "heathflow " HEATHFLOW_VERSION);
  app.require_subcommand(1);
  app.footer(
      "Without arguments it serves with the configuration file that NODE_CONFIG names.\n"
      "Exit codes: 0 success, 1 failure, 2 invalid input, 64 usage error.");
  std::string settingsFile;
  CLI::App* serveCommand = app.add_subcommand(
      std::string(kServe), "Serve with the configuration that NODE_CONFIG names and, if given, the settings");
  serveCommand->add_option("--config", settingsFile, "The installation's settings (XML)");
  std::string checkedFile;
  std::string nodeFile;
  CLI::App* check = app.add_subcommand("check-config", "Print all problems of a settings file");
  check->add_option("FILE", checkedFile, "The installation's settings (XML)")->required();
  check->add_option("--node", nodeFile, "The node's configuration (JSON) to check class names against");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? program::kSuccess : program::kUsageError;
  }
  return serveCommand->parsed() ? program::serve(settingsFile) : checkConfig(checkedFile, nodeFile);
}

}  // namespace

int main(int argc, char** argv) {
  // Signals are blocked first, because one that arrives before its handler is set up would end the process.
  if (argc == 1 || argv[1] == kServe) program::blockSignals();
  try {
    return argc == 1 ? program::serve({}) : commandLine(argc, argv);
  } catch (const std::exception& error) {
    program::logLine(error.what());
    return program::kFailure;
  }
}
