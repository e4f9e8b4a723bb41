// Many routers and the endpoints they share, under a virtual clock: the real Logic against modelled
// endpoints. It shows what a fleet costs its endpoints and what it rejects although an endpoint had room,
// which no bench tells.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "policy/routing_policy.h"
#include "stats/upstream_stats.h"

namespace heathflow::fleet {

enum Class : std::uint32_t { kView, kLookup, kStatus, kSave, kClasses };  // bounded, any, fresh, write

struct Happening {
  enum class Kind {
    PrimariesDie,     // the primaries of a share of the groups; the most advanced replica follows after 4.5 s
    EndpointsReturn,  // a share of all endpoints is gone at once and comes back cold after 'lasts'
    RoutersRestart,   // a share of the routers forgets all it knew
    ReplicasLag,      // a share of the replicas stands still for 'lasts'
    BadForSome,       // for a share of the routers one endpoint fails all for 'lasts'
    // The following strike a share of the endpoints for 'lasts'.
    EndpointsHang,     // they take requests and health checks, and answer none
    EndpointsPause,    // they stand still for 0.4 s every two seconds
    EndpointsFail,     // they fail each request at once
    AnswersLost,       // they do the work, and a quarter of their answers goes missing
    HealthChecksFail,  // they serve, and their health checks fail
    EndpointsFlap,     // they die for two seconds in every five, and come back cold
    EndpointsLeave,    // they are listed as draining, die 1.5 s later and come back cold after 'lasts'
    ListLate,          // the list runs four times as late
    PathsWorsen,  // between one half of routers and endpoints and the other: 100 ms more each way, a tenth
                  // lost
  };
  Kind kind = Kind::PrimariesDie;
  Micros at = 0;
  double share = 1;
  Micros lasts = 0;
};

struct Plan {
  unsigned routers = 300;
  unsigned groups = 24;
  unsigned endpoints = 5;         // of each group
  double requestsPerSecond = 20;  // of a router, in the mean
  double unequal = 3;             // the busiest router has so many times the traffic of the quietest
  std::array<double, kClasses> mix = {0.6, 0.31, 0.02, 0.07};
  unsigned cores = 5;  // of an endpoint
  Micros work = 45'000;
  Micros length = 20'000'000;
  std::uint64_t seed = 1;
  std::vector<Happening> happenings;
};

struct Window {  // of five seconds, by arrival
  std::uint64_t requests = 0;
  std::uint64_t inTime = 0;
  std::uint64_t givenUp = 0;          // rejected or failed
  std::uint64_t givenUpWithRoom = 0;  // while an endpoint that could have served it had a free core
};

struct Result {
  std::uint64_t requests = 0;
  std::uint64_t answers = 0;  // final ones; one a request where all is well
  std::uint64_t twice = 0;    // requests with more than one
  std::uint64_t stale = 0;    // bounded reads answered from data older than their bound
  std::uint64_t healthChecks = 0;
  std::uint64_t connections = 0;
  std::uint64_t connectionsPeak = 0;  // standing at all endpoints at once
  std::uint64_t afterFailover = 0;    // groups and routers that found a new primary
  Micros foundAfter = 0;              // how long a router's first write there waited for it, in the mean
  double coldPeak = 0;  // most work a cold endpoint got in a fall window, as a multiple of what it can do
  double coldLoad = 0;  // the same as a share of the load at which a cold endpoint falls, see loadToFall()
  std::array<std::uint64_t, stats::kHealthCheckReasons> healthChecksBy{};
  std::array<std::uint64_t, stats::kRejectReasons> givenUpBy{};
  std::vector<Window> windows;
  std::vector<std::uint64_t> routerHealthChecks;  // by router
  std::vector<std::uint64_t> routerRequests;      // the quietest first
  std::vector<std::uint64_t> endpointAttempts;
};

// How many requests of mean work in a fall window a cold endpoint bears where it is expected to bear
// 'allowed' of them: what goes beyond by two standard deviations, and two, is chance (STANDING, Days at full
// size).
double loadToFall(double allowed);
// The settings that all routers of a plan get.
PolicySettings settingsOf(const Plan& plan);
// Plays a plan from its start to its end. Equal plans give equal results.
Result play(const Plan& plan);

}  // namespace heathflow::fleet
