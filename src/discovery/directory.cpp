#include "discovery/directory.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "common/hash.h"

namespace heathflow::routing {
namespace {

using transport::kMicrosPerMilli;
// Beyond so many names those that are gone are forgotten, so that memory does not grow with all ever seen.
constexpr std::size_t kNamesKept = 4096;

}  // namespace

// The same name makes the same id at every router, for the routing policy sorts by it.
Directory::Known& Directory::known(const std::string& name) {
  const auto [entry, isNew] = byName_.try_emplace(name);
  if (isNew) {
    EndpointId id = hashOf(name);
    while (names_.contains(id)) ++id;
    entry->second.id = id;
    names_.emplace(id, name);
  }
  return entry->second;
}

void Directory::forgetGone() {
  if (byName_.size() <= kNamesKept) return;
  std::erase_if(byName_, [this](const auto& entry) {
    if (!entry.second.gone) return false;
    names_.erase(entry.second.id);
    launches_.forget(entry.first);
    pool_.remove(entry.second.id);
    return true;
  });
}

// Where each protocol reaches an endpoint: by the list's word, else at the usual port of the same machine.
std::vector<std::optional<transport::SocketAddress>> Directory::placesOf(
    const protocol::ListedEndpoint& listed, const transport::SocketAddress& socketAddress) const {
  const auto family = families_.find(listed.cell);
  const Doors& doors = family == families_.end() ? doors_ : family->second;
  std::vector<std::optional<transport::SocketAddress>> places(doors.size());
  for (std::size_t i = 0; i < doors.size(); ++i) {
    const auto told = std::find_if(listed.ports.begin(), listed.ports.end(),
                                   [&](const auto& entry) { return entry.first == doors[i].protocol; });
    if (doors[i].listed) {
      places[i] = socketAddress;
    } else if (doors[i].spoken && told != listed.ports.end()) {
      places[i] = transport::SocketAddress{socketAddress.address, told->second};
    } else if (doors[i].spoken && doors[i].port != 0) {
      places[i] = transport::SocketAddress{socketAddress.address, doors[i].port};
    }
  }
  return places;
}

void Directory::traceChange(Known& entry, const protocol::ListedEndpoint& listed) const {
  using Phase = protocol::ListedEndpoint::Phase;
  if (entry.phase == listed.phase) return;
  entry.phase = listed.phase;
  if (!observer_.tracing) return;
  const char* state = listed.phase == Phase::Ready  ? "ready"
                      : listed.phase == Phase::Gone ? "gone"
                                                    : "draining";
  observer_.trace(stats::Topic::Upstream, listed.id + " at " + listed.hostPort + " is " + state, {});
}

EndpointsChanged Directory::take(const protocol::EndpointList& list, transport::Micros now, bool confirmed) {
  using Phase = protocol::ListedEndpoint::Phase;
  launches_.beginList(now, confirmed);
  ++observer_.counters.listsTaken;
  EndpointsChanged event;
  event.scope = list.complete ? EndpointsChanged::Scope::Full : EndpointsChanged::Scope::Delta;
  if (list.complete) {
    for (auto& [name, entry] : byName_) entry.gone = true;
  }
  for (const protocol::ListedEndpoint& listed : list.endpoints) {
    const bool gone = listed.phase == Phase::Gone;
    if (gone && !byName_.contains(listed.id)) continue;
    Known& entry = known(listed.id);
    entry.gone = gone;
    traceChange(entry, listed);
    if (!gone) {
      const auto socketAddress = transport::parseSocketAddress(listed.hostPort);
      if (!socketAddress) {
        observer_.note(stats::Topic::Discovery, "a member's address can't be read: " + listed.hostPort);
        continue;
      }
      pool_.setAddresses(entry.id, placesOf(listed, *socketAddress));
    }
    Endpoint endpoint;
    endpoint.id = entry.id;
    endpoint.group = listed.cell;
    endpoint.status = gone                           ? EndpointStatus::Removed
                      : listed.phase == Phase::Ready ? EndpointStatus::Ready
                                                     : EndpointStatus::Draining;
    endpoint.zone = static_cast<std::uint32_t>(hashOf(listed.locality));
    if (!gone) endpoint.startedAt = launches_.launchedAt(listed.id, listed.upSinceMs * kMicrosPerMilli);
    endpoint.size = listed.size;
    endpoint.listedPrimary = listed.primary;
    event.endpoints.push_back(endpoint);
  }
  forgetGone();
  return event;
}

}  // namespace heathflow::routing
