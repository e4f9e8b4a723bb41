// What the kernel tells of a process that a test has started.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace heathflow::test {

// A number from /proc/PID/status by its key, such as "VmRSS" (kB) or "Threads"; 0 where there is none.
inline std::size_t statusOf(pid_t process, const std::string& key) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(key + ":", 0) == 0) return std::stoul(line.substr(key.size() + 1));
  }
  return 0;
}

// Bytes of memory that it holds at present.
inline std::size_t residentOf(pid_t process) { return statusOf(process, "VmRSS") * 1024; }

// How many descriptors it holds at present.
inline std::size_t descriptorsOf(pid_t process) {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd")) {
    ++count;
  }
  return count;
}

// From now on the kernel gives it no more descriptors than that.
inline void limitDescriptors(pid_t process, std::size_t most) {
  const rlimit limit{most, most};
  if (::prlimit(process, RLIMIT_NOFILE, &limit, nullptr) != 0) throw std::runtime_error("no limit was set");
}

}  // namespace heathflow::test
