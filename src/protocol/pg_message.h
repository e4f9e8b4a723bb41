// Messages of PostgreSQL's protocol, version 3: framing and writing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/slice.h"
#include "transport/buffer.h"

namespace heathflow::protocol {

using transport::Buffer;

constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kHeaderSize = 1 + kLengthSize;

// Read numbers in network byte order. The caller has checked the size.
std::uint32_t readU32(std::string_view bytes, std::size_t at);
std::uint16_t readU16(std::string_view bytes, std::size_t at);

struct Frame {
  enum class Kind { Complete, Partial, Malformed } kind = Kind::Partial;
  char type = 0;
  std::size_t size = 0;   // of the whole message
  std::string_view body;  // without type and length
};
// Finds the first message. A message whose length field is impossible or exceeds the limit is malformed at
// once, before its bytes have arrived.
Frame readFrame(std::string_view bytes, std::size_t limit);

// Removes a text with its terminating zero byte from the front; returns nothing if there is no zero byte.
std::optional<std::string_view> readCString(std::string_view& bytes);

// The fields of an ErrorResponse that the gateway needs.
struct ErrorFields {
  std::string_view severity;
  std::string_view code;
  bool fatal() const { return severity == "FATAL" || severity == "PANIC"; }
};
ErrorFields parseErrorFields(std::string_view body);

// SQLSTATE codes, named as in the appendix of PostgreSQL's documentation.
namespace sqlstate {
inline constexpr std::string_view kTooManyConnections = "53300";
inline constexpr std::string_view kCannotConnectNow = "57P03";
inline constexpr std::string_view kReadOnlyTransaction = "25006";
inline constexpr std::string_view kSnapshotTooOld = "72000";
inline constexpr std::string_view kInternalError = "XX000";
inline constexpr std::string_view kProtocolViolation = "08P01";
inline constexpr std::string_view kFeatureNotSupported = "0A000";
inline constexpr std::string_view kInvalidParameter = "22023";
inline constexpr std::string_view kSystemError = "58000";
}  // namespace sqlstate

// Append a message to a buffer. Return false if it has no room.
bool writeMessage(Buffer& out, char type, std::string_view body);
bool writeError(Buffer& out, bool fatal, std::string_view code, std::string_view message,
                std::string_view detail = {});
bool writeReady(Buffer& out);
// Writes a query from two pieces around a replaced middle, so that a long statement is copied only once.
bool writeQuery(Buffer& out, std::string_view before, std::string_view middle, std::string_view after);

}  // namespace heathflow::protocol
