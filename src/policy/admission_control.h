// Sheds load of a group that serves too little of what it gets. The record counts requests, not time, so that
// it tells a gateway with little traffic as much as a busy one.
#pragma once

#include "policy/pending_request.h"
#include "policy/policy_context.h"

namespace heathflow::policy {

// What a group's replicas, or its primary, lately served in time, of what they were sent.
class ServedShare {
 public:
  // @param value  of the end of a request, as a share of its full value.
  void observe(double value) {
    offered_ += 1 - offered_ * kGain;
    served_ += value - served_ * kGain;
  }
  // Whether a request is one too many. What keeps a value after its objective may wait instead.
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
