// An incremental parser for HTTP/1.1 responses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heathflow::protocol {

class HttpResponse {
 public:
  enum class State { Reading, Complete, Malformed };

  explicit HttpResponse(std::size_t bodyLimit) : bodyLimit_(bodyLimit) {}

  // Parses bytes up to the end of this response. Returns how many it has used.
  std::size_t feed(std::string_view bytes);
  // Must be called when the connection has ended, which also ends a body without a length.
  void onConnectionClosed();

  State state() const { return state_; }
  int status() const { return status_; }
  const std::string& body() const { return body_; }
  bool keepAlive() const { return keepAlive_; }
  bool started() const { return started_; }
  // Returns the seconds of a Retry-After header; nothing if it is missing, a date or more than a day (RFC
  // 9110, 10.2.3).
  std::optional<std::uint32_t> retryAfter() const { return retryAfter_; }

 private:
  enum class Section { StatusLine, Headers, Length, Chunk, ChunkSize, ChunkEnd, Trailers, UntilClose };
  void handleLine(std::string_view text);
  void handleStatusLine(std::string_view text);
  void handleHeader(std::string_view text);
  void handleHeadersEnd();
  void handleChunkSize(std::string_view text);
  void addBody(std::string_view bytes);
  void malformed() { state_ = State::Malformed; }

  std::size_t bodyLimit_;
  State state_ = State::Reading;
  Section section_ = Section::StatusLine;
  std::string line_;
  std::size_t headerBytes_ = 0;
  int status_ = 0;
  bool started_ = false;
  bool keepAlive_ = true;
  bool chunked_ = false;
  bool lengthKnown_ = false;
  std::size_t remaining_ = 0;  // bytes of the body or of the current chunk
  std::string body_;
  std::optional<std::uint32_t> retryAfter_;
};

}  // namespace heathflow::protocol
