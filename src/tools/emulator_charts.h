// Charts of the emulator's results, drawn by gnuplot.
#pragma once

#include <string>

#include "emulator/scale_results.h"

namespace heathflow::emulator {

// Draws the timeline of a play as SVG.
// @param columns  file with the results' columns.
// @return false without gnuplot.
bool drawTimeline(const std::string& columns, const std::string& chart, const std::string& title);

// Draws each series of a scale run on logarithmic scales as SVG.
// @param base  path of the chart and of the columns file, without their extensions.
// @return false without gnuplot.
bool drawScaleSeries(const ScaleResults& results, const std::string& base);

}  // namespace heathflow::emulator
