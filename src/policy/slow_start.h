// Slow start: an endpoint that was just started has a part of its capacity, and fails when all gateways
// together send it more than a multiple of that within the overload window.
#pragma once

#include "policy/endpoint_registry.h"
#include "policy/latency_estimator.h"

namespace heathflow::policy {

class SlowStart {
 public:
  SlowStart(PolicyContext& context, EndpointRegistry& registry, const LatencyEstimator& latency)
      : context_(context), registry_(registry), latency_(latency) {}

  // The least share of its capacity, from 0 to 1, that an endpoint has now: it grows evenly from its start.
  double capacityShare(const EndpointState& endpoint) const;
  // Whether an endpoint in slow start may get a request with so much work from this gateway now.
  bool admits(const EndpointState& endpoint, double work) const;

  void observeSent(EndpointState& endpoint, double work) const {
    endpoint.slowStart.sentWork.add(work, context_.now(), context_.overloadWindow());
  }
  // An endpoint answered.
  void observeAnswer(const EndpointState& endpoint, double work);

  enum class Response { Served, Slow, NotServed, Failed };
  // Adjusts this gateway's part of an endpoint in slow start: it grows while answers come in their time.
  // @param elapsed  in microseconds.
  // @param work     of the request, in usual requests.
  void adjust(EndpointState& endpoint, Response response, Micros elapsed, double work) const;

 private:
  Micros startOf(const EndpointState& endpoint) const;

  PolicyContext& context_;
  EndpointRegistry& registry_;
  const LatencyEstimator& latency_;
  // Work that an endpoint with its full capacity answers for this gateway in the overload window.
  MovingAverage fullCapacityWork_;
};

}  // namespace heathflow::policy
