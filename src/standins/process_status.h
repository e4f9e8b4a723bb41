// Reads memory and descriptor use of a process that a test has started, and limits its descriptors.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace heathflow::test {

// Returns a number from /proc/PID/status by its key, such as "VmRSS" (kB) or "Threads"; 0 if it is missing.
inline std::size_t statusOf(pid_t process, const std::string& key) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(key + ":", 0) == 0) return std::stoul(line.substr(key.size() + 1));
  }
  return 0;
}

// Whether resident memory tells what the program itself uses: the address sanitizer adds several times as
// much.
#ifdef __SANITIZE_ADDRESS__
inline constexpr bool kResidentMemoryIsReliable = false;
#else
inline constexpr bool kResidentMemoryIsReliable = true;
#endif

// Returns the resident memory in bytes.
inline std::size_t residentOf(pid_t process) { return statusOf(process, "VmRSS") * 1024; }

// Returns the number of open descriptors.
inline std::size_t descriptorsOf(pid_t process) {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd")) {
    ++count;
  }
  return count;
}

// Sets the process's limit of open descriptors. Throws std::runtime_error if the system refuses.
inline void limitDescriptors(pid_t process, std::size_t most) {
  const rlimit limit{most, most};
  if (::prlimit(process, RLIMIT_NOFILE, &limit, nullptr) != 0)
    throw std::runtime_error("prlimit: the descriptor limit of process " + std::to_string(process) +
                             " can't be set");
}

}  // namespace heathflow::test
