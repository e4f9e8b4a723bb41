// Estimates latencies by class, by endpoint, and at endpoints with their full capacity. Work is measured in
// average requests: a request with the mean latency has work 1.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/moving_average.h"
#include "policy/policy_context.h"

namespace heathflow::policy {

// A request with more work than this, in average requests, is heavy.
inline constexpr double kHeavyWork = 2;

// How much slower one endpoint is than the others, as a factor that returns to 1 over time without answers.
class RelativeLatency {
 public:
  double valueAt(Micros now) const;
  // @param ratio  of an answer's latency to the average of its class.
  void observe(Micros now, double ratio);
  // Counts an error as the slowest answer, so that an endpoint that fails fast attracts no traffic.
  void observeError(Micros now);
  void reset() { value_ = 1; }

 private:
  double value_ = 1;
  Micros updatedAt_ = kNever;
};

class LatencyEstimator {
 public:
  explicit LatencyEstimator(const PolicyContext& context);

  void observeArrival(std::size_t classIndex);
  // @param capacityShare  of the endpoint that answered, see SlowStart.
  void observeAnswer(std::size_t classIndex, Micros elapsed, double capacityShare);

  // Returns the average latency of a class in microseconds; 0: not known.
  double latencyOf(std::size_t classIndex) const { return latencies_[classIndex].value(); }
  // Returns the same, bounded by a share of the class's objective: latencies that were measured under
  // overload must not make the policy reject all queued requests.
  double boundedLatencyOf(std::size_t classIndex) const;
  // Returns the mean latency, in microseconds, scaled to endpoints with their full capacity.
  double fullCapacityLatency() const { return fullCapacityLatency_.value(); }
  double workOf(std::size_t classIndex) const;
  // Returns whether requests of a class are long reads, which may stop a replica from applying the log while
  // they run.
  bool isLongRead(std::size_t classIndex) const;
  // Returns the share of long reads in the work of replicas.
  double longReadShare() const;

 private:
  const PolicyContext& context_;
  std::vector<MovingAverage> latencies_;  // by class
  std::vector<double> arrivals_;          // by class; recent ones count more
  MovingAverage objectives_;              // latency objectives of arriving requests
  MovingAverage latency_;                 // of all answers
  MovingAverage fullCapacityLatency_;
};

}  // namespace heathflow::policy
