// The configuration with which the process starts: a JSON file and a few environment variables.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "protocol/endpoint_list.h"
#include "settings/settings.h"
#include "transport/socket.h"

namespace heathflow::program {

struct Config {
  std::string name;
  transport::SocketAddress listen;
  transport::SocketAddress discovery;
  std::uint64_t seed = 0;
  std::size_t sockets = 0;       // the most descriptors of the process
  std::size_t memory = 0;        // bytes
  protocol::EndpointList known;  // for the time until discovery has answered
  settings::InstanceSettings settings;
};

// Thrown for a configuration that can't be used. what() is one line that names the key or file.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(const std::string& text, int systemError = 0)
      : std::runtime_error(text), systemError_(systemError) {}
  // The errno value if the file could not be read; 0 if its content is invalid.
  int systemError() const { return systemError_; }

 private:
  int systemError_;
};

// Reads the file that NODE_CONFIG names, and the other environment variables.
// @param fallbackFile  read if NODE_CONFIG is not set; empty: none.
// @throws ConfigError
Config loadConfig(const std::string& fallbackFile);
// Parses the content of the file, and reads the other environment variables.
// @throws ConfigError
Config parseConfig(const std::string& text);

}  // namespace heathflow::program
