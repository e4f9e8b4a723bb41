// Adaptive throttling: sheds load of a group's replicas, or of its primary, that serve too little of what
// they are offered. The record counts requests, not time, so it works for a gateway with little traffic too.
#pragma once

#include "policy/pending_request.h"
#include "policy/policy_context.h"

namespace heathflow::policy {

// What a group's replicas, or its primary, lately served, weighed by value, of what they were offered. Shed
// requests count as offered.
class ServedShare {
 public:
  // @param value  of the end of a request, as a share of its full value.
  void observe(double value) {
    offered_ += 1 - offered_ * kGain;
    served_ += value - served_ * kGain;
  }
  // Sheds with the probability (1 - late value) * (offered - 1.5 * served) / (offered + 1): a request that
  // keeps a value after its objective may wait instead.
  bool shedsLoad(const PendingRequest& request, const RequestClassSettings& requestClass) const {
    const double excess = offered_ - kServedMultiple * served_;
    return request.admissionDraw * (offered_ + 1) < (1 - requestClass.lateValueShare) * excess;
  }

 private:
  static constexpr double kGain = 0.2;
  // Requests beyond this multiple of what is served in time are rejected.
  static constexpr double kServedMultiple = 1.5;

  double offered_ = 0;
  double served_ = 0;
};

}  // namespace heathflow::policy
