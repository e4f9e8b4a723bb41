// Where the gateway counts and logs. The program decides what is written.
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

// What a log line is about, as far as that is known.
struct LogContext {
  std::uint64_t connection = 0;  // of a client, counted from 1; 0: none
  std::string_view request;      // its id
  std::string_view protocol;
  std::optional<std::uint32_t> family;
};

class Observer {
 public:
  virtual ~Observer() = default;
  virtual void note(Topic topic, const std::string& text, const LogContext& context) = 0;
  void note(Topic topic, const std::string& text) { note(topic, text, {}); }
  // Each step of each request and each change of an endpoint's state. Callers check 'tracing' first, so that
  // no text is built where it is off.
  virtual void trace(Topic, const std::string&, const LogContext&) {}
  bool tracing = false;

  Counters counters;
  UpstreamStats upstreamStats;
};

}  // namespace heathflow::stats
