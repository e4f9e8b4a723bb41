// How long requests take: by class, by endpoint, and at endpoints with their full capacity. Work is counted
// in usual requests, those of the mean latency.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/moving_average.h"
#include "policy/policy_context.h"

namespace heathflow::policy {

// Work of so many usual requests makes a request a heavy one.
inline constexpr double kHeavyWork = 2;

// How much slower one endpoint is than the rest, as a factor that returns to 1 without answers.
class RelativeLatency {
 public:
  double valueAt(Micros now) const;
  // @param ratio  of an answer's latency to what is usual for its class.
  void observe(Micros now, double ratio);
  // An error counts as the slowest answer, so that an endpoint that fails fast draws no traffic.
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

  // Latency of a class in microseconds; 0: not known.
  double latencyOf(std::size_t classIndex) const { return latencies_[classIndex].value(); }
  // The same, bounded by a share of the class's objective: latencies that were learned under overload must
  // not make the policy reject all that waits.
  double boundedLatencyOf(std::size_t classIndex) const;
  // Mean latency in microseconds that endpoints with their full capacity would have had.
  double fullCapacityLatency() const { return fullCapacityLatency_.value(); }
  double workOf(std::size_t classIndex) const;
  // Reads that may stop a replica from applying the log while they run.
  bool isLongRead(std::size_t classIndex) const;
  // The share of long reads in the work of replicas.
  double longReadShare() const;

 private:
  const PolicyContext& context_;
  std::vector<MovingAverage> latencies_;  // by class
  std::vector<double> arrivals_;          // by class, recent ones count more
  MovingAverage objectives_;              // of what arrives
  MovingAverage latency_;                 // of all answers
  MovingAverage fullCapacityLatency_;
};

}  // namespace heathflow::policy
