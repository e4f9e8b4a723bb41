#include "protocol/http_response.h"

#include <algorithm>
#include <charconv>

namespace heathflow::protocol {
namespace {

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kMaxRetryAfterSeconds = 86'400;

char toLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool equalsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return toLower(x) == toLower(y); });
}

std::string_view trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Returns whether a list such as "gzip, chunked" contains a word.
bool listContains(std::string_view value, std::string_view word) {
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    if (equalsIgnoreCase(trim(value.substr(0, comma)), word)) return true;
    value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
  }
  return false;
}

bool readSize(std::string_view text, int base, std::size_t& out) {
  if (text.empty()) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return error == std::errc() && end == text.data() + text.size();
}

}  // namespace

std::size_t HttpResponse::feed(std::string_view bytes) {
  std::size_t at = 0;
  while (at < bytes.size() && state_ == State::Reading) {
    started_ = true;
    const std::string_view rest = bytes.substr(at);
    if (section_ == Section::Length || section_ == Section::Chunk || section_ == Section::UntilClose) {
      const std::size_t size =
          section_ == Section::UntilClose ? rest.size() : std::min(remaining_, rest.size());
      addBody(rest.substr(0, size));
      at += size;
      if (section_ == Section::UntilClose || (remaining_ -= size) != 0) continue;
      if (section_ == Section::Length) state_ = State::Complete;
      if (section_ == Section::Chunk) section_ = Section::ChunkEnd;
      continue;
    }
    const std::size_t end = rest.find('\n');
    const std::size_t size = end == std::string_view::npos ? rest.size() : end;
    headerBytes_ += size;
    if (headerBytes_ > kMaxHeaderBytes) {
      malformed();
      break;
    }
    line_ += rest.substr(0, size);
    at += size;
    if (end == std::string_view::npos) break;
    ++at;
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    const std::string text = std::move(line_);
    line_.clear();
    handleLine(text);
  }
  return at;
}

void HttpResponse::handleLine(std::string_view text) {
  switch (section_) {
    case Section::StatusLine:
      return handleStatusLine(text);
    case Section::Headers:
      return text.empty() ? handleHeadersEnd() : handleHeader(text);
    case Section::ChunkSize:
      headerBytes_ = 0;
      return handleChunkSize(text);
    case Section::ChunkEnd:
      if (!text.empty()) return malformed();
      section_ = Section::ChunkSize;
      return;
    case Section::Trailers:
      if (text.empty()) state_ = State::Complete;
      return;
    default:
      return;
  }
}

void HttpResponse::handleStatusLine(std::string_view text) {
  if (text.size() < 12 || text.substr(0, 7) != "HTTP/1." || text[8] != ' ') return malformed();
  keepAlive_ = text[7] != '0';
  std::size_t status = 0;
  if (!readSize(text.substr(9, 3), 10, status) || status < 100) return malformed();
  if (text.size() > 12 && text[12] != ' ') return malformed();
  status_ = static_cast<int>(status);
  section_ = Section::Headers;
}

void HttpResponse::handleHeader(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos || colon == 0) return malformed();
  const std::string_view name = text.substr(0, colon);
  const std::string_view value = trim(text.substr(colon + 1));
  if (equalsIgnoreCase(name, "content-length")) {
    std::size_t length = 0;
    if (!readSize(value, 10, length) || length > bodyLimit_ || (lengthKnown_ && length != remaining_))
      return malformed();
    remaining_ = length;
    lengthKnown_ = true;
  } else if (equalsIgnoreCase(name, "transfer-encoding")) {
    chunked_ = listContains(value, "chunked");
    if (!chunked_) return malformed();  // other codings are not supported
  } else if (equalsIgnoreCase(name, "connection")) {
    if (listContains(value, "close")) keepAlive_ = false;
    if (listContains(value, "keep-alive")) keepAlive_ = true;
  } else if (equalsIgnoreCase(name, "retry-after")) {
    // A date is ignored, because the clocks of both sides may differ.
    std::size_t seconds = 0;
    if (readSize(value, 10, seconds) && seconds <= kMaxRetryAfterSeconds)
      retryAfter_ = static_cast<std::uint32_t>(seconds);
  }
}

void HttpResponse::handleHeadersEnd() {
  headerBytes_ = 0;
  if (status_ < 200) {
    // An interim response: the final one follows.
    section_ = Section::StatusLine;
  } else if (status_ == 204 || status_ == 304) {
    state_ = State::Complete;
  } else if (chunked_) {
    section_ = Section::ChunkSize;
  } else if (lengthKnown_) {
    section_ = Section::Length;
    if (remaining_ == 0) state_ = State::Complete;
  } else {
    section_ = Section::UntilClose;
    keepAlive_ = false;
  }
}

void HttpResponse::handleChunkSize(std::string_view text) {
  if (!readSize(trim(text.substr(0, text.find(';'))), 16, remaining_) || remaining_ > bodyLimit_)
    return malformed();
  section_ = remaining_ == 0 ? Section::Trailers : Section::Chunk;
}

void HttpResponse::addBody(std::string_view bytes) {
  if (body_.size() + bytes.size() > bodyLimit_) return malformed();
  body_ += bytes;
}

void HttpResponse::onConnectionClosed() {
  if (state_ != State::Reading) return;
  state_ = section_ == Section::UntilClose ? State::Complete : State::Malformed;
}

}  // namespace heathflow::protocol
