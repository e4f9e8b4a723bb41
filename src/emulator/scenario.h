// What the emulator plays: gateways, endpoints, list service and load, and what happens to them over time.
// Read from XML (scenarios/scenario.xsd).
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

enum class KnownList { Current, Old, Gone, None };

struct FaultEvent {
  enum class Kind {
    KillGateways,      // and start them again
    RollGateways,      // told to end and started again, one after the other within the time
    PauseGateways,     // stopped where they stand, and let go on
    KillPrimary,       // of each group; a replica leads after the time
    RestartEndpoints,  // they go, and are back cold
    DrainEndpoints,    // listed as draining for the time, then gone and back cold
    ListDown,
    ListOlder,       // it comes back with an older state of itself
    ListMoves,       // to another address, which gateways are told by SIGHUP
    ListCrowded,     // it turns this share of the calls away
    LogsUnread,      // nobody reads what the gateways say
    ReloadGateways,  // SIGHUP, with the configuration as it is
    CutEndpoints,    // nothing gets through to or from them, and nobody is told
    HangEndpoints,   // what is asked reaches them, and no answer comes back
    SlowEndpoints,   // everything to and from them is late
    ResetEndpoints,  // connections to them are reset
    CutList          // the gateways' paths to the list service are cut
  };
  Kind kind = Kind::KillGateways;
  Micros at = 0;
  double share = 1;
  Micros duration = 1'000'000;
};
const char* nameOf(FaultEvent::Kind kind);

struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  Micros length = 10'000'000;
  unsigned gateways = 1;
  KnownList known = KnownList::Old;
  bool snapshot = false;
  Micros learned = 0;  // 0: nothing is known
  Micros initialLatency = 0;
  unsigned groups = 1;
  unsigned replicas = 2;  // of each group, beside its primary
  bool cold = false;
  unsigned bad = 0;  // of all replicas
  double badBy = 10;
  EndpointCosts endpoint;
  ListCosts list;
  double resetShare = 0;
  Micros listUpAt = 0;
  double perGateway = 0;
  std::string faults;           // of gateways: the plan of their failing calls (faultshim/fault_plan.h)
  double faultsShare = 1;       // so many of them have it
  double leaving = 0;           // share of requests whose client leaves before the answer
  double rough = 0;             // a second of each gateway: clients that misbehave
  bool signalSeries = false;    // who is told to end has SIGHUP and SIGTERM several times, close together
  unsigned idleClients = 0;     // of each gateway: they ask once and then hold their connections
  Micros deadline = 2'000'000;  // the longest, as the gateways' settings tell it
  bool hardStops = false;       // clients go on sending to a gateway that was told to end, up to its kill
  double busyShare = 0;
  double busyTimes = 1;
  Micros patience = 1'500'000;
  Micros bound = 3'000'000;
  Mix mix;
  std::vector<FaultEvent> faultEvents;  // by their times
};

std::string_view scenarioSchema();
// Whether the paths between processes are played too.
bool needsPaths(const Scenario& scenario);
// As XML, to be played again.
std::string textOf(const Scenario& scenario);

// Nothing where it can't be used; then 'problems' holds all that is wrong with it.
std::optional<Scenario> loadScenario(const std::string& path, std::vector<xml::Problem>& problems);
std::optional<Scenario> parseScenario(const std::string& path, std::string_view text,
                                      std::vector<xml::Problem>& problems);

}  // namespace heathflow::emulator
