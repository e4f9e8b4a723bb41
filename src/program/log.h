// The log: lines on standard error, so many a second of each topic at the most.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "routing/observer.h"

namespace heathflow::program {

// Writes one line, always. For what is said once: start, end, what was asked for.
void logLine(const std::string& text);

class Log final : public routing::Observer {
 public:
  using Seconds = std::function<std::int64_t()>;
  Log();
  explicit Log(Seconds seconds) : seconds_(std::move(seconds)) {}

  // Guards the disk and the CPU of a process in trouble: the rest of a second's lines are only counted.
  void note(routing::Topic topic, const std::string& text) override;

 private:
  struct Bucket {
    std::int64_t second = 0;
    unsigned lines = 0;
    std::uint64_t dropped = 0;
  };
  Seconds seconds_;
  std::array<Bucket, 4> buckets_{};
};

}  // namespace heathflow::program
