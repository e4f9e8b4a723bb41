#include "emulator/usage.h"

#include <sys/resource.h>
#include <sys/sysinfo.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <thread>

namespace heathflow::emulator {
namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kGigabyte = std::size_t{1} << 30;
constexpr std::int64_t kNanosPerMicro = 1000;

std::string folderOf(pid_t process) { return "/proc/" + std::to_string(process); }

// Returns the size in bytes from a line "NAME  NUMBER kB"; 0 if the line has another name.
std::size_t sizeBehind(const std::string& line, std::string_view name) {
  if (!line.starts_with(name)) return 0;
  return std::strtoull(line.c_str() + name.size(), nullptr, 10) * kKilobyte;
}

}  // namespace

Usage usageOf(pid_t process) {
  Usage out;
  std::error_code error;
  for (const auto& task : std::filesystem::directory_iterator(folderOf(process) + "/task", error)) {
    std::ifstream file(task.path() / "schedstat");
    std::int64_t nanos = 0;
    if (file >> nanos) out.cpuTime += nanos / kNanosPerMicro;
  }
  std::ifstream status(folderOf(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    out.resident = std::max(out.resident, sizeBehind(line, "VmRSS:"));
    out.residentMost = std::max(out.residentMost, sizeBehind(line, "VmHWM:"));
  }
  return out;
}

std::size_t machineMemory() {
  struct sysinfo all {};
  if (::sysinfo(&all) != 0) return 0;
  return static_cast<std::size_t>(all.totalram) * all.mem_unit;
}

double machineLoad() {
  double load = 0;
  std::ifstream("/proc/loadavg") >> load;
  return load;
}

std::string machineName() {
  std::string model = "an unknown processor";
  std::ifstream file("/proc/cpuinfo");
  for (std::string line; std::getline(file, line);) {
    const std::size_t colon = line.find(": ");
    if (!line.starts_with("model name") || colon == std::string::npos) continue;
    model = line.substr(colon + 2);
    break;
  }
  return std::to_string(std::thread::hardware_concurrency()) + " cores of " + model + ", " +
         std::to_string(machineMemory() / kGigabyte) + " GiB";
}

std::size_t descriptorsLeft() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
  if (limit.rlim_cur == RLIM_INFINITY) return std::numeric_limits<std::size_t>::max();
  std::error_code error;
  const std::filesystem::directory_iterator open("/proc/self/fd", error);
  const auto used = static_cast<std::size_t>(std::distance(begin(open), end(open)));
  return limit.rlim_cur > used ? limit.rlim_cur - used : 0;
}

}  // namespace heathflow::emulator
