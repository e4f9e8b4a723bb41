#include "protocol/bolt_message.h"

#include <algorithm>
#include <charconv>

namespace heathflow::protocol::bolt {
namespace {

using packstream::DecodeError;
using packstream::Reader;
using packstream::Type;

constexpr std::size_t kMaxChunkSize = 0xFFFF;
constexpr std::string_view kEndMarker("\0\0", 2);
constexpr std::string_view kBookmarkPrefix = "hf1:";
// Keys of the metadata in which an endpoint reports its state; the same names as in PostgreSQL's protocol.
constexpr std::string_view kRoleKey = "mode";
constexpr std::string_view kPositionKey = "wal_time";
constexpr std::string_view kReportKey = "stats";

std::size_t u16At(std::string_view bytes, std::size_t at) {
  return static_cast<std::size_t>(static_cast<unsigned char>(bytes[at])) << 8 |
         static_cast<unsigned char>(bytes[at + 1]);
}

std::string chunkHeader(std::size_t size) { return {static_cast<char>(size >> 8), static_cast<char>(size)}; }

template <typename T>
bool readDigits(std::string_view text, T& out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc() && end == text.data() + text.size() && !text.empty() && text[0] != '-';
}

}  // namespace

std::optional<unsigned> chooseMinor(std::string_view proposals) {
  for (std::size_t i = 0; i < 4; ++i) {
    const auto byte = [&](std::size_t at) { return static_cast<unsigned char>(proposals[4 * i + at]); };
    const unsigned range = byte(1);
    const unsigned minor = byte(2);
    const unsigned major = byte(3);
    if (major != kMajor) continue;
    // The range extends downwards from the minor version.
    const unsigned lowest = minor >= range ? minor - range : 0;
    if (lowest > kMaxMinor) continue;
    return std::min(minor, kMaxMinor);
  }
  return std::nullopt;
}

Frame readFrame(std::string_view bytes, std::size_t limit, ChunkScan& scan) {
  Frame out;
  for (;;) {
    if (bytes.size() < scan.at + 2) return out;
    const std::size_t size = u16At(bytes, scan.at);
    if (size == 0) {
      out.kind = scan.chunks == 0 ? Frame::Kind::NoOp : Frame::Kind::Complete;
      out.size = scan.at + 2;
      out.payload = scan.payload;
      out.chunks = scan.chunks;
      scan = ChunkScan{};
      return out;
    }
    if (scan.payload + size > limit) {
      out.kind = Frame::Kind::TooLong;
      return out;
    }
    if (bytes.size() < scan.at + 2 + size) return out;
    scan.at += 2 + size;
    scan.payload += size;
    ++scan.chunks;
  }
}

std::string_view payloadOf(std::string_view message, const Frame& frame, std::string& scratch) {
  if (frame.chunks == 1) return message.substr(2, frame.payload);
  scratch.clear();
  scratch.reserve(frame.payload);
  for (std::size_t at = 0; scratch.size() < frame.payload;) {
    const std::size_t size = u16At(message, at);
    scratch += message.substr(at + 2, size);
    at += 2 + size;
  }
  return scratch;
}

std::optional<Tag> tagOf(std::string_view message) {
  if (message.size() < 4) return std::nullopt;
  const std::size_t first = u16At(message, 0);
  if (first >= 2) return static_cast<Tag>(message[3]);
  // The first chunk has one byte, so the tag is in the next chunk.
  if (first == 0 || message.size() < 6 || u16At(message, 3) == 0) return std::nullopt;
  return static_cast<Tag>(message[5]);
}

bool writeMessage(Buffer& out, std::initializer_list<std::string_view> pieces) {
  std::size_t size = 0;
  for (const std::string_view piece : pieces) size += piece.size();
  if (size > kMaxChunkSize) {
    std::string joined;
    joined.reserve(size);
    for (const std::string_view piece : pieces) joined += piece;
    return writeMessage(out, joined);
  }
  if (!out.reserve(out.size() + size + 4)) return false;
  out.append(chunkHeader(size));
  for (const std::string_view piece : pieces) out.append(piece);
  return out.append(kEndMarker);
}

bool writeMessage(Buffer& out, std::string_view payload) {
  const std::size_t chunks = (payload.size() + kMaxChunkSize - 1) / kMaxChunkSize;
  if (!out.reserve(out.size() + payload.size() + 2 * chunks + 2)) return false;
  while (!payload.empty()) {
    const std::size_t size = std::min(payload.size(), kMaxChunkSize);
    out.append(chunkHeader(size));
    out.append(payload.substr(0, size));
    payload.remove_prefix(size);
  }
  return out.append(kEndMarker);
}

bool writeSuccess(Buffer& out, std::initializer_list<Entry> entries) {
  std::string body;
  packstream::addStructureHeader(body, static_cast<std::uint8_t>(Tag::Success), 1);
  packstream::addMapHeader(body, entries.size());
  for (const Entry& entry : entries) {
    packstream::addText(body, entry.key);
    packstream::addText(body, entry.text);
  }
  return writeMessage(out, body);
}

bool writeFailure(Buffer& out, std::string_view code, std::string_view message, std::int64_t retryAfterMs) {
  std::string body;
  packstream::addStructureHeader(body, static_cast<std::uint8_t>(Tag::Failure), 1);
  packstream::addMapHeader(body, retryAfterMs > 0 ? 3 : 2);
  packstream::addText(body, "code");
  packstream::addText(body, code);
  packstream::addText(body, "message");
  packstream::addText(body, message);
  if (retryAfterMs > 0) {
    packstream::addText(body, "retry_after_ms");
    packstream::addInteger(body, retryAfterMs);
  }
  return writeMessage(out, body);
}

bool writeEmptyMessage(Buffer& out, Tag tag) {
  std::string body;
  packstream::addStructureHeader(body, static_cast<std::uint8_t>(tag), 0);
  return writeMessage(out, body);
}

std::optional<Bookmark> parseBookmark(std::string_view text) {
  if (!text.starts_with(kBookmarkPrefix)) return std::nullopt;
  text.remove_prefix(kBookmarkPrefix.size());
  const std::size_t first = text.find(':');
  if (first == std::string_view::npos) return std::nullopt;
  const std::size_t second = text.find(':', first + 1);
  if (second == std::string_view::npos) return std::nullopt;
  Bookmark out;
  if (!readDigits(text.substr(0, first), out.group) ||
      !readDigits(text.substr(first + 1, second - first - 1), out.positionMs)) {
    return std::nullopt;
  }
  out.endpointBookmark = text.substr(second + 1);
  return out;
}

std::string toText(const Bookmark& bookmark) {
  return std::string(kBookmarkPrefix) + std::to_string(bookmark.group) + ":" +
         std::to_string(bookmark.positionMs) + ":" + std::string(bookmark.endpointBookmark);
}

DecodeError checkFields(std::string_view payload, unsigned& fields) {
  if (payload.size() < 2) return DecodeError::Truncated;
  const auto marker = static_cast<unsigned char>(payload[0]);
  if ((marker & 0xF0) != 0xB0) return DecodeError::UnknownMarker;
  fields = marker & 0x0F;
  Reader reader(payload, 2);
  for (unsigned i = 0; i < fields; ++i) {
    if (!reader.skip()) return reader.decodeError();
  }
  return reader.atEnd() ? DecodeError::None : DecodeError::WrongFieldCount;
}

namespace {

bool readBookmarks(Reader& reader, Extra& out, std::string_view& problem) {
  const std::size_t at = reader.at();
  const auto list = reader.header();
  if (list && list->type == Type::Null) return true;
  if (!list || list->type != Type::List) {
    problem = "'bookmarks' holds no list";
    return false;
  }
  if (list->size > kMaxBookmarks) {
    problem = "'bookmarks' holds too many";
    return false;
  }
  for (std::size_t i = 0; i < list->size; ++i) {
    const auto text = reader.text();
    if (!text) {
      problem = "'bookmarks' holds what is no text";
      return false;
    }
    out.bookmarkTexts.push_back(*text);
  }
  out.bookmarks = {at, reader.at() - at};
  return true;
}

// Reads one entry of tx_metadata. Unknown keys are for the endpoints and skipped.
bool readMetadataEntry(Reader& reader, std::string_view key, Extra& out, std::string_view& problem) {
  struct Name {
    std::string_view key;
    std::string_view Extra::*text;
    std::string_view problem;
  };
  constexpr Name kTexts[] = {
      {"class", &Extra::className, "'class' in the metadata is no text"},
      {"id", &Extra::id, "'id' in the metadata is no text"},
      {"key", &Extra::key, "'key' in the metadata is no text"},
      {"family", &Extra::family, "'family' in the metadata is no text"},
      {"session", &Extra::session, "'session' in the metadata is no text"},
  };
  for (const Name& name : kTexts) {
    if (key != name.key) continue;
    const auto text = reader.text();
    if (!text || text->empty()) problem = name.problem;
    if (text) out.*name.text = *text;
    return problem.empty();
  }
  const bool deadline = key == "deadline";
  const bool cluster = key == "cluster";
  const bool repeat = key == "repeat";
  if (!deadline && !cluster && !repeat) return reader.skip();
  const auto value = reader.header();
  if (repeat) {
    if (!value || value->type != Type::Boolean)
      problem = "'repeat' in the metadata is neither true nor false";
    if (value) out.isClientRetry = value->boolean;
    return problem.empty();
  }
  if (!value || value->type != Type::Integer || value->integer < 0) {
    problem = deadline ? "'deadline' in the metadata is no time" : "'cluster' in the metadata is no number";
    return false;
  }
  if (deadline) out.metadataTimeoutMs = value->integer;
  if (cluster && value->integer > 0xFFFFFFFFLL) problem = "'cluster' in the metadata is out of range";
  if (cluster) out.cluster = static_cast<std::uint32_t>(value->integer);
  return problem.empty();
}

bool readMetadata(Reader& reader, Extra& out, std::string_view& problem) {
  const auto map = reader.header();
  if (map && map->type == Type::Null) return true;
  if (!map || map->type != Type::Map) {
    problem = "'tx_metadata' holds no map";
    return false;
  }
  for (std::size_t i = 0; i < map->size; ++i) {
    const auto key = reader.text();
    if (!key || !readMetadataEntry(reader, *key, out, problem)) return false;
  }
  return true;
}

}  // namespace

std::optional<Extra> readExtra(std::string_view payload, Tag tag, std::string_view& problem) {
  problem = {};
  Reader reader(payload, 2);
  // In RUN the statement and its parameters precede the map.
  for (unsigned i = 0; tag == Tag::Run && i < 2; ++i) reader.skip();
  const auto map = reader.header();
  if (!map || map->type != Type::Map) {
    problem = "the last field is no map";
    return std::nullopt;
  }
  Extra out;
  for (std::size_t i = 0; i < map->size; ++i) {
    const auto key = reader.text();
    if (!key) return std::nullopt;
    if (*key == "mode") {
      const auto mode = reader.text();
      // Only mode "r" is a read; any other request may write.
      if (!mode || (*mode != "r" && *mode != "w")) problem = "'mode' is neither r nor w";
      out.isRead = mode && *mode == "r";
    } else if (*key == "tx_timeout") {
      const std::size_t before = reader.at();
      const auto value = reader.header();
      if (value && value->type == Type::Null) continue;
      if (!value || value->type != Type::Integer || value->integer < 0) problem = "'tx_timeout' is no time";
      // 0 means no timeout.
      if (value && value->integer > 0) {
        out.timeoutMs = value->integer;
        out.timeout = {before, reader.at() - before};
      }
    } else if (*key == "bookmarks") {
      readBookmarks(reader, out, problem);
    } else if (*key == "tx_metadata") {
      readMetadata(reader, out, problem);
    } else {
      reader.skip();
    }
    if (!problem.empty()) return std::nullopt;
  }
  return out;
}

std::optional<Summary> readSummary(std::string_view payload) {
  unsigned fields = 0;
  if (checkFields(payload, fields) != DecodeError::None || fields != 1) return std::nullopt;
  Reader reader(payload, 2);
  const auto map = reader.header();
  if (!map || map->type != Type::Map) return std::nullopt;
  Summary out;
  out.entries = map->size;
  out.entriesAt = reader.at();
  for (std::size_t i = 0; i < map->size; ++i) {
    const std::size_t before = reader.at();
    const auto key = reader.text();
    const auto value = reader.header();
    if (!key || !value) return std::nullopt;
    if (value->type == Type::Text) {
      const std::string_view text = reader.of(*value);
      if (*key == kRoleKey && text == "read-write") out.primary = true;
      if (*key == kRoleKey && text == "read-only") out.primary = false;
      if (*key == kReportKey) out.report = {value->at, value->size};
      if (*key == "code") out.code = text;
      if (*key == "bookmark") {
        out.bookmark = {value->at, value->size};
        out.bookmarkEntry = {before, reader.at() - before};
      }
    } else if (value->type == Type::Integer) {
      if (*key == kPositionKey && value->integer > 0) out.positionMs = value->integer;
    } else if (value->type == Type::Boolean) {
      if (*key == "has_more") out.hasMore = value->boolean;
    } else if (value->type == Type::List || value->type == Type::Map || value->type == Type::Structure) {
      if (*key == "fields" && value->type == Type::List) out.hasFields = true;
      // The nested values are skipped; they have been checked.
      const std::size_t parts = value->type == Type::Map ? 2 * value->size : value->size;
      for (std::size_t part = 0; part < parts; ++part) {
        if (!reader.skip()) return std::nullopt;
      }
    }
  }
  return out;
}

}  // namespace heathflow::protocol::bolt
