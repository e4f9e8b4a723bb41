// Simulates the gossip of many gateways under a virtual clock: lost, delayed and duplicated messages, paths
// cut in one direction, gateways that stall, crash and restart. Equal plans give equal results.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/uniform.h"
#include "membership/detector.h"

namespace heathflow::fleet {

using membership::Detector;
using membership::Micros;

struct GossipPlan {
  unsigned gateways = 10;
  double loss = 0;            // share of messages
  double duplicateShare = 0;  // of messages
  Micros delay = 1'000;       // of each message, in one direction
  Micros jitter = 2'000;      // the largest random addition to the delay
  bool startTogether = true;  // has no effect: all gateways start together
  std::uint64_t seed = 1;
  membership::DetectorSettings settings;  // name, address, seeds and seed are set per gateway
};

struct ObservedEvent {
  Micros at = 0;
  unsigned gateway = 0;  // the observer
  membership::MembershipEvent observed;
};

class GossipSimulation {
 public:
  explicit GossipSimulation(const GossipPlan& plan);

  void run(Micros duration);
  Micros now() const { return now_; }
  void setLoss(double loss) { plan_.loss = loss; }
  // Drops all messages from one gateway to another, in this direction only.
  void cut(unsigned from, unsigned to) { cuts_.insert({from, to}); }
  // Restores all paths.
  void heal() { cuts_.clear(); }
  void kill(unsigned gateway);
  // Starts a gateway; if it had run before, with a new incarnation under the same name.
  void start(unsigned gateway);
  void pause(unsigned gateway);
  void resume(unsigned gateway);
  void leave(unsigned gateway);

  bool isUp(unsigned gateway) const { return nodes_[gateway].detector != nullptr; }
  Detector& detectorOf(unsigned gateway) { return *nodes_[gateway].detector; }
  const std::vector<ObservedEvent>& events() const { return events_; }
  std::uint64_t messages() const { return messages_; }
  // How many state updates the messages contained.
  std::uint64_t updates() const { return updates_; }
  static std::string nameOf(unsigned gateway) { return "n" + std::to_string(gateway); }
  // Returns whether every running gateway sees all other running gateways, and no others, as alive.
  bool viewsAgree() const;
  // Returns when the last gateway first saw such an event about a gateway since a time (0: none did), and how
  // many gateways saw one.
  std::pair<Micros, unsigned> spreadOf(membership::MembershipEvent::Kind kind, unsigned gateway,
                                       Micros since) const;

 private:
  struct Node {
    std::unique_ptr<Detector> detector;
    bool paused = false;
    std::uint64_t starts = 0;
    Micros nextTickAt = 0;  // queued ticks of other times are obsolete
    std::vector<std::pair<unsigned, membership::Message>> buffered;  // received while paused
  };
  struct MessageInFlight {
    Micros at;
    std::uint64_t order;
    unsigned from, to;
    membership::Message message;
    bool operator>(const MessageInFlight& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  void send(unsigned from, std::vector<membership::OutgoingMessage>& outgoing);
  // Sends the messages, records the events and schedules the next tick of a gateway.
  void finishStep(unsigned gateway, std::vector<membership::OutgoingMessage>& outgoing);
  double random() { return uniformUnit(random_()); }

  GossipPlan plan_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::set<std::pair<unsigned, unsigned>> cuts_;
  std::priority_queue<MessageInFlight, std::vector<MessageInFlight>, std::greater<>> messagesInFlight_;
  std::priority_queue<std::pair<Micros, unsigned>, std::vector<std::pair<Micros, unsigned>>, std::greater<>>
      ticks_;  // when, and of which gateway
  std::vector<ObservedEvent> events_;
  Micros now_ = 1'000'000;
  std::uint64_t order_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t updates_ = 0;
};

}  // namespace heathflow::fleet
