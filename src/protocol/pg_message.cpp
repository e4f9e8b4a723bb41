#include "protocol/pg_message.h"

#include <array>

namespace heathflow::protocol {
namespace {

std::uint32_t byteAt(std::string_view bytes, std::size_t at) { return static_cast<unsigned char>(bytes[at]); }

std::array<char, kHeaderSize> headerOf(char type, std::size_t bodySize) {
  const auto length = static_cast<std::uint32_t>(bodySize + kLengthSize);
  return {type, static_cast<char>(length >> 24), static_cast<char>(length >> 16),
          static_cast<char>(length >> 8), static_cast<char>(length)};
}

std::string_view asView(const std::array<char, kHeaderSize>& header) {
  return {header.data(), header.size()};
}

void addField(std::string& body, char type, std::string_view text) {
  body += type;
  body += text;
  body += '\0';
}

}  // namespace

std::uint32_t readU32(std::string_view bytes, std::size_t at) {
  return byteAt(bytes, at) << 24 | byteAt(bytes, at + 1) << 16 | byteAt(bytes, at + 2) << 8 |
         byteAt(bytes, at + 3);
}

std::uint16_t readU16(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(byteAt(bytes, at) << 8 | byteAt(bytes, at + 1));
}

Frame readFrame(std::string_view bytes, std::size_t limit) {
  if (bytes.size() < kHeaderSize) return {};
  const std::size_t length = readU32(bytes, 1);
  if (length < kLengthSize || length + 1 > limit) return {Frame::Kind::Malformed, bytes[0], 0, {}};
  if (bytes.size() < length + 1) return {Frame::Kind::Partial, bytes[0], length + 1, {}};
  return {Frame::Kind::Complete, bytes[0], length + 1, bytes.substr(kHeaderSize, length - kLengthSize)};
}

std::optional<std::string_view> readCString(std::string_view& bytes) {
  const std::size_t end = bytes.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view text = bytes.substr(0, end);
  bytes.remove_prefix(end + 1);
  return text;
}

ErrorFields parseErrorFields(std::string_view body) {
  ErrorFields out;
  while (!body.empty() && body[0] != '\0') {
    const char type = body[0];
    body.remove_prefix(1);
    const auto text = readCString(body);
    if (!text) break;
    // V is the untranslated form of S and takes precedence in any order.
    if (type == 'V' || (type == 'S' && out.severity.empty())) out.severity = *text;
    if (type == 'C') out.code = *text;
  }
  return out;
}

bool writeMessage(Buffer& out, char type, std::string_view body) {
  return out.append(asView(headerOf(type, body.size()))) && out.append(body);
}

bool writeError(Buffer& out, bool fatal, std::string_view code, std::string_view message,
                std::string_view detail) {
  std::string body;
  const std::string_view severity = fatal ? "FATAL" : "ERROR";
  addField(body, 'S', severity);
  addField(body, 'V', severity);
  addField(body, 'C', code);
  addField(body, 'M', message);
  if (!detail.empty()) addField(body, 'D', detail);
  body += '\0';
  return writeMessage(out, 'E', body);
}

bool writeReady(Buffer& out) { return writeMessage(out, 'Z', "I"); }

bool writeQuery(Buffer& out, std::string_view before, std::string_view middle, std::string_view after) {
  const std::size_t size = before.size() + middle.size() + after.size() + 1;
  return out.append(asView(headerOf('Q', size))) && out.append(before) && out.append(middle) &&
         out.append(after) && out.append(std::string_view("\0", 1));
}

}  // namespace heathflow::protocol
