// A histogram of latencies with logarithmic buckets: quantiles are accurate to one percent, memory is
// bounded.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>

#include "transport/clock.h"

namespace heathflow::emulator {

class LatencyHistogram {
 public:
  void add(transport::Micros value) {
    buckets_(static_cast<double>(value < 1 ? 1 : value));
    ++count_;
  }
  std::uint64_t count() const { return count_; }
  // Returns the upper bound of the bucket that contains this quantile; 0 for an empty histogram.
  transport::Micros quantile(double share) const {
    if (count_ == 0) return 0;
    const double rank = share * static_cast<double>(count_);
    double seen = 0;
    for (auto&& bucket : boost::histogram::indexed(buckets_, boost::histogram::coverage::all)) {
      seen += static_cast<double>(*bucket);
      if (seen >= rank) return static_cast<transport::Micros>(std::min(bucket.bin().upper(), kMaxMicros));
    }
    return static_cast<transport::Micros>(kMaxMicros);
  }

 private:
  static constexpr double kMaxMicros = 1e8;  // 100 s
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(1, 1, 2))) buckets_ =
      boost::histogram::make_histogram(Axis(2000, 1, kMaxMicros));
  std::uint64_t count_ = 0;
};

}  // namespace heathflow::emulator
