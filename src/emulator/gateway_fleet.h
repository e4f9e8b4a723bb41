// The gateways of a scale run with their emulated list service. Some are processes of the program; the
// others, protocol-only gateways, share the emulator's process.
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
  unsigned protocolOnly = 0;
  unsigned real = 0;
  Micros maxPollInterval = 10'000'000;
  bool hasCutLink = false;  // a seventh of the protocol-only gateways can be cut off from the list service
  std::string program;      // path of the gateway program for the real ones
};

// Returns a list of endpoints in groups of eleven. Nothing answers at their addresses, which are on loopback.
std::vector<ListedEntry> listOf(unsigned endpoints);

class GatewayFleet {
 public:
  // The gateways know no endpoints until they have their first list.
  GatewayFleet(transport::EventLoop& loop, const FleetPlan& plan, std::vector<ListedEntry> entries);

  // Starts all gateways.
  void start();
  // Kills every second gateway of each kind and returns how many. Must not be called within a turn of the
  // loop.
  std::size_t killHalf();
  // Starts the killed gateways again.
  void startKilled();
  // Cuts the link of a seventh of the protocol-only gateways to the list service, or restores it.
  void cut();
  void restore();

  std::size_t size() const { return protocolOnly_.size() + real_.size(); }
  std::size_t cutCount() const { return cutCount_; }
  ListFeed& feed() { return feed_; }
  // Returns how many gateways have the current list and watch for changes.
  std::size_t upToDate() const { return feed_.watching(feed_.revision()); }
  std::vector<std::unique_ptr<ChildProcess>>& real() { return real_; }
  const std::vector<std::unique_ptr<ProtocolOnlyGateway>>& protocolOnly() const { return protocolOnly_; }

 private:
  std::string configOf(std::size_t number, const transport::SocketAddress& discovery) const;

  FleetPlan plan_;
  ListFeed feed_;
  std::unique_ptr<StreamLink> link_;
  std::size_t cutCount_ = 0;
  std::vector<std::unique_ptr<ProtocolOnlyGateway>> protocolOnly_;
  std::vector<std::unique_ptr<ChildProcess>> real_;
};

}  // namespace heathflow::emulator
