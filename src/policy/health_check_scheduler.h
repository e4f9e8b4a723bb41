// Decides which endpoints get a health check, and when.
#pragma once

#include "policy/endpoint_registry.h"
#include "policy/primary_tracker.h"

namespace heathflow::policy {

// Minimum time between two checks of a position, as a share of the maximum age of the position.
inline constexpr double kMinCheckIntervalShare = 0.5;
// Time between two rounds of the search for a group's primary.
inline constexpr Micros kPrimarySearchInterval = 400 * kMillisecond;

class HealthCheckScheduler {
 public:
  HealthCheckScheduler(PolicyContext& context, EndpointRegistry& registry, PrimaryTracker& primaries)
      : context_(context), registry_(registry), primaries_(primaries) {}

  // Starts a health check, unless checks are not allowed, one is in progress, or the endpoint is not usable
  // or refuses new work. Returns whether a check was started.
  bool start(EndpointState& endpoint, HealthCheckReason reason);
  // Records the end of a check, without the endpoint's load report.
  void observeEnd(EndpointState& endpoint, const HealthCheckEnded& event);
  // Returns whether the endpoint has just rejected a check because it takes no new work. Such an
  // endpoint is not checked for a short time; otherwise each rejection would lead to the next check.
  bool refusesNewWork(const EndpointState& endpoint) const;

  // Starts the next health check of the search for a group's primary. Endpoints are checked one after the
  // other, the most advanced first, because it takes over when the primary is lost. At most one round in four
  // checks all endpoints; the others check only the first.
  void findPrimary(EndpointGroup& group);
  // Keeps the positions of as many replicas up to date as the recent rate of reads needs.
  void refreshPositions(EndpointGroup& group);
  // Adds to the budget of refreshPositions() for each request.
  void observeArrival();

 private:
  EndpointState* nextInSearch(const EndpointGroup& group, bool newRound) const;
  bool searchAwaitsAnswer(const EndpointGroup& group) const;
  bool isRefreshDue(const EndpointState& endpoint, Micros minInterval) const;

  // Bounds the checks that are made ahead of reads, which must not cost more than they save.
  static constexpr double kBudgetPerRequest = 0.1;
  static constexpr double kMaxBudget = 20;

  PolicyContext& context_;
  EndpointRegistry& registry_;
  PrimaryTracker& primaries_;
  double budget_ = kMaxBudget;  // in checks
};

}  // namespace heathflow::policy
