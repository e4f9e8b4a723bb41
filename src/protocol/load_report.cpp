#include "protocol/load_report.h"

#include <algorithm>

namespace heathflow::protocol {

std::optional<Decimal> parseDecimal(std::string_view text) {
  const bool negative = !text.empty() && text[0] == '-';
  if (negative) text.remove_prefix(1);
  constexpr std::int64_t kMaxWhole = 1'000'000'000'000;  // whole units; far beyond any time in seconds
  std::int64_t whole = 0;
  std::int64_t fraction = 0;
  std::int64_t step = 1'000'000;
  bool point = false;
  bool digits = false;
  for (const char c : text) {
    if (c == '.' && !point) {
      point = true;
    } else if (c < '0' || c > '9') {
      return std::nullopt;
    } else if (!point) {
      whole = whole * 10 + (c - '0');
      if (whole > kMaxWhole) return std::nullopt;
      digits = true;
    } else {
      step /= 10;
      fraction += step * (c - '0');
      digits = true;
    }
  }
  if (!digits) return std::nullopt;
  const std::int64_t value = whole * 1'000'000 + fraction;
  return Decimal{negative ? -value : value, step};
}

std::optional<std::string_view> reportField(std::string_view report, std::string_view name) {
  while (!report.empty()) {
    const std::size_t comma = report.find(',');
    const std::string_view item = report.substr(0, comma);
    report = comma == std::string_view::npos ? std::string_view() : report.substr(comma + 1);
    const std::size_t equals = item.find('=');
    if (equals != std::string_view::npos && item.substr(0, equals) == name) return item.substr(equals + 1);
  }
  return std::nullopt;
}

}  // namespace heathflow::protocol
