#include "discovery/discovery_watch.h"

#include <algorithm>
#include <utility>

namespace heathflow::routing {
namespace {

std::string millisecondsOf(Micros time) { return std::to_string(time / transport::kMicrosPerMilli) + " ms"; }

using discovery::CallFailure;
using transport::kMicrosPerMilli;
// PROTOCOL, Discovery: a watch lasts as long as the next call comes within 200 ms. Guards against a tight
// loop with a service that answers at once though nothing is new.
constexpr Micros kSoonest = 50'000;
// The first call, and one after a failure, asks for what is new and waits for nothing.
constexpr Micros kNoWait = kMicrosPerMilli;
// So many calls may be out beside the newest one. One that is closed gives up its place in the service's
// line, while one that stays may be dead: it was out as the service went down, or its path is cut.
constexpr std::size_t kOverdueMost = 2;

}  // namespace

DiscoveryWatch::DiscoveryWatch(transport::EventLoop& loop, const transport::SocketAddress& socketAddress,
                               discovery::Caller& caller, stats::Observer& observer, OnList onList,
                               OnFailure onFailure, OnLeaseEnd onLeaseEnd)
    : loop_(loop),
      socketAddress_(socketAddress),
      caller_(caller),
      observer_(observer),
      onList_(std::move(onList)),
      onFailure_(std::move(onFailure)),
      onLeaseEnd_(std::move(onLeaseEnd)),
      lease_(loop.now(), caller.ownService()),
      leaseEnd_(loop, [this] { leaseEnded(); }),
      answerDue_(loop, [this] { unanswered(); }),
      next_(loop, [this] { call(nextWait_); }) {
  leaseChanged();
}

void DiscoveryWatch::subscribe() {
  wanted_ = true;
  // A call that is out answers this wish as well, and a watch that stands is one already.
  if (calling_ || next_.armed()) return;
  callAt(caller_.first(), kNoWait);
}

void DiscoveryWatch::callAt(Micros at, Micros wait) {
  if (at <= loop_.now()) return call(wait);
  nextWait_ = wait;
  next_.arm(at);
}

// What the old place still had to say is part of the whole list that the new one gives, so its calls end
// here. Revisions are not compared across the two.
void DiscoveryWatch::moveTo(const transport::SocketAddress& socketAddress) {
  if (socketAddress == socketAddress_) return;
  socketAddress_ = socketAddress;
  hangUp();
  revision_ = -1;
  lease_.moved(loop_.now());
  leaseChanged();
  if (wanted_) callAt(caller_.moved(loop_.now()), kNoWait);
}

void DiscoveryWatch::call(Micros wait) {
  if (!newest_)
    newest_ = std::make_unique<DiscoveryCall>(loop_, socketAddress_, static_cast<DiscoveryCallOwner&>(*this));
  calling_ = true;
  watching_ = wait > kNoWait;
  if (watching_) {
    lease_.watching(loop_.now(), wait);
    leaseChanged();
  }
  ++observer_.counters.discoveryCalls;
  answerDue_.arm(loop_.now() + (watching_ ? wait + discovery::kAnswerAfterWait : discovery::kAnswerWithin));
  newest_->start(revision_, wait);
}

// Whichever call is answered first has the newest word: all were asked from the same revision.
void DiscoveryWatch::onList(DiscoveryCall& call, const protocol::EndpointList& list) {
  keepOnly(call);
  calling_ = false;
  answerDue_.disarm();
  next_.disarm();
  const Micros elapsed = loop_.now() - call.startedAt();
  if (call.immediate()) {
    caller_.answered(elapsed);
  } else {
    caller_.told();
  }
  noteConfirmed();
  const bool news = list.revision != revision_;
  lease_.confirmed(call.provenAt(news));
  revision_ = list.revision;
  traceList(call, news);
  const Micros watchFor = caller_.watchFor();
  const bool early = !news && elapsed < watchFor / 2;
  onList_(list);
  if (!calling_) callAt(loop_.now() + (early ? kSoonest : 0), watchFor);
  // The routing policy goes by this list now. Where it was long on its way it may have expired already.
  expired_ = false;
  leaseChanged();
}

// The list counts again after it had expired.
void DiscoveryWatch::noteConfirmed() {
  failuresInRow_ = 0;
  if (!expired_) return;
  const Micros lasted = loop_.now() - expiredAt_;
  observer_.counters.listsExpiredFor += static_cast<std::uint64_t>(lasted);
  observer_.note(stats::Topic::Discovery,
                 "the list is confirmed again, " + millisecondsOf(lasted) + " after it expired");
}

void DiscoveryWatch::traceList(const DiscoveryCall& call, bool news) {
  if (!observer_.tracing) return;
  observer_.trace(stats::Topic::Discovery,
                  "revision " + std::to_string(revision_) + (news ? ", new" : ", as before") + ", from a " +
                      (call.immediate() ? "call" : "watch") + " of " +
                      millisecondsOf(loop_.now() - call.startedAt()) + "; it counts for " +
                      millisecondsOf(lease_.until() - loop_.now()),
                  {});
}

void DiscoveryWatch::onProblem(DiscoveryCall& call, const CallProblem& problem) {
  if (&call == newest_.get()) return failed(problem, loop_.now() - call.startedAt());
  // It has counted as failed since it was overdue.
  if (auto overdue = takeOverdue(call)) loop_.retire(std::move(overdue));
}

// The overdue call out of their list; null where it is none of them.
std::unique_ptr<DiscoveryCall> DiscoveryWatch::takeOverdue(const DiscoveryCall& call) {
  const auto at =
      std::find_if(overdue_.begin(), overdue_.end(), [&](const auto& entry) { return entry.get() == &call; });
  if (at == overdue_.end()) return nullptr;
  auto out = std::move(*at);
  overdue_.erase(at);
  return out;
}

void DiscoveryWatch::leaseChanged() {
  expired_ = expired_ && lease_.until() <= loop_.now();
  if (!expired_) leaseEnd_.arm(lease_.until());
}

void DiscoveryWatch::leaseEnded() {
  expired_ = true;
  expiredAt_ = loop_.now();
  ++observer_.counters.listsExpired;
  observer_.note(stats::Topic::Discovery,
                 "the list could not be confirmed in time: only members that show that they stood are sent "
                 "to (revision " +
                     std::to_string(revision_) + ", " + std::to_string(failuresInRow_) +
                     " failed calls in a row)");
  onLeaseEnd_(lease_.vouchesForThoseSince());
}

// The newest call has no answer in time. It stays open beside the next one.
void DiscoveryWatch::unanswered() {
  const Micros elapsed = loop_.now() - newest_->startedAt();
  overdue_.push_back(std::move(newest_));
  if (overdue_.size() > kOverdueMost) {
    overdue_.front()->close();
    loop_.retire(std::move(overdue_.front()));
    overdue_.erase(overdue_.begin());
  }
  failed({CallFailure::TimedOut, "no answer in time", {}}, elapsed);
}

// The list stays as it was.
void DiscoveryWatch::failed(const CallProblem& problem, Micros elapsed) {
  calling_ = false;
  ++failuresInRow_;
  answerDue_.disarm();
  const bool told = problem.how == CallFailure::Rejected || problem.how == CallFailure::ConnectionReset;
  if (watching_ && told) lease_.watchEnded(loop_.now());
  if (watching_ && problem.how == CallFailure::TimedOut) lease_.watchGivenUp(loop_.now());
  lease_.callFailed(loop_.now());
  leaseChanged();
  callAt(caller_.failed(loop_.now(), problem.how, problem.retryAfter), kNoWait);
  ++observer_.counters.discoveryFailures;
  ++observer_.counters.discoveryFailedBy[static_cast<std::size_t>(problem.how)];
  observer_.note(stats::Topic::Discovery,
                 "a call to discovery failed: " + problem.text + ", " + discovery::nameOf(problem.how) +
                     " after " + millisecondsOf(elapsed) + ", revision " + std::to_string(revision_) +
                     ", the list counts for " + millisecondsOf(lease_.until() - loop_.now()));
  onFailure_();
}

// Ends all calls but one, which is the newest from then on.
void DiscoveryWatch::keepOnly(DiscoveryCall& call) {
  if (&call != newest_.get()) {
    if (newest_) overdue_.push_back(std::move(newest_));
    newest_ = takeOverdue(call);
  }
  closeOverdue();
}

void DiscoveryWatch::closeOverdue() {
  for (auto& entry : overdue_) {
    entry->close();
    loop_.retire(std::move(entry));
  }
  overdue_.clear();
}

void DiscoveryWatch::hangUp() {
  calling_ = false;
  answerDue_.disarm();
  next_.disarm();
  if (newest_) overdue_.push_back(std::move(newest_));
  closeOverdue();
}

}  // namespace heathflow::routing
