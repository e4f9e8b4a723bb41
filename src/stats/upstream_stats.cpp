#include "stats/upstream_stats.h"

#include <algorithm>
#include <utility>

#include "stats/enum_names.h"

namespace heathflow::stats {
namespace {

constexpr std::size_t kForRequests = static_cast<std::size_t>(TrafficType::Request);
constexpr std::size_t kForHealthChecks = static_cast<std::size_t>(TrafficType::HealthCheck);

void count(ConnectionUsage& usage, TrafficType traffic) {
  ++(traffic == TrafficType::Request ? usage.requests : usage.healthChecks);
}

void appendValue(std::string& out, const std::string& name, std::uint64_t value) {
  out += ' ' + name + '=' + std::to_string(value);
}

std::string describeHealthChecks(const UpstreamStats& upstreamStats) {
  std::string out = "health_checks_by_reason:";
  for (std::size_t i = 0; i < kHealthCheckReasons; ++i) {
    const auto reason = static_cast<HealthCheckReason>(i);
    const HealthCheckCounts& counts = upstreamStats.healthChecks(reason);
    const std::string name(nameOf(reason));
    appendValue(out, name, counts.started);
    appendValue(out, name + "_answered", counts.answered);
    appendValue(out, name + "_used", counts.used);
  }
  appendValue(out, "endpoints", upstreamStats.healthCheckedEndpoints());
  appendValue(out, "max_per_endpoint", upstreamStats.maxHealthChecksPerEndpoint());
  return out + '\n';
}

std::string describeUnserved(const UpstreamStats& upstreamStats) {
  std::string out = "unserved_by_reason:";
  for (std::size_t i = 0; i < kRejectReasons; ++i) {
    const auto reason = static_cast<RejectReason>(i);
    appendValue(out, nameOf(reason), upstreamStats.unservedRequests(reason));
  }
  return out + '\n';
}

std::string describeConnections(const ConnectionCounts& connections) {
  std::string out = "upstream_connections:";
  appendValue(out, "opened_for_requests", connections.opened[kForRequests]);
  appendValue(out, "opened_for_health_checks", connections.opened[kForHealthChecks]);
  appendValue(out, "reused_for_requests", connections.reused[kForRequests]);
  appendValue(out, "reused_for_health_checks", connections.reused[kForHealthChecks]);
  appendValue(out, "closed", connections.closed);
  appendValue(out, "closed_unused", connections.closedUnused);
  appendValue(out, "closed_after_one_request", connections.closedAfterOneRequest);
  return out + '\n';
}

}  // namespace

void UpstreamStats::healthCheckStarted(EndpointId endpoint, HealthCheckReason reason) {
  ++countsOf(reason).started;
  EndpointRecord& record = endpoints_[endpoint];
  ++record.healthChecks;
  record.lastReason = reason;
  record.unusedAnswer = false;
}

void UpstreamStats::healthCheckEnded(EndpointId endpoint, bool answered) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end() || !answered) return;
  ++countsOf(found->second.lastReason).answered;
  found->second.unusedAnswer = true;
}

void UpstreamStats::attemptStarted(EndpointId endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end() || !std::exchange(found->second.unusedAnswer, false)) return;
  ++countsOf(found->second.lastReason).used;
}

ConnectionUsage UpstreamStats::connectionOpened(TrafficType traffic) {
  ++connections_.opened[static_cast<std::size_t>(traffic)];
  ConnectionUsage usage;
  count(usage, traffic);
  return usage;
}

void UpstreamStats::connectionReused(ConnectionUsage& usage, TrafficType traffic) {
  ++connections_.reused[static_cast<std::size_t>(traffic)];
  count(usage, traffic);
}

void UpstreamStats::connectionClosed(const ConnectionUsage& usage) {
  ++connections_.closed;
  if (usage.requests == 0) ++connections_.closedUnused;
  if (usage.requests == 1) ++connections_.closedAfterOneRequest;
}

std::size_t UpstreamStats::healthCheckedEndpoints() const { return endpoints_.size(); }

std::uint64_t UpstreamStats::maxHealthChecksPerEndpoint() const {
  std::uint64_t highest = 0;
  for (const auto& [endpoint, record] : endpoints_) highest = std::max(highest, record.healthChecks);
  return highest;
}

std::string describe(const UpstreamStats& upstreamStats) {
  return describeHealthChecks(upstreamStats) + describeUnserved(upstreamStats) +
         describeConnections(upstreamStats.connections());
}

}  // namespace heathflow::stats
