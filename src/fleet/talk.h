// Many gateways that talk, under a virtual clock: messages that get lost, come late or twice, paths that are
// cut in one direction, gateways that stand still, die and start again. Equal plans give equal results.
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

struct TalkPlan {
  unsigned gateways = 10;
  double loss = 0;
  double twice = 0;
  Micros delay = 1'000;
  Micros jitter = 2'000;
  bool startTogether = true;  // else they know each other already
  std::uint64_t seed = 1;
  membership::DetectorSettings settings;  // name, address, seeds and seed are set for each
};

struct TalkEvent {
  Micros at = 0;
  unsigned gateway = 0;  // who saw it
  membership::MembershipEvent what;
};

class Talk {
 public:
  explicit Talk(const TalkPlan& plan);

  void run(Micros span);
  Micros now() const { return now_; }
  void setLoss(double loss) { plan_.loss = loss; }
  // Nothing gets through from one to another, in this direction.
  void cut(unsigned from, unsigned to) { cuts_.insert({from, to}); }
  void heal() { cuts_.clear(); }
  void kill(unsigned gateway);
  // A new life under the same name.
  void start(unsigned gateway);
  void pause(unsigned gateway);
  void resume(unsigned gateway);
  void leave(unsigned gateway);

  bool up(unsigned gateway) const { return nodes_[gateway].detector != nullptr; }
  Detector& at(unsigned gateway) { return *nodes_[gateway].detector; }
  const std::vector<TalkEvent>& events() const { return events_; }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t words() const { return words_; }
  static std::string nameOf(unsigned gateway) { return "n" + std::to_string(gateway); }
  // Whether all that are up see each other as alive, and nobody else.
  bool agreed() const;
  // The time of the last of these events about a gateway, and how many of those that are up have seen it.
  std::pair<Micros, unsigned> seen(membership::MembershipEvent::Kind kind, unsigned gateway,
                                   Micros since) const;

 private:
  struct Node {
    std::unique_ptr<Detector> detector;
    bool paused = false;
    std::uint64_t life = 0;
    Micros wake = 0;
    std::vector<std::pair<unsigned, membership::Message>> kept;  // what came while it stood still
  };
  struct Flying {
    Micros at;
    std::uint64_t order;
    unsigned from, to;
    membership::Message message;
    bool operator>(const Flying& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  void post(unsigned from, std::vector<membership::OutgoingMessage>& sendings);
  void settle(unsigned gateway, std::vector<membership::OutgoingMessage>& sendings);
  double random() { return uniformUnit(random_()); }

  TalkPlan plan_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::set<std::pair<unsigned, unsigned>> cuts_;
  std::priority_queue<Flying, std::vector<Flying>, std::greater<>> flying_;
  std::priority_queue<std::pair<Micros, unsigned>, std::vector<std::pair<Micros, unsigned>>, std::greater<>>
      turns_;
  std::vector<TalkEvent> events_;
  Micros now_ = 1'000'000;
  std::uint64_t order_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t words_ = 0;
};

}  // namespace heathflow::fleet
