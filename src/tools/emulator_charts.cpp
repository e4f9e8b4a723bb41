#include "tools/emulator_charts.h"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace heathflow::emulator {
namespace {

constexpr std::size_t kChartsInRow = 3;
constexpr std::size_t kChartHeight = 220;

// Runs a gnuplot script and deletes it. Returns false if gnuplot is missing or fails.
bool runGnuplot(const std::string& script) {
  std::string program = "gnuplot";
  std::string scriptPath = script;
  char* arguments[] = {program.data(), scriptPath.data(), nullptr};
  pid_t child = -1;
  int status = 0;
  if (::posix_spawnp(&child, "gnuplot", nullptr, nullptr, arguments, environ) != 0) return false;
  const bool succeeded =
      ::waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  std::error_code ignored;
  std::filesystem::remove(script, ignored);
  return succeeded;
}

}  // namespace

bool drawTimeline(const std::string& columns, const std::string& chart, const std::string& title) {
  const std::string script = columns + ".plot";
  std::ofstream(script)
      << "set terminal svg size 900,640 dynamic background rgb 'white'\nset output '" << chart
      << "'\nset multiplot layout 2,1 title '" << title
      << "'\nset grid\nset key left top\nset xlabel 'seconds'\nset ylabel 'requests per second'\n"
         "plot '"
      << columns
      << "' using 1:2 with lines lw 2 title 'served', '' using 1:3 with "
         "lines lw 2 title 'refused', '' using 1:4 with lines lw 2 title 'failed', '' using "
         "1:8 with steps title 'gateways up'\nset ylabel 'per second'\nset y2label 'p99, ms'\nset "
         "ytics nomirror\nset y2tics\nplot '"
      << columns
      << "' using 1:6 with lines lw 2 title 'connections at endpoints', '' using 1:7 with lines "
         "lw 2 title 'calls to the list service', '' using 1:5 axes x1y2 with lines title 'p99 (right "
         "axis)'\n";
  return runGnuplot(script);
}

bool drawScaleSeries(const ScaleResults& results, const std::string& base) {
  const std::string script = base + ".plot";
  std::ofstream plot(script);
  const std::size_t rows = (results.series().size() + kChartsInRow - 1) / kChartsInRow;
  plot << "set terminal svg size 1200," << rows * kChartHeight
       << " dynamic background rgb 'white'\nset output '" << base << ".svg'\nset multiplot layout " << rows
       << "," << kChartsInRow << "\nset grid\nset logscale xy\nunset key\n";
  std::size_t index = 0;
  for (const Series& series : results.series()) {
    const std::size_t number = index++;
    const bool drawable = std::any_of(series.points.begin(), series.points.end(),
                                      [](const Point& point) { return point.value > 0; });
    if (!drawable) continue;
    plot << "set title '" << series.key() << "' noenhanced\nplot '" << base << ".dat' index " << number
         << " using 1:2 with linespoints lw 2\n";
  }
  plot.close();
  return runGnuplot(script);
}

}  // namespace heathflow::emulator
