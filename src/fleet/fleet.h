// Simulates many gateways and the endpoints that they share under a virtual clock: the real RoutingPolicy
// with modelled endpoints. Measures the load that a fleet of gateways puts on its endpoints, and the requests
// that it rejects although an endpoint had capacity.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "policy/routing_policy.h"
#include "stats/upstream_stats.h"

namespace heathflow::fleet {

enum RequestClass : std::uint32_t {
  kBoundedRead,
  kEventualRead,
  kStrongRead,
  kWrite,
  kClasses
};  // also the indices of Plan::mix

struct FaultEvent {
  enum class Kind {
    // The primaries of a share of the groups crash and restart after 'duration'; the most advanced replica
    // takes over after 4.5 s.
    PrimariesCrash,
    EndpointsRestart,      // a share of all endpoints crashes at once and restarts after 'duration'
    GatewaysRestart,       // a share of the gateways restarts and loses all its state
    ReplicasLag,           // the log positions of a share of the replicas do not advance for 'duration'
    EndpointFailsForSome,  // endpoint 1 fails all requests of a share of the gateways for 'duration'
    // The following affect a share of the endpoints for 'duration'.
    EndpointsHang,     // they accept requests and health checks, and answer none
    EndpointsPause,    // they stall for 0.4 s every two seconds
    EndpointsFail,     // they fail each request at once
    ResponsesLost,     // they do the work, and a quarter of their answers is lost
    HealthChecksFail,  // they serve, and their health checks fail
    EndpointsFlap,     // they crash every five seconds and restart two seconds later
    EndpointsDrain,    // they are listed as draining, crash 1.5 s later and restart after 'duration'
    // The following affect all endpoints, for 'duration'.
    EndpointListDelayed,  // the endpoint list arrives four times as late
    NetworkDegraded,  // on half of the paths between gateways and endpoints each message takes 100 ms longer,
                      // and a tenth of the requests and of the answers is lost
  };
  Kind kind = Kind::PrimariesCrash;
  Micros at = 0;
  double share = 1;
  Micros duration = 0;
};

struct Plan {
  unsigned gateways = 300;
  unsigned groups = 24;
  unsigned endpoints = 5;         // per group
  double requestsPerSecond = 20;  // per gateway, on average
  double trafficRatio = 3;        // traffic of the most loaded gateway / of the least loaded one
  std::array<double, kClasses> mix = {0.6, 0.31, 0.02, 0.07};  // share of the requests, by RequestClass
  unsigned cores = 5;                                          // per endpoint
  Micros serviceTime = 45'000;                                 // per request, on average
  Micros length = 20'000'000;
  std::uint64_t seed = 1;
  std::vector<FaultEvent> faults;
};

// Counts of the requests that arrived within one interval of five seconds.
struct Window {
  std::uint64_t requests = 0;
  std::uint64_t inTime = 0;                // answered within the latency objective
  std::uint64_t unserved = 0;              // rejected or failed
  std::uint64_t unservedWithCapacity = 0;  // rejected or failed while a suitable endpoint had a free core
};

struct Result {
  std::uint64_t requests = 0;
  std::uint64_t answers = 0;           // final ones; a correct run has one per request
  std::uint64_t duplicateAnswers = 0;  // requests with more than one answer
  std::uint64_t stale = 0;             // bounded reads answered from data older than their bound
  std::uint64_t healthChecks = 0;
  std::uint64_t connections = 0;
  std::uint64_t connectionsPeak = 0;   // open at the same time, at all endpoints
  std::uint64_t failoversNoticed = 0;  // pairs of gateway and group in which the gateway found a new primary
  Micros failoverDelay = 0;            // mean delay of a gateway's first write to a new primary
  // The most work that an endpoint in slow start received in an overload window, as a multiple of its
  // capacity.
  double slowStartPeakLoad = 0;
  // The same, as a multiple of overloadThreshold().
  double slowStartPeakOfThreshold = 0;
  std::array<std::uint64_t, stats::kHealthCheckReasons> healthChecksBy{};
  std::array<std::uint64_t, stats::kRejectReasons> unservedBy{};
  std::vector<Window> windows;
  std::vector<std::uint64_t> gatewayHealthChecks;  // by gateway, the least loaded first
  std::vector<std::uint64_t> gatewayRequests;      // by gateway, the least loaded first
  std::vector<std::uint64_t> endpointAttempts;     // by endpoint
};

// Returns the number of requests in an overload window above which an endpoint in slow start counts as
// overloaded, if 'allowed' requests of mean work are expected: two standard deviations plus two are tolerated
// as random variation.
double overloadThreshold(double allowed);
// Returns the policy settings of all gateways of a plan.
PolicySettings settingsOf(const Plan& plan);
// Simulates a plan. Equal plans give equal results.
Result simulate(const Plan& plan);

}  // namespace heathflow::fleet
