// The log: lines on standard error, limited by topic and second, as plain text, key=value or JSON.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "installation/installation.h"
#include "stats/observer.h"

namespace heathflow::program {

// Sets the form and the level of all further lines; plain text until then.
void configureLog(const installation::LogSettings& settings);
// Writes one line without a limit, for rare events: start, end, counters.
void logLine(const std::string& text);

class Log final : public stats::Observer {
 public:
  using Seconds = std::function<std::int64_t()>;
  Log();
  explicit Log(Seconds seconds) : seconds_(std::move(seconds)) {}

  void setLinesPerSecond(unsigned lines) { linesPerSecond_ = lines; }

  // Beyond the limit lines are only counted, so that an overloaded process does not spend its CPU and disk on
  // them.
  using Observer::log;
  void log(stats::Topic topic, const std::string& text, const stats::LogContext& context) override;
  // Not limited.
  void trace(stats::Topic topic, const std::string& text, const stats::LogContext& context) override;

 private:
  struct Bucket {
    std::int64_t second = 0;
    unsigned lines = 0;
    std::uint64_t dropped = 0;
  };
  Seconds seconds_;
  unsigned linesPerSecond_ = installation::LogSettings{}.linesPerSecond;
  std::array<Bucket, stats::kTopics> buckets_{};
};

}  // namespace heathflow::program
