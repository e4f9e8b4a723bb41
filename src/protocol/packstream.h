// PackStream, version 1, the serialization of Bolt's values. Complete values are checked and skipped; no
// objects are built from them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heathflow::protocol::packstream {

// The nesting depth of lists, maps and structures.
inline constexpr unsigned kMaxDepth = 32;

enum class DecodeError {
  None,
  Truncated,      // the bytes end inside a value
  UnknownMarker,  // or a reserved one
  TooDeep,
  NotUtf8,
  KeyNotText,
  DuplicateKey,
  UnknownStructure,  // its tag is not in the specification
  WrongFieldCount,   // for its tag
};
std::string_view toText(DecodeError decodeError);

enum class Type { Null, Boolean, Integer, Float, Bytes, Text, List, Map, Structure };

// The header of a value. For texts and bytes it holds their position, for collections the number of values
// that follow.
struct Header {
  Type type = Type::Null;
  bool boolean = false;
  std::int64_t integer = 0;
  std::size_t at = 0;    // of the text or the bytes
  std::size_t size = 0;  // bytes of these; entries of a list or a map; fields of a structure
  std::uint8_t tag = 0;  // of a structure
};

// Reads values from front to back. After an error it stays at its position.
class Reader {
 public:
  explicit Reader(std::string_view bytes, std::size_t at = 0) : bytes_(bytes), at_(at) {}

  // Reads a header, and for texts and bytes also the content. Texts are checked for valid UTF-8. Returns
  // nothing on an error.
  std::optional<Header> header();
  // Skips one complete value with everything nested in it. Returns false on an error.
  bool skip() { return skip(0); }
  // Reads a text. If the next value is of another type, returns nothing, sets no error and stays at its
  // position.
  std::optional<std::string_view> text();
  std::string_view of(const Header& header) const { return bytes_.substr(header.at, header.size); }

  std::size_t at() const { return at_; }
  bool atEnd() const { return at_ == bytes_.size(); }
  DecodeError decodeError() const { return decodeError_; }

 private:
  bool fail(DecodeError decodeError);
  bool readHeader(Header& out);
  bool readTinyHeader(std::uint8_t marker, Header& out);
  bool readFullHeader(std::uint8_t marker, Header& out);
  bool readInteger(unsigned width, Header& out);
  bool readSize(unsigned width, Type type, Header& out);
  bool readUnsigned(unsigned size, std::uint64_t& out);
  bool readContent(std::size_t size, Header& out);
  bool skip(unsigned depth);
  bool skipMap(std::size_t entries, unsigned depth);

  std::string_view bytes_;
  std::size_t at_;
  DecodeError decodeError_ = DecodeError::None;
};

// Checks that the bytes are exactly one valid value. Returns the error, or None.
DecodeError check(std::string_view bytes);
bool isUtf8(std::string_view text);

// Append a value to a string. Integers get their shortest form.
void addNull(std::string& out);
void addBoolean(std::string& out, bool value);
void addInteger(std::string& out, std::int64_t value);
void addFloat(std::string& out, double value);
void addText(std::string& out, std::string_view value);
void addBytes(std::string& out, std::string_view value);
void addListHeader(std::string& out, std::size_t entries);
void addMapHeader(std::string& out, std::size_t entries);
void addStructureHeader(std::string& out, std::uint8_t tag, unsigned fields);

}  // namespace heathflow::protocol::packstream
