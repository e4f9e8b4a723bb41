// Drivers of one emulated list service, for scale runs: some are processes of the program, the others hollow.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "rig/child.h"
#include "rig/hollow.h"
#include "rig/link.h"
#include "rig/list_feed.h"
#include "rig/usage.h"

namespace heathflow::rig {

struct FleetPlan {
  unsigned hollow = 0;
  unsigned real = 0;
  Micros askWithin = 10'000'000;
  bool cuttable = false;  // a seventh of the hollow ones can be cut off from the list service
  std::string program;    // the driver
};

// A list of so many members, in groups of eleven. Nothing answers at their addresses, which are on loopback.
std::vector<ListedEntry> listOf(unsigned members);

class DriverFleet {
 public:
  // Drivers know of no member at first.
  DriverFleet(transport::EventLoop& loop, const FleetPlan& plan, std::vector<ListedEntry> entries);

  // Begins a life of each driver.
  void start();
  // Ends every second driver of each kind without a word; says how many. Not from within the loop's own turn.
  std::size_t endHalf();
  // Starts those that have ended.
  void startEnded();
  // Cuts a seventh off, or heals that. Nobody is told of either.
  void cut();
  void heal();

  std::size_t size() const { return hollow_.size() + real_.size(); }
  std::size_t cuttable() const { return cuttable_; }
  ListFeed& feed() { return feed_; }
  // Drivers that watch and hold the list as it is now.
  std::size_t upToDate() const { return feed_.watching(feed_.revision()); }
  std::vector<std::unique_ptr<Child>>& real() { return real_; }
  const std::vector<std::unique_ptr<HollowDriver>>& hollow() const { return hollow_; }

 private:
  std::string configOf(std::size_t number, const transport::Endpoint& discovery) const;

  FleetPlan plan_;
  ListFeed feed_;
  std::unique_ptr<StreamLink> link_;
  std::size_t cuttable_ = 0;
  std::vector<std::unique_ptr<HollowDriver>> hollow_;
  std::vector<std::unique_ptr<Child>> real_;
};

}  // namespace heathflow::rig
