#include "protocol/request_comment.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace heathflow::protocol {
namespace {

constexpr std::string_view kReadPrefix = "SELECT blob FROM rows WHERE handle = '";
constexpr std::string_view kWritePrefix = "INSERT INTO rows (handle, blob) VALUES ('";
constexpr std::string_view kValuePrefix = "', '\\x";
constexpr std::string_view kWriteSuffix = "') RETURNING blob";

struct ParsedStatement {
  std::string_view comment;  // without its delimiters
  std::string_view handle;
  bool write = false;
};

// Removes a prefix; returns false if the text does not begin with it.
bool consumePrefix(std::string_view& rest, std::string_view text) {
  if (!rest.starts_with(text)) return false;
  rest.remove_prefix(text.size());
  return true;
}

bool hexDigit(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

// Accepts only the two forms of statements that endpoints can answer, with nothing after them.
bool parseStatement(std::string_view rest, ParsedStatement& out) {
  out.write = consumePrefix(rest, kWritePrefix);
  if (!out.write && !consumePrefix(rest, kReadPrefix)) return false;
  // A doubled quote is an escaped quote within the text.
  std::size_t quote = rest.find('\'');
  while (quote != std::string_view::npos && rest.substr(quote, 2) == "''") quote = rest.find('\'', quote + 2);
  if (quote == std::string_view::npos) return false;
  out.handle = rest.substr(0, quote);
  rest.remove_prefix(quote);
  if (out.write) {
    if (!consumePrefix(rest, kValuePrefix)) return false;
    const std::size_t end = rest.find('\'');
    if (end == std::string_view::npos || end % 2 != 0) return false;
    if (!std::all_of(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(end), hexDigit)) return false;
    rest.remove_prefix(end);
    if (!consumePrefix(rest, kWriteSuffix)) return false;
  } else {
    rest.remove_prefix(1);
  }
  if (!consumePrefix(rest, " /*")) return false;
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
  ParsedStatement parsed;
  if (!parseStatement(statement, parsed)) return std::nullopt;
  RequestComment out;
  out.handle = parsed.handle;
  out.write = parsed.write;
  enum Name { kId, kClass, kTimeout, kGroup, kAfter, kRepeat, kKey };
  constexpr std::array<std::string_view, 7> kNames = {"id", "c", "d", "cluster", "after", "r", "k"};
  std::array<bool, kNames.size()> seen{};
  std::string_view rest = parsed.comment;
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
      bool valid = true;
      switch (static_cast<Name>(i)) {
        case kId:
          out.id = value;
          break;
        case kClass:
          out.className = value;
          break;
        case kTimeout:
          valid = readNumber(value, out.timeoutMs);
          out.timeout = {static_cast<std::size_t>(value.data() - statement.data()), value.size()};
          break;
        case kGroup:
          valid = readNumber(value, out.group);
          break;
        case kAfter:
          valid = readNumber(value, out.afterMs);
          break;
        case kRepeat:
          out.isClientRetry = value == "1";
          break;
        case kKey:
          out.keyed = true;
          break;
      }
      if (!valid) return std::nullopt;
    }
  }
  return out;
}

}  // namespace heathflow::protocol
