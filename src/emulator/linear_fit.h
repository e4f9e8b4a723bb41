// A straight line through measured points, and their distance from it.
#pragma once

#include <vector>

namespace heathflow::emulator {

struct Point {
  double size = 0;
  double value = 0;
};

struct LinearFit {
  double base = 0;      // at size 0
  double each = 0;      // for each further one
  double residual = 0;  // the farthest point's distance from the line, as a share of that point's value
};

// The line with the least sum of squared relative distances, so that small sizes count as much as large ones.
// Points without a value above 0 are left out; with fewer than two sizes there is only a base.
LinearFit fit(const std::vector<Point>& points);

}  // namespace heathflow::emulator
