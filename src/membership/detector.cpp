#include "membership/detector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace heathflow::membership {
namespace {

using EventKind = MembershipEvent::Kind;

// A joining gateway makes this many syncs in quick succession, and one more for each doubling of the number
// of gateways.
constexpr double kJoinSyncs = 4;
// The shares of syncs with gateways that were declared failed, with seeds, and with seeds while joining.
constexpr double kFailedSyncShare = 0.25, kSeedSyncShare = 0.25, kJoinSeedSyncShare = 0.5;
constexpr unsigned kWorstLocalHealth = 8;

}  // namespace

Detector::Detector(const DetectorSettings& settings, Micros now)
    : settings_(settings), random_(settings.seed), table_(settings_, random_), lastTickAt_(now) {
  incarnation_ = {static_cast<std::uint64_t>(std::max<Micros>(1, now)), random_()};
  // The random offsets keep gateways that start together from probing and joining at the same moment.
  const auto period = static_cast<double>(settings_.probePeriod);
  nextProbeAt_ = now + static_cast<Micros>(random() * period);
  nextSyncAt_ = now + static_cast<Micros>(random() * period / 2);
}

Micros Detector::nextTickAt() const {
  if (hasLeft_) return std::numeric_limits<Micros>::max();
  Micros out = std::min(nextProbeAt_, nextSyncAt_);
  if (probe_) out = std::min(out, probe_->indirect ? probe_->endsAt : probe_->indirectAt);
  for (const auto& [name, gateway] : table_.gateways()) {
    if (gateway.state == State::Suspected) out = std::min(out, table_.suspicionEndsAt(gateway));
  }
  for (const auto& [sequence, relayed] : relayedProbes_) out = std::min(out, relayed.endsAt);
  // Regular ticks are needed because a late tick shows that this gateway was stalled.
  return std::min(out, lastTickAt_ + settings_.stallThreshold / 2);
}

std::map<std::string, Detector::GatewayView> Detector::view() const {
  std::map<std::string, GatewayView> out;
  for (const auto& [name, gateway] : table_.gateways())
    out[name] = {gateway.state, gateway.directPathLost, gateway.incarnation, gateway.since};
  return out;
}

bool Detector::isJoining() const {
  return syncs_ < kJoinSyncs + std::log2(static_cast<double>(runningCount()) + 1);
}

unsigned Detector::maxTransmissions() const {
  return static_cast<unsigned>(
      std::ceil(settings_.retransmitFactor * std::log2(static_cast<double>(runningCount()) + 2)));
}

StateUpdate Detector::ownUpdate() const {
  const State state = hasLeft_ ? State::Left : State::Alive;
  return {settings_.name, settings_.address, incarnation_, refutations_, state, ""};
}

std::vector<StateUpdate> Detector::allUpdates() const {
  std::vector<StateUpdate> out = {ownUpdate()};
  for (const auto& [name, gateway] : table_.gateways()) out.push_back(table_.updateOf(name, gateway));
  return out;
}

// Sends a message. If it contains no updates yet, this gateway's own state and gossip are added.
void Detector::send(const std::string& address, Message message, std::vector<OutgoingMessage>& out) {
  message.from = settings_.name;
  if (message.updates.empty()) {
    message.updates.push_back(ownUpdate());
    table_.gossip().appendTo(message.updates, settings_.maxUpdatesPerMessage, maxTransmissions());
  }
  out.push_back({address, std::move(message)});
}

std::vector<std::string> Detector::randomSample(std::vector<std::string> from, std::size_t count) {
  std::shuffle(from.begin(), from.end(), random_);
  from.resize(std::min(count, from.size()));
  return from;
}

void Detector::setContactLost(bool lost) {
  if (lost == contactLost_) return;
  contactLost_ = lost;
  table_.record(lost ? EventKind::ContactLost : EventKind::ContactRestored, settings_.name);
}

void Detector::worsenLocalHealth() { localHealth_ = std::min(localHealth_ + 1, kWorstLocalHealth); }

void Detector::improveLocalHealth() { localHealth_ = localHealth_ > 0 ? localHealth_ - 1 : 0; }

// Restarts probing after a stall: answers that could not be read during the stall must not cause suspicions.
void Detector::recoverFromStall(Micros now, Micros stalledFor) {
  worsenLocalHealth();
  setContactLost(true);
  probe_.reset();
  relayedProbes_.clear();
  table_.extendSuspicions(stalledFor);
  nextProbeAt_ = now;
  nextSyncAt_ = now;
}

void Detector::tick(Micros now, std::vector<OutgoingMessage>& out) {
  if (hasLeft_) return;
  const Micros sinceLastTick = now - lastTickAt_;
  lastTickAt_ = now;
  if (sinceLastTick > settings_.stallThreshold) recoverFromStall(now, sinceLastTick);
  endRelayedProbes(now, out);
  if (probe_ && !probe_->indirect && now >= probe_->indirectAt) requestIndirectProbes(out);
  if (probe_ && now >= probe_->endsAt) endProbe(now);
  if (!probe_ && now >= nextProbeAt_) startProbe(now, out);
  if (!contactLost_) table_.endSuspicions(now);
  if (now >= nextSyncAt_) sync(now, out);
  table_.forgetEnded(now);
}

