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

// Used where neither the file nor the system sets a lower limit (DEPLOY, Limits).
constexpr std::size_t kSocketsAtMost = 1024;
// LATER, Score: a gateway has 32 to 192 MB.
constexpr std::size_t kMemoryMbLeast = 32;
constexpr std::size_t kMemoryMbMost = 1'000'000;
constexpr std::size_t kMegabyte = 1'000'000;

const char* variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr || *value == '\0' ? nullptr : value;
}

// A text from the file, or from the environment where the file lacks it.
bool readText(const Json& file, const char* key, const char* name, std::string& out, std::string& problem) {
  const auto found = file.find(key);
  if (found != file.end() && !found->is_null()) {
    if (!found->is_string()) {
      problem = std::string("the key '") + key + "' holds a value of the wrong type";
      return false;
    }
    out = found->get<std::string>();
    return true;
  }
  const char* value = name == nullptr ? nullptr : variable(name);
  if (value == nullptr) {
    problem = std::string("the key '") + key + "' is missing";
    return false;
  }
  out = value;
  return true;
}

bool readEndpoint(const Json& file, const char* key, const char* name, transport::SocketAddress& out,
                  std::string& problem) {
  std::string text;
  if (!readText(file, key, name, text, problem)) return false;
  const auto socketAddress = transport::parseSocketAddress(text);
  if (!socketAddress) {
    problem = std::string("the key '") + key + "' holds no address and port: " + text;
    return false;
  }
  out = *socketAddress;
  return true;
}

bool readSeed(const Json& file, std::uint64_t& out, std::string& problem) {
  std::string text;
  if (!readText(file, "seed", nullptr, text, problem)) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, 16);
  if (error == std::errc() && end == text.data() + text.size() && !text.empty()) return true;
  problem = "the key 'seed' holds no hexadecimal number";
  return false;
}

std::size_t systemSockets() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return kSocketsAtMost;
  return static_cast<std::size_t>(limit.rlim_cur);
}

// One of the limits; it stays as it is where the file names none.
bool readLimit(const Json& file, const char* key, std::size_t& out, std::string& problem) {
  const auto limits = file.find("limits");
  if (limits == file.end() || !limits->is_object() || !limits->contains(key)) return true;
  const Json& value = limits->at(key);
  if (!value.is_number_unsigned()) {
    problem = std::string("the key '") + key + "' holds a value of the wrong type";
    return false;
  }
  out = value.get<std::size_t>();
  return true;
}

bool readLimits(const Json& file, Config& out, std::string& problem) {
  out.sockets = kSocketsAtMost;
  out.memory = kMemoryMbLeast;
  if (!readLimit(file, "sockets", out.sockets, problem) || !readLimit(file, "memory_mb", out.memory, problem))
    return false;
  out.sockets = std::min(out.sockets, systemSockets());
  out.memory = std::min(out.memory, kMemoryMbMost) * kMegabyte;
  return true;
}

}  // namespace

bool parseConfig(const std::string& text, Config& out, std::string& problem) {
  try {
    const Json file = Json::parse(text, nullptr, false);
    if (!file.is_object()) {
      problem = "the file is no JSON object";
      return false;
    }
    if (!readText(file, "name", "NODE_NAME", out.name, problem) ||
        !readEndpoint(file, "listen", "NODE_LISTEN", out.listen, problem) ||
        !readEndpoint(file, "discovery", "NODE_DISCOVERY", out.discovery, problem) ||
        !readSeed(file, out.seed, problem) || !readLimits(file, out, problem)) {
      return false;
    }
    for (const char* key : {"settings", "known"}) {
      if (file.contains(key)) continue;
      problem = std::string("the key '") + key + "' is missing";
      return false;
    }
    const auto known = protocol::parseEndpointList(file.at("known").dump(), problem);
    if (!known) {
      problem = "the key 'known' can't be read: " + problem;
      return false;
    }
    out.known = *known;
    out.settings = settings::parseSettings(file.at("settings").dump());
    return true;
  } catch (const std::exception& error) {
    problem = error.what();
    return false;
  }
}

bool loadConfig(Config& out, std::string& problem, const std::string& otherwise, int& error) {
  error = 0;
  const char* path = variable("NODE_CONFIG");
  const bool given = path == nullptr && !otherwise.empty();
  if (given) path = otherwise.c_str();
  if (path == nullptr) {
    problem = "the variable NODE_CONFIG is not set";
    return false;
  }
  const files::Content text = files::read(path);
  if (text.bytes) return parseConfig(*text.bytes, out, problem);
  error = text.error;
  problem = std::string("the file that ") + (given ? "the settings name" : "NODE_CONFIG names") +
            " can't be opened: " + path + ": " + std::strerror(error);
  return false;
}

}  // namespace heathflow::program
