#include "routing/directory.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "routing/hash.h"

namespace heathflow::routing {
namespace {

using transport::kMicrosPerMilli;
// Beyond so many names those that are gone are forgotten, so that memory does not grow with all ever seen.
constexpr std::size_t kNamesKept = 4096;

}  // namespace

// The same name makes the same id at every router, for the module sorts by it.
Directory::Known& Directory::known(const std::string& name) {
  const auto [entry, isNew] = byName_.try_emplace(name);
  if (isNew) {
    MemberId id = hashOf(name);
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
    pool_.forget(entry.second.id);
    return true;
  });
}

// Where each protocol reaches a member: by the list's word, else at the usual port of the same machine.
std::vector<std::optional<transport::Endpoint>> Directory::placesOf(
    const protocol::ListedMember& listed, const transport::Endpoint& endpoint) const {
  const auto family = families_.find(listed.cell);
  const Doors& doors = family == families_.end() ? doors_ : family->second;
  std::vector<std::optional<transport::Endpoint>> places(doors.size());
  for (std::size_t i = 0; i < doors.size(); ++i) {
    const auto told = std::find_if(listed.ports.begin(), listed.ports.end(),
                                   [&](const auto& entry) { return entry.first == doors[i].protocol; });
    if (doors[i].listed) {
      places[i] = endpoint;
    } else if (doors[i].spoken && told != listed.ports.end()) {
      places[i] = transport::Endpoint{endpoint.address, told->second};
    } else if (doors[i].spoken && doors[i].port != 0) {
      places[i] = transport::Endpoint{endpoint.address, doors[i].port};
    }
  }
  return places;
}

void Directory::traceChange(Known& entry, const protocol::ListedMember& listed) const {
  using Phase = protocol::ListedMember::Phase;
  if (entry.phase == listed.phase) return;
  entry.phase = listed.phase;
  if (!observer_.tracing) return;
  const char* state = listed.phase == Phase::Ready  ? "ready"
                      : listed.phase == Phase::Gone ? "gone"
                                                    : "draining";
  observer_.trace(Topic::Members, listed.id + " at " + listed.hostPort + " is " + state, {});
}

MembersChanged Directory::take(const protocol::MemberList& list, transport::Micros now, bool confirmed) {
  using Phase = protocol::ListedMember::Phase;
  launches_.beginList(now, confirmed);
  ++observer_.counters.listsTaken;
  MembersChanged event;
  event.scope = list.complete ? MembersChanged::Scope::Full : MembersChanged::Scope::Delta;
  if (list.complete) {
    for (auto& [name, entry] : byName_) entry.gone = true;
  }
  for (const protocol::ListedMember& listed : list.members) {
    const bool gone = listed.phase == Phase::Gone;
    if (gone && !byName_.contains(listed.id)) continue;
    Known& entry = known(listed.id);
    entry.gone = gone;
    traceChange(entry, listed);
    if (!gone) {
      const auto endpoint = transport::parseEndpoint(listed.hostPort);
      if (!endpoint) {
        observer_.note(Topic::Discovery, "a member's address can't be read: " + listed.hostPort);
        continue;
      }
      pool_.place(entry.id, placesOf(listed, *endpoint));
    }
    Member member;
    member.id = entry.id;
    member.group = listed.cell;
    member.state = gone                           ? MemberState::Gone
                   : listed.phase == Phase::Ready ? MemberState::Ready
                                                  : MemberState::Draining;
    member.zone = static_cast<std::uint32_t>(hashOf(listed.locality));
    if (!gone) member.launched = launches_.launchedAt(listed.id, listed.upSinceMs * kMicrosPerMilli);
    member.size = listed.size;
    member.leads = listed.primary;
    event.members.push_back(member);
  }
  forgetGone();
  return event;
}

}  // namespace heathflow::routing
