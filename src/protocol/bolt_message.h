// Messages of Bolt, versions 5.0 to 5.4: cutting them out of a buffer, reading what decides something, and
// writing them.
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

// The handshake: a magic number and four proposals, answered with one version.
inline constexpr std::string_view kMagic = "\x60\x60\xB0\x17";
inline constexpr std::size_t kHandshakeSize = 20;
inline constexpr std::size_t kVersionSize = 4;
inline constexpr unsigned kMajor = 5;
inline constexpr unsigned kMinorMost = 4;

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

// The minor version that is chosen of a client's four proposals, in their order: the highest of the first
// that has one. Nothing where none has.
std::optional<unsigned> chooseMinor(std::string_view proposals);

// How far into a message its chunks have been looked at, so that one that comes in many small pieces is not
// looked at again from its start.
struct ChunkScan {
  std::size_t at = 0;
  std::size_t payload = 0;
  unsigned chunks = 0;
};

struct Cut {
  enum class Kind { Whole, Partial, NoOp, TooLong } kind = Kind::Partial;
  std::size_t size = 0;     // of the whole message, chunk heads included
  std::size_t payload = 0;  // without them
  unsigned chunks = 0;
};
// Cuts the first message off. 'limit': of its payload, bytes; judged by the chunks' heads, before their bytes
// have come. The scan starts anew once a message is whole.
Cut cut(std::string_view bytes, std::size_t limit, ChunkScan& scan);
// The payload of a whole message: where it is one chunk, a slice of the bytes; else put together in
// 'scratch'.
std::string_view payloadOf(std::string_view message, const Cut& cut, std::string& scratch);
// The message's tag, as far as its first chunk shows it.
std::optional<Tag> tagOf(std::string_view message);

// Writes a message of these pieces, in chunks. False, and nothing written, where there is no room.
bool writeMessage(Buffer& out, std::initializer_list<std::string_view> pieces);
bool writeMessage(Buffer& out, std::string_view payload);
// Most replies have a map of texts.
struct Entry {
  std::string_view key;
  std::string_view text;
};
bool writeSuccess(Buffer& out, std::initializer_list<Entry> entries = {});
bool writeFailure(Buffer& out, std::string_view code, std::string_view message, std::int64_t retryAfterMs);
// A message without fields.
bool writePlain(Buffer& out, Tag tag);

// Codes, named as in Neo4j's public status codes; docs/bolt.md tells which stands for what.
namespace status {
inline constexpr std::string_view kNoThreads = "Neo.TransientError.Request.NoThreadsAvailable";
inline constexpr std::string_view kUnavailable = "Neo.TransientError.General.DatabaseUnavailable";
inline constexpr std::string_view kUnavailableToo = "Neo.TransientError.Database.DatabaseUnavailable";
inline constexpr std::string_view kBookmarkTimeout = "Neo.TransientError.Transaction.BookmarkTimeout";
inline constexpr std::string_view kNotALeader = "Neo.ClientError.Cluster.NotALeader";
inline constexpr std::string_view kReadOnly = "Neo.ClientError.General.ForbiddenOnReadOnlyDatabase";
inline constexpr std::string_view kUnknown = "Neo.DatabaseError.General.UnknownError";
inline constexpr std::string_view kInvalid = "Neo.ClientError.Request.Invalid";
inline constexpr std::string_view kUnauthorized = "Neo.ClientError.Security.Unauthorized";
}  // namespace status

// A bookmark of this gateway: what it covers, and the endpoint's own behind it. Texts:
// "hf1:GROUP:MILLIS:OWN".
struct Bookmark {
  std::uint32_t group = 0;
  std::int64_t positionMs = 0;  // Unix
  std::string_view own;         // the endpoint's, empty where it gave none
};
std::optional<Bookmark> parseBookmark(std::string_view text);
std::string toText(const Bookmark& bookmark);

// What the map at the end of RUN and BEGIN says. Views lie in the payload.
struct Extra {
  bool reads = false;  // mode "r"
  std::optional<std::int64_t> timeoutMs;
  Slice timeout;                        // where its value stands in the payload
  Slice bookmarks;                      // the whole list
  std::vector<std::string_view> marks;  // its entries
  // Of tx_metadata.
  std::string_view className;
  std::string_view id;
  std::string_view key;
  std::string_view family;
  std::string_view session;
  std::optional<std::uint32_t> cluster;
  std::optional<std::int64_t> metadataTimeoutMs;
  bool isClientRetry = false;
};
// So many bookmarks may come with one request.
inline constexpr std::size_t kMostBookmarks = 64;
// Reads the last field of a RUN or a BEGIN; the payload has been checked. Nothing, and why, where an entry
// has a type or a value that it can't have.
std::optional<Extra> readExtra(std::string_view payload, Tag tag, std::string_view& problem);
// Whether the payload is a message of that many fields, each a sound value, and nothing more.
packstream::Flaw checkFields(std::string_view payload, unsigned& fields);

// What the map of a SUCCESS says that decides something.
struct Summary {
  bool hasMore = false;
  std::optional<bool> primary;
  std::optional<std::int64_t> positionMs;
  Slice report;
  Slice bookmark;       // its text
  Slice bookmarkEntry;  // key and value
  std::size_t entries = 0;
  std::size_t entriesAt = 0;  // behind the map's head
  std::string_view code;      // of a FAILURE
};
// Nothing where the payload is no message with one map.
std::optional<Summary> readSummary(std::string_view payload);

}  // namespace heathflow::protocol::bolt
