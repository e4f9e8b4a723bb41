#include "policy/health_check_scheduler.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace heathflow::policy {
namespace {

// A position is refreshed when it is older than this share of the smallest staleness bound.
constexpr double kRefreshAgeShare = 0.5;
// One replica with a known position is enough for this many reads per span of the smallest staleness bound.
constexpr double kReadsPerReplica = 8;

// How long an endpoint that refused new work is not checked.
constexpr Micros kPauseAfterRefusal = 250 * kMillisecond;
// Minimum time between the starts of two search rounds that check all endpoints of a group.
constexpr Micros kSearchAllInterval = 4 * kPrimarySearchInterval;
// How long a search waits for an answer before it checks the next endpoint.
constexpr Micros kSearchAnswerTimeout = 30 * kMillisecond;

}  // namespace

bool HealthCheckScheduler::start(EndpointState& endpoint, HealthCheckReason reason) {
  if (!context_.settings().healthChecksAllowed || endpoint.healthCheck.inProgress) return false;
  if (!endpoint.listing.usable || refusesNewWork(endpoint)) return false;
  endpoint.healthCheck.inProgress = true;
  endpoint.healthCheck.startedAt = context_.now();
  context_.emit(StartHealthCheck{endpoint.info.id, reason, registry_.listExpired()});
  return true;
}

void HealthCheckScheduler::observeEnd(EndpointState& endpoint, const HealthCheckEnded& event) {
  endpoint.healthCheck.inProgress = false;
  if (event.refusesNewWork) endpoint.healthCheck.newWorkRefusedAt = context_.now();
}

bool HealthCheckScheduler::refusesNewWork(const EndpointState& endpoint) const {
  return context_.now() - endpoint.healthCheck.newWorkRefusedAt < kPauseAfterRefusal;
}

void HealthCheckScheduler::observeArrival() { budget_ = std::min(kMaxBudget, budget_ + kBudgetPerRequest); }

void HealthCheckScheduler::findPrimary(EndpointGroup& group) {
  if (!context_.settings().healthChecksReportRole || searchAwaitsAnswer(group)) return;
  const bool newRound = context_.now() - group.search.startedAt >= kPrimarySearchInterval;
  EndpointState* next = nextInSearch(group, newRound);
  if (next == nullptr || (!newRound && !group.search.checksAll)) return;
  if (newRound) {
    group.search.startedAt = context_.now();
    group.search.checksAll = context_.now() - group.search.allCheckedAt >= kSearchAllInterval;
    if (group.search.checksAll) group.search.allCheckedAt = context_.now();
  }
  const bool neverKnown = group.primaryReportedAt == kNever;
  start(*next, neverKnown ? HealthCheckReason::Initial : HealthCheckReason::PrimaryUnknown);
}

// Returns whether a check is in progress for which the search waits: one that was started in this round less
// than kSearchAnswerTimeout ago, or one of the last primary, however long ago it was started.
bool HealthCheckScheduler::searchAwaitsAnswer(const EndpointGroup& group) const {
  for (const EndpointId id : group.endpoints) {
    const EndpointState& endpoint = registry_.at(id);
    if (!endpoint.healthCheck.inProgress) continue;
    const Micros startedAt = endpoint.healthCheck.startedAt;
    const bool recent = context_.now() - startedAt < kSearchAnswerTimeout;
    if (recent && startedAt >= group.search.startedAt) return true;
    if (PrimaryTracker::wasLastPrimary(endpoint, group)) return true;
  }
  return false;
}

EndpointState* HealthCheckScheduler::nextInSearch(const EndpointGroup& group, bool newRound) const {
  const auto rank = [](const EndpointState& endpoint) {
    return std::pair(endpoint.freshness.position(), -endpoint.preference);
  };
  EndpointState* next = nullptr;
  for (const EndpointId id : group.endpoints) {
    EndpointState& endpoint = registry_.at(id);
    const bool checked = !newRound && endpoint.healthCheck.startedAt >= group.search.startedAt;
    if (!endpoint.listing.usable || endpoint.outlier.isEjected(context_.now())) continue;
    if (refusesNewWork(endpoint) || checked) continue;
    if (next == nullptr || rank(endpoint) > rank(*next)) next = &endpoint;
  }
  return next;
}

void HealthCheckScheduler::refreshPositions(EndpointGroup& group) {
  const PolicySettings& settings = context_.settings();
  if (!settings.healthChecksReportPosition || lagIsSufficient(settings)) return;
  const Micros refreshAge = shareOf(kRefreshAgeShare, context_.smallestStaleness());
  const Micros minInterval = shareOf(kMinCheckIntervalShare, refreshAge);
  double missing =
      group.positionedReads.valueAt(context_.now(), context_.smallestStaleness()) / kReadsPerReplica;
  std::vector<EndpointState*> due;
  for (const EndpointId id : group.endpoints) {
    EndpointState& endpoint = registry_.at(id);
    const bool unconfirmed = endpoint.listing.unconfirmed;
    if (PrimaryTracker::wasLastPrimary(endpoint, group) && !unconfirmed) continue;
    const bool recent = context_.now() - context_.processTimeOf(endpoint.freshness.position()) <= refreshAge;
    if (!unconfirmed && (endpoint.healthCheck.inProgress || recent)) {
      missing -= 1;
      continue;
    }
    if (isRefreshDue(endpoint, minInterval)) due.push_back(&endpoint);
  }
  std::sort(due.begin(), due.end(),
            [](const EndpointState* a, const EndpointState* b) { return a->preference < b->preference; });
  for (EndpointState* endpoint : due) {
    if (budget_ < 1 || (missing < 1 && !endpoint->listing.unconfirmed)) continue;
    if (!start(*endpoint, HealthCheckReason::PositionStale)) continue;
    budget_ -= 1;
    missing -= 1;
  }
}

// Returns whether a replica's position is due for a check. The further behind a replica is, the less a check
// helps, so the interval grows with its lag.
bool HealthCheckScheduler::isRefreshDue(const EndpointState& endpoint, Micros minInterval) const {
  const Micros interval = std::max(minInterval, shareOf(kMinCheckIntervalShare, endpoint.freshness.lag()));
  return context_.now() - endpoint.healthCheck.startedAt >= interval &&
         !endpoint.outlier.isEjected(context_.now());
}

}  // namespace heathflow::policy
