// An endpoint's report on itself, as text: "inflight=7,util=0.61".
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace heathflow::protocol {

// A number with the step of its last digit, so that its reader knows how far rounding may have moved it.
struct Decimal {
  std::int64_t micros = 0;  // millionths, cut off towards zero
  std::int64_t step = 0;    // millionths; 0 where it is finer than that
};
std::optional<Decimal> parseDecimal(std::string_view text);

// The text behind a name; nothing when the report has no such field.
std::optional<std::string_view> reportField(std::string_view report, std::string_view name);

}  // namespace heathflow::protocol
