// The log: lines on standard error, so many a second of each topic at the most. One function writes them all,
// as plain text, as key=value or as JSON, whatever the settings say.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "installation/installation.h"
#include "stats/observer.h"

namespace heathflow::program {

// From here on lines have this form, and those below this level are left out. Plain text until then.
void configureLog(const installation::LogSettings& settings);
// Writes one line, always. For what is said once: start, end, what was asked for.
void logLine(const std::string& text);

class Log final : public stats::Observer {
 public:
  using Seconds = std::function<std::int64_t()>;
  Log();
  explicit Log(Seconds seconds) : seconds_(std::move(seconds)) {}

  void setLinesPerSecond(unsigned lines) { linesPerSecond_ = lines; }

  // Guards the disk and the CPU of a process in trouble: the rest of a second's lines are only counted.
  using Observer::note;
  void note(stats::Topic topic, const std::string& text, const stats::LogContext& about) override;
  // Not limited: it is for one who looks for a cause, and asked for.
  void trace(stats::Topic topic, const std::string& text, const stats::LogContext& about) override;

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
