// Runs health checks, at most one at a time for each endpoint.
#pragma once

#include <memory>
#include <unordered_map>

#include "policy/routing_policy.h"
#include "routing/policy_driver.h"
#include "settings/settings.h"
#include "stats/observer.h"
#include "upstream/connection_pool.h"
#include "wallclock/endpoint_time.h"

namespace heathflow::routing {

class HealthCheckManager {
 public:
  // The objects of the gateway that health checks use. All of them outlive the manager.
  struct Environment {
    transport::EventLoop& loop;
    const settings::InstanceSettings& settings;
    upstream::ConnectionPool& pool;
    stats::Observer& observer;
    wallclock::EndpointTime& endpointTime;
    PolicyDriver& policy;
  };
  explicit HealthCheckManager(const Environment& environment);
  ~HealthCheckManager();

  // Starts a health check, unless one of the endpoint is in flight.
  void start(const StartHealthCheck& action);

 private:
  struct HealthCheck;
  void connect(HealthCheck& check);
  void onReady(HealthCheck& check);
  void onExchangeEnd(HealthCheck& check, const upstream::ExchangeEnd& end);
  void onTimeout(HealthCheck& check);
  void end(HealthCheck& check, HealthCheckEnded event);

  Environment env_;
  std::unordered_map<EndpointId, std::unique_ptr<HealthCheck>> checks_;
};

}  // namespace heathflow::routing
