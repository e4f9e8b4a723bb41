#include "protocol/packstream.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>
#include <vector>

namespace heathflow::protocol::packstream {
namespace {

// Of so many keys each is compared with all before it; beyond, they are sorted.
constexpr std::size_t kKeysCompared = 16;
constexpr std::uint64_t kHighBits = 0x8080808080808080U;

std::uint8_t byteAt(std::string_view bytes, std::size_t at) { return static_cast<std::uint8_t>(bytes[at]); }

// The structures of versions 5.0 to 5.4, and how many fields each has; 0: unknown.
unsigned fieldsOf(std::uint8_t tag) {
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

// A head whose size stands in its marker where it fits, else behind one of three further markers.
void addSized(std::string& out, std::size_t size, int tiny, std::uint8_t marker8) {
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

std::string_view toText(Flaw flaw) {
  switch (flaw) {
    case Flaw::None:
      return "nothing is wrong";
    case Flaw::CutShort:
      return "a value is cut short";
    case Flaw::UnknownMarker:
      return "a marker is not known";
    case Flaw::TooDeep:
      return "values stand too deep in one another";
    case Flaw::NotUtf8:
      return "a text is no UTF-8";
    case Flaw::KeyIsNoText:
      return "a map's key is no text";
    case Flaw::RepeatedKey:
      return "a map has a key twice";
    case Flaw::UnknownStructure:
      return "a structure is not known";
    case Flaw::WrongFieldCount:
      return "a structure has a wrong number of fields";
  }
  return {};
}

bool isUtf8(std::string_view text) {
  std::size_t at = 0;
  while (at < text.size()) {
    // Most texts are ASCII, eight bytes at a time.
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
    // RFC 3629: the second byte's range keeps out what is overlong, a surrogate or beyond U+10FFFF.
    const unsigned more = first >= 0xF0 ? 3 : first >= 0xE0 ? 2 : 1;
    if (first < 0xC2 || first > 0xF4 || text.size() - at <= more) return false;
    const std::uint8_t least = first == 0xE0 ? 0xA0 : first == 0xF0 ? 0x90 : 0x80;
    const std::uint8_t most = first == 0xED ? 0x9F : first == 0xF4 ? 0x8F : 0xBF;
    if (byteAt(text, at + 1) < least || byteAt(text, at + 1) > most) return false;
    for (unsigned i = 2; i <= more; ++i) {
      if ((byteAt(text, at + i) & 0xC0) != 0x80) return false;
    }
    at += 1 + more;
  }
  return true;
}

bool Reader::fail(Flaw flaw) {
  flaw_ = flaw;
  return false;
}

bool Reader::number(unsigned size, std::uint64_t& out) {
  if (bytes_.size() - at_ < size) return fail(Flaw::CutShort);
  out = 0;
  for (unsigned i = 0; i < size; ++i) out = out << 8 | byteAt(bytes_, at_++);
  return true;
}

bool Reader::content(std::size_t size, Head& out) {
  if (bytes_.size() - at_ < size) return fail(Flaw::CutShort);
  out.at = at_;
  out.size = size;
  if (out.type == Type::Text && !isUtf8(bytes_.substr(at_, size))) return fail(Flaw::NotUtf8);
  at_ += size;
  return true;
}

bool Reader::readInteger(unsigned width, Head& out) {
  out.type = Type::Integer;
  std::uint64_t value = 0;
  if (!number(width, value)) return false;
  // The sign is the highest bit of the width.
  const unsigned unused = 64 - 8 * width;
  out.integer = static_cast<std::int64_t>(value << unused) >> unused;
  return true;
}

bool Reader::readSize(unsigned width, Type type, Head& out) {
  out.type = type;
  std::uint64_t value = 0;
  if (!number(width, value)) return false;
  out.size = static_cast<std::size_t>(value);
  return true;
}

// Markers that hold the size in their lower four bits.
bool Reader::readTinyHead(std::uint8_t marker, Head& out) {
  out.size = marker & 0x0F;
  switch (marker & 0xF0) {
    case 0x80:
      out.type = Type::Text;
      return content(out.size, out);
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
  if (!number(1, tag)) return false;
  out.tag = static_cast<std::uint8_t>(tag);
  return true;
}

// Markers that give the type alone; a size or a value follows them.
bool Reader::readFullHead(std::uint8_t marker, Head& out) {
  std::uint64_t value = 0;
  switch (marker) {
    case 0xC0:
      out.type = Type::Null;
      return true;
    case 0xC1:
      out.type = Type::Float;
      return number(8, value);
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
      return readSize(1U << (marker - 0xCC), Type::Bytes, out) && content(out.size, out);
    case 0xD0:
    case 0xD1:
    case 0xD2:
      return readSize(1U << (marker - 0xD0), Type::Text, out) && content(out.size, out);
    case 0xD4:
    case 0xD5:
    case 0xD6:
      return readSize(1U << (marker - 0xD4), Type::List, out);
    case 0xD8:
    case 0xD9:
    case 0xDA:
      return readSize(1U << (marker - 0xD8), Type::Map, out);
    default:
      return fail(Flaw::UnknownMarker);
  }
}

bool Reader::readHead(Head& out) {
  if (at_ >= bytes_.size()) return fail(Flaw::CutShort);
  const std::uint8_t marker = byteAt(bytes_, at_++);
  // Integers from -16 to 127 are their own marker.
  if (marker < 0x80 || marker >= 0xF0) {
    out.type = Type::Integer;
    out.integer = marker < 0x80 ? marker : marker - 0x100;
    return true;
  }
  return marker < 0xC0 ? readTinyHead(marker, out) : readFullHead(marker, out);
}

std::optional<Head> Reader::head() {
  if (flaw_ != Flaw::None) return std::nullopt;
  const std::size_t before = at_;
  Head out;
  if (readHead(out)) return out;
  at_ = before;
  return std::nullopt;
}

std::optional<std::string_view> Reader::text() {
  if (flaw_ != Flaw::None) return std::nullopt;
  const std::size_t before = at_;
  const auto found = head();
  if (found && found->type == Type::Text) return of(*found);
  at_ = before;
  return std::nullopt;
}

bool Reader::skip(unsigned depth) {
  const auto found = head();
  if (!found) return false;
  const bool collection =
      found->type == Type::List || found->type == Type::Map || found->type == Type::Structure;
  if (!collection) return true;
  if (depth >= kDeepest) return fail(Flaw::TooDeep);
  if (found->type == Type::Map) return skipMap(found->size, depth + 1);
  if (found->type == Type::Structure) {
    const unsigned fields = fieldsOf(found->tag);
    if (fields == 0) return fail(Flaw::UnknownStructure);
    if (fields != found->size) return fail(Flaw::WrongFieldCount);
  }
  // Each entry takes a byte at least: a count that is a lie ends with the bytes.
  for (std::size_t i = 0; i < found->size; ++i) {
    if (!skip(depth + 1)) return false;
  }
  return true;
}

bool Reader::skipMap(std::size_t entries, unsigned depth) {
  std::array<std::string_view, kKeysCompared> few;
  std::vector<std::string_view> many;
  for (std::size_t i = 0; i < entries; ++i) {
    const auto key = text();
    if (!key) return fail(flaw_ == Flaw::None ? Flaw::KeyIsNoText : flaw_);
    if (i < kKeysCompared) {
      if (std::find(few.begin(), few.begin() + i, *key) != few.begin() + i) return fail(Flaw::RepeatedKey);
      few[i] = *key;
    } else {
      if (many.empty()) many.assign(few.begin(), few.end());
      many.push_back(*key);
    }
    if (!skip(depth)) return false;
  }
  std::sort(many.begin(), many.end());
  if (std::adjacent_find(many.begin(), many.end()) != many.end()) return fail(Flaw::RepeatedKey);
  return true;
}

Flaw check(std::string_view bytes) {
  Reader reader(bytes);
  if (!reader.skip()) return reader.flaw();
  return reader.atEnd() ? Flaw::None : Flaw::CutShort;
}

void addNull(std::string& out) { out += '\xC0'; }

void addBoolean(std::string& out, bool value) { out += value ? '\xC3' : '\xC2'; }

void addInteger(std::string& out, std::int64_t value) {
  const auto bits = static_cast<std::uint64_t>(value);
  const auto fits = [value](int width) {
    const std::int64_t most = (std::int64_t{1} << (width - 1)) - 1;
    return value >= -most - 1 && value <= most;
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
  addSized(out, value.size(), 0x80, 0xD0);
  out += value;
}

void addBytes(std::string& out, std::string_view value) {
  addSized(out, value.size(), -1, 0xCC);
  out += value;
}

void addListHead(std::string& out, std::size_t entries) { addSized(out, entries, 0x90, 0xD4); }

void addMapHead(std::string& out, std::size_t entries) { addSized(out, entries, 0xA0, 0xD8); }

void addStructureHead(std::string& out, std::uint8_t tag, unsigned fields) {
  out += static_cast<char>(0xB0 + fields);
  out += static_cast<char>(tag);
}

}  // namespace heathflow::protocol::packstream
