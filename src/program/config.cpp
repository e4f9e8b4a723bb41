#include "program/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <nlohmann/json.hpp>

#include "files/files.h"

namespace heathflow::program {
namespace {

using Json = nlohmann::json;

// Used if neither the file nor the system sets a lower limit.
constexpr std::size_t kDefaultMaxSockets = 1024;
// The least that a gateway is deployed with; the most is 192 MB.
constexpr std::size_t kDefaultMemoryMb = 32;
constexpr std::size_t kMaxMemoryMb = 1'000'000;
constexpr std::size_t kMegabyte = 1'000'000;

const char* environmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr || *value == '\0' ? nullptr : value;
}

std::string keyName(const char* key) { return std::string("configuration key '") + key + "'"; }

// Returns a string from the file, or from the environment if the file lacks the key.
// @param variable  the environment variable; null: none.
std::string readText(const Json& file, const char* key, const char* variable) {
  const auto found = file.find(key);
  if (found != file.end() && !found->is_null()) {
    if (!found->is_string()) throw ConfigError(keyName(key) + " has a value of the wrong type");
    return found->get<std::string>();
  }
  const char* value = variable == nullptr ? nullptr : environmentVariable(variable);
  if (value == nullptr) throw ConfigError(keyName(key) + " is missing");
  return value;
}

transport::SocketAddress readAddress(const Json& file, const char* key, const char* variable) {
  const std::string text = readText(file, key, variable);
  const auto address = transport::parseSocketAddress(text);
  if (!address) throw ConfigError(keyName(key) + " is not an address and port: " + text);
  return *address;
}

std::uint64_t readSeed(const Json& file) {
  const std::string text = readText(file, "seed", nullptr);
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size() || text.empty())
    throw ConfigError("configuration key 'seed' is not a hexadecimal number of at most 64 bits");
  return seed;
}

std::size_t systemSocketLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return kDefaultMaxSockets;
  return static_cast<std::size_t>(limit.rlim_cur);
}

// Returns a limit from the file, or 'fallback' if the file does not have it.
std::size_t readLimit(const Json& file, const char* key, std::size_t fallback) {
  const auto limits = file.find("limits");
  if (limits == file.end() || !limits->is_object() || !limits->contains(key)) return fallback;
  const Json& value = limits->at(key);
  if (!value.is_number_unsigned()) throw ConfigError(keyName(key) + " has a value of the wrong type");
  return value.get<std::size_t>();
}

protocol::EndpointList readKnownList(const Json& file) {
  std::string problem;
  const auto known = protocol::parseEndpointList(file.at("known").dump(), problem);
  if (!known) throw ConfigError("configuration key 'known' is not a valid endpoint list: " + problem);
  return *known;
}

Config readAll(const Json& file) {
  if (!file.is_object()) throw ConfigError("the configuration is not a JSON object");
  Config config;
  config.name = readText(file, "name", "NODE_NAME");
  config.listen = readAddress(file, "listen", "NODE_LISTEN");
  config.discovery = readAddress(file, "discovery", "NODE_DISCOVERY");
  config.seed = readSeed(file);
  config.sockets = std::min(readLimit(file, "sockets", kDefaultMaxSockets), systemSocketLimit());
  config.memory = std::min(readLimit(file, "memory_mb", kDefaultMemoryMb), kMaxMemoryMb) * kMegabyte;
  for (const char* key : {"settings", "known"}) {
    if (!file.contains(key)) throw ConfigError(keyName(key) + " is missing");
  }
  config.known = readKnownList(file);
  config.settings = settings::parseSettings(file.at("settings").dump());
  return config;
}

}  // namespace

Config parseConfig(const std::string& text) {
  try {
    return readAll(Json::parse(text, nullptr, false));
  } catch (const ConfigError&) {
    throw;
  } catch (const std::exception& error) {
    throw ConfigError(error.what());
  }
}

Config loadConfig(const std::string& fallbackFile) {
  const char* path = environmentVariable("NODE_CONFIG");
  const bool useFallback = path == nullptr && !fallbackFile.empty();
  if (useFallback) path = fallbackFile.c_str();
  if (path == nullptr) throw ConfigError("the environment variable NODE_CONFIG is not set");
  const files::Content content = files::read(path);
  if (content.bytes) return parseConfig(*content.bytes);
  throw ConfigError(std::string("the configuration file named by ") +
                        (useFallback ? "the settings" : "NODE_CONFIG") + " can't be read: " + path + ": " +
                        std::strerror(content.error),
                    content.error);
}

}  // namespace heathflow::program
