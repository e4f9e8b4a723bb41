// Detects which other gateways are running, by random probes, suspicion and gossip (SWIM: Das, Gupta and
// Motivala, 2002; local health as in "Lifeguard": Dadgar, Phillips and Currey, 2018). A state machine that is
// passed messages and the time; it has no socket and no clock. The clocks of gateways need not agree.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "common/uniform.h"
#include "membership/detector_settings.h"
#include "membership/gateway_table.h"
#include "membership/messages.h"

namespace heathflow::membership {

class Detector {
 public:
  Detector(const DetectorSettings& settings, Micros now);
  Detector(const Detector&) = delete;
  Detector& operator=(const Detector&) = delete;

  // Returns the time by which tick() has to be called next.
  Micros nextTickAt() const;
  void tick(Micros now, std::vector<OutgoingMessage>& out);
  void receive(Micros now, const std::string& fromAddress, const Message& message,
               std::vector<OutgoingMessage>& out);
  // Announces that this gateway leaves, to as many others as an update is sent to.
  void leave(std::vector<OutgoingMessage>& out);

  struct GatewayView {
    State state = State::Alive;
    bool directPathLost = false;  // others reach it, but this gateway does not
    Incarnation incarnation;
    Micros since = 0;
  };
  // Returns all other known gateways, including those that failed or left recently.
  std::map<std::string, GatewayView> view() const;
  // Returns the number of other gateways that have neither failed nor left, including suspected ones.
  std::size_t runningCount() const { return table_.runningCount(); }
  // Returns whether this gateway can't judge others, because it was stalled or receives no messages.
  bool contactLost() const { return contactLost_; }
  // Returns a number that grows with each change of the view.
  std::uint64_t version() const { return table_.version(); }
  // Returns the events since the last call.
  std::vector<MembershipEvent> events() { return table_.takeEvents(); }
  const Incarnation& incarnation() const { return incarnation_; }
  // Returns Lifeguard's local health score, 0 if healthy. With a higher score this gateway probes more
  // slowly, because it may be slow itself.
  unsigned localHealth() const { return localHealth_; }

 private:
  struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    Micros indirectAt = 0;  // when other gateways get a PingRequest if there is no Ack yet
    Micros endsAt = 0;
    bool indirect = false;
    unsigned nacks = 0;
    unsigned helpers = 0;  // the number of gateways that got a PingRequest
  };
  struct RelayedProbe {  // on behalf of another gateway
    std::string requester;
    std::uint64_t requesterSequence = 0;
    std::string target;
    Micros endsAt = 0;
  };

  // Probing, in detector_probes.cpp.
  void startProbe(Micros now, std::vector<OutgoingMessage>& out);
  void ping(const std::string& name, const KnownGateway& gateway, std::uint64_t sequence,
            std::vector<OutgoingMessage>& out);
  void pingSuspects(std::vector<OutgoingMessage>& out);
  void requestIndirectProbes(std::vector<OutgoingMessage>& out);
  void endProbe(Micros now);
  void onAck(Micros now, const Message& message, std::vector<OutgoingMessage>& out);
  void relayProbe(Micros now, const Message& request, std::vector<OutgoingMessage>& out);
  void answerRequester(const RelayedProbe& relayed, Message::Kind kind, std::vector<OutgoingMessage>& out);
  void endRelayedProbes(Micros now, std::vector<OutgoingMessage>& out);

  void sync(Micros now, std::vector<OutgoingMessage>& out);
  std::vector<std::string> syncAddresses(bool withSeed, bool withFailed) const;
  void recoverFromStall(Micros now, Micros stalledFor);
  void applyToSelf(Micros now, const StateUpdate& update);
  void resolveNameConflict(const StateUpdate& update);
  void setContactLost(bool lost);
  void worsenLocalHealth();
  void improveLocalHealth();
  StateUpdate ownUpdate() const;
  std::vector<StateUpdate> allUpdates() const;
  void send(const std::string& address, Message message, std::vector<OutgoingMessage>& out);
  unsigned maxTransmissions() const;
  bool isJoining() const;
  double random() { return uniformUnit(random_()); }
  std::vector<std::string> randomSample(std::vector<std::string> from, std::size_t count);

  DetectorSettings settings_;
  std::mt19937_64 random_;
  Incarnation incarnation_;
  std::uint32_t refutations_ = 0;
  GatewayTable table_;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, RelayedProbe> relayedProbes_;  // by this gateway's sequence number
  std::uint64_t sequence_ = 0;
  Micros nextProbeAt_ = 0;
  Micros nextSyncAt_ = 0;
  Micros lastTickAt_ = 0;
  unsigned localHealth_ = 0;
  unsigned syncs_ = 0;
  unsigned unansweredProbes_ = 0;  // in a row, with no message from any gateway in between
  bool contactLost_ = false;
  bool hasLeft_ = false;
};

}  // namespace heathflow::membership
