// Gateways of one emulated list service, for scale runs: some are processes of the program, the others
// hollow.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "emulator/child_process.h"
#include "emulator/link.h"
#include "emulator/list_feed.h"
#include "emulator/protocol_only_gateway.h"
#include "emulator/usage.h"

namespace heathflow::emulator {

struct FleetPlan {
  unsigned hollow = 0;
  unsigned real = 0;
  Micros maxPollInterval = 10'000'000;
  bool cuttable = false;  // a seventh of the hollow ones can be cut off from the list service
  std::string program;    // the gateway
};

// A list of so many endpoints, in groups of eleven. Nothing answers at their addresses, which are on
// loopback.
std::vector<ListedEntry> listOf(unsigned endpoints);

class GatewayFleet {
 public:
  // Gateways know of no endpoint at first.
  GatewayFleet(transport::EventLoop& loop, const FleetPlan& plan, std::vector<ListedEntry> entries);

  // Begins a life of each gateway.
  void start();
  // Ends every second gateway of each kind without a word; says how many. Not from within the loop's own
  // turn.
  std::size_t endHalf();
  // Starts those that have ended.
  void startEnded();
  // Cuts a seventh off, or heals that. Nobody is told of either.
  void cut();
  void heal();

  std::size_t size() const { return hollow_.size() + real_.size(); }
  std::size_t cuttable() const { return cuttable_; }
  ListFeed& feed() { return feed_; }
  // Gateways that watch and hold the list as it is now.
  std::size_t upToDate() const { return feed_.watching(feed_.revision()); }
  std::vector<std::unique_ptr<ChildProcess>>& real() { return real_; }
  const std::vector<std::unique_ptr<ProtocolOnlyGateway>>& hollow() const { return hollow_; }

 private:
  std::string configOf(std::size_t number, const transport::SocketAddress& discovery) const;

  FleetPlan plan_;
  ListFeed feed_;
  std::unique_ptr<StreamLink> link_;
  std::size_t cuttable_ = 0;
  std::vector<std::unique_ptr<ProtocolOnlyGateway>> hollow_;
  std::vector<std::unique_ptr<ChildProcess>> real_;
};

}  // namespace heathflow::emulator
