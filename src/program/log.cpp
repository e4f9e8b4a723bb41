#include "program/log.h"

#include <chrono>
#include <cstdio>

namespace heathflow::program {
namespace {

constexpr unsigned kLinesPerSecond = 5;
constexpr std::array<const char*, 4> kNames = {"clients", "members", "discovery", "limits"};

}  // namespace

Log::Log()
    : Log([] {
        using std::chrono::seconds;
        return std::chrono::duration_cast<seconds>(std::chrono::steady_clock::now().time_since_epoch())
            .count();
      }) {}

void logLine(const std::string& text) { std::fprintf(stderr, "heathflow: %s\n", text.c_str()); }

void Log::note(routing::Topic topic, const std::string& text) {
  const auto index = static_cast<std::size_t>(topic);
  Bucket& bucket = buckets_[index];
  const std::int64_t second = seconds_();
  if (bucket.second != second) {
    const std::uint64_t dropped = bucket.dropped;
    bucket = Bucket{second, 0, 0};
    if (dropped != 0) {
      logLine(std::string(kNames[index]) + ": " + std::to_string(dropped) + " more lines were left out");
    }
  }
  if (++bucket.lines > kLinesPerSecond) {
    ++bucket.dropped;
    return;
  }
  logLine(std::string(kNames[index]) + ": " + text);
}

}  // namespace heathflow::program
