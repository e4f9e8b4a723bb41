// The probing part of the failure detector: its own direct and indirect probes, and those on behalf of other
// gateways.
#include <utility>

#include "membership/detector.h"

namespace heathflow::membership {
namespace {

// After this many unanswered probes in a row, with no message from any gateway in between, this gateway
// assumes that it is isolated itself, rather than that the others have failed.
constexpr unsigned kMaxUnansweredProbes = 3;
// Bounds memory.
constexpr std::size_t kMaxRelayedProbes = 1000;

}  // namespace

// Sends a ping. To a suspected gateway it carries the suspicion, so that the gateway can refute it.
void Detector::ping(const std::string& name, const KnownGateway& gateway, std::uint64_t sequence,
                    std::vector<OutgoingMessage>& out) {
  Message message;
  message.sequence = sequence;
  send(gateway.address, std::move(message), out);
  if (gateway.state == State::Suspected) out.back().message.updates.push_back(table_.updateOf(name, gateway));
}

// Sends each suspected gateway the suspicion, in each period until it has refuted it or was declared failed.
void Detector::pingSuspects(std::vector<OutgoingMessage>& out) {
  for (const auto& [name, gateway] : table_.gateways()) {
    if (gateway.state == State::Suspected) ping(name, gateway, ++sequence_, out);
  }
}

void Detector::startProbe(Micros now, std::vector<OutgoingMessage>& out) {
  const Micros period = settings_.probePeriod * (1 + localHealth_);
  nextProbeAt_ = now + period;
  pingSuspects(out);
  const auto mayProbe = [this](const std::string& name) {
    const KnownGateway* gateway = table_.find(name);
    return gateway != nullptr && !hasEnded(gateway->state);
  };
  const auto target = table_.probeRound().next(
      mayProbe, [this] { return table_.runningNames(); }, random_);
  if (!target) return;
  probe_ = Probe{};
  probe_->target = *target;
  probe_->sequence = ++sequence_;
  probe_->indirectAt = now + settings_.ackTimeout * (1 + localHealth_);
  probe_->endsAt = now + period - 1;
  ping(*target, *table_.find(*target), probe_->sequence, out);
}

void Detector::requestIndirectProbes(std::vector<OutgoingMessage>& out) {
  probe_->indirect = true;
  const KnownGateway* target = table_.find(probe_->target);
  if (target == nullptr) return;
  ping(probe_->target, *target, probe_->sequence, out);  // the first ping may have been lost
  for (const std::string& helper :
       randomSample(table_.aliveNames(probe_->target), settings_.indirectProbes)) {
    Message request;
    request.kind = Message::Kind::PingRequest;
    request.sequence = probe_->sequence;
    request.target = probe_->target;
    request.targetAddress = target->address;
    send(table_.find(helper)->address, std::move(request), out);
    ++probe_->helpers;
  }
}

// Handles a probe that had no answer.
void Detector::endProbe(Micros now) {
  const Probe probe = *probe_;
  probe_.reset();
  // If the helpers do not answer either, it is likely this gateway that is isolated.
  const bool noAnswerAtAll = probe.helpers > 0 && probe.nacks == 0;
  if (noAnswerAtAll || probe.nacks < probe.helpers) worsenLocalHealth();
  if (probe.nacks == 0) ++unansweredProbes_;
  if (unansweredProbes_ >= kMaxUnansweredProbes && (noAnswerAtAll || runningCount() > 1))
    setContactLost(true);
  if (!contactLost_) table_.suspect(now, probe.target, settings_.name);
}

// Handles an Ack. One with a target answers a PingRequest: the target has answered a helper.
void Detector::onAck(Micros now, const Message& message, std::vector<OutgoingMessage>& out) {
  const bool direct = message.target.empty();
  const auto relayed = relayedProbes_.find(message.sequence);
  if (direct && relayed != relayedProbes_.end()) {
    answerRequester(relayed->second, Message::Kind::Ack, out);
    relayedProbes_.erase(relayed);
    return;
  }
  if (!probe_ || probe_->sequence != message.sequence) return;
  table_.setDirectPathLost(now, probe_->target, !direct);
  improveLocalHealth();
  probe_.reset();
}

void Detector::relayProbe(Micros now, const Message& request, std::vector<OutgoingMessage>& out) {
  if (relayedProbes_.size() >= kMaxRelayedProbes) return;
  Message message;
  message.sequence = ++sequence_;
  relayedProbes_[message.sequence] = {request.from, request.sequence, request.target,
                                      now + settings_.ackTimeout};
  send(request.targetAddress, std::move(message), out);
}

void Detector::answerRequester(const RelayedProbe& relayed, Message::Kind kind,
                               std::vector<OutgoingMessage>& out) {
  const KnownGateway* requester = table_.find(relayed.requester);
  if (requester == nullptr) return;
  Message message;
  message.kind = kind;
  message.sequence = relayed.requesterSequence;
  message.target = relayed.target;
  send(requester->address, std::move(message), out);
}

void Detector::endRelayedProbes(Micros now, std::vector<OutgoingMessage>& out) {
  std::erase_if(relayedProbes_, [&](const auto& entry) {
    if (entry.second.endsAt > now) return false;
    answerRequester(entry.second, Message::Kind::Nack, out);
    return true;
  });
}

}  // namespace heathflow::membership
