#include "rig/driver_fleet.h"

#include <sstream>
#include <utility>

#include "standins/gateway_rig.h"

namespace heathflow::rig {
namespace {

constexpr Micros kMicrosPerMilli = 1000;
constexpr unsigned kMembersOfGroup = 11;
constexpr unsigned kCutOneIn = 7;
constexpr std::uint64_t kSeedStep = 0x9E3779B97F4A7C15U;
constexpr std::uint64_t kLinkSeed = 1;

// 127.1.0.0 and up, so that no address of this machine's other loopback services is named.
std::string addressOf(unsigned member) {
  return "127." + std::to_string(1 + (member >> 16)) + "." + std::to_string(member >> 8 & 0xFFU) + "." +
         std::to_string(member & 0xFFU) + ":5432";
}

Weather clear() { return Weather({}, kLinkSeed); }

Weather silent() {
  Fault fault;
  fault.cutForth = true;
  fault.cutBack = true;
  return Weather({fault}, kLinkSeed);
}

}  // namespace

std::vector<ListedEntry> listOf(unsigned members) {
  std::vector<ListedEntry> out(members);
  for (unsigned i = 0; i < members; ++i) {
    out[i].id = "member-" + std::to_string(100'000 + i);
    out[i].hostPort = addressOf(i);
    out[i].cell = i / kMembersOfGroup;
    out[i].primary = i % kMembersOfGroup == 0;
  }
  return out;
}

DriverFleet::DriverFleet(transport::EventLoop& loop, const FleetPlan& plan, std::vector<ListedEntry> entries)
    : plan_(plan), feed_(loop, std::move(entries)) {
  if (plan.cuttable) {
    link_ = std::make_unique<StreamLink>(loop, transport::Endpoint{test::kLoopback, 0}, feed_.endpoint(),
                                         clear());
    cuttable_ = (plan.hollow + kCutOneIn - 1) / kCutOneIn;
  }
  for (unsigned i = 0; i < plan.hollow; ++i) {
    const auto& discovery = i < cuttable_ ? link_->endpoint() : feed_.endpoint();
    hollow_.push_back(std::make_unique<HollowDriver>(loop, configOf(i, discovery)));
  }
}

std::string DriverFleet::configOf(std::size_t number, const transport::Endpoint& discovery) const {
  test::GatewayOptions options;
  options.name = "n" + std::to_string(number);
  options.drivers = plan_.hollow + plan_.real;
  options.sockets = 1024;
  options.knownRevision = 0;
  options.askWithinMs = plan_.askWithin / kMicrosPerMilli;
  std::ostringstream seed;
  seed << std::hex << (number + 1) * kSeedStep;
  options.seed = seed.str();
  return test::configText(options, toText(discovery), "[]");
}

void DriverFleet::start() {
  for (unsigned i = 0; i < plan_.real; ++i) {
    const std::string config = configOf(plan_.hollow + i, feed_.endpoint());
    real_.push_back(std::make_unique<Child>(plan_.program, config));
  }
  for (const auto& driver : hollow_) driver->start();
}

std::size_t DriverFleet::endHalf() {
  std::size_t ended = 0;
  for (std::size_t i = 0; i < hollow_.size(); i += 2, ++ended) hollow_[i]->end();
  for (std::size_t i = 0; i < real_.size(); i += 2, ++ended) real_[i]->kill();
  return ended;
}

void DriverFleet::startEnded() {
  for (const auto& driver : real_) {
    if (driver->over()) driver->restart();
  }
  for (const auto& driver : hollow_) {
    if (!driver->up()) driver->start();
  }
}

void DriverFleet::cut() {
  if (link_) link_->change(silent());
}
void DriverFleet::heal() {
  if (link_) link_->change(clear());
}

}  // namespace heathflow::rig
