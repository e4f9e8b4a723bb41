// The measurements of a scale run, by parts and sizes, as JSON, a table, or columns for a chart.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "emulator/linear_fit.h"

namespace heathflow::emulator {

// One quantity of a part, at the sizes of that part.
struct Series {
  std::string part;
  std::string name;  // it ends with its unit
  std::vector<Point> points;
  std::string key() const { return part + "." + name; }
};

// Under which conditions a run took place.
struct RunNote {
  std::string name;
  std::string date;
  std::string machine;
};

class ScaleResults {
 public:
  void add(std::string_view part, std::string_view name, double size, double value);
  // A quantity that has no sizes.
  void fact(std::string_view part, std::string_view name, double value);

  const std::vector<Series>& series() const { return series_; }
  // The value of "PART.SIZE.NAME", "PART.NAME" or "PART.NAME.base", ".each" and ".residual" of its slope.
  std::vector<std::pair<std::string, double>> figures() const;

  // A figure a line, so that scripts can read it as well.
  std::string json(const RunNote& note) const;
  // Markdown: a table for each part, with the slope of each quantity.
  std::string table() const;
  // Blocks of "size value", a series each, for gnuplot's 'index'.
  std::string columns() const;

 private:
  Series& find(std::string_view part, std::string_view name);

  std::vector<Series> series_;
  std::vector<std::pair<std::string, double>> facts_;
};

}  // namespace heathflow::emulator
