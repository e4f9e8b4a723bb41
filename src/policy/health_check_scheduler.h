// Which endpoints get a health check, and when.
#pragma once

#include "policy/endpoint_registry.h"
#include "policy/primary_tracker.h"

namespace heathflow::policy {

// A position is checked again no sooner than after this share of the age that it may have.
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
  // It rejected a check of late since it takes nothing new: it is not checked at the pace of its rejections.
  bool refusesNewWork(const EndpointState& endpoint) const;

  // Looks for a group's primary: one endpoint after the other, the most advanced first, for it takes over
  // when the primary is lost. While nobody is the primary all are checked only from time to time.
  void findPrimary(EndpointGroup& group);
  // Keeps the positions of as many replicas known as the reads of late can use.
  void refreshPositions(EndpointGroup& group);
  // Each request earns a part of a check of refreshPositions().
  void observeArrival();

 private:
  EndpointState* nextInSearch(const EndpointGroup& group, bool newRound) const;
  bool searchAwaitsAnswer(const EndpointGroup& group) const;
  bool isRefreshDue(const EndpointState& endpoint, Micros minInterval) const;

  // Checks ahead of reads must not cost more than they save.
  static constexpr double kCreditPerRequest = 0.1;
  static constexpr double kMaxCredit = 20;

  PolicyContext& context_;
  EndpointRegistry& registry_;
  PrimaryTracker& primaries_;
  double credit_ = kMaxCredit;  // in checks
};

}  // namespace heathflow::policy
