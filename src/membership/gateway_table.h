// The other gateways that this one knows. Decides which updates are newer than the known state, and queues
// those as gossip.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/uniform.h"
#include "membership/detector_settings.h"
#include "membership/gossip_queue.h"
#include "membership/messages.h"
#include "membership/probe_round.h"

namespace heathflow::membership {

struct KnownGateway {
  std::string address;
  Incarnation incarnation;
  std::uint32_t refutations = 0;
  State state = State::Alive;
  Micros since = 0;             // when the state or the direct path changed
  bool directPathLost = false;  // others reach it, but this gateway does not
  std::set<std::string> suspectedBy;
  Micros suspectedAt = 0;
};

class GatewayTable {
 public:
  using Gateways = std::map<std::string, KnownGateway>;

  GatewayTable(const DetectorSettings& settings, std::mt19937_64& random)
      : settings_(settings), random_(random) {}

  const Gateways& gateways() const { return gateways_; }
  const KnownGateway* find(const std::string& name) const;
  std::size_t runningCount() const;  // including suspected ones
  std::vector<std::string> runningNames() const;
  std::vector<std::string> aliveNames(const std::string& except) const;  // without suspected ones
  StateUpdate updateOf(const std::string& name, const KnownGateway& gateway) const;

  // Applies an update about another gateway. A later incarnation takes precedence over an earlier one; within
  // an incarnation its end takes precedence, then a higher number of refutations, then a suspicion.
  void apply(Micros now, const StateUpdate& update);
  void suspect(Micros now, const std::string& name, const std::string& by);
  void setDirectPathLost(Micros now, const std::string& name, bool lost);
  // Declares gateways failed that have not refuted a suspicion in time.
  void endSuspicions(Micros now);
  Micros suspicionEndsAt(const KnownGateway& gateway) const;
  // Extends the time for refutations, which this gateway may have missed while it was stalled.
  void extendSuspicions(Micros stalledFor);
  void forgetEnded(Micros now);

  GossipQueue& gossip() { return gossip_; }
  ProbeRound& probeRound() { return probeRound_; }
  void record(MembershipEvent::Kind kind, const std::string& name) { events_.push_back({kind, name}); }
  std::vector<MembershipEvent> takeEvents();
  // Returns a number that grows with each change of the table.
  std::uint64_t version() const { return version_; }

 private:
  using Entry = Gateways::value_type;

  void addGateway(Micros now, const StateUpdate& update);
  void startIncarnation(Micros now, Entry& entry, const StateUpdate& update);
  void applyToIncarnation(Micros now, Entry& entry, const StateUpdate& update);
  void suspect(Micros now, Entry& entry, const std::string& by);
  void setState(Micros now, Entry& entry, State state);

  const DetectorSettings& settings_;
  std::mt19937_64& random_;
  Gateways gateways_;
  GossipQueue gossip_;
  ProbeRound probeRound_;
  std::vector<MembershipEvent> events_;
  std::uint64_t version_ = 0;
};

}  // namespace heathflow::membership
