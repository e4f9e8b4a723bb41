// Many gateways and the endpoints that they share, under a virtual clock: the real RoutingPolicy and modelled
// endpoints. It shows what a fleet of gateways costs its endpoints, and what it rejects although an endpoint
// had capacity.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "policy/routing_policy.h"
#include "stats/upstream_stats.h"

namespace heathflow::fleet {

enum Class : std::uint32_t { kView, kLookup, kStatus, kSave, kClasses };  // bounded, any, fresh, write

struct FaultEvent {
  enum class Kind {
    PrimariesCrash,  // the primaries of a share of the groups; the most advanced replica follows after 4.5 s
    EndpointsRestart,      // a share of all endpoints is removed at once and restarts after 'duration'
    GatewaysRestart,       // a share of the gateways restarts and forgets all
    ReplicasLag,           // a share of the replicas stands still for 'duration'
    EndpointFailsForSome,  // for a share of the gateways one endpoint fails all for 'duration'
    // The following hit a share of the endpoints for 'duration'.
    EndpointsHang,        // they take requests and health checks, and answer none
    EndpointsPause,       // they stall for 0.4 s every two seconds
    EndpointsFail,        // they fail each request at once
    ResponsesLost,        // they do the work, and a quarter of their answers goes missing
    HealthChecksFail,     // they serve, and their health checks fail
    EndpointsFlap,        // they die for two seconds in every five, and restart
    EndpointsDrain,       // they are listed as draining, crash 1.5 s later and restart after 'duration'
    EndpointListDelayed,  // the endpoint list arrives four times as late
    NetworkDegraded,      // between one half of gateways and endpoints and the other: 100 ms more each way, a
                          // tenth lost
  };
  Kind kind = Kind::PrimariesCrash;
  Micros at = 0;
  double share = 1;
  Micros duration = 0;
};

struct Plan {
  unsigned gateways = 300;
  unsigned groups = 24;
  unsigned endpoints = 5;         // of each group
  double requestsPerSecond = 20;  // of a gateway, in the mean
  double trafficRatio = 3;        // the busiest gateway has so many times the traffic of the quietest
  std::array<double, kClasses> mix = {0.6, 0.31, 0.02, 0.07};
  unsigned cores = 5;           // of an endpoint
  Micros serviceTime = 45'000;  // of a request, in the mean
  Micros length = 20'000'000;
  std::uint64_t seed = 1;
  std::vector<FaultEvent> faults;
};

struct Window {  // of five seconds, by arrival
  std::uint64_t requests = 0;
  std::uint64_t inTime = 0;
  std::uint64_t unserved = 0;              // rejected or failed
  std::uint64_t unservedWithCapacity = 0;  // while an endpoint that could have served it had a free core
};

struct Result {
  std::uint64_t requests = 0;
  std::uint64_t answers = 0;           // final ones; one for each request in a correct run
  std::uint64_t duplicateAnswers = 0;  // requests with more than one
  std::uint64_t stale = 0;             // bounded reads answered from data older than their bound
  std::uint64_t healthChecks = 0;
  std::uint64_t connections = 0;
  std::uint64_t connectionsPeak = 0;   // standing at all endpoints at once
  std::uint64_t failoversNoticed = 0;  // groups and gateways that found a new primary
  Micros failoverDelay = 0;            // how long a gateway's first write there waited for it, in the mean
  // The most work that an endpoint in slow start got in an overload window, as a multiple of its capacity.
  double slowStartPeakLoad = 0;
  // The same as a share of overloadThreshold().
  double slowStartPeakOfThreshold = 0;
  std::array<std::uint64_t, stats::kHealthCheckReasons> healthChecksBy{};
  std::array<std::uint64_t, stats::kRejectReasons> unservedBy{};
  std::vector<Window> windows;
  std::vector<std::uint64_t> gatewayHealthChecks;  // by gateway
  std::vector<std::uint64_t> gatewayRequests;      // the quietest first
  std::vector<std::uint64_t> endpointAttempts;
};

// The number of requests of mean work in an overload window that overloads an endpoint in slow start, where
// 'allowed' of them are expected: two standard deviations, and two, are left to chance.
double overloadThreshold(double allowed);
// The settings that all gateways of a plan get.
PolicySettings settingsOf(const Plan& plan);
// Plays a plan from its start to its end. Equal plans give equal results.
Result play(const Plan& plan);

}  // namespace heathflow::fleet
