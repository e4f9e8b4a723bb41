#include "routing/member_pool.h"

#include <algorithm>

namespace heathflow::routing {
namespace {

// Guards against a request that crosses the member's own close: idle connections go this many connect limits
// before the member's limit, so that neither a late clock nor a slow path lets the two meet.
constexpr Micros kMarginInConnectLimits = 4;

}  // namespace

MemberPool::MemberPool(transport::EventLoop& loop, Times times, DescriptorBudget& budget, Observer& observer)
    : loop_(loop),
      times_(times),
      keepIdle_(std::max(times.idleLimit / 2, times.idleLimit - kMarginInConnectLimits * times.connectLimit)),
      budget_(budget),
      observer_(observer),
      retirement_(loop, [this] { retireOld(); }) {}

MemberPool::~MemberPool() = default;

void MemberPool::place(MemberId member, const transport::Endpoint& endpoint) {
  Place& place = places_[member];
  if (place.endpoint == endpoint) return;
  place.endpoint = endpoint;
  closeIdle(member);
}

void MemberPool::forget(MemberId member) {
  closeIdle(member);
  places_.erase(member);
}

MemberPool::Started MemberPool::start(MemberId member, Exchange& exchange, MemberConnection*& connection,
                                      bool onNewOne) {
  const auto found = places_.find(member);
  if (found == places_.end()) return Started::Unreachable;
  Place& place = found->second;
  while (!onNewOne && !place.idle.empty()) {
    MemberConnection* idle = place.idle.back()->second;
    if (!idle->fresh()) {
      // Closed by the member, or it holds bytes that would be taken for an answer.
      ++observer_.counters.connectionsStale;
      idle->close();
      continue;
    }
    removeIdle(*idle);
    ++observer_.counters.connectionsReused;
    connection = idle;
    idle->begin(exchange);
    return Started::Yes;
  }
  if (!budget_.memberFits() && !spareOne()) return Started::NoRoom;
  auto opened = std::make_unique<MemberConnection>(loop_, static_cast<MemberConnectionOwner&>(*this), member);
  int error = 0;
  if (!opened->connect(place.endpoint, times_.connectLimit, error)) {
    ++observer_.counters.connectionsFailed;
    return error == EMFILE || error == ENFILE ? Started::NoRoom : Started::Unreachable;
  }
  ++observer_.counters.connectionsOpened;
  budget_.memberOpened();
  connection = opened.get();
  connections_.emplace(connection, std::move(opened));
  connection->begin(exchange);
  return Started::Yes;
}

void MemberPool::closeIdle(MemberId member, Micros idleSince) {
  const auto found = places_.find(member);
  if (found == places_.end()) return;
  const auto& idle = found->second.idle;
  while (!idle.empty() && idle.front()->first <= idleSince) {
    ++observer_.counters.connectionsRetired;
    idle.front()->second->close();
  }
}

bool MemberPool::spareOne() {
  if (idle_.empty()) return false;
  ++observer_.counters.connectionsSpared;
  idle_.front().second->close();
  return true;
}

void MemberPool::onIdle(MemberConnection& connection) {
  const auto found = places_.find(connection.member());
  // Its member has moved, or is known no more.
  if (found == places_.end() || !(found->second.endpoint == connection.endpoint())) return connection.close();
  idle_.emplace_back(loop_.now(), &connection);
  found->second.idle.push_back(std::prev(idle_.end()));
  if (!retirement_.armed()) retirement_.arm(loop_.now() + keepIdle_);
}

void MemberPool::removeIdle(MemberConnection& connection) {
  const auto found = places_.find(connection.member());
  if (found == places_.end()) return;
  auto& idle = found->second.idle;
  const auto at = std::find_if(idle.rbegin(), idle.rend(),
                               [&](const auto& entry) { return entry->second == &connection; });
  if (at == idle.rend()) return;
  idle_.erase(*at);
  idle.erase(std::next(at).base());
}

void MemberPool::onDone(MemberConnection& connection, bool unasked) {
  if (unasked) ++observer_.counters.connectionsStale;
  removeIdle(connection);
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  budget_.memberClosed();
  loop_.retire(std::move(found->second));
  connections_.erase(found);
}

void MemberPool::onProtocolError(MemberConnection& connection) {
  ++observer_.counters.memberProtocolErrors;
  observer_.note(Topic::Members, "an answer from " + toText(connection.endpoint()) + " can't be read");
}

void MemberPool::onConnectFailed(MemberConnection&) { ++observer_.counters.connectionsFailed; }

void MemberPool::retireOld() {
  while (!idle_.empty() && idle_.front().first + keepIdle_ <= loop_.now()) {
    ++observer_.counters.connectionsRetired;
    idle_.front().second->close();
  }
  if (!idle_.empty()) retirement_.arm(idle_.front().first + keepIdle_);
}

}  // namespace heathflow::routing
