#include "protocol/packstream.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>
#include <vector>

namespace heathflow::protocol::packstream {
namespace {

// Up to this number of keys, duplicates are found by comparing each key with the ones before it; larger maps
// are sorted.
constexpr std::size_t kMaxComparedKeys = 16;
constexpr std::uint64_t kHighBits = 0x8080808080808080U;

std::uint8_t byteAt(std::string_view bytes, std::size_t at) { return static_cast<std::uint8_t>(bytes[at]); }

// Returns the number of fields of a structure in Bolt 5.0 to 5.4; 0 for an unknown tag.
unsigned fieldCountOf(std::uint8_t tag) {
  switch (tag) {
    case 'D':  // Date
    case 't':  // LocalTime
      return 1;
    case 'T':  // Time
    case 'd':  // LocalDateTime
      return 2;
    case 'P':  // Path
    case 'I':  // DateTime
    case 'i':  // DateTimeZoneId
    case 'F':  // legacy DateTime
    case 'f':  // legacy DateTimeZoneId
    case 'X':  // Point2D
      return 3;
    case 'N':  // Node
    case 'r':  // UnboundRelationship
    case 'E':  // Duration
    case 'Y':  // Point3D
      return 4;
    case 'R':  // Relationship
      return 8;
    default:
      return 0;
  }
}

void addNumber(std::string& out, std::uint64_t value, unsigned size) {
  for (unsigned i = size; i-- > 0;) out += static_cast<char>(value >> (8 * i));
}

// Appends a header with a size. Sizes below 16 are part of the marker, larger ones follow one of three other
// markers.
void addSizeHeader(std::string& out, std::size_t size, int tiny, std::uint8_t marker8) {
  if (tiny >= 0 && size < 16) {
    out += static_cast<char>(static_cast<std::size_t>(tiny) + size);
  } else if (size <= 0xFF) {
    out += static_cast<char>(marker8);
    addNumber(out, size, 1);
  } else if (size <= 0xFFFF) {
    out += static_cast<char>(marker8 + 1);
    addNumber(out, size, 2);
  } else {
    out += static_cast<char>(marker8 + 2);
    addNumber(out, size, 4);
  }
}

}  // namespace

std::string_view toText(DecodeError decodeError) {
  switch (decodeError) {
    case DecodeError::None:
      return "nothing is wrong";
    case DecodeError::Truncated:
      return "a value is cut short";
    case DecodeError::UnknownMarker:
      return "a marker is not known";
    case DecodeError::TooDeep:
      return "values stand too deep in one another";
    case DecodeError::NotUtf8:
      return "a text is no UTF-8";
    case DecodeError::KeyNotText:
      return "a map's key is no text";
    case DecodeError::DuplicateKey:
      return "a map has a key twice";
    case DecodeError::UnknownStructure:
      return "a structure is not known";
    case DecodeError::WrongFieldCount:
      return "a structure has a wrong number of fields";
  }
  return {};
}

bool isUtf8(std::string_view text) {
  std::size_t at = 0;
  while (at < text.size()) {
    // Most texts are ASCII: eight bytes are checked at a time.
    while (at + 8 <= text.size()) {
      std::uint64_t eight = 0;
      std::memcpy(&eight, text.data() + at, sizeof eight);
      if ((eight & kHighBits) != 0) break;
      at += 8;
    }
    if (at == text.size()) break;
    const std::uint8_t first = byteAt(text, at);
    if (first < 0x80) {
      ++at;
      continue;
    }
    // RFC 3629: the range of the second byte excludes overlong forms, surrogates and values above U+10FFFF.
    const unsigned more = first >= 0xF0 ? 3 : first >= 0xE0 ? 2 : 1;
    if (first < 0xC2 || first > 0xF4 || text.size() - at <= more) return false;
    const std::uint8_t lowest = first == 0xE0 ? 0xA0 : first == 0xF0 ? 0x90 : 0x80;
    const std::uint8_t highest = first == 0xED ? 0x9F : first == 0xF4 ? 0x8F : 0xBF;
    if (byteAt(text, at + 1) < lowest || byteAt(text, at + 1) > highest) return false;
    for (unsigned i = 2; i <= more; ++i) {
      if ((byteAt(text, at + i) & 0xC0) != 0x80) return false;
    }
    at += 1 + more;
  }
  return true;
}

bool Reader::fail(DecodeError decodeError) {
  decodeError_ = decodeError;
  return false;
}

bool Reader::readUnsigned(unsigned size, std::uint64_t& out) {
  if (bytes_.size() - at_ < size) return fail(DecodeError::Truncated);
  out = 0;
  for (unsigned i = 0; i < size; ++i) out = out << 8 | byteAt(bytes_, at_++);
  return true;
}

bool Reader::readContent(std::size_t size, Header& out) {
  if (bytes_.size() - at_ < size) return fail(DecodeError::Truncated);
  out.at = at_;
  out.size = size;
  if (out.type == Type::Text && !isUtf8(bytes_.substr(at_, size))) return fail(DecodeError::NotUtf8);
  at_ += size;
  return true;
}

bool Reader::readInteger(unsigned width, Header& out) {
  out.type = Type::Integer;
  std::uint64_t value = 0;
  if (!readUnsigned(width, value)) return false;
  // The sign bit is the highest bit of the given width.
  const unsigned unused = 64 - 8 * width;
  out.integer = static_cast<std::int64_t>(value << unused) >> unused;
  return true;
}

bool Reader::readSize(unsigned width, Type type, Header& out) {
  out.type = type;
  std::uint64_t value = 0;
  if (!readUnsigned(width, value)) return false;
  out.size = static_cast<std::size_t>(value);
  return true;
}

// Reads markers whose lower four bits hold the size.
bool Reader::readTinyHeader(std::uint8_t marker, Header& out) {
  out.size = marker & 0x0F;
  switch (marker & 0xF0) {
    case 0x80:
      out.type = Type::Text;
      return readContent(out.size, out);
    case 0x90:
      out.type = Type::List;
      return true;
    case 0xA0:
      out.type = Type::Map;
      return true;
    default:
      break;
  }
  out.type = Type::Structure;
  std::uint64_t tag = 0;
  if (!readUnsigned(1, tag)) return false;
  out.tag = static_cast<std::uint8_t>(tag);
  return true;
}

// Reads markers that give only the type; a size or a value follows.
bool Reader::readFullHeader(std::uint8_t marker, Header& out) {
  std::uint64_t value = 0;
  switch (marker) {
    case 0xC0:
      out.type = Type::Null;
      return true;
    case 0xC1:
      out.type = Type::Float;
      return readUnsigned(8, value);
    case 0xC2:
    case 0xC3:
      out.type = Type::Boolean;
      out.boolean = marker == 0xC3;
      return true;
    case 0xC8:
    case 0xC9:
    case 0xCA:
    case 0xCB:
      return readInteger(1U << (marker - 0xC8), out);
    case 0xCC:
    case 0xCD:
    case 0xCE:
      return readSize(1U << (marker - 0xCC), Type::Bytes, out) && readContent(out.size, out);
    case 0xD0:
    case 0xD1:
    case 0xD2:
      return readSize(1U << (marker - 0xD0), Type::Text, out) && readContent(out.size, out);
    case 0xD4:
    case 0xD5:
    case 0xD6:
      return readSize(1U << (marker - 0xD4), Type::List, out);
    case 0xD8:
    case 0xD9:
    case 0xDA:
      return readSize(1U << (marker - 0xD8), Type::Map, out);
    default:
      return fail(DecodeError::UnknownMarker);
  }
}

bool Reader::readHeader(Header& out) {
  if (at_ >= bytes_.size()) return fail(DecodeError::Truncated);
  const std::uint8_t marker = byteAt(bytes_, at_++);
  // Integers from -16 to 127 are their own marker.
  if (marker < 0x80 || marker >= 0xF0) {
    out.type = Type::Integer;
    out.integer = marker < 0x80 ? marker : marker - 0x100;
    return true;
  }
  return marker < 0xC0 ? readTinyHeader(marker, out) : readFullHeader(marker, out);
}

std::optional<Header> Reader::header() {
  if (decodeError_ != DecodeError::None) return std::nullopt;
  const std::size_t before = at_;
  Header out;
  if (readHeader(out)) return out;
  at_ = before;
  return std::nullopt;
}

std::optional<std::string_view> Reader::text() {
  if (decodeError_ != DecodeError::None) return std::nullopt;
  const std::size_t before = at_;
  const auto found = header();
  if (found && found->type == Type::Text) return of(*found);
  at_ = before;
  return std::nullopt;
}

bool Reader::skip(unsigned depth) {
  const auto found = header();
  if (!found) return false;
  const bool collection =
      found->type == Type::List || found->type == Type::Map || found->type == Type::Structure;
  if (!collection) return true;
  if (depth >= kMaxDepth) return fail(DecodeError::TooDeep);
  if (found->type == Type::Map) return skipMap(found->size, depth + 1);
  if (found->type == Type::Structure) {
    const unsigned fields = fieldCountOf(found->tag);
    if (fields == 0) return fail(DecodeError::UnknownStructure);
    if (fields != found->size) return fail(DecodeError::WrongFieldCount);
  }
  // Each entry takes at least one byte, so a wrong count ends with the input.
  for (std::size_t i = 0; i < found->size; ++i) {
    if (!skip(depth + 1)) return false;
  }
  return true;
}

bool Reader::skipMap(std::size_t entries, unsigned depth) {
  std::array<std::string_view, kMaxComparedKeys> firstKeys;
  std::vector<std::string_view> allKeys;
  for (std::size_t i = 0; i < entries; ++i) {
    const auto key = text();
    if (!key) return fail(decodeError_ == DecodeError::None ? DecodeError::KeyNotText : decodeError_);
    if (i < kMaxComparedKeys) {
      if (std::find(firstKeys.begin(), firstKeys.begin() + i, *key) != firstKeys.begin() + i)
        return fail(DecodeError::DuplicateKey);
      firstKeys[i] = *key;
    } else {
      if (allKeys.empty()) allKeys.assign(firstKeys.begin(), firstKeys.end());
      allKeys.push_back(*key);
    }
    if (!skip(depth)) return false;
  }
  std::sort(allKeys.begin(), allKeys.end());
  if (std::adjacent_find(allKeys.begin(), allKeys.end()) != allKeys.end())
    return fail(DecodeError::DuplicateKey);
  return true;
}

DecodeError check(std::string_view bytes) {
  Reader reader(bytes);
  if (!reader.skip()) return reader.decodeError();
  return reader.atEnd() ? DecodeError::None : DecodeError::Truncated;
}

void addNull(std::string& out) { out += '\xC0'; }

void addBoolean(std::string& out, bool value) { out += value ? '\xC3' : '\xC2'; }

void addInteger(std::string& out, std::int64_t value) {
  const auto bits = static_cast<std::uint64_t>(value);
  const auto fits = [value](int width) {
    const std::int64_t highest = (std::int64_t{1} << (width - 1)) - 1;
    return value >= -highest - 1 && value <= highest;
  };
  if (value >= -16 && value <= 127) {
    addNumber(out, bits, 1);
  } else if (fits(8)) {
    out += '\xC8';
    addNumber(out, bits, 1);
  } else if (fits(16)) {
    out += '\xC9';
    addNumber(out, bits, 2);
  } else if (fits(32)) {
    out += '\xCA';
    addNumber(out, bits, 4);
  } else {
    out += '\xCB';
    addNumber(out, bits, 8);
  }
}

void addFloat(std::string& out, double value) {
  out += '\xC1';
  addNumber(out, std::bit_cast<std::uint64_t>(value), 8);
}

void addText(std::string& out, std::string_view value) {
  addSizeHeader(out, value.size(), 0x80, 0xD0);
  out += value;
}

void addBytes(std::string& out, std::string_view value) {
  addSizeHeader(out, value.size(), -1, 0xCC);
  out += value;
}

void addListHeader(std::string& out, std::size_t entries) { addSizeHeader(out, entries, 0x90, 0xD4); }

void addMapHeader(std::string& out, std::size_t entries) { addSizeHeader(out, entries, 0xA0, 0xD8); }

void addStructureHeader(std::string& out, std::uint8_t tag, unsigned fields) {
  out += static_cast<char>(0xB0 + fields);
  out += static_cast<char>(tag);
}

}  // namespace heathflow::protocol::packstream
