// Fits a straight line to measured points.
#pragma once

#include <vector>

namespace heathflow::emulator {

struct Point {
  double size = 0;
  double value = 0;
};

struct LinearFit {
  double base = 0;      // the value at size 0
  double each = 0;      // the slope: growth of the value per unit of size
  double residual = 0;  // the largest relative distance of a point from the line
};

// Returns the line with the least sum of squared relative distances, so that small sizes count as much as
// large ones. Points whose value is not above 0 are ignored; with fewer than two sizes the slope is 0.
LinearFit fit(const std::vector<Point>& points);

}  // namespace heathflow::emulator
