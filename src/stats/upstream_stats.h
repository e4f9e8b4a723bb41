// Counts health checks by reason, with how many were of use, connections by what they carried, and requests
// that got no answer from an endpoint by reason. It does no input or output and reads no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "policy/routing_policy.h"

namespace heathflow::stats {

inline constexpr std::size_t kHealthCheckReasons = 6;  // values of HealthCheckReason
inline constexpr std::size_t kRejectReasons = 10;      // values of RejectReason

// What a connection is used for.
enum class TrafficType { Request, HealthCheck };
inline constexpr std::size_t kTrafficTypes = 2;

struct HealthCheckCounts {
  std::uint64_t started = 0;
  std::uint64_t answered = 0;
  std::uint64_t used = 0;  // an attempt was started there before the next health check
};

// What one connection has carried so far.
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
  // An attempt is started there, written or not: the result of the last health check was of use.
  void requestSent(EndpointId endpoint);
  void endpointRemoved(EndpointId endpoint) { endpoints_.erase(endpoint); }

  // A request was rejected or failed: what last kept it from being sent, or None.
  void requestUnserved(RejectReason reason) { ++unserved_[static_cast<std::size_t>(reason)]; }
  std::uint64_t unservedFor(RejectReason reason) const { return unserved_[static_cast<std::size_t>(reason)]; }

  ConnectionUsage connectionOpened(TrafficType traffic);
  void connectionReused(ConnectionUsage& usage, TrafficType traffic);
  void connectionClosed(const ConnectionUsage& usage);

  const HealthCheckCounts& healthChecks(HealthCheckReason reason) const {
    return healthChecks_[static_cast<std::size_t>(reason)];
  }
  const ConnectionCounts& connections() const { return connections_; }
  // How many of the known endpoints had a health check, and how many health checks any one of them had.
  std::size_t healthCheckedEndpoints() const;
  std::uint64_t maxHealthChecksPerEndpoint() const;

 private:
  struct EndpointRecord {
    std::uint64_t healthChecks = 0;
    HealthCheckReason lastReason = HealthCheckReason::Initial;
    bool unusedAnswer = false;  // the last health check was answered, and no request was sent since
  };
  HealthCheckCounts& countsOf(HealthCheckReason reason) {
    return healthChecks_[static_cast<std::size_t>(reason)];
  }

  std::array<HealthCheckCounts, kHealthCheckReasons> healthChecks_{};
  std::array<std::uint64_t, kRejectReasons> unserved_{};
  ConnectionCounts connections_;
  std::unordered_map<EndpointId, EndpointRecord> endpoints_;
};

// As lines of "group: name=value ...", like the other counters.
std::string describe(const UpstreamStats& upstreamStats);

}  // namespace heathflow::stats
