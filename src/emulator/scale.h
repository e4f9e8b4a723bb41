// Plays a scale plan: measures gateways, endpoints, changes and clients at rising sizes, then faults. Bounded
// in time and memory; everything that it starts ends with it.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "emulator/gateway_fleet.h"
#include "emulator/scale_plan.h"
#include "emulator/scale_results.h"
#include "transport/event_loop.h"

namespace heathflow::emulator {

struct ScaleOutcome {
  ScaleResults results;
  std::vector<std::string> problems;  // conditions that were not reached; empty: the run is complete
  bool ended = false;                 // early, by Hooks::continues
};

class ScaleRun {
 public:
  struct Hooks {
    std::function<bool()> continues;                          // false ends it early
    std::function<void(const std::string& step)> onProgress;  // before each step
  };
  // @param program  the gateway.
  ScaleRun(transport::EventLoop& loop, const ScalePlan& plan, std::string program, Hooks hooks);

  ScaleOutcome play();

 private:
  // Values at one moment, for differences.
  struct Moment {
    Micros at = 0;
    ListFeed::Traffic traffic;
    Micros realProcessor = 0;  // of all real gateways
    Micros emulatorProcessor = 0;
  };

  bool finished() const { return outcome_.ended || !outcome_.problems.empty(); }
  // Runs the loop until the condition holds. False, with a problem, where that takes too long or too much
  // memory.
  bool awaitCondition(const std::string& what, const std::function<bool()>& condition);
  // Runs the loop for a time; false where the run is finished.
  bool runFor(Micros span);
  bool runTurn(Micros most);
  void startStep(const std::string& step);
  Micros now() { return loop_.clock().now(); }

  FleetPlan fleetOf(unsigned gateways, unsigned real) const;
  bool startFleet(GatewayFleet& fleet);
  bool waitUpToDate(GatewayFleet& fleet, std::size_t gateways);
  // Makes one change and returns how long it took to reach so many gateways.
  Micros changeOnce(GatewayFleet& fleet, std::size_t endpoint, std::size_t gateways);
  Moment momentOf(GatewayFleet& fleet);

  void gateways(const GatewaysPart& part);
  void gatewaysAt(const GatewaysPart& part, unsigned size);
  void quiet(const GatewaysPart& part, GatewayFleet& fleet);
  void changesOneByOne(const GatewaysPart& part, GatewayFleet& fleet);
  void endpointsAt(const EndpointsPart& part, unsigned size);
  void changesAt(const ChangesPart& part, unsigned rate);
  void clients(const ClientsPart& part);
  void gossip(const GossipPart& part);
  void subsets(const SubsetsPart& part);
  void faults(const FaultsPart& part);
  void restartHalf(GatewayFleet& fleet);
  void listServiceOutage(const FaultsPart& part, GatewayFleet& fleet);
  void cutSeventh(const FaultsPart& part, GatewayFleet& fleet);
  void burst(const FaultsPart& part, GatewayFleet& fleet);
  // Makes a number of changes evenly over a time; false where the run is finished.
  bool changeEvenly(GatewayFleet& fleet, std::size_t count, Micros span);

  transport::EventLoop& loop_;
  ScalePlan plan_;
  std::string program_;
  Hooks hooks_;
  ScaleOutcome outcome_;
  std::vector<pid_t> processes_;  // of the step that runs
  Micros memoryCheckedAt_ = 0;
};

}  // namespace heathflow::emulator
