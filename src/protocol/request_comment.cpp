#include "protocol/request_comment.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace heathflow::protocol {
namespace {

constexpr std::string_view kRead = "SELECT blob FROM rows WHERE handle = '";
constexpr std::string_view kWrite = "INSERT INTO rows (handle, blob) VALUES ('";
constexpr std::string_view kValue = "', '\\x";
constexpr std::string_view kReturning = "') RETURNING blob";

struct Pieces {
  std::string_view comment;  // without its marks
  std::string_view handle;
  bool write = false;
};

// Takes a text off the front.
bool take(std::string_view& rest, std::string_view text) {
  if (!rest.starts_with(text)) return false;
  rest.remove_prefix(text.size());
  return true;
}

bool hexDigit(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

// Guards endpoints, which have no answer for any other statement: 'rest' is one of the two forms and no more.
bool dissect(std::string_view rest, Pieces& out) {
  out.write = take(rest, kWrite);
  if (!out.write && !take(rest, kRead)) return false;
  // A doubled quote stands for one within the text.
  std::size_t quote = rest.find('\'');
  while (quote != std::string_view::npos && rest.substr(quote, 2) == "''") quote = rest.find('\'', quote + 2);
  if (quote == std::string_view::npos) return false;
  out.handle = rest.substr(0, quote);
  rest.remove_prefix(quote);
  if (out.write) {
    if (!take(rest, kValue)) return false;
    const std::size_t end = rest.find('\'');
    if (end == std::string_view::npos || end % 2 != 0) return false;
    if (!std::all_of(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(end), hexDigit)) return false;
    rest.remove_prefix(end);
    if (!take(rest, kReturning)) return false;
  } else {
    rest.remove_prefix(1);
  }
  if (!take(rest, " /*")) return false;
  const std::size_t end = rest.find("*/");
  out.comment = rest.substr(0, end);
  return end != std::string_view::npos && end + 2 == rest.size();
}

std::string_view trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

template <typename T>
bool readNumber(std::string_view text, std::optional<T>& out) {
  T value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || text.front() == '-') return false;
  out = value;
  return true;
}

}  // namespace

std::optional<RequestComment> parseRequestComment(std::string_view statement) {
  Pieces pieces;
  if (!dissect(statement, pieces)) return std::nullopt;
  RequestComment out;
  out.handle = pieces.handle;
  out.write = pieces.write;
  enum Name { kId, kClass, kTimeout, kGroup, kAfter, kRepeat, kKey };
  constexpr std::array<std::string_view, 7> kNames = {"id", "c", "d", "cluster", "after", "r", "k"};
  std::array<bool, kNames.size()> seen{};
  std::string_view rest = pieces.comment;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    const std::string_view item = rest.substr(0, comma);
    rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = trim(item.substr(0, equals));
    const std::string_view value = trim(item.substr(equals + 1));
    for (std::size_t i = 0; i < kNames.size(); ++i) {
      if (name != kNames[i]) continue;
      if (seen[i] || value.empty()) return std::nullopt;
      seen[i] = true;
      bool good = true;
      switch (static_cast<Name>(i)) {
        case kId:
          out.id = value;
          break;
        case kClass:
          out.className = value;
          break;
        case kTimeout:
          good = readNumber(value, out.timeoutMs);
          out.timeout = {static_cast<std::size_t>(value.data() - statement.data()), value.size()};
          break;
        case kGroup:
          good = readNumber(value, out.group);
          break;
        case kAfter:
          good = readNumber(value, out.afterMs);
          break;
        case kRepeat:
          out.isClientRetry = value == "1";
          break;
        case kKey:
          out.keyed = true;
          break;
      }
      if (!good) return std::nullopt;
    }
  }
  return out;
}

}  // namespace heathflow::protocol
