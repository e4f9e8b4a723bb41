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

// The endpoint list in the configuration with which gateways start.
enum class KnownList {
  Current,  // the list service's list with its revision
  Old,      // the same endpoints at an older revision
  Gone,     // endpoints that are all gone
  None      // no endpoint
};

// A fault that begins at a time.
struct FaultEvent {
  enum class Kind {
    KillGateways,      // SIGKILL; they start again after the duration
    RollGateways,      // SIGTERM and a new start, one after the other within the duration
    PauseGateways,     // SIGSTOP, and SIGCONT after the duration
    KillPrimary,       // of each group; a replica becomes primary after the duration
    RestartEndpoints,  // they stop, and start cold after the duration
    DrainEndpoints,    // listed as draining, then stopped, and started cold after the duration
    ListDown,
    ListOlder,       // the list service is down, and comes back with an older state
    ListMoves,       // to another address, of which gateways learn by SIGHUP
    ListCrowded,     // the list service rejects this share of calls
    LogsUnread,      // the logs of gateways are not read
    ReloadGateways,  // SIGHUP, with the configuration unchanged
    // From here on faults of links.
    CutEndpoints,    // nothing gets through to or from endpoints, and connections stay open
    HangEndpoints,   // requests reach endpoints, and no answer comes back
    SlowEndpoints,   // a delay to and from endpoints
    ResetEndpoints,  // connections to endpoints are reset
    CutList          // as CutEndpoints, between gateways and the list service
  };
  Kind kind = Kind::KillGateways;
  Micros at = 0;
  double share = 1;  // of gateways, endpoints, links or calls
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
  Micros initialLatency = 0;          // the same
  std::string faults;                 // the plan of their failing system calls (faultshim/fault_plan.h)
  double faultsShare = 1;             // of gateways that have it
  Micros requestTimeout = 2'000'000;  // the longest in their settings
  bool hardStops = false;             // clients keep sending after SIGTERM, until SIGKILL
  bool signalSeries = false;          // SIGHUP and SIGTERM come several times, close together

  // ---- Endpoints ----
  unsigned groups = 1;
  unsigned replicas = 2;          // of each group, beside its primary
  bool cold = false;              // all are in slow start at the beginning
  unsigned slowReplicas = 0;      // of all replicas
  double slowReplicaFactor = 10;  // of their service time
  EndpointCosts endpoint;

  // ---- List service ----
  ListCosts list;
  double resetShare = 0;  // of calls that are reset
  Micros listUpAt = 0;

  // ---- Clients ----
  double requestsPerGateway = 0;  // a second
  double busyShare = 0;           // of gateways with more load
  double busyFactor = 1;          // of their load
  Micros patience = 1'500'000;
  Micros bound = 3'000'000;                // of reads with bounded staleness
  double disconnectShare = 0;              // of requests whose client disconnects before the answer
  double misbehavingClientsPerSecond = 0;  // of each gateway
  unsigned idleClients = 0;                // of each gateway: they send one request and keep the connection
  Mix mix;

  std::vector<FaultEvent> faultEvents;  // by their times
};

std::string_view scenarioSchema();
// Whether it has faults of links.
bool needsLinks(const Scenario& scenario);
// As XML.
std::string textOf(const Scenario& scenario);

// @return  nothing where the scenario can't be used; then 'problems' has all that is wrong with it.
std::optional<Scenario> loadScenario(const std::string& path, std::vector<xml::Problem>& problems);
std::optional<Scenario> parseScenario(const std::string& path, std::string_view text,
                                      std::vector<xml::Problem>& problems);

}  // namespace heathflow::emulator
