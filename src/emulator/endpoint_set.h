// The emulated endpoints of a deployment, in groups of one primary and its replicas, with the links to them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/client_load.h"
#include "emulator/deployment_results.h"
#include "emulator/emulated_endpoint.h"
#include "emulator/judge.h"
#include "emulator/link.h"
#include "emulator/list_model.h"
#include "emulator/scenario.h"

namespace heathflow::emulator {

class EndpointSet {
 public:
  EndpointSet(transport::EventLoop& loop, const Scenario& scenario, Judge& judge);

  // The endpoint list as the list service should have it. Removed endpoints are not in it.
  std::vector<ListedEntry> entries() const;
  // Tells the judge which state of each endpoint the list has from now on.
  void reportStates();
  // Tells the judge which endpoints are in slow start, and how much they can serve.
  void reportSlowStart();

  // Every endpoint starts cold; primaries stay primaries.
  void startAllCold();
  // The endpoints that are up, replicas first: a primary is restarted only where all are.
  // @param share  the share of them that is wanted; below 1 primaries are left out.
  std::vector<EmulatedEndpoint*> choose(double share) const;
  // Stops every primary that is up, and with it the replication of its group. Returns the stopped ones.
  std::vector<EmulatedEndpoint*> stopPrimaries();
  // In the group of each stopped primary the most advanced replica becomes primary; replication goes on.
  void failOver(const std::vector<EmulatedEndpoint*>& stopped);
  void setListed(const EmulatedEndpoint& endpoint, ListedState state);

  // Whether an endpoint that may serve this request would serve it at once.
  bool hasCapacityFor(const Answer& answer) const;
  // All connections that were opened to endpoints, those that were turned away included.
  std::uint64_t connections() const;
  void addTotals(DeploymentResults& results) const;

  // To each endpoint; empty where the scenario has no faults of links.
  std::vector<std::unique_ptr<StreamLink>>& links() { return links_; }

 private:
  void add(unsigned group, unsigned indexInGroup);
  std::string addressOf(std::size_t endpoint) const;
  void reportAttempts(std::size_t endpoint, std::string_view bytes);
  ListedState stateOf(const EmulatedEndpoint& endpoint) const;

  transport::EventLoop& loop_;
  const Scenario& scenario_;
  Judge& judge_;
  std::vector<std::unique_ptr<EmulatedEndpoint>> endpoints_;
  std::vector<std::unique_ptr<StreamLink>> links_;
  std::map<std::string, ListedState> states_;  // by name, of endpoints that are not ready
};

}  // namespace heathflow::emulator
