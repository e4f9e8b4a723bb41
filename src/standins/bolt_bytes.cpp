#include "standins/bolt_bytes.h"

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace heathflow::test::bolt {
namespace {

std::string big(std::uint64_t value, unsigned size) {
  std::string out;
  for (unsigned i = size; i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i)));
  return out;
}

std::string sized(std::size_t size, unsigned tiny, unsigned marker) {
  if (size < 16) return big(tiny + size, 1);
  if (size < 256) return big(marker, 1) + big(size, 1);
  if (size < 65536) return big(marker + 1, 1) + big(size, 2);
  return big(marker + 2, 1) + big(size, 4);
}

// Decodes PackStream values one by one. Throws std::runtime_error on invalid or truncated input.
class Decoder {
 public:
  explicit Decoder(std::string_view bytes) : bytes_(bytes) {}
  bool done() const { return at_ == bytes_.size(); }

  Value value(int depth = 0) {
    if (depth > 64) throw std::runtime_error("PackStream: a value is nested more than 64 levels deep");
    Value out;
    const unsigned marker = static_cast<unsigned>(number(1));
    const unsigned low = marker & 15;
    if (marker < 0x80) return whole(marker);
    if (marker >= 0xF0) return whole(static_cast<std::int64_t>(marker) - 256);
    if (marker < 0x90) return words(Value::Kind::Text, low);
    if (marker < 0xA0) return parts(Value::Kind::List, low, depth);
    if (marker < 0xB0) return parts(Value::Kind::Map, 2 * low, depth);
    if (marker < 0xC0) {
      const auto tag = static_cast<unsigned char>(number(1));
      out = parts(Value::Kind::Structure, low, depth);
      out.tag = tag;
      return out;
    }
    switch (marker) {
      case 0xC0:
        return out;
      case 0xC1:
        out.kind = Value::Kind::Float;
        out.integer = static_cast<std::int64_t>(number(8));
        return out;
      case 0xC2:
      case 0xC3:
        out.kind = Value::Kind::Boolean;
        out.integer = marker & 1;
        return out;
      case 0xC8:
        return whole(static_cast<std::int8_t>(number(1)));
      case 0xC9:
        return whole(static_cast<std::int16_t>(number(2)));
      case 0xCA:
        return whole(static_cast<std::int32_t>(number(4)));
      case 0xCB:
        return whole(static_cast<std::int64_t>(number(8)));
      case 0xCC:
      case 0xCD:
      case 0xCE:
        return words(Value::Kind::Bytes, number(1U << (marker - 0xCC)));
      case 0xD0:
      case 0xD1:
      case 0xD2:
        return words(Value::Kind::Text, number(1U << (marker - 0xD0)));
      case 0xD4:
      case 0xD5:
      case 0xD6:
        return parts(Value::Kind::List, number(1U << (marker - 0xD4)), depth);
      case 0xD8:
      case 0xD9:
      case 0xDA:
        return parts(Value::Kind::Map, 2 * number(1U << (marker - 0xD8)), depth);
      default:
        throw std::runtime_error("PackStream: unknown marker " + std::to_string(marker));
    }
  }

 private:
  std::uint64_t number(unsigned size) {
    if (bytes_.size() - at_ < size) throw std::runtime_error("PackStream: a value is truncated");
    std::uint64_t out = 0;
    for (unsigned i = 0; i < size; ++i) out = out << 8 | static_cast<unsigned char>(bytes_[at_++]);
    return out;
  }
  static Value whole(std::int64_t integer) {
    Value out;
    out.kind = Value::Kind::Integer;
    out.integer = integer;
    return out;
  }
  Value words(Value::Kind kind, std::uint64_t size) {
    if (bytes_.size() - at_ < size)
      throw std::runtime_error("PackStream: a string or byte array is truncated");
    Value out;
    out.kind = kind;
    out.text = bytes_.substr(at_, size);
    at_ += size;
    return out;
  }
  Value parts(Value::Kind kind, std::uint64_t count, int depth) {
    Value out;
    out.kind = kind;
    for (std::uint64_t i = 0; i < count; ++i) out.parts.push_back(value(depth + 1));
    return out;
  }

  std::string_view bytes_;
  std::size_t at_ = 0;
};

}  // namespace

std::string null() { return "\xC0"; }
std::string boolean(bool value) { return value ? "\xC3" : "\xC2"; }

std::string integer(std::int64_t value) {
  const auto bits = static_cast<std::uint64_t>(value);
  if (value >= -16 && value < 128) return big(bits & 0xFF, 1);
  if (value >= INT16_MIN && value <= INT16_MAX) return big(0xC9, 1) + big(bits, 2);
  return big(0xCB, 1) + big(bits, 8);
}

