#include "fleet/gossip_simulation.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace heathflow::fleet {
namespace {

using membership::OutgoingMessage;
using membership::State;

// How many messages the socket of a paused gateway buffers.
constexpr std::size_t kMaxBufferedMessages = 200;

unsigned indexOf(const std::string& name) {
  return static_cast<unsigned>(std::strtoul(name.c_str() + 1, nullptr, 10));
}

}  // namespace

GossipSimulation::GossipSimulation(const GossipPlan& plan)
    : plan_(plan), random_(plan.seed), nodes_(plan.gateways) {
  for (unsigned i = 0; i < plan.gateways; ++i) start(i);
}

void GossipSimulation::start(unsigned gateway) {
  membership::DetectorSettings settings = plan_.settings;
  Node& node = nodes_[gateway];
  settings.name = settings.address = nameOf(gateway);
  settings.seeds = {nameOf(0), nameOf(1 % plan_.gateways), nameOf(2 % plan_.gateways)};
  settings.seed = plan_.seed * 1'000'003 + gateway * 1'009 + ++node.starts;
  node.detector = std::make_unique<Detector>(settings, now_);
  node.paused = false;
  node.buffered.clear();
  std::vector<OutgoingMessage> none;
  finishStep(gateway, none);
}

void GossipSimulation::kill(unsigned gateway) { nodes_[gateway].detector.reset(); }
void GossipSimulation::pause(unsigned gateway) { nodes_[gateway].paused = true; }

void GossipSimulation::resume(unsigned gateway) {
  Node& node = nodes_[gateway];
  node.paused = false;
  std::vector<OutgoingMessage> outgoing;
  node.detector->tick(now_, outgoing);
  for (auto& [from, message] : std::exchange(node.buffered, {}))
    node.detector->receive(now_, nameOf(from), message, outgoing);
  finishStep(gateway, outgoing);
}

void GossipSimulation::leave(unsigned gateway) {
  std::vector<OutgoingMessage> outgoing;
  nodes_[gateway].detector->leave(outgoing);
  send(gateway, outgoing);
  kill(gateway);
}

void GossipSimulation::send(unsigned from, std::vector<OutgoingMessage>& outgoing) {
  for (OutgoingMessage& addressed : outgoing) {
    const unsigned to = indexOf(addressed.address);
    ++messages_;
    updates_ += addressed.message.updates.size();
    if (to >= nodes_.size() || cuts_.contains({from, to})) continue;
    const int copies = (random() >= plan_.loss ? 1 : 0) + (random() < plan_.duplicateShare ? 1 : 0);
    for (int i = 0; i < copies; ++i) {
      const Micros at =
          now_ + plan_.delay + static_cast<Micros>(random() * static_cast<double>(plan_.jitter));
      messagesInFlight_.push({at, ++order_, from, to, addressed.message});
    }
  }
  outgoing.clear();
}

void GossipSimulation::finishStep(unsigned gateway, std::vector<OutgoingMessage>& outgoing) {
  send(gateway, outgoing);
  Detector& detector = *nodes_[gateway].detector;
  for (auto& event : detector.events()) events_.push_back({now_, gateway, std::move(event)});
  const Micros due = std::max(now_ + 1, detector.nextTickAt());
  nodes_[gateway].nextTickAt = due;
  ticks_.emplace(due, gateway);
}

void GossipSimulation::run(Micros duration) {
  const Micros end = now_ + duration;
  std::vector<OutgoingMessage> outgoing;
  for (;;) {
    const Micros message = messagesInFlight_.empty() ? end + 1 : messagesInFlight_.top().at;
    const Micros tick = ticks_.empty() ? end + 1 : ticks_.top().first;
    if (std::min(message, tick) > end) break;
    if (message <= tick) {
      const MessageInFlight arrived = messagesInFlight_.top();
      messagesInFlight_.pop();
      now_ = std::max(now_, arrived.at);
      Node& node = nodes_[arrived.to];
      if (!node.detector) continue;
      if (node.paused) {
        if (node.buffered.size() < kMaxBufferedMessages)
          node.buffered.emplace_back(arrived.from, arrived.message);
        continue;
      }
      node.detector->receive(now_, nameOf(arrived.from), arrived.message, outgoing);
      finishStep(arrived.to, outgoing);
    } else {
      const unsigned gateway = ticks_.top().second;
      ticks_.pop();
      Node& node = nodes_[gateway];
      if (!node.detector || node.paused || node.nextTickAt != tick) continue;
      now_ = std::max(now_, tick);
      node.detector->tick(now_, outgoing);
      finishStep(gateway, outgoing);
    }
  }
  now_ = end;
}

bool GossipSimulation::viewsAgree() const {
  for (const Node& node : nodes_) {
    if (!node.detector) continue;
    const auto view = node.detector->view();
    for (unsigned i = 0; i < nodes_.size(); ++i) {
      if (&nodes_[i] == &node) continue;
      const auto found = view.find(nameOf(i));
      const bool alive = found != view.end() && found->second.state == State::Alive;
      if (alive != (nodes_[i].detector != nullptr)) return false;
    }
  }
  return true;
}

std::pair<Micros, unsigned> GossipSimulation::spreadOf(membership::MembershipEvent::Kind kind,
                                                       unsigned gateway, Micros since) const {
  std::set<unsigned> by;
  Micros last = 0;
  for (const ObservedEvent& event : events_) {
    if (event.at < since || event.observed.kind != kind || event.observed.name != nameOf(gateway)) continue;
    if (by.insert(event.gateway).second) last = event.at;
  }
  return {last, static_cast<unsigned>(by.size())};
}

}  // namespace heathflow::fleet
