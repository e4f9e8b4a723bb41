// Runs a scale plan: measures gateways, endpoints, changes, clients, gossip and subsets at rising sizes, then
// faults. Time and memory are bounded; all processes that a run starts end with it.
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
  std::vector<std::string> problems;  // why the run was stopped; empty: it is complete or 'ended'
  bool ended = false;                 // Hooks::continues ended the run early
};

class ScaleRun {
 public:
  struct Hooks {
    std::function<bool()> continues;                          // returns false to end the run early
    std::function<void(const std::string& step)> onProgress;  // called before each step; may be empty
  };
  // @param program  the path of the gateway program.
  ScaleRun(transport::EventLoop& loop, const ScalePlan& plan, std::string program, Hooks hooks);

  ScaleOutcome play();

 private:
  // Measured values at one time; results are differences of two samples.
  struct Sample {
    Micros at = 0;
    ListFeed::Traffic traffic;
    Micros realCpuTime = 0;  // of all real gateways
    Micros emulatorCpuTime = 0;
  };

  bool finished() const { return outcome_.ended || !outcome_.problems.empty(); }
  // Runs the loop until the condition holds. If that takes too long, or the run uses too much memory, adds a
  // problem, which finishes the run. Returns false if the run is finished.
  bool awaitCondition(const std::string& what, const std::function<bool()>& condition);
  // Runs the loop for a time. Returns false if the run is finished.
  bool runFor(Micros span);
  // Runs one turn of the loop and checks the memory now and then. Returns false if the run is finished.
  bool runTurn(Micros most);
  void startStep(const std::string& step);
  Micros now() { return loop_.clock().now(); }

  FleetPlan fleetOf(unsigned gateways, unsigned real) const;
  bool startFleet(GatewayFleet& fleet);
  bool waitUpToDate(GatewayFleet& fleet, std::size_t gateways);
  // Makes one change and returns how long it took to reach this many gateways.
  Micros changeOnce(GatewayFleet& fleet, std::size_t endpoint, std::size_t gateways);
  Sample takeSample(GatewayFleet& fleet);

  void gateways(const GatewaysPart& part);
  void gatewaysAt(const GatewaysPart& part, unsigned size);
  void measureIdle(const GatewaysPart& part, GatewayFleet& fleet);
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
  // Makes a number of changes, spread evenly over a time. Returns false if the run is finished.
  bool changeEvenly(GatewayFleet& fleet, std::size_t count, Micros span);

  transport::EventLoop& loop_;
  ScalePlan plan_;
  std::string program_;
  Hooks hooks_;
  ScaleOutcome outcome_;
  std::vector<pid_t> processes_;  // of the current step
  Micros memoryCheckedAt_ = 0;
};

}  // namespace heathflow::emulator
