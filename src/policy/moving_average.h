// Sums and averages that weight recent samples more.
#pragma once

#include <algorithm>
#include <cmath>

#include "policy/policy_context.h"

namespace heathflow::policy {

// A sum whose amounts decay exponentially with their age.
class DecayingSum {
 public:
  // @param timeConstant  the age at which an added amount counts 1/e.
  double valueAt(Micros now, Micros timeConstant) const {
    if (updatedAt_ == kNever) return 0;
    return value_ * std::exp(-toDouble(now - updatedAt_) / toDouble(timeConstant));
  }
  void add(double amount, Micros now, Micros timeConstant) {
    value_ = valueAt(now, timeConstant) + amount;
    updatedAt_ = now;
  }
  // Returns when something was last added; kNever: never.
  Micros updatedAt() const { return updatedAt_; }

 private:
  double value_ = 0;
  Micros updatedAt_ = kNever;
};

// An exponentially weighted mean. The first samples count as in a plain mean.
class MovingAverage {
 public:
  MovingAverage() = default;
  MovingAverage(double value, double samples) : value_(value), samples_(samples) {}

  void add(double sample, double gain) { value_ += (sample - value_) * std::max(gain, 1 / ++samples_); }
  double value() const { return value_; }
  double samples() const { return samples_; }

 private:
  double value_ = 0;
  double samples_ = 0;
};

}  // namespace heathflow::policy
