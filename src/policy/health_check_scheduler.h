// Which endpoints get a health check, and when.
#pragma once

#include "policy/endpoint_registry.h"
#include "policy/primary_tracker.h"

namespace heathflow::policy {

// The least time between two checks of a position, as a share of the age that the position may have.
inline constexpr double kMinCheckIntervalShare = 0.5;
// How often a group's endpoints are tried while its primary is not known.
inline constexpr Micros kPrimarySearchInterval = 400 * kMillisecond;

class HealthCheckScheduler {
 public:
  HealthCheckScheduler(PolicyContext& context, EndpointRegistry& registry, PrimaryTracker& primaries)
      : context_(context), registry_(registry), primaries_(primaries) {}

  // @return whether a check was started.
  bool start(EndpointState& endpoint, HealthCheckReason reason);
  // Takes in the end of a check, but for what the endpoint reports.
  void observeEnd(EndpointState& endpoint, const HealthCheckEnded& event);
  // It rejected a check a moment ago since it takes nothing new; without a pause each rejection would lead to
  // the next check.
  bool refusesNewWork(const EndpointState& endpoint) const;

  // Looks for a group's primary: one endpoint after the other, the most advanced first, for it takes over
  // when the primary is lost. While nobody is the primary all are checked only from time to time.
  void findPrimary(EndpointGroup& group);
  // Keeps the positions of as many replicas known as the reads of late can use.
  void refreshPositions(EndpointGroup& group);
  // Each request adds to the budget of refreshPositions().
  void observeArrival();

 private:
  EndpointState* nextInSearch(const EndpointGroup& group, bool newRound) const;
  bool searchAwaitsAnswer(const EndpointGroup& group) const;
  bool isRefreshDue(const EndpointState& endpoint, Micros minInterval) const;

  // Checks ahead of reads must not cost more than they save.
  static constexpr double kBudgetPerRequest = 0.1;
  static constexpr double kMaxBudget = 20;

  PolicyContext& context_;
  EndpointRegistry& registry_;
  PrimaryTracker& primaries_;
  double budget_ = kMaxBudget;  // in checks
};

}  // namespace heathflow::policy
