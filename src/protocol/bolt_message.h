// Messages of Bolt, versions 5.0 to 5.4: framing, reading the fields that the gateway needs, and writing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/packstream.h"
#include "protocol/slice.h"
#include "transport/buffer.h"

namespace heathflow::protocol::bolt {

using transport::Buffer;

// The handshake: a magic number and four proposed versions, answered with one version. Sizes in bytes.
inline constexpr std::string_view kMagic = "\x60\x60\xB0\x17";
inline constexpr std::size_t kHandshakeSize = 20;
inline constexpr std::size_t kVersionSize = 4;
inline constexpr unsigned kMajor = 5;
inline constexpr unsigned kMaxMinor = 4;

enum class Tag : std::uint8_t {
  Hello = 0x01,
  Goodbye = 0x02,
  Reset = 0x0F,
  Run = 0x10,
  Begin = 0x11,
  Commit = 0x12,
  Rollback = 0x13,
  Discard = 0x2F,
  Pull = 0x3F,
  Telemetry = 0x54,
  Route = 0x66,
  Logon = 0x6A,
  Logoff = 0x6B,
  Success = 0x70,
  Record = 0x71,
  Ignored = 0x7E,
  Failure = 0x7F,
};

// Returns the minor version for a client's four proposals: the highest supported one of the first proposal
// that contains any. Nothing if none does.
std::optional<unsigned> chooseMinor(std::string_view proposals);

// The progress of scanning a partial message's chunks, so that a message that arrives in many small pieces is
// not rescanned from its start.
struct ChunkScan {
  std::size_t at = 0;
  std::size_t payload = 0;
  unsigned chunks = 0;
};

struct Frame {
  enum class Kind { Complete, Partial, NoOp, TooLong } kind = Kind::Partial;
  std::size_t size = 0;     // of the message with its chunk headers
  std::size_t payload = 0;  // of the message without them
  unsigned chunks = 0;
};
// Finds the first message. 'limit' applies to its payload, bytes, and is checked against the chunk headers
// before the chunks have arrived. The scan is reset when a message is complete.
Frame readFrame(std::string_view bytes, std::size_t limit, ChunkScan& scan);
// Returns the payload of a complete message: a view of the message if it has one chunk, otherwise assembled
// in 'scratch'.
std::string_view payloadOf(std::string_view message, const Frame& frame, std::string& scratch);
// Returns the tag of a message; nothing if the message has no complete structure header.
std::optional<Tag> tagOf(std::string_view message);

// Writes a message consisting of the given pieces, in chunks. Returns false and writes nothing if the buffer
// has no room.
bool writeMessage(Buffer& out, std::initializer_list<std::string_view> pieces);
bool writeMessage(Buffer& out, std::string_view payload);
// An entry of a reply's map of texts.
struct Entry {
  std::string_view key;
  std::string_view text;
};
bool writeSuccess(Buffer& out, std::initializer_list<Entry> entries = {});
bool writeFailure(Buffer& out, std::string_view code, std::string_view message, std::int64_t retryAfterMs);
// Writes a message without fields.
bool writeEmptyMessage(Buffer& out, Tag tag);

// Status codes, named as in Neo4j's documentation.
namespace status {
inline constexpr std::string_view kNoThreads = "Neo.TransientError.Request.NoThreadsAvailable";
inline constexpr std::string_view kGeneralUnavailable = "Neo.TransientError.General.DatabaseUnavailable";
inline constexpr std::string_view kDatabaseUnavailable = "Neo.TransientError.Database.DatabaseUnavailable";
inline constexpr std::string_view kBookmarkTimeout = "Neo.TransientError.Transaction.BookmarkTimeout";
inline constexpr std::string_view kNotALeader = "Neo.ClientError.Cluster.NotALeader";
inline constexpr std::string_view kReadOnly = "Neo.ClientError.General.ForbiddenOnReadOnlyDatabase";
inline constexpr std::string_view kUnknown = "Neo.DatabaseError.General.UnknownError";
inline constexpr std::string_view kInvalid = "Neo.ClientError.Request.Invalid";
inline constexpr std::string_view kUnauthorized = "Neo.ClientError.Security.Unauthorized";
}  // namespace status

// A bookmark of the gateway: the position that it covers, and the endpoint's own bookmark. Its text is
// "hf1:GROUP:MILLIS:ENDPOINT_BOOKMARK".
struct Bookmark {
  std::uint32_t group = 0;
  std::int64_t positionMs = 0;        // Unix time
  std::string_view endpointBookmark;  // empty if the endpoint gave none
};
std::optional<Bookmark> parseBookmark(std::string_view text);
std::string toText(const Bookmark& bookmark);

// The content of the map at the end of RUN and BEGIN. Views point into the payload.
struct Extra {
  bool isRead = false;  // mode "r"
  std::optional<std::int64_t> timeoutMs;
  Slice timeout;                                // the value within the payload
  Slice bookmarks;                              // the list within the payload
  std::vector<std::string_view> bookmarkTexts;  // the entries of the list
  // From tx_metadata.
  std::string_view className;
  std::string_view id;
  std::string_view key;
  std::string_view family;
  std::string_view session;
  std::optional<std::uint32_t> cluster;
  std::optional<std::int64_t> metadataTimeoutMs;
  bool isClientRetry = false;
};
// Bookmarks per request.
inline constexpr std::size_t kMaxBookmarks = 64;
// Reads the last field of a RUN or a BEGIN whose payload has been checked. Returns nothing and sets 'problem'
// if an entry has a wrong type or value.
std::optional<Extra> readExtra(std::string_view payload, Tag tag, std::string_view& problem);
// Checks that the payload is exactly one message whose fields are all valid values. Sets 'fields' to their
// number and returns the first error.
packstream::DecodeError checkFields(std::string_view payload, unsigned& fields);

// The entries of a SUCCESS's or FAILURE's map that the gateway needs.
struct Summary {
  bool hasMore = false;
  bool hasFields = false;  // names the fields of a result, as the reply to RUN does
  std::optional<bool> primary;
  std::optional<std::int64_t> positionMs;
  Slice report;
  Slice bookmark;       // its text within the payload
  Slice bookmarkEntry;  // its key and value within the payload
  std::size_t entries = 0;
  std::size_t entriesAt = 0;  // offset of the first entry
  std::string_view code;      // of a FAILURE
};
// Returns nothing if the payload is not a message with one map.
std::optional<Summary> readSummary(std::string_view payload);

}  // namespace heathflow::protocol::bolt
