#include "stats/upstream_stats.h"

#include <algorithm>
#include <utility>

namespace heathflow::stats {
namespace {

constexpr std::array<std::string_view, kHealthCheckReasons> kNames = {"first", "stale",   "need",
                                                                      "role",  "suspect", "silent"};

constexpr std::array<std::string_view, kRejectReasons> kRejectReasonNames = {
    "ended_badly", "jam", "no_primary", "probe", "limit", "pace", "cold", "time", "attempts", "list"};

void count(Carried& carried, Purpose purpose) {
  ++(purpose == Purpose::Request ? carried.requests : carried.healthChecks);
}

void add(std::string& out, const std::string& name, std::uint64_t value) {
  out += ' ' + name + '=' + std::to_string(value);
}

}  // namespace

std::string_view nameOf(HealthCheckReason reason) { return kNames[static_cast<std::size_t>(reason)]; }

std::string_view nameOf(RejectReason why) { return kRejectReasonNames[static_cast<std::size_t>(why)]; }

void UpstreamStats::healthChecked(EndpointId endpoint, HealthCheckReason reason) {
  ++of(reason).made;
  Known& known = endpoints_[endpoint];
  ++known.healthChecks;
  known.last = reason;
  known.open = false;
}

void UpstreamStats::healthCheckEnded(EndpointId endpoint, bool answered) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end() || !answered) return;
  ++of(found->second.last).answered;
  found->second.open = true;
}

void UpstreamStats::sent(EndpointId endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end() || !std::exchange(found->second.open, false)) return;
  ++of(found->second.last).used;
}

Carried UpstreamStats::opened(Purpose purpose) {
  ++connections_.opened[static_cast<std::size_t>(purpose)];
  Carried carried;
  carried.openedFor = purpose;
  count(carried, purpose);
  return carried;
}

void UpstreamStats::reused(Carried& carried, Purpose purpose) {
  ++connections_.reused[static_cast<std::size_t>(purpose)];
  count(carried, purpose);
}

void UpstreamStats::closed(const Carried& carried) {
  ++connections_.closed;
  if (carried.requests == 0) ++connections_.closedUnused;
  if (carried.requests == 1) ++connections_.closedOnce;
}

std::size_t UpstreamStats::endpointsHealthChecked() const { return endpoints_.size(); }

std::uint64_t UpstreamStats::mostHealthChecked() const {
  std::uint64_t most = 0;
  for (const auto& [endpoint, known] : endpoints_) most = std::max(most, known.healthChecks);
  return most;
}

std::string describe(const UpstreamStats& upstreamStats) {
  std::string out = "probing:";
  for (std::size_t i = 0; i < kHealthCheckReasons; ++i) {
    const auto reason = static_cast<HealthCheckReason>(i);
    const HealthCheckCounts& counts = upstreamStats.healthChecks(reason);
    const std::string name(nameOf(reason));
    add(out, name, counts.made);
    add(out, name + "_answered", counts.answered);
    add(out, name + "_used", counts.used);
  }
  add(out, "members", upstreamStats.endpointsHealthChecked());
  add(out, "most", upstreamStats.mostHealthChecked());
  const ConnectionCounts& connections = upstreamStats.connections();
  out += "\ngiven_up:";
  for (std::size_t i = 0; i < kRejectReasons; ++i) {
    add(out, std::string(kRejectReasonNames[i]), upstreamStats.givenUpFor(static_cast<RejectReason>(i)));
  }
  out += "\nconnecting:";
  add(out, "for_requests", connections.opened[0]);
  add(out, "for_probes", connections.opened[1]);
  add(out, "again_for_requests", connections.reused[0]);
  add(out, "again_for_probes", connections.reused[1]);
  add(out, "closed", connections.closed);
  add(out, "closed_unused", connections.closedUnused);
  add(out, "closed_used_once", connections.closedOnce);
  return out + '\n';
}

}  // namespace heathflow::stats
