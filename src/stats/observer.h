// Receives the counters and log lines of a gateway. The program decides which lines are written.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "stats/counters.h"
#include "stats/upstream_stats.h"

namespace heathflow::stats {

enum class Topic { Downstream, Upstream, Discovery, Limits, Invariants, Requests };
inline constexpr std::size_t kTopics = 6;

// The subject of a log line, as far as it is known.
struct LogContext {
  std::uint64_t connection = 0;  // the number of the client connection, from 1; 0: none
  std::string_view request;      // the id that the client gave it
  std::string_view protocol;
  std::optional<std::uint32_t> family;
};

class Observer {
 public:
  virtual ~Observer() = default;
  virtual void log(Topic topic, const std::string& text, const LogContext& context) = 0;
  void log(Topic topic, const std::string& text) { log(topic, text, {}); }
  // Logs a step of a request or a change of an endpoint's state. Callers check 'tracing' first, so that no
  // text is built while it is off.
  virtual void trace(Topic, const std::string&, const LogContext&) {}
  bool tracing = false;

  Counters counters;
  UpstreamStats upstreamStats;
};

}  // namespace heathflow::stats
