// A straight line through measured points, and how far they lie from it.
#pragma once

#include <vector>

namespace heathflow::emulator {

struct Point {
  double size = 0;
  double value = 0;
};

struct LinearFit {
  double base = 0;      // at size 0
  double each = 0;      // more with each further one
  double residual = 0;  // the farthest point's distance from the line, as a share of that point's value
};

// The line with the least sum of squares of relative distances, so that small sizes count as much as large
// ones and a bend shows in the residual. Points without a value above 0 don't count; of less than two sizes
// there is a base alone.
LinearFit fit(const std::vector<Point>& points);

}  // namespace heathflow::emulator
