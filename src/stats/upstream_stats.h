// What a gateway asks of its endpoints, and whether it was of use: health checks by reason, connections by
// what they were opened for. Counts only; it knows no socket and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "policy/routing_policy.h"

namespace heathflow::stats {

inline constexpr std::size_t kHealthCheckReasons = 6;  // in the order of ProbeReason
// The name of a reason as counters show it.
std::string_view nameOf(HealthCheckReason reason);

inline constexpr std::size_t kRejectReasons = 10;  // in the order of Hindrance
std::string_view nameOf(RejectReason why);

enum class Purpose { Request, HealthCheck };

struct HealthCheckCounts {
  std::uint64_t made = 0;
  std::uint64_t answered = 0;
  std::uint64_t used = 0;  // a request went to the endpoint before it was checked again
};

// What one connection has carried so far.
struct Carried {
  Purpose openedFor = Purpose::Request;
  std::uint64_t requests = 0;
  std::uint64_t healthChecks = 0;
};

struct ConnectionCounts {
  std::array<std::uint64_t, 2> opened{};  // by purpose
  std::array<std::uint64_t, 2> reused{};
  std::uint64_t closed = 0;
  std::uint64_t closedUnused = 0;  // no request was ever sent on it
  std::uint64_t closedOnce = 0;    // just one was
};

class UpstreamStats {
 public:
  void healthChecked(EndpointId endpoint, HealthCheckReason reason);
  void healthCheckEnded(EndpointId endpoint, bool answered);
  // A request goes to the endpoint: what its last health check told was of use.
  void sent(EndpointId endpoint);
  void forget(EndpointId endpoint) { endpoints_.erase(endpoint); }

  // A request got a last answer that no endpoint gave.
  void givenUp(RejectReason why) { ++givenUp_[static_cast<std::size_t>(why)]; }
  std::uint64_t givenUpFor(RejectReason why) const { return givenUp_[static_cast<std::size_t>(why)]; }

  Carried opened(Purpose purpose);
  void reused(Carried& carried, Purpose purpose);
  void closed(const Carried& carried);

  const HealthCheckCounts& healthChecks(HealthCheckReason reason) const {
    return healthChecks_[static_cast<std::size_t>(reason)];
  }
  const ConnectionCounts& connections() const { return connections_; }
  // How many endpoints were checked of those known, and how often the one that was checked most.
  std::size_t endpointsHealthChecked() const;
  std::uint64_t mostHealthChecked() const;

 private:
  struct Known {
    std::uint64_t healthChecks = 0;
    HealthCheckReason last = HealthCheckReason::Initial;
    bool open = false;  // its last health check was answered, and nothing has used that yet
  };
  HealthCheckCounts& of(HealthCheckReason reason) { return healthChecks_[static_cast<std::size_t>(reason)]; }

  std::array<HealthCheckCounts, kHealthCheckReasons> healthChecks_{};
  std::array<std::uint64_t, kRejectReasons> givenUp_{};
  ConnectionCounts connections_;
  std::unordered_map<EndpointId, Known> endpoints_;
};

// As lines, a group each, like the other counters.
std::string describe(const UpstreamStats& upstreamStats);

}  // namespace heathflow::stats