// Exchanges the full state with one other gateway. Syncs with failed gateways rejoin partitions, and syncs
// with seeds join groups that started with different seeds.
void Detector::sync(Micros now, std::vector<OutgoingMessage>& out) {
  const bool alone = runningCount() == 0;
  const bool withFailed = random() < kFailedSyncShare;
  const bool withSeed = alone || random() < (isJoining() ? kJoinSeedSyncShare : kSeedSyncShare);
  for (const std::string& address : randomSample(syncAddresses(withSeed, withFailed), 1)) {
    Message message;
    message.kind = Message::Kind::SyncRequest;
    message.updates = allUpdates();
    send(address, std::move(message), out);
  }
  ++syncs_;
  // Syncs are frequent while joining, so that gateways that join together learn of each other from all
  // gateways and not from a single seed.
  const Micros interval = alone || isJoining() ? settings_.probePeriod : settings_.syncInterval;
  nextSyncAt_ = now + static_cast<Micros>((0.5 + random()) * static_cast<double>(interval));
}

std::vector<std::string> Detector::syncAddresses(bool withSeed, bool withFailed) const {
  std::vector<std::string> out;
  if (withSeed) {
    for (const std::string& seed : settings_.seeds) {
      if (seed != settings_.address) out.push_back(seed);
    }
    return out;
  }
  const auto add = [&](auto&& isWanted) {
    for (const auto& [name, gateway] : table_.gateways()) {
      if (gateway.state != State::Left && isWanted(gateway)) out.push_back(gateway.address);
    }
  };
  add([&](const KnownGateway& gateway) { return (gateway.state == State::Failed) == withFailed; });
  if (out.empty()) add([](const KnownGateway&) { return true; });
  return out;
}

// Refutes a suspicion of this gateway, and begins a new incarnation if this one was declared failed or left.
void Detector::applyToSelf(Micros now, const StateUpdate& update) {
  if (update.incarnation.salt != incarnation_.salt) return resolveNameConflict(update);
  if (update.state == State::Alive || hasLeft_ || update.incarnation < incarnation_) return;
  if (update.state == State::Suspected) {
    if (update.refutations < refutations_) return;
    refutations_ = update.refutations + 1;
    worsenLocalHealth();
  } else {
    incarnation_.start = std::max<std::uint64_t>(update.incarnation.start + 1,
                                                 static_cast<std::uint64_t>(std::max<Micros>(0, now)));
    refutations_ = 0;
  }
  table_.gossip().add(ownUpdate());
}

// Handles an update about an incarnation with this gateway's name that another process began. If it is later
// than this gateway's own, begins an even later one. If it is also alive, records a duplicate name: a second
// gateway has this name, unless the update is old.
void Detector::resolveNameConflict(const StateUpdate& update) {
  if (update.incarnation <= incarnation_) return;
  if (update.state == State::Alive) table_.record(EventKind::DuplicateName, settings_.name);
  incarnation_.start = update.incarnation.start + 1;
  refutations_ = 0;
  table_.gossip().add(ownUpdate());
}

void Detector::receive(Micros now, const std::string& fromAddress, const Message& message,
                       std::vector<OutgoingMessage>& out) {
  if (hasLeft_ || message.from == settings_.name) return;
  unansweredProbes_ = 0;
  setContactLost(false);
  for (const StateUpdate& update : message.updates) {
    if (update.name == settings_.name) {
      applyToSelf(now, update);
    } else {
      table_.apply(now, update);
    }
  }
  Message response;
  switch (message.kind) {
    case Message::Kind::Ping:
      response.kind = Message::Kind::Ack;
      response.sequence = message.sequence;
      return send(fromAddress, std::move(response), out);
    case Message::Kind::Ack:
      return onAck(now, message, out);
    case Message::Kind::Nack:
      if (probe_ && probe_->sequence == message.sequence) ++probe_->nacks;
      return;
    case Message::Kind::PingRequest:
      return relayProbe(now, message, out);
    case Message::Kind::SyncRequest:
      response.kind = Message::Kind::SyncResponse;
      response.updates = allUpdates();
      return send(fromAddress, std::move(response), out);
    case Message::Kind::SyncResponse:
      return;
  }
}

void Detector::leave(std::vector<OutgoingMessage>& out) {
  hasLeft_ = true;
  for (const std::string& name : randomSample(table_.aliveNames(""), maxTransmissions())) {
    Message message;
    message.kind = Message::Kind::SyncResponse;
    message.updates = {ownUpdate()};
    send(table_.find(name)->address, std::move(message), out);
  }
}

}  // namespace heathflow::membership
