#include "routing/health_check_manager.h"

#include <algorithm>
#include <utility>

#include "routing/attempt_result.h"

namespace heathflow::routing {

using Selection = upstream::ConnectionPool::Selection;

struct HealthCheckManager::HealthCheck final : upstream::Exchange {
  HealthCheck(HealthCheckManager& healthCheckManager, EndpointId endpointId)
      : manager(healthCheckManager),
        endpoint(endpointId),
        startedAt(healthCheckManager.env_.loop.now()),
        timeout(healthCheckManager.env_.loop, [this] { manager.onTimeout(*this); }),
        nextStep(healthCheckManager.env_.loop, [this] { manager.connect(*this); }) {}

  stats::TrafficType trafficType() const override { return stats::TrafficType::HealthCheck; }
  bool write(protocol::EndpointSide& side, transport::Buffer& out) override {
    return step == Step::Readiness ? side.writeReadinessCheck(out) : side.writeHealthCheck(out);
  }
  void onExchangeEnd(const upstream::ExchangeEnd& end) override { manager.onExchangeEnd(*this, end); }

  // One that has to prove readiness asks for the load report once it has the proof.
  enum class Step { Readiness, LoadReport };

  HealthCheckManager& manager;
  EndpointId endpoint;
  Step step = Step::LoadReport;
  bool provedReadiness = false;
  Selection selection = Selection::NewestIdle;
  Micros readinessConnectionAge = 0;
  Micros startedAt;
  upstream::EndpointConnection* connection = nullptr;
  bool retried = false;
  transport::Timer timeout;
  transport::Timer nextStep;
};

HealthCheckManager::HealthCheckManager(const Environment& environment) : env_(environment) {}
HealthCheckManager::~HealthCheckManager() = default;

void HealthCheckManager::start(const StartHealthCheck& action) {
  const EndpointId endpoint = action.endpoint;
  if (checks_.contains(endpoint)) return;
  ++env_.observer.counters.healthChecksStarted;
  env_.observer.upstreamStats.healthCheckStarted(endpoint, action.reason);
  HealthCheck& check =
      *checks_.emplace(endpoint, std::make_unique<HealthCheck>(*this, endpoint)).first->second;
  // The settings define no timeout for health checks, so the connect timeout is used.
  check.timeout.arm(env_.loop.now() + env_.settings.policy.connectTimeout);
  if (action.onOldestConnection) {
    check.step = HealthCheck::Step::Readiness;
    check.selection = Selection::OldestIdle;
  }
  connect(check);
}

void HealthCheckManager::connect(HealthCheck& check) {
  using StartResult = upstream::ConnectionPool::StartResult;
  const std::size_t protocol = env_.pool.firstProtocol(check.endpoint);
  switch (env_.pool.start(check.endpoint, protocol, check, check.connection, check.selection)) {
    case StartResult::Started:
      return;
    case StartResult::LocalShortage: {
      // That the gateway can't open a socket says nothing about the endpoint.
      HealthCheckEnded rejected;
      rejected.rejected = true;
      return end(check, rejected);
    }
    case StartResult::Unreachable:
      return end(check, {});
  }
}

void HealthCheckManager::onExchangeEnd(HealthCheck& check, const upstream::ExchangeEnd& exchangeEnd) {
  // A broken connection does not show that its endpoint is down, so the check is retried once, on a new
  // connection.
  if (exchangeEnd.brokenAfterConnect && !std::exchange(check.retried, true)) {
    check.selection = Selection::NewConnection;
    return connect(check);
  }
  HealthCheckEnded event =
      healthCheckResultOf(env_.settings, exchangeEnd, env_.loop.now(), env_.endpointTime);
  if (event.ok && check.step == HealthCheck::Step::Readiness) return onReady(check);
  event.provesReadiness = check.provedReadiness;
  if (event.ok) event.connectionAge = check.connection->age();
  if (event.ok && check.provedReadiness)
    event.connectionAge = std::min(event.connectionAge, check.readinessConnectionAge);
  end(check, event);
}

// Continues with the load report, once the connection is idle again.
void HealthCheckManager::onReady(HealthCheck& check) {
  check.provedReadiness = true;
  check.step = HealthCheck::Step::LoadReport;
  check.readinessConnectionAge = check.connection->age();
  check.connection = nullptr;
  check.nextStep.arm(env_.loop.now());
}

void HealthCheckManager::onTimeout(HealthCheck& check) {
  // Connections to a host that vanished stay open until it is back and resets them. If a health check gets
  // not a single byte, the connections that have been idle since before its start are closed too.
  if (check.connection == nullptr) return end(check, {});
  const bool noResponse = check.connection->awaitsFirstByte();
  check.connection->abort();
  if (noResponse) env_.pool.closeIdle(check.endpoint, check.startedAt);
  end(check, {});
}

void HealthCheckManager::end(HealthCheck& check, HealthCheckEnded event) {
  const auto found = checks_.find(check.endpoint);
  if (found == checks_.end() || found->second.get() != &check) return;
  check.timeout.disarm();
  check.nextStep.disarm();
  event.endpoint = check.endpoint;
  event.elapsed = env_.loop.now() - check.startedAt;
  stats::Counters& counters = env_.observer.counters;
  ++(event.ok         ? counters.healthChecksAnswered
     : event.rejected ? counters.healthChecksRejected
                      : counters.healthChecksFailed);
  env_.observer.upstreamStats.healthCheckEnded(event.endpoint, event.ok);
  env_.loop.deleteLater(std::move(found->second));
  checks_.erase(found);
  env_.policy.post(event);
}

}  // namespace heathflow::routing
