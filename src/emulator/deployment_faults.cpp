// The faults of a scenario, one function each: it begins the fault now and schedules its end.
#include <algorithm>

#include "emulator/deployment.h"
#include "emulator/units.h"

namespace heathflow::emulator {
namespace {

// After a failover the list names the new primary this much later than the endpoint takes over.
constexpr Micros kListLagsFailover = 300 * kMicrosPerMilli;
// From the failover until the old primaries are started again.
constexpr Micros kPrimariesReturnAfter = kMicrosPerSecond;
// From the time an endpoint is listed as draining until it stops.
constexpr Micros kDrainDuration = kMicrosPerSecond;
// From SIGTERM until the next start, in scenarios that do not end gateways with SIGKILL.
constexpr Micros kRestartAfterTerm = 2 * kMicrosPerSecond;
// The revision of a list service that has lost its newest changes or has moved: below the initial one.
constexpr std::int64_t kOlderRevision = 50;
constexpr Micros kSlowLinkDelay = 60 * kMicrosPerMilli;

// Returns the condition of a link during a fault.
Fault linkFaultOf(FaultEvent::Kind kind) {
  using FaultKind = FaultEvent::Kind;
  Fault out;
  out.cutToServer = kind == FaultKind::CutEndpoints || kind == FaultKind::CutList;
  out.cutToClient = out.cutToServer || kind == FaultKind::HangEndpoints;
  out.resets = kind == FaultKind::ResetEndpoints;
  if (kind == FaultKind::SlowEndpoints) out.delay = out.jitter = kSlowLinkDelay;
  return out;
}

}  // namespace

void Deployment::applyFault(const FaultEvent& event) {
  using FaultKind = FaultEvent::Kind;
  note(nameOf(event.kind));
  switch (event.kind) {
    case FaultKind::KillGateways:
      return killGateways(event);
    case FaultKind::RollGateways:
      return rollGateways(event);
    case FaultKind::PauseGateways:
      return pauseGateways(event);
    case FaultKind::KillPrimary:
      return killPrimaries(event);
    case FaultKind::RestartEndpoints:
      return restartEndpoints(endpoints_.choose(event.share), 0, event.duration);
    case FaultKind::DrainEndpoints:
      return drainEndpoints(event);
    case FaultKind::ListDown:
      return takeListServiceDown(event);
    case FaultKind::ListOlder:
      return revertListService(event);
    case FaultKind::LogsUnread:
      return leaveLogsUnread(event);
    case FaultKind::ReloadGateways:
      return reloadGateways(event);
    case FaultKind::CutEndpoints:
    case FaultKind::HangEndpoints:
    case FaultKind::SlowEndpoints:
    case FaultKind::ResetEndpoints:
      return impairLinks(endpoints_.links(), event);
    case FaultKind::CutList:
      return cutListLinks(event);
    case FaultKind::ListMoves:
      return moveListService(event);
    case FaultKind::ListOverloaded:
      return overloadListService(event);
  }
}

// ---- Gateways ----

void Deployment::killGateways(const FaultEvent& event) {
  const std::size_t count = countOfShare(event.share, gateways_.size());
  for (std::size_t i = 0; i < count; ++i) {
    GatewayProcess& gateway = *gateways_[i];
    gateway.exitExpected = true;
    judge_.gatewayKilled(gateway.name, loop_.now());
    gateway.load->connectTo({});
    gateway.misbehavingClients->connectTo({});
    gateway.child->kill();
  }
  schedule(event.duration, [this, count] {
    for (std::size_t i = 0; i < count; ++i)
      schedule(static_cast<Micros>(i), [this, i] { startGateway(*gateways_[i]); });
    note(std::to_string(count) + " gateways start again");
  });
}

void Deployment::rollGateways(const FaultEvent& event) {
  const std::size_t count = countOfShare(event.share, gateways_.size());
  for (std::size_t i = 0; i < count; ++i) {
    GatewayProcess& gateway = *gateways_[i];
    const Micros at = event.duration * static_cast<Micros>(i) / static_cast<Micros>(count);
    schedule(at, [this, &gateway] { terminateGateway(gateway); });
    schedule(at + (scenario_.hardStops ? earliestKillAfterTerm() : kRestartAfterTerm),
             [this, &gateway] { restartTerminatedGateway(gateway); });
  }
}

void Deployment::pauseGateways(const FaultEvent& event) {
  const std::size_t count = countOfShare(event.share, gateways_.size());
  for (std::size_t i = 0; i < count; ++i) {
    GatewayProcess& gateway = *gateways_[i];
    gateway.load->pause();
    gateway.misbehavingClients->connectTo({});
    judge_.gatewayKilled(gateway.name, loop_.now());  // its open requests are not its fault
    gateway.child->pause();
  }
  schedule(event.duration, [this, count] { resumeGateways(count); });
}

void Deployment::resumeGateways(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    GatewayProcess& gateway = *gateways_[i];
    gateway.child->resume();
    judge_.gatewayKilled(gateway.name, loop_.now());  // neither are requests that were on their way to it
    gateway.load->connectTo({});
    gateway.serving = false;
  }
  note("the gateways resume");
}

