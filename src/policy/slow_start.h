// Slow start: an endpoint that has just started has only a part of its capacity, and fails if all gateways
// together send it more than a multiple of that within the overload window.
#pragma once

#include "policy/endpoint_registry.h"
#include "policy/latency_estimator.h"

namespace heathflow::policy {

class SlowStart {
 public:
  SlowStart(PolicyContext& context, EndpointRegistry& registry, const LatencyEstimator& latency)
      : context_(context), registry_(registry), latency_(latency) {}

  // Returns the least share of its capacity, from 0 to 1, that an endpoint has now. It grows linearly from
  // the endpoint's start.
  double capacityShare(const EndpointState& endpoint) const;
  // Returns whether an endpoint may get a request with this work from this gateway now. Always true after
  // slow start.
  bool admits(const EndpointState& endpoint, double work) const;

  void observeSent(EndpointState& endpoint, double work) const {
    endpoint.slowStart.sentWork.add(work, context_.now(), context_.overloadWindow());
  }
  // Records an answer, if the endpoint has its full capacity.
  void observeAnswer(const EndpointState& endpoint, double work);

  enum class Response { Served, Slow, NotServed, Failed };
  // Adjusts this gateway's share of an endpoint in slow start: it grows while answers are in time.
  // @param work  of the request, in average requests.
  void adjust(EndpointState& endpoint, Response response, Micros elapsed, double work) const;

 private:
  Micros startOf(const EndpointState& endpoint) const;

  PolicyContext& context_;
  EndpointRegistry& registry_;
  const LatencyEstimator& latency_;
  // Work that an endpoint with its full capacity answers for this gateway within the overload window.
  MovingAverage fullCapacityWork_;
};

}  // namespace heathflow::policy
