// A scenario: gateways, endpoints, list service, clients, and faults over time. Read from XML
// (scenarios/scenario.xsd).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/arrivals.h"
#include "emulator/endpoint_model.h"
#include "emulator/list_model.h"
#include "xml/document.h"

namespace heathflow::emulator {

// The endpoint list in the configuration that gateways start with.
enum class KnownList {
  Current,  // the list service's list with its revision
  Old,      // the same endpoints at an older revision
  Gone,     // endpoints that no longer exist
  None      // no endpoint
};

// A fault that begins at a given time.
struct FaultEvent {
  enum class Kind {
    KillGateways,      // SIGKILL; they start again after the duration
    RollGateways,      // SIGTERM and a new start, one gateway after the other within the duration
    PauseGateways,     // SIGSTOP, and SIGCONT after the duration
    KillPrimary,       // in each group; a replica becomes primary after the duration
    RestartEndpoints,  // they stop, and start in slow start after the duration
    DrainEndpoints,    // listed as draining, then stopped, and started in slow start after the duration
    ListDown,
    ListOlder,       // the list service is down, and comes up again with an older state
    ListMoves,       // the list service moves to another address, which gateways read at SIGHUP
    ListOverloaded,  // the list service rejects this share of calls
    LogsUnread,      // the logs of gateways are not read
    ReloadGateways,  // SIGHUP, with the configuration unchanged
    // All following kinds are faults of links.
    CutEndpoints,    // nothing gets through to or from endpoints, and connections stay open
    HangEndpoints,   // requests reach endpoints, and no answer comes back
    SlowEndpoints,   // traffic to and from endpoints is delayed
    ResetEndpoints,  // connections to endpoints are reset
    CutList          // like CutEndpoints, between gateways and the list service
  };
  Kind kind = Kind::KillGateways;
  Micros at = 0;
  double share = 1;  // affected share of gateways, endpoints, links or calls
  Micros duration = 1'000'000;
};
const char* nameOf(FaultEvent::Kind kind);

struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  Micros duration = 10'000'000;

  // ---- Gateways ----
  unsigned gateways = 1;
  KnownList knownList = KnownList::Old;
  bool snapshot = false;              // they keep snapshots
  Micros learnedCallCost = 0;         // in the snapshot that they start with; 0: not known
  Micros initialLatency = 0;          // in the snapshot that they start with; 0: not known
  std::string faults;                 // plan of their failing system calls (faultshim/fault_plan.h)
  double faultsShare = 1;             // share of gateways with failing system calls
  Micros requestTimeout = 2'000'000;  // the longest request timeout in their settings
  bool hardStops = false;             // clients keep sending after SIGTERM, until SIGKILL
  bool signalSeries = false;          // SIGHUP and SIGTERM are sent several times at shutdown

  // ---- Endpoints ----
  unsigned groups = 1;
  unsigned replicas = 2;          // per group, in addition to its primary
  bool cold = false;              // all endpoints are in slow start at the beginning
  unsigned slowReplicas = 0;      // how many of all replicas are slow
  double slowReplicaFactor = 10;  // by which their service time is longer
  EndpointCosts endpoint;

  // ---- List service ----
  ListCosts list;
  double resetShare = 0;  // share of calls that are reset
  Micros listUpAt = 0;    // the list service is down until then

  // ---- Clients ----
  double requestsPerGateway = 0;           // per second
  double busyShare = 0;                    // share of gateways with more load
  double busyFactor = 1;                   // by which their load is higher
  Micros patience = 1'500'000;             // how long a client waits for its answer
  Micros bound = 3'000'000;                // staleness bound of View requests
  double disconnectShare = 0;              // share of requests whose client disconnects before the answer
  double misbehavingClientsPerSecond = 0;  // per gateway
  unsigned idleClients = 0;                // per gateway; each sends one request and keeps its connection
  Mix mix;

  std::vector<FaultEvent> faultEvents;  // in order of time
};

std::string_view scenarioSchema();
// Returns whether the scenario has faults of links.
bool needsLinks(const Scenario& scenario);
// Returns the scenario as XML. Attributes that random scenarios do not set are left out.
std::string textOf(const Scenario& scenario);

// @return  nothing if the scenario can't be used; 'problems' then lists everything that is wrong with it.
std::optional<Scenario> loadScenario(const std::string& path, std::vector<xml::Problem>& problems);
std::optional<Scenario> parseScenario(const std::string& path, std::string_view text,
                                      std::vector<xml::Problem>& problems);

}  // namespace heathflow::emulator
