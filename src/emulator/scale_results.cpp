#include "emulator/scale_results.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace heathflow::emulator {
namespace {

// Smaller values are rounding errors and are written as 0.
constexpr double kRoundingError = 1e-9;

// Formats a value with five digits, and without an exponent for large values.
std::string toText(double value) {
  char out[64];
  if (std::abs(value) < kRoundingError) value = 0;
  std::snprintf(out, sizeof out, "%.5g", value);
  const double rounded = std::strtod(out, nullptr);
  std::snprintf(out, sizeof out, rounded >= 10'000 || rounded <= -10'000 ? "%.0f" : "%.5g", rounded);
  return out;
}

std::vector<double> sizesOf(const std::vector<Series>& series, const std::string& part) {
  std::set<double> out;
  for (const Series& one : series) {
    if (one.part != part) continue;
    for (const Point& point : one.points) out.insert(point.size);
  }
  return {out.begin(), out.end()};
}

std::string valueAt(const Series& series, double size) {
  const auto found = std::find_if(series.points.begin(), series.points.end(),
                                  [&](const Point& point) { return point.size == size; });
  return found == series.points.end() ? "" : toText(found->value);
}

}  // namespace

Series& ScaleResults::find(std::string_view part, std::string_view name) {
  const auto found = std::find_if(series_.begin(), series_.end(), [&](const Series& series) {
    return series.part == part && series.name == name;
  });
  if (found != series_.end()) return *found;
  return series_.emplace_back(Series{std::string(part), std::string(name), {}});
}

void ScaleResults::add(std::string_view part, std::string_view name, double size, double value) {
  find(part, name).points.push_back({size, value});
}

void ScaleResults::fact(std::string_view part, std::string_view name, double value) {
  facts_.emplace_back(std::string(part) + "." + std::string(name), value);
}

std::vector<std::pair<std::string, double>> ScaleResults::figures() const {
  std::vector<std::pair<std::string, double>> out;
  for (const Series& series : series_) {
    for (const Point& point : series.points)
      out.emplace_back(series.part + "." + toText(point.size) + "." + series.name, point.value);
    const LinearFit slope = fit(series.points);
    out.emplace_back(series.key() + ".base", slope.base);
    out.emplace_back(series.key() + ".each", slope.each);
    out.emplace_back(series.key() + ".residual", slope.residual);
  }
  out.insert(out.end(), facts_.begin(), facts_.end());
  return out;
}

std::string ScaleResults::json(const RunNote& note) const {
  nlohmann::ordered_json out;
  out["name"] = note.name;
  out["date"] = note.date;
  out["machine"] = note.machine;
  out["figures"] = nlohmann::ordered_json::object();
  for (const auto& [key, value] : figures()) out["figures"][key] = std::stod(toText(value));
  return out.dump(1);
}

std::string ScaleResults::table() const {
  std::vector<std::string> parts;
  for (const Series& series : series_) {
    if (std::find(parts.begin(), parts.end(), series.part) == parts.end()) parts.push_back(series.part);
  }
  std::ostringstream out;
  for (const std::string& part : parts) {
    const std::vector<double> sizes = sizesOf(series_, part);
    out << "| " << part << " |";
    for (const double size : sizes) out << " " << toText(size) << " |";
    out << " slope: base | each | residual |\n|---|";
    for (std::size_t i = 0; i < sizes.size() + 3; ++i) out << "---|";
    out << "\n";
    for (const Series& series : series_) {
      if (series.part != part) continue;
      out << "| `" << series.name << "` |";
      for (const double size : sizes) out << " " << valueAt(series, size) << " |";
      const LinearFit slope = fit(series.points);
      out << " " << toText(slope.base) << " | " << toText(slope.each) << " | " << toText(slope.residual)
          << " |\n";
    }
    out << "\n";
  }
  if (facts_.empty()) return out.str();
  out << "| | |\n|---|---|\n";
  for (const auto& [key, value] : facts_) out << "| `" << key << "` | " << toText(value) << " |\n";
  return out.str();
}

std::string ScaleResults::columns() const {
  std::ostringstream out;
  for (const Series& series : series_) {
    out << "# " << series.key() << "\n";
    for (const Point& point : series.points) out << toText(point.size) << ' ' << toText(point.value) << "\n";
    out << "\n\n";
  }
  return out.str();
}

}  // namespace heathflow::emulator
