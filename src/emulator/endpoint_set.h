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

  // Returns the endpoint list that the list service should have. Removed endpoints are not in it.
  std::vector<ListedEntry> entries() const;
  // Tells the judge the state of each endpoint in the list from now on.
  void reportStates();
  // Tells the judge which endpoints are in slow start, and how many requests per second they can serve.
  void reportSlowStart();

  // Restarts every endpoint in slow start; primaries stay primaries.
  void startAllCold();
  // Returns this share of the endpoints that are up, replicas first. Below 1 primaries are left out, so that
  // a primary is restarted only if all endpoints are.
  std::vector<EmulatedEndpoint*> choose(double share) const;
  // Stops every primary that is up, and the replication in all groups. Returns the stopped primaries.
  std::vector<EmulatedEndpoint*> stopPrimaries();
  // Makes the most advanced replica in the group of each stopped primary the new primary, and resumes
  // replication.
  void failOver(const std::vector<EmulatedEndpoint*>& stopped);
  void setListed(const EmulatedEndpoint& endpoint, ListedState state);

  // Returns whether an endpoint that may serve this request would have served it at once.
  bool hasCapacityFor(const Answer& answer) const;
  // Returns how many connections were opened to endpoints, rejected ones included.
  std::uint64_t connections() const;
  void addTotals(DeploymentResults& results) const;

  // The links to the endpoints, in their order; empty if the scenario has no faults of links.
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
  std::map<std::string, ListedState> states_;  // by name; only endpoints that are not ready
};

}  // namespace heathflow::emulator
