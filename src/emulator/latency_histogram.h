// Times as a histogram of even steps in their logarithm: quantiles within one percent, in bounded memory.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>

#include "transport/clock.h"

namespace heathflow::emulator {

class LatencyHistogram {
 public:
  void add(transport::Micros value) {
    steps_(static_cast<double>(value < 1 ? 1 : value));
    ++count_;
  }
  std::uint64_t count() const { return count_; }
  // The upper end of the step that holds this share of all; 0 where there are none.
  transport::Micros quantile(double share) const {
    if (count_ == 0) return 0;
    const double wanted = share * static_cast<double>(count_);
    double seen = 0;
    for (auto&& step : boost::histogram::indexed(steps_, boost::histogram::coverage::all)) {
      seen += static_cast<double>(*step);
      if (seen >= wanted) return static_cast<transport::Micros>(std::min(step.bin().upper(), kMost));
    }
    return static_cast<transport::Micros>(kMost);
  }

 private:
  static constexpr double kMost = 1e8;  // 100 s
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(1, 1, 2))) steps_ =
      boost::histogram::make_histogram(Axis(2000, 1, kMost));
  std::uint64_t count_ = 0;
};

}  // namespace heathflow::emulator
