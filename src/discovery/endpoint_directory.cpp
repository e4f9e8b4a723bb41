#include "discovery/endpoint_directory.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"

namespace heathflow::discovery {
namespace {

using protocol::ListedEndpoint;
using stats::Topic;
using transport::kMicrosPerMilli;
using Phase = ListedEndpoint::Phase;
// Bounds memory: above this number of names, those of removed endpoints are dropped.
constexpr std::size_t kMaxRetainedNames = 4096;

const char* phaseName(Phase phase) {
  if (phase == Phase::Ready) return "ready";
  return phase == Phase::Gone ? "removed" : "draining";
}

EndpointStatus statusOf(Phase phase) {
  if (phase == Phase::Gone) return EndpointStatus::Removed;
  return phase == Phase::Ready ? EndpointStatus::Ready : EndpointStatus::Draining;
}

}  // namespace

// Derives the id from the name, so that it is the same at every gateway: the routing policy sorts by it.
EndpointDirectory::Entry& EndpointDirectory::entryFor(const std::string& name) {
  const auto [entry, isNew] = byName_.try_emplace(name);
  if (isNew) {
    EndpointId id = hashOf(name);
    while (names_.contains(id)) ++id;
    entry->second.id = id;
    names_.emplace(id, name);
  }
  return entry->second;
}

void EndpointDirectory::forgetRemoved() {
  if (byName_.size() <= kMaxRetainedNames) return;
  std::erase_if(byName_, [this](const auto& entry) {
    if (!entry.second.removed) return false;
    names_.erase(entry.second.id);
    startTimes_.forget(entry.first);
    pool_.remove(entry.second.id);
    return true;
  });
}

// Returns the address for each protocol: the port that the list gives for it, otherwise the default port of
// the same host; std::nullopt if there is neither.
EndpointDirectory::SocketAddresses EndpointDirectory::addressesOf(
    const ListedEndpoint& listed, const transport::SocketAddress& listedAddress) const {
  const auto ofGroup = portsByGroup_.find(listed.cell);
  const ProtocolPorts& ports = ofGroup == portsByGroup_.end() ? defaultPorts_ : ofGroup->second;
  SocketAddresses out(ports.size());
  for (std::size_t i = 0; i < ports.size(); ++i) {
    const auto listedPort = std::find_if(listed.ports.begin(), listed.ports.end(),
                                         [&](const auto& entry) { return entry.first == ports[i].protocol; });
    if (ports[i].atListedAddress) {
      out[i] = listedAddress;
    } else if (ports[i].supported && listedPort != listed.ports.end()) {
      out[i] = transport::SocketAddress{listedAddress.address, listedPort->second};
    } else if (ports[i].supported && ports[i].defaultPort != 0) {
      out[i] = transport::SocketAddress{listedAddress.address, ports[i].defaultPort};
    }
  }
  return out;
}

void EndpointDirectory::traceChange(Entry& entry, const ListedEndpoint& listed) const {
  if (entry.phase == listed.phase) return;
  entry.phase = listed.phase;
  if (!observer_.tracing) return;
  observer_.trace(Topic::Upstream,
                  "endpoint " + listed.id + " at " + listed.hostPort + " is " + phaseName(listed.phase), {});
}

Endpoint EndpointDirectory::endpointOf(const ListedEndpoint& listed, EndpointId id) {
  Endpoint out;
  out.id = id;
  out.group = listed.cell;
  out.status = statusOf(listed.phase);
  out.zone = static_cast<std::uint32_t>(hashOf(listed.locality));
  if (out.status != EndpointStatus::Removed)
    out.startedAt = startTimes_.startedAt(listed.id, listed.upSinceMs * kMicrosPerMilli);
  out.size = listed.size;
  out.listedPrimary = listed.primary;
  return out;
}

EndpointsChanged EndpointDirectory::apply(const protocol::EndpointList& list, transport::Micros now,
                                          bool confirmed) {
  startTimes_.beginList(now, confirmed);
  ++observer_.counters.listUpdatesApplied;
  EndpointsChanged event;
  event.scope = list.complete ? EndpointsChanged::Scope::Full : EndpointsChanged::Scope::Delta;
  if (list.complete) {
    for (auto& [name, entry] : byName_) entry.removed = true;
  }
  for (const ListedEndpoint& listed : list.endpoints) {
    const bool removed = listed.phase == Phase::Gone;
    if (removed && !byName_.contains(listed.id)) continue;
    Entry& entry = entryFor(listed.id);
    entry.removed = removed;
    traceChange(entry, listed);
    if (!removed) {
      const auto address = transport::parseSocketAddress(listed.hostPort);
      if (!address) {
        observer_.log(Topic::Discovery, "the address of endpoint " + listed.id +
                                            " can't be read, ignoring the entry: " + listed.hostPort);
        continue;
      }
      pool_.setAddresses(entry.id, addressesOf(listed, *address));
    }
    event.endpoints.push_back(endpointOf(listed, entry.id));
  }
  forgetRemoved();
  return event;
}

}  // namespace heathflow::discovery
