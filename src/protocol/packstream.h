// PackStream, version 1, as Bolt's specification describes it: values as bytes. Whole values are checked and
// passed by; nothing is built of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heathflow::protocol::packstream {

// How deep lists, maps and structures may stand in one another.
inline constexpr unsigned kDeepest = 32;

enum class Flaw {
  None,
  CutShort,       // the bytes end within a value
  UnknownMarker,  // or one that is kept for later versions
  TooDeep,
  NotUtf8,
  KeyIsNoText,
  RepeatedKey,
  UnknownStructure,  // its tag is none of the specification's
  WrongFieldCount,   // for its tag
};
std::string_view toText(Flaw flaw);

enum class Type { Null, Boolean, Integer, Float, Bytes, Text, List, Map, Structure };

// The head of a value. Of texts and bytes it holds where they lie; of collections how many parts follow it.
struct Head {
  Type type = Type::Null;
  bool boolean = false;
  std::int64_t integer = 0;
  std::size_t at = 0;    // of the text or the bytes
  std::size_t size = 0;  // bytes of these; entries of a list or a map; fields of a structure
  std::uint8_t tag = 0;  // of a structure
};

// Walks over values from front to end. After a flaw it stays where it is.
class Reader {
 public:
  explicit Reader(std::string_view bytes, std::size_t at = 0) : bytes_(bytes), at_(at) {}

  // Takes a head off; texts and bytes with their content, which for a text has been checked.
  std::optional<Head> head();
  // Passes one whole value by, with everything in it.
  bool skip() { return skip(0); }
  // Takes a text off; nothing, and no flaw, where something else stands there (nothing is taken then).
  std::optional<std::string_view> text();
  std::string_view of(const Head& head) const { return bytes_.substr(head.at, head.size); }

  std::size_t at() const { return at_; }
  bool atEnd() const { return at_ == bytes_.size(); }
  Flaw flaw() const { return flaw_; }

 private:
  bool fail(Flaw flaw);
  bool readHead(Head& out);
  bool readTinyHead(std::uint8_t marker, Head& out);
  bool readFullHead(std::uint8_t marker, Head& out);
  bool readInteger(unsigned width, Head& out);
  bool readSize(unsigned width, Type type, Head& out);
  bool number(unsigned size, std::uint64_t& out);
  bool content(std::size_t size, Head& out);
  bool skip(unsigned depth);
  bool skipMap(std::size_t entries, unsigned depth);

  std::string_view bytes_;
  std::size_t at_;
  Flaw flaw_ = Flaw::None;
};

// Whether the bytes are exactly one value.
Flaw check(std::string_view bytes);
bool isUtf8(std::string_view text);

// Writers append to a text; integers in their shortest form.
void addNull(std::string& out);
void addBoolean(std::string& out, bool value);
void addInteger(std::string& out, std::int64_t value);
void addFloat(std::string& out, double value);
void addText(std::string& out, std::string_view value);
void addBytes(std::string& out, std::string_view value);
void addListHead(std::string& out, std::size_t entries);
void addMapHead(std::string& out, std::size_t entries);
void addStructureHead(std::string& out, std::uint8_t tag, unsigned fields);

}  // namespace heathflow::protocol::packstream
