#include "emulator/linear_fit.h"

#include <algorithm>
#include <cmath>

namespace heathflow::emulator {

LinearFit fit(const std::vector<Point>& points) {
  double weights = 0, sizes = 0, values = 0, squares = 0, products = 0;
  for (const Point& point : points) {
    if (point.value <= 0) continue;
    const double weight = 1 / (point.value * point.value);
    weights += weight;
    sizes += weight * point.size;
    values += weight * point.value;
    squares += weight * point.size * point.size;
    products += weight * point.size * point.value;
  }
  LinearFit out;
  if (weights <= 0) return out;
  const double spread = weights * squares - sizes * sizes;
  if (spread > 1e-9 * weights * squares) out.each = (weights * products - sizes * values) / spread;
  out.base = (values - out.each * sizes) / weights;
  for (const Point& point : points) {
    if (point.value <= 0) continue;
    const double distance = std::abs(out.base + out.each * point.size - point.value) / point.value;
    out.residual = std::max(out.residual, distance);
  }
  return out;
}

}  // namespace heathflow::emulator
