#include "protocol/request_comment.h"

#include <array>
#include <charconv>

namespace heathflow::protocol {
namespace {

struct Pieces {
  std::string_view comment;  // the last one, without its marks
  std::string_view key;
};

// Walks through quoted texts, so that a value with comment marks in it is no comment. False: unbalanced.
bool dissect(std::string_view statement, Pieces& out) {
  bool keyed = false;
  std::size_t at = 0;
  while ((at = statement.find_first_of("'/", at)) != std::string_view::npos) {
    if (statement[at] == '\'') {
      const std::size_t end = statement.find('\'', at + 1);
      if (end == std::string_view::npos) return false;
      // A doubled quote ends one text and begins the next, which changes nothing here.
      if (!keyed) out.key = statement.substr(at + 1, end - at - 1);
      keyed = true;
      at = end + 1;
    } else if (statement.substr(at, 2) == "/*") {
      const std::size_t end = statement.find("*/", at + 2);
      if (end == std::string_view::npos) return false;
      out.comment = statement.substr(at + 2, end - at - 2);
      at = end + 2;
    } else {
      ++at;
    }
  }
  return true;
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
  out.key = pieces.key;
  enum Name { kId, kClass, kPatience, kGroup, kAfter, kRepeat };
  constexpr std::array<std::string_view, 6> kNames = {"id", "c", "d", "cluster", "after", "r"};
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
        case kPatience:
          good = readNumber(value, out.patienceMs);
          out.patience = {static_cast<std::size_t>(value.data() - statement.data()), value.size()};
          break;
        case kGroup:
          good = readNumber(value, out.group);
          break;
        case kAfter:
          good = readNumber(value, out.afterMs);
          break;
        case kRepeat:
          out.repeat = value == "1";
          break;
      }
      if (!good) return std::nullopt;
    }
  }
  return out;
}

}  // namespace heathflow::protocol