std::string real(double value) {
  std::uint64_t bits = 0;
  std::memcpy(&bits, &value, sizeof bits);
  return big(0xC1, 1) + big(bits, 8);
}

std::string text(std::string_view value) { return sized(value.size(), 0x80, 0xD0) + std::string(value); }

std::string list(const std::vector<std::string>& entries) {
  std::string out = sized(entries.size(), 0x90, 0xD4);
  for (const std::string& entry : entries) out += entry;
  return out;
}

std::string map(const Entries& entries) {
  std::string out = sized(entries.size(), 0xA0, 0xD8);
  for (const auto& [key, value] : entries) out += text(key) + value;
  return out;
}

std::string structure(unsigned char tag, const std::vector<std::string>& fields) {
  std::string out = big(0xB0 + fields.size(), 1) + big(tag, 1);
  for (const std::string& field : fields) out += field;
  return out;
}

std::string chunked(std::string_view payload, std::size_t chunk) {
  std::string out;
  while (!payload.empty()) {
    const std::size_t size = std::min(chunk, payload.size());
    out += big(size, 2) + std::string(payload.substr(0, size));
    payload.remove_prefix(size);
  }
  return out + big(0, 2);
}

std::string message(unsigned char tag, const std::vector<std::string>& fields, std::size_t chunk) {
  return chunked(structure(tag, fields), chunk);
}

std::string noOp() { return big(0, 2); }

std::string handshake(unsigned minor, unsigned range, unsigned major) {
  return big(0x6060B017, 4) + big(0, 1) + big(range, 1) + big(minor, 1) + big(major, 1) + big(0, 4) +
         big(0, 8);
}

std::string hello(unsigned minor) {
  Entries entries = {{"user_agent", text("standin/1")}};
  if (minor == 0) entries.emplace_back("scheme", text("none"));
  if (minor >= 3) entries.emplace_back("bolt_agent", map({{"product", text("standin/1")}}));
  return message(kHello, {map(entries)});
}

std::string logon() { return message(kLogon, {map({{"scheme", text("none")}})}); }

std::string run(std::string_view statement, const Entries& extra) {
  return message(kRun, {text(statement), map({}), map(extra)});
}

std::string pull(std::int64_t n) { return message(kPull, {map({{"n", integer(n)}})}); }
std::string discard(std::int64_t n) { return message(kDiscard, {map({{"n", integer(n)}})}); }
std::string begin(const Entries& extra) { return message(kBegin, {map(extra)}); }
std::string plain(unsigned char tag) { return message(tag, {}); }

std::string version(unsigned minor) { return big(0, 2) + big(minor, 1) + big(5, 1); }
std::string success(const Entries& entries) { return message(kSuccess, {map(entries)}); }
std::string record(const std::vector<std::string>& values) { return message(kRecord, {list(values)}); }
std::string failure(std::string_view code) {
  return message(kFailure, {map({{"code", text(code)}, {"message", text("for a test")}})});
}
std::string ignored() { return message(kIgnored, {}); }

const Value& Value::at(std::string_view key) const {
  static const Value none;
  for (std::size_t i = 0; kind == Kind::Map && i + 1 < parts.size(); i += 2) {
    if (parts[i].text == key) return parts[i + 1];
  }
  return none;
}

bool Value::has(std::string_view key) const {
  for (std::size_t i = 0; kind == Kind::Map && i + 1 < parts.size(); i += 2) {
    if (parts[i].text == key) return true;
  }
  return false;
}

std::vector<Message> cut(std::string& bytes) {
  std::vector<Message> out;
  for (;;) {
    std::string payload;
    std::size_t at = 0;
    bool whole = false;
    while (!whole && bytes.size() >= at + 2) {
      const std::size_t size = static_cast<std::size_t>(static_cast<unsigned char>(bytes[at])) << 8 |
                               static_cast<unsigned char>(bytes[at + 1]);
      if (size != 0 && bytes.size() < at + 2 + size) break;
      payload += bytes.substr(at + 2, size);
      at += 2 + size;
      whole = size == 0;
    }
    if (!whole) return out;
    bytes.erase(0, at);
    if (payload.empty()) continue;
    Decoder decoder(payload);
    Value read = decoder.value();
    if (read.kind != Value::Kind::Structure || !decoder.done())
      throw std::runtime_error("Bolt: the payload is not exactly one structure");
    out.push_back({read.tag, std::move(read.parts), payload});
  }
}

}  // namespace heathflow::test::bolt
