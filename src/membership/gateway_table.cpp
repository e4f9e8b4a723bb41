#include "membership/gateway_table.h"

#include <algorithm>
#include <utility>

#include "membership/suspicion.h"

namespace heathflow::membership {
namespace {

using Kind = MembershipEvent::Kind;

// Bounds memory.
constexpr std::size_t kMaxGateways = 20'000;

Kind eventOf(State before, State after) {
  switch (after) {
    case State::Suspected:
      return Kind::Suspected;
    case State::Failed:
      return Kind::Failed;
    case State::Left:
      return Kind::Left;
    case State::Alive:
      break;
  }
  return before == State::Suspected ? Kind::Refuted : Kind::Joined;
}

}  // namespace

const KnownGateway* GatewayTable::find(const std::string& name) const {
  const auto found = gateways_.find(name);
  return found == gateways_.end() ? nullptr : &found->second;
}

std::size_t GatewayTable::runningCount() const {
  return static_cast<std::size_t>(std::count_if(
      gateways_.begin(), gateways_.end(), [](const Entry& entry) { return !hasEnded(entry.second.state); }));
}

std::vector<std::string> GatewayTable::runningNames() const {
  std::vector<std::string> out;
  for (const auto& [name, gateway] : gateways_) {
    if (!hasEnded(gateway.state)) out.push_back(name);
  }
  return out;
}

std::vector<std::string> GatewayTable::aliveNames(const std::string& except) const {
  std::vector<std::string> out;
  for (const auto& [name, gateway] : gateways_) {
    if (gateway.state == State::Alive && name != except) out.push_back(name);
  }
  return out;
}

StateUpdate GatewayTable::updateOf(const std::string& name, const KnownGateway& gateway) const {
  StateUpdate out{name, gateway.address, gateway.incarnation, gateway.refutations, gateway.state, ""};
  if (gateway.state == State::Suspected && !gateway.suspectedBy.empty())
    out.suspectedBy = *gateway.suspectedBy.begin();
  return out;
}

std::vector<MembershipEvent> GatewayTable::takeEvents() { return std::exchange(events_, {}); }

void GatewayTable::setState(Micros now, Entry& entry, State state) {
  auto& [name, gateway] = entry;
  if (gateway.state == state) return;
  const Kind kind = eventOf(gateway.state, state);
  gateway.state = state;
  gateway.since = now;
  if (state != State::Suspected) gateway.suspectedBy.clear();
  if (hasEnded(state)) gateway.directPathLost = false;
  ++version_;
  record(kind, name);
}

void GatewayTable::setDirectPathLost(Micros now, const std::string& name, bool lost) {
  const auto found = gateways_.find(name);
  if (found == gateways_.end() || found->second.directPathLost == lost) return;
  found->second.directPathLost = lost;
  found->second.since = now;
  ++version_;
  record(lost ? Kind::DirectPathLost : Kind::DirectPathRestored, name);
}

void GatewayTable::suspect(Micros now, const std::string& name, const std::string& by) {
  const auto found = gateways_.find(name);
  if (found != gateways_.end()) suspect(now, *found, by);
}

void GatewayTable::suspect(Micros now, Entry& entry, const std::string& by) {
  auto& [name, gateway] = entry;
  if (hasEnded(gateway.state)) return;
  if (gateway.state == State::Alive) {
    setState(now, entry, State::Suspected);
    gateway.suspectedAt = now;
  }
  if (gateway.suspectedBy.size() > kMaxConfirmations || !gateway.suspectedBy.insert(by).second) return;
  StateUpdate update = updateOf(name, gateway);
  update.suspectedBy = by;
  gossip_.add(update);
}

Micros GatewayTable::suspicionEndsAt(const KnownGateway& gateway) const {
  return gateway.suspectedAt + suspicionTimeout(settings_, runningCount(), gateway.suspectedBy.size());
}

void GatewayTable::endSuspicions(Micros now) {
  for (Entry& entry : gateways_) {
    if (entry.second.state != State::Suspected || now < suspicionEndsAt(entry.second)) continue;
    setState(now, entry, State::Failed);
    gossip_.add(updateOf(entry.first, entry.second));
  }
}

void GatewayTable::extendSuspicions(Micros stalledFor) {
  for (auto& [name, gateway] : gateways_) {
    if (gateway.state == State::Suspected) gateway.suspectedAt += stalledFor;
  }
}

void GatewayTable::forgetEnded(Micros now) {
  std::erase_if(gateways_, [&](const Entry& entry) {
    return hasEnded(entry.second.state) && now - entry.second.since > settings_.forgetAfter;
  });
}

void GatewayTable::apply(Micros now, const StateUpdate& update) {
  const auto found = gateways_.find(update.name);
  if (found == gateways_.end()) return addGateway(now, update);
  if (update.incarnation < found->second.incarnation) return;
  if (update.incarnation > found->second.incarnation) return startIncarnation(now, *found, update);
  if (!hasEnded(found->second.state)) applyToIncarnation(now, *found, update);
}

// Adds an unknown gateway. If its incarnation has ended there is no event, but it is stored so that it can't
// return.
void GatewayTable::addGateway(Micros now, const StateUpdate& update) {
  if (gateways_.size() >= kMaxGateways) return;
  KnownGateway gateway;
  gateway.address = update.address;
  gateway.incarnation = update.incarnation;
  gateway.refutations = update.refutations;
  gateway.since = now;
  gateway.state = update.state == State::Suspected ? State::Alive : update.state;
  Entry& entry = *gateways_.emplace(update.name, gateway).first;
  ++version_;
  if (gateway.state == State::Alive) {
    record(Kind::Joined, update.name);
    probeRound_.insert(update.name, uniformUnit(random_()));
  }
  gossip_.add(update);
  if (update.state == State::Suspected) suspect(now, entry, update.suspectedBy);
}

// Replaces all that was known about the earlier incarnation.
void GatewayTable::startIncarnation(Micros now, Entry& entry, const StateUpdate& update) {
  auto& [name, gateway] = entry;
  gateway.incarnation = update.incarnation;
  gateway.refutations = update.refutations;
  gateway.address = update.address;
  gateway.directPathLost = false;
  gateway.suspectedBy.clear();
  const bool hadEnded = hasEnded(gateway.state);
  if (update.state == State::Suspected) {
    gateway.state = State::Alive;
    suspect(now, entry, update.suspectedBy);
  } else {
    setState(now, entry, update.state);
  }
  if (hadEnded) probeRound_.insertNext(name);
  ++version_;
  gossip_.add(update);
}

void GatewayTable::applyToIncarnation(Micros now, Entry& entry, const StateUpdate& update) {
  KnownGateway& gateway = entry.second;
  switch (update.state) {
    case State::Alive:
      if (update.refutations <= gateway.refutations) return;
      gateway.refutations = update.refutations;
      gateway.address = update.address;
      break;
    case State::Suspected:
      if (update.refutations < gateway.refutations) return;
      gateway.refutations = update.refutations;
      return suspect(now, entry, update.suspectedBy);
    case State::Failed:
      if (update.refutations < gateway.refutations) return;  // the suspicion has been refuted since
      [[fallthrough]];
    case State::Left:
      gateway.refutations = std::max(gateway.refutations, update.refutations);
      break;
  }
  setState(now, entry, update.state);
  gossip_.add(update);
}

}  // namespace heathflow::membership
