// The configuration that the process is started with: a JSON file and a few environment variables.
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
  std::size_t sockets = 0;
  std::size_t memory = 0;  // bytes
  protocol::EndpointList known;
  settings::InstanceSettings settings;
};

// A configuration that can't be used; what() is one line that names the key.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(const std::string& text, int systemError = 0)
      : std::runtime_error(text), systemError_(systemError) {}
  // The error number where the file could not be read; 0 where its content is wrong.
  int systemError() const { return systemError_; }

 private:
  int systemError_;
};

// Reads the file that NODE_CONFIG names, and the variables beside it.
// @param fallbackFile  read where NODE_CONFIG is not set; empty: none.
// @throws ConfigError
Config loadConfig(const std::string& fallbackFile);
// @param text  of the file.
// @throws ConfigError
Config parseConfig(const std::string& text);

}  // namespace heathflow::program
