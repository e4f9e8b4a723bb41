#include "fleet/talk.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace heathflow::fleet {
namespace {

using membership::OutgoingMessage;
using membership::State;

// What a paused gateway's socket keeps.
constexpr std::size_t kKeptMost = 200;

unsigned numberOf(const std::string& name) {
  return static_cast<unsigned>(std::strtoul(name.c_str() + 1, nullptr, 10));
}

}  // namespace

Talk::Talk(const TalkPlan& plan) : plan_(plan), random_(plan.seed), nodes_(plan.gateways) {
  for (unsigned i = 0; i < plan.gateways; ++i) start(i);
}

void Talk::start(unsigned gateway) {
  membership::DetectorSettings settings = plan_.settings;
  Node& node = nodes_[gateway];
  settings.name = settings.address = nameOf(gateway);
  settings.seeds = {nameOf(0), nameOf(1 % plan_.gateways), nameOf(2 % plan_.gateways)};
  settings.seed = plan_.seed * 1'000'003 + gateway * 1'009 + ++node.life;
  node.detector = std::make_unique<Detector>(settings, now_);
  node.paused = false;
  node.kept.clear();
  std::vector<OutgoingMessage> none;
  settle(gateway, none);
}

void Talk::kill(unsigned gateway) { nodes_[gateway].detector.reset(); }
void Talk::pause(unsigned gateway) { nodes_[gateway].paused = true; }

void Talk::resume(unsigned gateway) {
  Node& node = nodes_[gateway];
  node.paused = false;
  std::vector<OutgoingMessage> sendings;
  node.detector->tick(now_, sendings);
  for (auto& [from, message] : std::exchange(node.kept, {}))
    node.detector->receive(now_, nameOf(from), message, sendings);
  settle(gateway, sendings);
}

void Talk::leave(unsigned gateway) {
  std::vector<OutgoingMessage> sendings;
  nodes_[gateway].detector->leave(sendings);
  post(gateway, sendings);
  kill(gateway);
}

void Talk::post(unsigned from, std::vector<OutgoingMessage>& sendings) {
  for (OutgoingMessage& sending : sendings) {
    const unsigned to = numberOf(sending.address);
    ++messages_;
    words_ += sending.message.updates.size();
    if (to >= nodes_.size() || cuts_.contains({from, to})) continue;
    const int copies = (random() >= plan_.loss ? 1 : 0) + (random() < plan_.twice ? 1 : 0);
    for (int i = 0; i < copies; ++i) {
      const Micros at =
          now_ + plan_.delay + static_cast<Micros>(random() * static_cast<double>(plan_.jitter));
      flying_.push({at, ++order_, from, to, sending.message});
    }
  }
  sendings.clear();
}

void Talk::settle(unsigned gateway, std::vector<OutgoingMessage>& sendings) {
  post(gateway, sendings);
  Detector& detector = *nodes_[gateway].detector;
  for (auto& event : detector.events()) events_.push_back({now_, gateway, std::move(event)});
  const Micros due = std::max(now_ + 1, detector.nextTickAt());
  nodes_[gateway].wake = due;
  turns_.emplace(due, gateway);
}

void Talk::run(Micros span) {
  const Micros end = now_ + span;
  std::vector<OutgoingMessage> sendings;
  for (;;) {
    const Micros message = flying_.empty() ? end + 1 : flying_.top().at;
    const Micros turn = turns_.empty() ? end + 1 : turns_.top().first;
    if (std::min(message, turn) > end) break;
    if (message <= turn) {
      const Flying flown = flying_.top();
      flying_.pop();
      now_ = std::max(now_, flown.at);
      Node& node = nodes_[flown.to];
      if (!node.detector) continue;
      if (node.paused) {
        if (node.kept.size() < kKeptMost) node.kept.emplace_back(flown.from, flown.message);
        continue;
      }
      node.detector->receive(now_, nameOf(flown.from), flown.message, sendings);
      settle(flown.to, sendings);
    } else {
      const unsigned gateway = turns_.top().second;
      turns_.pop();
      Node& node = nodes_[gateway];
      if (!node.detector || node.paused || node.wake != turn) continue;
      now_ = std::max(now_, turn);
      node.detector->tick(now_, sendings);
      settle(gateway, sendings);
    }
  }
  now_ = end;
}

bool Talk::agreed() const {
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

std::pair<Micros, unsigned> Talk::seen(membership::MembershipEvent::Kind kind, unsigned gateway,
                                       Micros since) const {
  std::set<unsigned> by;
  Micros last = 0;
  for (const TalkEvent& event : events_) {
    if (event.at < since || event.what.kind != kind || event.what.name != nameOf(gateway)) continue;
    if (by.insert(event.gateway).second) last = event.at;
  }
  return {last, static_cast<unsigned>(by.size())};
}

}  // namespace heathflow::fleet
