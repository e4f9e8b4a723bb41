// The measurements of a scale run by part and size, as JSON, as tables, or as columns for a chart.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "emulator/linear_fit.h"

namespace heathflow::emulator {

// One quantity of a part, measured at the sizes of that part.
struct Series {
  std::string part;
  std::string name;  // ends with the unit, if it has one
  std::vector<Point> points;
  std::string key() const { return part + "." + name; }
};

// The conditions of a run.
struct RunNote {
  std::string name;
  std::string date;
  std::string machine;
};

class ScaleResults {
 public:
  void add(std::string_view part, std::string_view name, double size, double value);
  // Adds a quantity that is not measured by size.
  void fact(std::string_view part, std::string_view name, double value);

  const std::vector<Series>& series() const { return series_; }
  // Returns all values with their keys: "PART.SIZE.NAME"; "PART.NAME.base", ".each" and ".residual" of its
  // linear fit; and "PART.NAME" of quantities without sizes.
  std::vector<std::pair<std::string, double>> figures() const;

  // Returns JSON with one figure per line, so that line-based scripts can read it too.
  std::string json(const RunNote& note) const;
  // Returns Markdown: a table for each part, with the linear fit of each quantity.
  std::string table() const;
  // Returns a block of "size value" lines for each series, for gnuplot's 'index'.
  std::string columns() const;

 private:
  Series& find(std::string_view part, std::string_view name);

  std::vector<Series> series_;
  std::vector<std::pair<std::string, double>> facts_;
};

}  // namespace heathflow::emulator
