// The gateway processes of a deployment: start, supervision, reload, termination and restart.
#include <signal.h>

#include <algorithm>

#include "emulator/deployment.h"
#include "emulator/units.h"

namespace heathflow::emulator {
namespace {

constexpr transport::SocketAddress kAnyPort{test::kLoopback, 0};
// The operators require a gateway to be ready within this time after its start.
constexpr Micros kReadyWithin = 10 * kMicrosPerSecond;
// The platform sends SIGKILL no sooner after SIGTERM than the longest request timeout, of which at most
// kMaxRequestTimeoutBeforeKill counts, plus kKillAfterRequestTimeout.
constexpr Micros kMaxRequestTimeoutBeforeKill = 3 * kMicrosPerSecond;
constexpr Micros kKillAfterRequestTimeout = 750 * kMicrosPerMilli;
// Clients open new connections until this long after SIGTERM.
constexpr Micros kNewConnectionsAfterTerm = 300 * kMicrosPerMilli;
// In a series of signals the second pair follows almost at once, and a last SIGTERM much later.
constexpr Micros kSecondSignalPairAfter = 3 * kMicrosPerMilli;
constexpr Micros kLastSignalAfter = 400 * kMicrosPerMilli;
constexpr int kSuccess = 0;
// Factors that give each kind of random draw a seed of its own.
constexpr std::uint64_t kArrivalsSeedFactor = 7919;
constexpr std::uint64_t kDisconnectsSeedFactor = 104'729;
constexpr std::uint64_t kMisbehaviorSeedFactor = 15'485'863;

}  // namespace

void Deployment::createGateways() {
  for (unsigned i = 0; i < scenario_.gateways; ++i) {
    auto gateway = std::make_unique<GatewayProcess>();
    gateway->name = "n" + std::to_string(i);
    gateway->number = i;
    gateway->listener = service_.addListener();
    writeStartFiles(*gateway, scenario_, folder_.path(), programs_.traces);
    if (needsLinks(scenario_)) {
      listLinks_.push_back(std::make_unique<StreamLink>(loop_, kAnyPort,
                                                        service_.listenerAddress(gateway->listener),
                                                        LinkConditions({}, scenario_.seed + i)));
    }
    gateways_.push_back(std::move(gateway));
  }
}

void Deployment::createClients(GatewayProcess& gateway) {
  const std::size_t busy = countOfShare(scenario_.busyShare, gateways_.size());
  const double rate = scenario_.requestsPerGateway * (gateway.number < busy ? scenario_.busyFactor : 1);
  gateway.load = std::make_unique<ClientLoad>(
      loop_, gateway.name,
      Arrivals(rate, scenario_.mix, scenario_.groups, scenario_.seed * kArrivalsSeedFactor + gateway.number,
               recorder_.startedAt()),
      scenario_.patience, scenario_.bound, judge_, [this](const Answer& answer) { recordAnswer(answer); },
      scenario_.disconnectShare, scenario_.seed * kDisconnectsSeedFactor + gateway.number);
  gateway.misbehavingClients = std::make_unique<MisbehavingClients>(
      loop_, gateway.name, scenario_.misbehavingClientsPerSecond, scenario_.groups, scenario_.patience,
      scenario_.seed * kMisbehaviorSeedFactor + gateway.number, judge_);
}

std::string Deployment::configurationOf(const GatewayProcess& gateway) const {
  return emulator::configurationOf(gateway, scenario_, listAddressOf(gateway), endpoints_.entries(),
                                   service_.model().revision());
}

void Deployment::startGateway(GatewayProcess& gateway) {
  gateway.serving = gateway.exitExpected = false;
  gateway.startedAt = loop_.now();
  judge_.notifications().gatewayStarted(gateway.name, loop_.now());
  Environment environment = environmentOf(gateway, scenario_, programs_.faults);
  if (gateway.child) {
    gateway.child->setEnvironment(std::move(environment));
    gateway.child->restart();
    return;
  }
  std::vector<std::string> arguments;
  if (!gateway.settingsFile.empty()) arguments = {"serve", "--config", gateway.settingsFile};
  gateway.child = std::make_unique<ChildProcess>(programs_.gateway, configurationOf(gateway),
                                                 std::move(arguments), std::move(environment));
}

void Deployment::checkGateway(GatewayProcess& gateway) {
  const auto address = gateway.child->socketAddress();
  if (gateway.child->over() && !gateway.exitExpected) {
    recordUnexpectedExit(gateway);
  } else if (!gateway.serving && !gateway.exitExpected && address) {
    connectClients(gateway, *address);
  } else {
    checkStartTime(gateway);
  }
}

void Deployment::recordUnexpectedExit(GatewayProcess& gateway) {
  gateway.exitExpected = true;
  gateway.load->connectTo({});
  gateway.misbehavingClients->connectTo({});
  const auto& log = gateway.child->events();
  recorder_.recordCrash(gateway.name + ", status " + std::to_string(gateway.child->status()) + ": " +
                        (log.empty() ? "" : log.back().text));
}

void Deployment::connectClients(GatewayProcess& gateway, const transport::SocketAddress& address) {
  gateway.serving = true;
  gateway.load->connectTo(address);
  gateway.misbehavingClients->connectTo(address);
  if (scenario_.idleClients > 0) {
    gateway.idleConnections = std::make_unique<IdleConnections>(loop_, address);
    gateway.idleConnections->grow(scenario_.idleClients);
  }
  recorder_.recordStart(loop_.now() - gateway.startedAt);
}

// Records a start that takes too long, once.
void Deployment::checkStartTime(GatewayProcess& gateway) {
  if (gateway.serving || gateway.exitExpected || loop_.now() - gateway.startedAt <= kReadyWithin) return;
  gateway.startedAt = loop_.now();
  recorder_.recordStart(kReadyWithin);
  recorder_.recordCrash(gateway.name + " is not ready within 10 s");
}

void Deployment::reloadGateway(GatewayProcess& gateway) {
  const Micros due = signalsAllowedFrom(gateway);
  if (loop_.now() >= due) return gateway.child->signal(SIGHUP);
  schedule(due - loop_.now(), [this, &gateway] { reloadGateway(gateway); });
}

void Deployment::terminateGateway(GatewayProcess& gateway) {
  gateway.exitExpected = true;
  gateway.misbehavingClients->connectTo({});
  if (!scenario_.hardStops) {
    gateway.load->pause();
  } else {
    gateway.load->expectClose();
    schedule(kNewConnectionsAfterTerm, [&gateway] { gateway.load->openNoConnections(); });
  }
  sendTerminationSignals(gateway);
}

void Deployment::sendTerminationSignals(GatewayProcess& gateway) {
  if (!scenario_.signalSeries) return gateway.child->signal(SIGTERM);
  const auto sendPair = [&gateway] {
    gateway.child->signal(SIGHUP);
    gateway.child->signal(SIGTERM);
  };
  sendPair();
  schedule(kSecondSignalPairAfter, sendPair);
  schedule(kLastSignalAfter, [&gateway] { gateway.child->signal(SIGTERM); });
}

Micros Deployment::earliestKillAfterTerm() const {
  return std::min(scenario_.requestTimeout, kMaxRequestTimeoutBeforeKill) + kKillAfterRequestTimeout;
}

// Restarts a gateway after its SIGTERM. A gateway that has not exited by now is killed.
void Deployment::restartTerminatedGateway(GatewayProcess& gateway) {
  if (!gateway.child->over()) {
    if (scenario_.hardStops) {
      judge_.gatewayEndedWithOpenRequests(gateway.name, loop_.now());
    } else {
      judge_.gatewayKilled(gateway.name, loop_.now());
    }
  } else if (gateway.child->status() != kSuccess) {
    recorder_.recordCrash(gateway.name + " ended with status " + std::to_string(gateway.child->status()));
  }
  gateway.load->connectTo({});
  startGateway(gateway);
}

}  // namespace heathflow::emulator
