// Adaptive throttling: sheds load when a group's replicas, or its primary, serve too few of the requests that
// they are offered. The counts decay per request, not over time, so they also work with little traffic.
#pragma once

#include "policy/pending_request.h"
#include "policy/policy_context.h"

namespace heathflow::policy {

// Moving counts of the requests that a group's replicas, or its primary, were offered and served. Served
// requests are weighted by their value. Shed requests count as offered.
class ServedShare {
 public:
  // Records the end of a request.
  // @param value  the value of its result, as a share of the full value.
  void observe(double value) {
    offered_ += 1 - offered_ * kGain;
    served_ += value - served_ * kGain;
  }
  // Returns whether to shed a request. The probability is
  // (1 - lateValueShare) * (offered - 1.5 * served) / (offered + 1): a request that keeps some value after
  // its objective may wait instead.
  bool shedsLoad(const PendingRequest& request, const RequestClassSettings& requestClass) const {
    const double excess = offered_ - kServedMultiple * served_;
    return request.admissionDraw * (offered_ + 1) < (1 - requestClass.lateValueShare) * excess;
  }

 private:
  static constexpr double kGain = 0.2;
  // Offered requests beyond this multiple of the served ones may be shed.
  static constexpr double kServedMultiple = 1.5;

  double offered_ = 0;
  double served_ = 0;
};

}  // namespace heathflow::policy
