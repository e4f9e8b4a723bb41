// Encoder and parser for PostgreSQL protocol messages in tests, written independently of the code under test.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathflow::test::pg {

inline std::string u16(unsigned value) { return {static_cast<char>(value >> 8), static_cast<char>(value)}; }
inline std::string u32(std::uint32_t value) {
  return {static_cast<char>(value >> 24), static_cast<char>(value >> 16), static_cast<char>(value >> 8),
          static_cast<char>(value)};
}
inline std::string text(std::string_view value) { return std::string(value) + '\0'; }
inline std::string message(char type, const std::string& body) {
  return type + u32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

// Messages from a client.
inline std::string startup(std::uint32_t version = 196608) {
  const std::string body =
      u32(version) + text("user") + text("api") + text("database") + text("ledger") + '\0';
  return u32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string special(std::uint32_t code) { return u32(8) + u32(code); }
inline std::string query(std::string_view statement) { return message('Q', text(statement)); }

// Messages from an endpoint.
inline std::string parameter(std::string_view name, std::string_view value) {
  return message('S', text(name) + text(value));
}
inline std::string ready() { return message('Z', "I"); }
inline std::string emptyQueryReply() { return message('I', "") + ready(); }
inline std::string welcome() { return message('R', u32(0)) + parameter("server_version", "15.0") + ready(); }
inline std::string rowDescription() {
  return message('T',
                 u16(1) + text("blob") + u32(0) + u16(0) + u32(17) + u16(0xFFFF) + u32(0xFFFFFFFF) + u16(1));
}
inline std::string dataRow(std::string_view value) {
  return message('D', u16(1) + u32(static_cast<std::uint32_t>(value.size())) + std::string(value));
}
inline std::string complete(std::string_view tag = "SELECT 1") { return message('C', text(tag)); }
inline std::string row(std::string_view value) { return rowDescription() + dataRow(value) + complete(); }
inline std::string error(std::string_view code, std::string_view severity = "ERROR",
                         std::string_view detail = "") {
  std::string body =
      "S" + text(severity) + "V" + text(severity) + "C" + text(code) + "M" + text("for a test");
  if (!detail.empty()) body += "D" + text(detail);
  return message('E', body + '\0');
}

struct Message {
  char type;
  std::string body;
};
// Removes complete messages from the front of 'bytes' and returns them.
inline std::vector<Message> cut(std::string& bytes) {
  std::vector<Message> out;
  while (bytes.size() >= 5) {
    const auto at = [&](std::size_t i) {
      return static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i]));
    };
    const std::size_t length = at(1) << 24 | at(2) << 16 | at(3) << 8 | at(4);
    if (bytes.size() < length + 1) break;
    out.push_back({bytes[0], bytes.substr(5, length - 4)});
    bytes.erase(0, length + 1);
  }
  return out;
}
// Returns a field of an error message's body by its type byte; empty if there is none.
inline std::string field(const std::string& body, char type) {
  std::size_t at = 0;
  while (at < body.size() && body[at] != '\0') {
    const std::size_t end = body.find('\0', at);
    if (body[at] == type) return body.substr(at + 1, end - at - 1);
    at = end + 1;
  }
  return "";
}

}  // namespace heathflow::test::pg
