// Draws charts of the emulator's results with gnuplot.
#pragma once

#include <string>

#include "emulator/scale_results.h"

namespace heathflow::emulator {

// Draws the timeline of a scenario run as SVG.
// @param columns  path of the file with the columns of the results.
// @param chart    path of the chart.
// @return false if gnuplot is missing or fails.
bool drawTimeline(const std::string& columns, const std::string& chart, const std::string& title);

// Draws each series of a scale run as SVG, on logarithmic axes.
// @param base  path of the chart and of the columns file, without their extensions.
// @return false if gnuplot is missing or fails.
bool drawScaleSeries(const ScaleResults& results, const std::string& base);

}  // namespace heathflow::emulator
