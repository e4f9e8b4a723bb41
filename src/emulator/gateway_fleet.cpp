#include "emulator/gateway_fleet.h"

#include <sstream>
#include <utility>

#include "emulator/units.h"
#include "standins/gateway_rig.h"

namespace heathflow::emulator {
namespace {

constexpr unsigned kEndpointsOfGroup = 11;
constexpr unsigned kCutDivisor = 7;  // a seventh of the protocol-only gateways can be cut off
constexpr std::uint64_t kSeedStep = 0x9E3779B97F4A7C15U;
constexpr std::uint64_t kLinkSeed = 1;

// Returns an address from 127.1.0.0 on, where no other service of this machine listens.
std::string addressOf(unsigned endpoint) {
  return "127." + std::to_string(1 + (endpoint >> 16)) + "." + std::to_string(endpoint >> 8 & 0xFFU) + "." +
         std::to_string(endpoint & 0xFFU) + ":5432";
}

LinkConditions noFaults() { return LinkConditions({}, kLinkSeed); }

LinkConditions cutBothWays() {
  Fault fault;
  fault.cutToServer = true;
  fault.cutToClient = true;
  return LinkConditions({fault}, kLinkSeed);
}

}  // namespace

std::vector<ListedEntry> listOf(unsigned endpoints) {
  std::vector<ListedEntry> out(endpoints);
  for (unsigned i = 0; i < endpoints; ++i) {
    out[i].id = "member-" + std::to_string(100'000 + i);
    out[i].hostPort = addressOf(i);
    out[i].cell = i / kEndpointsOfGroup;
    out[i].primary = i % kEndpointsOfGroup == 0;
  }
  return out;
}

GatewayFleet::GatewayFleet(transport::EventLoop& loop, const FleetPlan& plan,
                           std::vector<ListedEntry> entries)
    : plan_(plan), feed_(loop, std::move(entries)) {
  if (plan.hasCutLink) {
    link_ = std::make_unique<StreamLink>(loop, transport::SocketAddress{test::kLoopback, 0},
                                         feed_.socketAddress(), noFaults());
    cutCount_ = (plan.protocolOnly + kCutDivisor - 1) / kCutDivisor;
  }
  for (unsigned i = 0; i < plan.protocolOnly; ++i) {
    const auto& discovery = i < cutCount_ ? link_->socketAddress() : feed_.socketAddress();
    protocolOnly_.push_back(std::make_unique<ProtocolOnlyGateway>(loop, configOf(i, discovery)));
  }
}

std::string GatewayFleet::configOf(std::size_t number, const transport::SocketAddress& discovery) const {
  test::GatewayOptions options;
  options.name = "n" + std::to_string(number);
  options.gateways = plan_.protocolOnly + plan_.real;
  options.sockets = 1024;
  options.knownRevision = 0;
  options.maxPollIntervalMs = plan_.maxPollInterval / kMicrosPerMilli;
  std::ostringstream seed;
  seed << std::hex << (number + 1) * kSeedStep;
  options.seed = seed.str();
  return test::configText(options, toText(discovery), "[]");
}

void GatewayFleet::start() {
  for (unsigned i = 0; i < plan_.real; ++i) {
    const std::string config = configOf(plan_.protocolOnly + i, feed_.socketAddress());
    real_.push_back(std::make_unique<ChildProcess>(plan_.program, config));
  }
  for (const auto& gateway : protocolOnly_) gateway->start();
}

std::size_t GatewayFleet::killHalf() {
  std::size_t killed = 0;
  for (std::size_t i = 0; i < protocolOnly_.size(); i += 2, ++killed) protocolOnly_[i]->kill();
  for (std::size_t i = 0; i < real_.size(); i += 2, ++killed) real_[i]->kill();
  return killed;
}

void GatewayFleet::startKilled() {
  for (const auto& gateway : real_) {
    if (gateway->over()) gateway->restart();
  }
  for (const auto& gateway : protocolOnly_) {
    if (!gateway->up()) gateway->start();
  }
}

void GatewayFleet::cut() {
  if (link_) link_->change(cutBothWays());
}
void GatewayFleet::restore() {
  if (link_) link_->change(noFaults());
}

}  // namespace heathflow::emulator
