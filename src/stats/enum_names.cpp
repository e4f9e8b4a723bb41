#include "stats/enum_names.h"

#include <array>

#include "stats/upstream_stats.h"

namespace heathflow::stats {
namespace {

// The names in each table are in the order of the values of its enum.
constexpr std::array<const char*, kAttemptOutcomes> kAttemptOutcomeNames = {
    "ok",        "error",    "overloaded",          "timed_out", "connect_failed", "connection_reset",
    "cancelled", "not_sent", "precondition_failed", "malformed", "abandoned",      "lost_leadership"};

constexpr std::array<const char*, kCloseReasons> kCloseReasonNames = {
    "by_client",        "idle_closed", "client_finished", "slow_reader", "incomplete_request",
    "too_many_clients", "no_memory",   "protocol_error",  "linger_ended"};

constexpr std::array<const char*, kHealthCheckReasons> kHealthCheckReasonNames = {
    "initial", "position_stale", "read_waiting", "primary_unknown", "connection_broken", "unresponsive"};

constexpr std::array<const char*, kRejectReasons> kRejectReasonNames = {
    "none",  "load_shed",  "no_primary",         "awaiting_health_check", "concurrency_limit",
    "paced", "slow_start", "deadline_too_close", "not_retryable",         "endpoint_list_expired"};

template <typename Enum, std::size_t kSize>
const char* nameAt(const std::array<const char*, kSize>& names, Enum value) {
  return names.at(static_cast<std::size_t>(value));
}

}  // namespace

const char* nameOf(AttemptOutcome outcome) { return nameAt(kAttemptOutcomeNames, outcome); }
const char* nameOf(CloseReason reason) { return nameAt(kCloseReasonNames, reason); }
const char* nameOf(HealthCheckReason reason) { return nameAt(kHealthCheckReasonNames, reason); }
const char* nameOf(RejectReason reason) { return nameAt(kRejectReasonNames, reason); }

}  // namespace heathflow::stats
