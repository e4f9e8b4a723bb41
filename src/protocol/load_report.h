// An endpoint's load report, as text: "inflight=7,util=0.61".
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace heathflow::protocol {

// A number with the weight of its last digit, which bounds its rounding error.
struct Decimal {
  std::int64_t micros = 0;  // millionths, truncated towards zero
  std::int64_t step = 0;    // millionths; 0 if finer
};
// Returns nothing if the text is not a decimal number or its integer part exceeds 10^12.
std::optional<Decimal> parseDecimal(std::string_view text);

// Returns the value of a field; nothing if the report has no such field.
std::optional<std::string_view> reportField(std::string_view report, std::string_view name);

}  // namespace heathflow::protocol
