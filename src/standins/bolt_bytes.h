// Encoder and decoder for Bolt messages in tests, written independently of the code under test.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathflow::test::bolt {

// Encode values as PackStream, for use as fields of a message.
std::string null();
std::string boolean(bool value);
std::string integer(std::int64_t value);
std::string real(double value);
std::string text(std::string_view value);
std::string list(const std::vector<std::string>& entries);
using Entries = std::vector<std::pair<std::string, std::string>>;
std::string map(const Entries& entries);
std::string structure(unsigned char tag, const std::vector<std::string>& fields);

// Encodes a message in chunks of at most 'chunk' bytes, with the end marker.
std::string message(unsigned char tag, const std::vector<std::string>& fields, std::size_t chunk = 0xFFFF);
std::string chunked(std::string_view payload, std::size_t chunk = 0xFFFF);
std::string noOp();  // an empty chunk, sent as a keep-alive

enum Tag : unsigned char {
  kHello = 0x01,
  kGoodbye = 0x02,
  kReset = 0x0F,
  kRun = 0x10,
  kBegin = 0x11,
  kCommit = 0x12,
  kRollback = 0x13,
  kDiscard = 0x2F,
  kPull = 0x3F,
  kTelemetry = 0x54,
  kRoute = 0x66,
  kLogon = 0x6A,
  kLogoff = 0x6B,
  kSuccess = 0x70,
  kRecord = 0x71,
  kIgnored = 0x7E,
  kFailure = 0x7F,
};

// Messages from a client.
std::string handshake(unsigned minor = 4, unsigned range = 4, unsigned major = 5);
std::string hello(unsigned minor = 4);
std::string logon();
std::string run(std::string_view statement, const Entries& extra = {});
std::string pull(std::int64_t n = -1);
std::string discard(std::int64_t n = -1);
std::string begin(const Entries& extra = {});
std::string plain(unsigned char tag);  // COMMIT, ROLLBACK, RESET, GOODBYE, LOGOFF

// Messages from a server.
std::string version(unsigned minor = 4);
std::string success(const Entries& entries = {});
std::string record(const std::vector<std::string>& values);
std::string failure(std::string_view code);
std::string ignored();

// A decoded PackStream value.
struct Value {
  enum class Kind { Null, Boolean, Integer, Float, Bytes, Text, List, Map, Structure } kind = Kind::Null;
  std::int64_t integer = 0;  // also 0 or 1 for a boolean, and the bits of a float
  std::string text;          // also the content of bytes
  std::vector<Value> parts;  // elements or fields; for a map, its keys and values alternately
  unsigned char tag = 0;     // of a structure
  // Returns a map's value for a key; a null value if this is no map or has no such key.
  const Value& at(std::string_view key) const;
  bool has(std::string_view key) const;
};
struct Message {
  unsigned char tag = 0;
  std::vector<Value> fields;
  std::string raw;  // the payload without chunk headers
};
// Removes complete messages from the front of 'bytes' and returns them decoded; skips empty ones (no-ops).
// Throws std::runtime_error if a message is not valid PackStream or not a structure.
std::vector<Message> cut(std::string& bytes);

}  // namespace heathflow::test::bolt
