// The log: lines on standard error, as plain text, key=value or JSON, with a rate limit per topic.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "installation/installation.h"
#include "stats/observer.h"

namespace heathflow::program {

// Sets the format and the level of all further lines. Lines before the call are plain text.
void configureLog(const installation::LogSettings& settings);
// Writes one line without the rate limit, for rare events: start, shutdown, counters.
void logLine(const std::string& text);

class Log final : public stats::Observer {
 public:
  using Seconds = std::function<std::int64_t()>;
  Log();
  explicit Log(Seconds seconds) : seconds_(std::move(seconds)) {}

  void setLinesPerSecond(unsigned lines) { linesPerSecond_ = lines; }

  // Beyond the rate limit lines are only counted, so that an overloaded process does not spend CPU time and
  // disk space on them.
  using Observer::log;
  void log(stats::Topic topic, const std::string& text, const stats::LogContext& context) override;
  // Has no rate limit.
  void trace(stats::Topic topic, const std::string& text, const stats::LogContext& context) override;

 private:
  struct Bucket {
    std::int64_t second = 0;
    unsigned lines = 0;
    std::uint64_t suppressed = 0;
  };
  Seconds seconds_;
  unsigned linesPerSecond_ = installation::LogSettings{}.linesPerSecond;
  std::array<Bucket, stats::kTopics> buckets_{};
};

}  // namespace heathflow::program
