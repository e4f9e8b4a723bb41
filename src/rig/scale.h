// Plays a scale plan: drivers, members, changes and clients at rising sizes, then faults, and what each of
// them costs. Bounded in time and memory; all that it starts ends with it.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "rig/driver_fleet.h"
#include "rig/scale_plan.h"
#include "rig/scale_results.h"
#include "transport/event_loop.h"

namespace heathflow::rig {

struct ScaleOutcome {
  ScaleResults results;
  std::vector<std::string> problems;  // what did not come about; none: the run is whole
  bool ended = false;                 // early, as it was told to
};

class ScaleRun {
 public:
  struct Hooks {
    std::function<bool()> goesOn;                             // false ends it early
    std::function<void(const std::string& step)> onProgress;  // before each step
  };
  // 'program': the driver.
  ScaleRun(transport::EventLoop& loop, const ScalePlan& plan, std::string program, Hooks hooks);

  ScaleOutcome play();

 private:
  // What stands at one moment, for differences.
  struct Moment {
    Micros at = 0;
    ListFeed::Traffic traffic;
    Micros realProcessor = 0;  // of all real drivers
    Micros rigProcessor = 0;
  };

  bool over() const { return outcome_.ended || !outcome_.problems.empty(); }
  // Runs the loop until it is so. False, with a problem noted, where that takes too long or too much memory.
  bool wait(const std::string& what, const std::function<bool()>& condition);
  // Runs the loop for a span; false where the run is over.
  bool pass(Micros span);
  bool step(Micros most);
  void begin(const std::string& step);
  Micros now() { return loop_.clock().now(); }

  FleetPlan fleetOf(unsigned drivers, unsigned real) const;
  bool startFleet(DriverFleet& fleet);
  bool waitUpToDate(DriverFleet& fleet, std::size_t drivers);
  // One change; how long until it was in force at so many drivers.
  Micros changeOnce(DriverFleet& fleet, std::size_t member, std::size_t drivers);
  Moment momentOf(DriverFleet& fleet);

  void drivers(const DriversPart& part);
  void driversAt(const DriversPart& part, unsigned size);
  void quiet(const DriversPart& part, DriverFleet& fleet);
  void changesOneByOne(const DriversPart& part, DriverFleet& fleet);
  void membersAt(const MembersPart& part, unsigned size);
  void changesAt(const ChangesPart& part, unsigned rate);
  void clients(const ClientsPart& part);
  void gossip(const GossipPart& part);
  void subsets(const SubsetsPart& part);
  void faults(const FaultsPart& part);
  void restartHalf(DriverFleet& fleet);
  void listAway(const FaultsPart& part, DriverFleet& fleet);
  void cutSeventh(const FaultsPart& part, DriverFleet& fleet);
  void burst(const FaultsPart& part, DriverFleet& fleet);
  // So many changes evenly over a span, up to the last of them; false where the run is over.
  bool changeEvenly(DriverFleet& fleet, std::size_t count, Micros span);

  transport::EventLoop& loop_;
  ScalePlan plan_;
  std::string program_;
  Hooks hooks_;
  ScaleOutcome outcome_;
  std::vector<pid_t> processes_;  // of the step that runs
  Micros memoryLookedAt_ = 0;
};

}  // namespace heathflow::rig
