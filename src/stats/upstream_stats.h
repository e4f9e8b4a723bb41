// Counts health checks by reason and how many of their results were used, connections by the traffic that
// they carried, and the requests that were rejected or failed, by reason. It does no I/O and reads no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "policy/routing_policy.h"

namespace heathflow::stats {

inline constexpr std::size_t kHealthCheckReasons = 6;  // the number of values of HealthCheckReason
inline constexpr std::size_t kRejectReasons = 10;      // the number of values of RejectReason

// The traffic for which a connection is used.
enum class TrafficType { Request, HealthCheck };
inline constexpr std::size_t kTrafficTypes = 2;

struct HealthCheckCounts {
  std::uint64_t started = 0;
  std::uint64_t answered = 0;
  std::uint64_t used = 0;  // answered, and an attempt was started there before the next health check
};

// The traffic that one connection has carried so far.
struct ConnectionUsage {
  std::uint64_t requests = 0;
  std::uint64_t healthChecks = 0;
};

struct ConnectionCounts {
  std::array<std::uint64_t, kTrafficTypes> opened{};  // by the traffic that each was opened for
  std::array<std::uint64_t, kTrafficTypes> reused{};  // by the traffic of the further use
  std::uint64_t closed = 0;
  std::uint64_t closedUnused = 0;           // was never given a request
  std::uint64_t closedAfterOneRequest = 0;  // was given one request, written or not
};

class UpstreamStats {
 public:
  void healthCheckStarted(EndpointId endpoint, HealthCheckReason reason);
  void healthCheckEnded(EndpointId endpoint, bool answered);
  // Called when an attempt at the endpoint is started, whether or not it is written later. If the last health
  // check there was answered, its result then counts as used.
  void attemptStarted(EndpointId endpoint);
  void endpointRemoved(EndpointId endpoint) { endpoints_.erase(endpoint); }

  // Counts an unserved request: one that was rejected or failed.
  // @param reason  what last kept it from being sent, or None.
  void requestUnserved(RejectReason reason) { ++unserved_[static_cast<std::size_t>(reason)]; }
  std::uint64_t unservedRequests(RejectReason reason) const {
    return unserved_[static_cast<std::size_t>(reason)];
  }

  ConnectionUsage connectionOpened(TrafficType traffic);
  void connectionReused(ConnectionUsage& usage, TrafficType traffic);
  void connectionClosed(const ConnectionUsage& usage);

  const HealthCheckCounts& healthChecks(HealthCheckReason reason) const {
    return healthChecks_[static_cast<std::size_t>(reason)];
  }
  const ConnectionCounts& connections() const { return connections_; }
  // Returns how many of the known endpoints have had a health check.
  std::size_t healthCheckedEndpoints() const;
  // Returns the highest number of health checks that any known endpoint has had.
  std::uint64_t maxHealthChecksPerEndpoint() const;

 private:
  struct EndpointRecord {
    std::uint64_t healthChecks = 0;
    HealthCheckReason lastReason = HealthCheckReason::Initial;
    bool unusedAnswer = false;  // the last health check was answered, and no attempt was started since
  };
  HealthCheckCounts& countsOf(HealthCheckReason reason) {
    return healthChecks_[static_cast<std::size_t>(reason)];
  }

  std::array<HealthCheckCounts, kHealthCheckReasons> healthChecks_{};
  std::array<std::uint64_t, kRejectReasons> unserved_{};
  ConnectionCounts connections_;
  std::unordered_map<EndpointId, EndpointRecord> endpoints_;
};

// Returns lines of the form "group: name=value ...", like those of the other counters.
std::string describe(const UpstreamStats& upstreamStats);

}  // namespace heathflow::stats
