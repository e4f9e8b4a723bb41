// What the process is started with: the environment and the file that it names.
#pragma once

#include <cstdint>
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

// Reads the file that NODE_CONFIG names, else the one given, and the variables beside it. False, with one
// plain line that names the key, on bad input; 'error' then holds why the file could not be read, or 0.
bool loadConfig(Config& out, std::string& problem, const std::string& otherwise, int& error);
// The same from the text of the file.
bool parseConfig(const std::string& text, Config& out, std::string& problem);

}  // namespace heathflow::program
