// A whole installation on loopback, played by a scenario: real gateways, emulated endpoints and list service,
// clients, and what happens to them. Bounded in count and time; all of it ends with the site.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/child_process.h"
#include "emulator/delayed_actions.h"
#include "emulator/emulated_endpoint.h"
#include "emulator/idle_connections.h"
#include "emulator/judge.h"
#include "emulator/latency_histogram.h"
#include "emulator/link.h"
#include "emulator/list_service.h"
#include "emulator/load.h"
#include "emulator/misbehaving_clients.h"
#include "emulator/scenario.h"
#include "standins/temporary_file.h"

namespace heathflow::emulator {

// One second of it.
struct TimelineRow {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejectedWithCapacity = 0;
  std::uint64_t listCalls = 0;
  std::uint64_t connectionsAtEndpoints = 0;  // that came in
  unsigned gatewaysUp = 0;
  Micros p50 = 0;  // of what was served, from the intended time
  Micros p99 = 0;
  std::vector<std::string> notes;  // what happened
};

struct DeploymentResults {
  std::string scenario;
  std::vector<TimelineRow> seconds;
  std::uint64_t asked = 0;
  std::uint64_t unreached = 0;  // found no gateway
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejectedWithCapacity =
      0;  // although an endpoint of their group would have served them at once
  Micros p50 = 0;
  Micros p99 = 0;
  Micros firstServed = 0;  // since the start; 0: none
  // Until every gateway has had its first list; of the first lives only.
  std::optional<Micros> lastList;
  std::uint64_t callsUntilListed = 0;        // of gateways that had no list yet
  std::uint64_t callsFailedUntilListed = 0;  // and of those
  std::uint64_t calls = 0;
  std::uint64_t callsFailed = 0;
  std::size_t mostCalls = 0;        // in 100 ms, over all
  std::uint64_t connections = 0;    // at endpoints, over all
  std::size_t mostConnections = 0;  // at one endpoint in 100 ms
  std::uint64_t connectionsTurnedAway = 0;
  std::uint64_t healthChecks = 0;
  std::array<std::size_t, kRules> broken{};
  std::vector<Breach> breaches;
  std::map<std::string, std::uint64_t> counters;  // of the newest lives of all gateways, added up
  std::vector<std::string> crashes;  // gateways that ended by themselves, and what they said last
  Micros late =
      0;  // the longest by which the emulator itself was late: what it judges by times is off by so much
  Micros slowestStart = 0;  // of all starts, until it said that it serves

  bool rulesKept() const;
  double percentOfAnswers(std::uint64_t count) const;
  // All of it.
  std::string json() const;
  // One line of numbers for scripts: last list in ms (0: not all have one), calls until then for each
  // gateway, their failed share in percent, most calls in 100 ms, most connections at one endpoint in 100 ms,
  // rejected in percent, rejected with room in percent, first served in ms, connections, rules kept (1) or
  // not (0).
  std::string row(unsigned gateways) const;
  // A few lines for people.
  std::string table() const;
  // Rows for a chart: second, served, rejected, failed, p99 in ms, connections, calls.
  std::string columns() const;
};

// What plays a scenario's gateways.
struct ProgramPaths {
  std::string gateway;
  std::string faults;  // the library of failing calls; needed where the scenario has any
  std::string traces;  // a folder for the gateways' logs with each step of each request; empty: none
};

class Site {
 public:
  Site(transport::EventLoop& loop, const Scenario& scenario, ProgramPaths programs);
  Site(transport::EventLoop& loop, const Scenario& scenario, std::string program)
      : Site(loop, scenario, ProgramPaths{std::move(program), "", ""}) {}
  ~Site();

  // Where the gateways keep their settings and snapshots; it ends with the site.
  const std::string& folder() const { return folder_.path(); }
  // Plays it to its end; a row of each second goes to 'onSecond'. True: go on; false ends it early.
  DeploymentResults play(const std::function<bool(std::size_t number, const TimelineRow&)>& onSecond = {});

 private:
  struct Gateway;

  std::string configOf(std::size_t number) const;
  std::vector<ListedEntry> listOf() const;
  void publish();
  void startGateway(Gateway& gateway);
  void tick();
  void begin(const FaultEvent& faultEvent);
  void buildEndpoints();
  void buildGateways();
  std::string settingsOf(const Gateway& gateway) const;
  emulator::Environment environmentOf(const Gateway& gateway) const;
  std::string addressOf(std::size_t endpoint) const;
  transport::SocketAddress listAddressOf(const Gateway& gateway) const;
  void changePaths(std::vector<std::unique_ptr<StreamLink>>& links, double share, Micros duration,
                   const Fault& fault);
  void noteSending(std::size_t endpoint, std::string_view bytes);
  void reloadGateway(Gateway& gateway);
  void endGateway(Gateway& gateway);
  Micros killAfterTerm() const;
  void startAgain(Gateway& gateway);
  void checkStart(Gateway& gateway);
  void gatherViolations();
  void killPrimaries(Micros duration);
  void restartEndpoints(double share, Micros duration, bool drain);
  void rollGateways(double share, Micros duration);
  void later(Micros after, std::function<void()> what);
  void note(const std::string& text);
  void answered(const Answer& answer);
  // 'overPath': the service's answer takes the path that may be cut.
  void called(std::size_t listener, const ListModel::Answer& answer, bool overPath);
  ListedState stateOf(const std::string& endpoint) const;
  void noteTold(const Gateway& gateway, const ListModel::Answer& answer, bool overPath);
  void serviceDown(ListService& service);
  void serviceUp(ListService& service);
  void closeSecond();
  void gatherCounters();
  DeploymentResults finish();
  TimelineRow& second() { return results_.seconds.back(); }

  transport::EventLoop& loop_;
  Scenario scenario_;
  ProgramPaths programs_;
  test::TemporaryFolder folder_;  // it ends after the gateways
  Judge judge_;
  ListService service_;
  std::unique_ptr<ListService> elsewhere_;  // where the service has moved to
  std::vector<std::unique_ptr<EmulatedEndpoint>> endpoints_;
  std::vector<std::unique_ptr<StreamLink>> endpointPaths_;  // to each endpoint, where paths are played
  std::vector<std::unique_ptr<StreamLink>> listPaths_;      // of each gateway to the list service
  struct Cut {
    Micros from = 0;
    Micros until = 0;
  };
  std::vector<Cut> listCuts_;  // the newest of each gateway's path
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::map<std::string, std::string> phases_;  // of endpoints that are not ready
  DelayedActions delayedActions_;
  Micros startedAt_ = 0;
  Micros secondAt_ = 0;
  std::uint64_t connectionsBefore_ = 0;
  std::uint64_t callsBefore_ = 0;
  LatencyHistogram latencies_;  // of what was served in this second
  LatencyHistogram all_;
  std::size_t listsMissing_ = 0;
  DeploymentResults results_;
};

}  // namespace heathflow::emulator