void Deployment::leaveLogsUnread(const FaultEvent& event) {
  const std::size_t count = countOfShare(event.share, gateways_.size());
  // The log of a gateway that is still starting is read, since its address comes from there.
  for (std::size_t i = 0; i < count; ++i) gateways_[i]->child->setLogUnread(gateways_[i]->serving);
  schedule(event.duration, [this, count] {
    for (std::size_t i = 0; i < count; ++i) gateways_[i]->child->setLogUnread(false);
    note("logs are read again");
  });
}

void Deployment::reloadGateways(const FaultEvent& event) {
  const std::size_t count = countOfShare(event.share, gateways_.size());
  for (std::size_t i = 0; i < count; ++i) reloadGateway(*gateways_[i]);
}

// ---- Endpoints ----

void Deployment::killPrimaries(const FaultEvent& event) {
  const std::vector<EmulatedEndpoint*> stopped = endpoints_.stopPrimaries();
  schedule(event.duration, [this, stopped] {
    endpoints_.failOver(stopped);
    note("replicas have become primaries");
  });
  schedule(event.duration + kListLagsFailover, [this] { publishEndpoints(); });
  schedule(event.duration + kPrimariesReturnAfter, [this, stopped] {
    for (EmulatedEndpoint* endpoint : stopped) endpoint->start();
    publishEndpoints();
    note("the old primaries are up again, in slow start");
  });
}

void Deployment::drainEndpoints(const FaultEvent& event) {
  const std::vector<EmulatedEndpoint*> chosen = endpoints_.choose(event.share);
  for (EmulatedEndpoint* endpoint : chosen) {
    endpoints_.setListed(*endpoint, ListedState::Draining);
    endpoint->setDraining(true);
  }
  publishEndpoints();
  restartEndpoints(chosen, kDrainDuration, event.duration);
}

void Deployment::restartEndpoints(const std::vector<EmulatedEndpoint*>& chosen, Micros stopAfter,
                                  Micros downtime) {
  const auto primaries = std::make_shared<std::vector<EmulatedEndpoint*>>();
  schedule(stopAfter, [this, chosen, primaries] {
    for (EmulatedEndpoint* endpoint : chosen) {
      if (endpoint->model().primary()) primaries->push_back(endpoint);
      endpoint->stop();
      endpoints_.setListed(*endpoint, ListedState::Gone);
    }
    publishEndpoints();
  });
  schedule(stopAfter + downtime, [this, chosen, primaries] {
    for (EmulatedEndpoint* endpoint : chosen) {
      endpoint->start();
      endpoints_.setListed(*endpoint, ListedState::Ready);
    }
    for (EmulatedEndpoint* endpoint : *primaries) endpoint->model().becomePrimary();
    publishEndpoints();
    note("endpoints are up again, in slow start");
  });
}

// ---- List service ----

void Deployment::takeListServiceDown(const FaultEvent& event) {
  listServiceDown(service_);
  schedule(event.duration, [this] {
    listServiceUp(service_);
    note("the list service is up again");
  });
}

void Deployment::revertListService(const FaultEvent& event) {
  listServiceDown(service_);
  schedule(event.duration, [this] {
    service_.model().goBackTo(kOlderRevision);
    publishEndpoints();
    listServiceUp(service_);
    note("the list service is up again, with an older state");
  });
}

// Gateways read the new address from their configuration at SIGHUP.
void Deployment::moveListService(const FaultEvent& event) {
  movedService_ = std::make_unique<ListService>(loop_, scenario_.list);
  movedService_->onAnswer = [this](std::size_t listener, const ListModel::Answer& answer) {
    onListCall(listener, answer, false);
  };
  movedService_->model().goBackTo(kOlderRevision);
  movedService_->set(endpoints_.entries());
  judge_.notifications().serviceUp(loop_.now());
  for (const auto& gateway : gateways_) {
    gateway->movedListener = movedService_->addListener();
    gateway->child->configure(configurationOf(*gateway));
    judge_.notifications().serviceMoved(gateway->name, std::max(loop_.now(), signalsAllowedFrom(*gateway)));
    reloadGateway(*gateway);
  }
  schedule(event.duration, [this] { listServiceDown(service_); });
}

void Deployment::overloadListService(const FaultEvent& event) {
  for (ListService* service : listServices()) service->model().setRejectShare(event.share);
  schedule(event.duration, [this] {
    for (ListService* service : listServices()) service->model().setRejectShare(0);
    note("the list service accepts all calls again");
  });
}

// ---- Links ----

void Deployment::cutListLinks(const FaultEvent& event) {
  const std::size_t all = listLinks_.size();
  listCuts_.resize(all);
  for (std::size_t i = all - countOfShare(event.share, all); i < all; ++i)
    listCuts_[i] = {loop_.now(), loop_.now() + event.duration};
  impairLinks(listLinks_, event);
}

// Impairs the last links, because the first endpoint of each group is its primary.
void Deployment::impairLinks(std::vector<std::unique_ptr<StreamLink>>& links, const FaultEvent& event) {
  const std::size_t first = links.size() - countOfShare(event.share, links.size());
  const Fault fault = linkFaultOf(event.kind);
  for (std::size_t i = first; i < links.size(); ++i)
    links[i]->change(LinkConditions({fault}, scenario_.seed + i));
  schedule(event.duration, [this, &links, first] {
    for (std::size_t i = first; i < links.size(); ++i)
      links[i]->change(LinkConditions({}, scenario_.seed + i));
    note("links work again");
  });
}

}  // namespace heathflow::emulator
