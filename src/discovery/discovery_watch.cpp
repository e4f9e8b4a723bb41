#include "discovery/discovery_watch.h"

#include <algorithm>
#include <utility>

namespace heathflow::discovery {
namespace {

using stats::Topic;
using transport::kMicrosPerMilli;
// The pause before the next call if an unchanged list arrives before half of the watch duration is over. It
// prevents a tight loop. The service treats calls at most 200 ms apart as one continuous watch.
constexpr Micros kPauseAfterEarlyAnswer = 50'000;
// The wait of polls, the calls that are not watches: the first call and those after a failure or a move. They
// are answered without waiting for a change; without a revision they request the complete list.
constexpr Micros kPollWait = kMicrosPerMilli;
// The number of timed-out calls that stay open in addition to the newest one. Closing a call gives up its
// position in the service's queue, while an open one may never be answered: the service may have restarted,
// or the network path may be broken.
constexpr std::size_t kMaxOverdueCalls = 2;

std::string millisecondsOf(Micros time) { return std::to_string(time / kMicrosPerMilli) + " ms"; }

}  // namespace

DiscoveryWatch::DiscoveryWatch(transport::EventLoop& loop, const transport::SocketAddress& socketAddress,
                               DiscoverySchedule& schedule, stats::Observer& observer, OnList onList,
                               OnFailure onFailure, OnLeaseEnd onLeaseEnd)
    : loop_(loop),
      socketAddress_(socketAddress),
      schedule_(schedule),
      observer_(observer),
      onList_(std::move(onList)),
      onFailure_(std::move(onFailure)),
      onLeaseEnd_(std::move(onLeaseEnd)),
      lease_(loop.now(), schedule.dedicatedService()),
      leaseEnd_(loop, [this] { leaseEnded(); }),
      callTimeout_(loop, [this] { callTimedOut(); }),
      nextCall_(loop, [this] { call(nextWait_); }) {
  leaseChanged();
}

void DiscoveryWatch::subscribe() {
  subscribed_ = true;
  // A call in flight or scheduled will return the list.
  if (calling_ || nextCall_.armed()) return;
  callAt(schedule_.firstCallAt(), kPollWait);
}

void DiscoveryWatch::callAt(Micros at, Micros wait) {
  if (at <= loop_.now()) return call(wait);
  nextWait_ = wait;
  nextCall_.arm(at);
}

// Closes the calls to the old address: the complete list from the new one replaces whatever they would
// return, and revisions of two services are not comparable.
void DiscoveryWatch::moveTo(const transport::SocketAddress& socketAddress) {
  if (socketAddress == socketAddress_) return;
  socketAddress_ = socketAddress;
  closeAll();
  revision_ = -1;
  lease_.serviceMoved(loop_.now());
  leaseChanged();
  if (subscribed_) callAt(schedule_.nextCallAfterMove(loop_.now()), kPollWait);
}

void DiscoveryWatch::call(Micros wait) {
  if (!newest_)
    newest_ = std::make_unique<DiscoveryCall>(loop_, socketAddress_, static_cast<DiscoveryCallOwner&>(*this));
  calling_ = true;
  watching_ = wait > kPollWait;
  if (watching_) {
    lease_.watchStarted(loop_.now(), wait);
    leaseChanged();
  }
  ++observer_.counters.discoveryCalls;
  callTimeout_.arm(loop_.now() + (watching_ ? wait + kWatchResponseTime : kCallTimeout));
  newest_->start(revision_, wait);
}

// Uses the first answer and closes all other calls. They requested the changes after the same revision, so
// their answers are not needed; the next call requests the changes after this answer.
void DiscoveryWatch::onList(DiscoveryCall& call, const protocol::EndpointList& list) {
  closeAllExcept(call);
  calling_ = false;
  callTimeout_.disarm();
  nextCall_.disarm();
  const Micros elapsed = loop_.now() - call.startedAt();
  if (call.immediate()) {
    schedule_.callSucceeded(elapsed);
  } else {
    schedule_.watchSucceeded();
  }
  recordRecovery();
  const bool changed = list.revision != revision_;
  lease_.renew(call.validAsOf(changed));
  revision_ = list.revision;
  traceList(call, changed);
  const Micros watchDuration = schedule_.watchDuration();
  const bool early = !changed && elapsed < watchDuration / 2;
  onList_(list);
  if (!calling_) callAt(loop_.now() + (early ? kPauseAfterEarlyAnswer : 0), watchDuration);
  // The routing policy uses this list from now on. If its answer was delayed so long that the lease has ended
  // already, the lease timer fires at once.
  expired_ = false;
  leaseChanged();
}

void DiscoveryWatch::recordRecovery() {
  failuresInRow_ = 0;
  if (!expired_) return;
  const Micros lasted = loop_.now() - expiredAt_;
  observer_.counters.listExpiredTime += static_cast<std::uint64_t>(lasted);
  observer_.log(Topic::Discovery,
                "the endpoint list is confirmed again " + millisecondsOf(lasted) + " after it expired");
}

void DiscoveryWatch::traceList(const DiscoveryCall& call, bool changed) {
  if (!observer_.tracing) return;
  observer_.trace(Topic::Discovery,
                  "endpoint list revision " + std::to_string(revision_) +
                      (changed ? ", changed" : ", unchanged") + ", from a " +
                      (call.immediate() ? "call" : "watch") + " of " +
                      millisecondsOf(loop_.now() - call.startedAt()) + "; the list expires in " +
                      millisecondsOf(lease_.endsAt() - loop_.now()),
                  {});
}

void DiscoveryWatch::onError(DiscoveryCall& call, const CallError& error) {
  if (&call == newest_.get()) return callFailed(error, loop_.now() - call.startedAt());
  // An overdue call was already counted as failed when it timed out.
  if (auto overdue = takeOverdue(call)) loop_.deleteLater(std::move(overdue));
}

// Removes and returns an overdue call; returns null if the call is not overdue.
std::unique_ptr<DiscoveryCall> DiscoveryWatch::takeOverdue(const DiscoveryCall& call) {
  const auto at =
      std::find_if(overdue_.begin(), overdue_.end(), [&](const auto& entry) { return entry.get() == &call; });
  if (at == overdue_.end()) return nullptr;
  auto out = std::move(*at);
  overdue_.erase(at);
  return out;
}

void DiscoveryWatch::leaseChanged() {
  expired_ = expired_ && lease_.endsAt() <= loop_.now();
  if (!expired_) leaseEnd_.arm(lease_.endsAt());
}

void DiscoveryWatch::leaseEnded() {
  expired_ = true;
  expiredAt_ = loop_.now();
  ++observer_.counters.listsExpired;
  observer_.log(
      Topic::Discovery,
      "the endpoint list expired: until it is confirmed, only endpoints that answered a recent health check "
      "over a connection older than the list get requests (revision " +
          std::to_string(revision_) + ", " + std::to_string(failuresInRow_) + " failed calls in a row)");
  onLeaseEnd_(lease_.latestConnectedSince());
}

// Keeps the call that timed out open while the next one is made.
void DiscoveryWatch::callTimedOut() {
  const Micros elapsed = loop_.now() - newest_->startedAt();
  overdue_.push_back(std::move(newest_));
  if (overdue_.size() > kMaxOverdueCalls) {
    overdue_.front()->close();
    loop_.deleteLater(std::move(overdue_.front()));
    overdue_.erase(overdue_.begin());
  }
  callFailed({CallFailure::TimedOut, "no response", {}}, elapsed);
}

// The list stays in use until its lease ends, which a failure may bring forward.
void DiscoveryWatch::callFailed(const CallError& error, Micros elapsed) {
  calling_ = false;
  ++failuresInRow_;
  callTimeout_.disarm();
  updateLease(error.failure);
  callAt(schedule_.nextCallAfterFailure(loop_.now(), error.failure, error.retryAfter), kPollWait);
  ++observer_.counters.discoveryFailures;
  ++observer_.counters.discoveryFailuresByCause[static_cast<std::size_t>(error.failure)];
  logFailure(error, elapsed);
  onFailure_();
}

void DiscoveryWatch::updateLease(CallFailure failure) {
  const bool endedByService = failure == CallFailure::Rejected || failure == CallFailure::ConnectionReset;
  if (watching_ && endedByService) lease_.watchEnded(loop_.now());
  if (watching_ && failure == CallFailure::TimedOut) lease_.watchTimedOut(loop_.now());
  lease_.callFailed(loop_.now());
  leaseChanged();
}

void DiscoveryWatch::logFailure(const CallError& error, Micros elapsed) {
  observer_.log(Topic::Discovery, "a call to the list service failed: " + toText(socketAddress_) + ": " +
                                      error.message + " (" + nameOf(error.failure) + " after " +
                                      millisecondsOf(elapsed) + "); retrying, endpoint list revision " +
                                      std::to_string(revision_) + " expires in " +
                                      millisecondsOf(lease_.endsAt() - loop_.now()));
}

// Makes the remaining call the newest one.
void DiscoveryWatch::closeAllExcept(DiscoveryCall& call) {
  if (&call != newest_.get()) {
    if (newest_) overdue_.push_back(std::move(newest_));
    newest_ = takeOverdue(call);
  }
  closeOverdue();
}

void DiscoveryWatch::closeOverdue() {
  for (auto& entry : overdue_) {
    entry->close();
    loop_.deleteLater(std::move(entry));
  }
  overdue_.clear();
}

void DiscoveryWatch::closeAll() {
  calling_ = false;
  callTimeout_.disarm();
  nextCall_.disarm();
  if (newest_) overdue_.push_back(std::move(newest_));
  closeOverdue();
}

}  // namespace heathflow::discovery
