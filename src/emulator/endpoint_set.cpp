#include "emulator/endpoint_set.h"

#include <algorithm>

#include "emulator/units.h"

namespace heathflow::emulator {
namespace {

constexpr transport::SocketAddress kAnyPort{test::kLoopback, 0};
// The phase of a draining endpoint as the list service writes it.
constexpr const char* kDrainingPhase = "Terminating";

}  // namespace

EndpointSet::EndpointSet(transport::EventLoop& loop, const Scenario& scenario, Judge& judge)
    : loop_(loop), scenario_(scenario), judge_(judge) {
  for (unsigned group = 0; group < scenario_.groups; ++group) {
    for (unsigned i = 0; i <= scenario_.replicas; ++i) add(group, i);
  }
}

void EndpointSet::add(unsigned group, unsigned indexInGroup) {
  EndpointCosts costs = scenario_.endpoint;
  const std::size_t number = endpoints_.size();
  // Slow replicas are chosen from the last replica of each group on, in rounds over the groups.
  const std::size_t fromEnd = (scenario_.replicas - indexInGroup) * scenario_.groups + group;
  if (indexInGroup > 0 && fromEnd < scenario_.slowReplicas)
    costs.service = static_cast<Micros>(scenario_.slowReplicaFactor * static_cast<double>(costs.service));
  endpoints_.push_back(std::make_unique<EmulatedEndpoint>(
      loop_, "m" + std::to_string(number), group, costs, indexInGroup == 0, scenario_.seed + number, judge_));
  if (!needsLinks(scenario_)) return;
  const auto to = transport::parseSocketAddress(endpoints_.back()->address());
  links_.push_back(std::make_unique<StreamLink>(loop_, kAnyPort, to.value_or(kAnyPort),
                                                LinkConditions({}, scenario_.seed + number)));
  links_.back()->onBytesToServer = [this, number](std::string_view bytes) { reportAttempts(number, bytes); };
}

std::string EndpointSet::addressOf(std::size_t endpoint) const {
  return links_.empty() ? endpoints_[endpoint]->address() : toText(links_[endpoint]->socketAddress());
}

// Reports each attempt among the bytes to the judge. The id of a request is in its statement's comment.
void EndpointSet::reportAttempts(std::size_t endpoint, std::string_view bytes) {
  constexpr std::string_view kMark = "/* id=";
  for (std::size_t at = bytes.find(kMark); at != std::string_view::npos; at = bytes.find(kMark, at + 1)) {
    const std::size_t from = at + kMark.size();
    const std::size_t end = bytes.find(',', from);
    if (end == std::string_view::npos) return;
    judge_.attemptSent(std::string(bytes.substr(from, end - from)), endpoints_[endpoint]->name(),
                       loop_.now());
  }
}

std::vector<ListedEntry> EndpointSet::entries() const {
  std::vector<ListedEntry> out;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const auto& endpoint = endpoints_[i];
    const ListedState state = stateOf(*endpoint);
    if (state == ListedState::Gone) continue;
    ListedEntry entry;
    entry.id = endpoint->name();
    entry.hostPort = addressOf(i);
    entry.cell = endpoint->group();
    entry.upSinceMs = endpoint->startedAt() / kMicrosPerMilli;
    entry.primary = endpoint->model().primary();
    if (state == ListedState::Draining) entry.phase = kDrainingPhase;
    out.push_back(entry);
  }
  return out;
}

ListedState EndpointSet::stateOf(const EmulatedEndpoint& endpoint) const {
  const auto found = states_.find(endpoint.name());
  return found == states_.end() ? ListedState::Ready : found->second;
}

void EndpointSet::setListed(const EmulatedEndpoint& endpoint, ListedState state) {
  if (state == ListedState::Ready) {
    states_.erase(endpoint.name());
  } else {
    states_[endpoint.name()] = state;
  }
}

void EndpointSet::reportStates() {
  for (const auto& endpoint : endpoints_)
    judge_.notifications().endpointChanged(endpoint->name(), stateOf(*endpoint), loop_.now());
}

void EndpointSet::reportSlowStart() {
  for (const auto& endpoint : endpoints_) {
    const EndpointModel& model = endpoint->model();
    if (!model.alive() || model.speedShare(loop_.now()) >= 1) {
      judge_.endpointWarm(endpoint->name());
    } else {
      judge_.endpointWarmingUp(endpoint->name(), loop_.now(), model.capacity(loop_.now()));
    }
  }
}

void EndpointSet::startAllCold() {
  for (const auto& endpoint : endpoints_) {
    const bool wasPrimary = endpoint->model().primary();
    endpoint->start();
    if (wasPrimary) endpoint->model().becomePrimary();
  }
}

std::vector<EmulatedEndpoint*> EndpointSet::choose(double share) const {
  std::vector<EmulatedEndpoint*> out;
  for (const bool primaries : {false, true}) {
    for (const auto& endpoint : endpoints_) {
      if (endpoint->model().alive() && endpoint->model().primary() == primaries)
        out.push_back(endpoint.get());
    }
  }
  out.resize(countOfShare(share, out.size()));
  std::erase_if(out,
                [share](EmulatedEndpoint* endpoint) { return share < 1 && endpoint->model().primary(); });
  return out;
}

std::vector<EmulatedEndpoint*> EndpointSet::stopPrimaries() {
  std::vector<EmulatedEndpoint*> out;
  for (const auto& endpoint : endpoints_) {
    if (endpoint->model().primary() && endpoint->model().alive()) out.push_back(endpoint.get());
  }
  for (EmulatedEndpoint* endpoint : out) endpoint->stop();
  for (const auto& endpoint : endpoints_) endpoint->model().stopReplication(loop_.now());
  return out;
}

void EndpointSet::failOver(const std::vector<EmulatedEndpoint*>& stopped) {
  for (const EmulatedEndpoint* old : stopped) {
    EmulatedEndpoint* best = nullptr;
    for (const auto& endpoint : endpoints_) {
      if (endpoint->group() != old->group() || !endpoint->model().alive()) continue;
      if (best == nullptr || endpoint->model().position(loop_.now()) > best->model().position(loop_.now()))
        best = endpoint.get();
    }
    if (best != nullptr) best->model().becomePrimary();
  }
  for (const auto& endpoint : endpoints_) {
    if (endpoint->model().alive()) endpoint->model().resumeReplication();
  }
}

bool EndpointSet::hasCapacityFor(const Answer& answer) const {
  const bool toPrimary = answer.kind == RequestKind::Status || answer.kind == RequestKind::Save;
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& endpoint) {
    return endpoint->group() == answer.group && stateOf(*endpoint) == ListedState::Ready &&
           (!toPrimary || endpoint->model().primary()) && endpoint->model().hasCapacity(answer.at);
  });
}

std::uint64_t EndpointSet::connections() const {
  std::uint64_t out = 0;
  for (const auto& endpoint : endpoints_)
    out += endpoint->model().connectionsAccepted() + endpoint->model().connectionsRejected();
  return out;
}

void EndpointSet::addTotals(DeploymentResults& results) const {
  for (const auto& endpoint : endpoints_) {
    const EndpointModel& model = endpoint->model();
    results.connections += model.connectionsAccepted() + model.connectionsRejected();
    results.connectionsRejected += model.connectionsRejected();
    results.mostConnections = std::max(results.mostConnections, model.connects().mostWithin(kBurstWindow));
    results.healthChecks += endpoint->healthChecks();
  }
}

}  // namespace heathflow::emulator
