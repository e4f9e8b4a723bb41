// The simulator's wire format: frames of little-endian, unpadded records. A record does not state its length,
// so one with an unknown code can't be skipped.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathflow::wirehost {

class FrameError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

using WireEndpoint = std::uint64_t;  // the four address bytes and the port, in wire order, as one value

struct ListEntry {
  std::uint8_t kind = 0;
  std::uint16_t cluster = 0;
  std::uint8_t status = 0;
  WireEndpoint endpoint = 0;
  std::uint64_t startedAt = 0;
  float nominalSize = 1;
  float listedPrimary = 0;
  std::uint8_t zone = 0;
};

struct SelectInstanceRecord {
  std::uint32_t instance;
};
struct StartInstanceRecord {
  std::uint64_t seed;
  std::string_view settings;
};
struct EndpointListRecord {
  std::uint32_t listId;
  std::vector<ListEntry> entries;
};
struct EndpointsChangedRecord {
  std::uint32_t listId;
  std::uint8_t scope;
  std::uint32_t version;
};
struct RequestRecord {
  std::uint32_t request;
  float group;
  std::uint16_t classIndex;
  std::uint32_t estimatedWork;
  float tokenAgeMs;
  std::uint16_t tenant;
  std::uint64_t session;
  std::uint16_t attributes;
  std::uint64_t deadline;
};
struct ResponseStreamingRecord {
  std::uint32_t request;
  std::uint32_t elapsed;
  std::uint16_t attempt;
  WireEndpoint endpoint;
};
struct HealthCheckEndRecord {
  WireEndpoint endpoint;
  std::uint16_t status;
  std::uint32_t elapsed;
  std::vector<float> report;
};
struct AttemptEndRecord {
  std::uint32_t request;
  std::uint16_t attempt;
  WireEndpoint endpoint;
  std::uint16_t status;
  std::uint32_t elapsed;
  std::uint8_t requestFinished;
  std::uint32_t roleAndPosition;
  std::vector<float> report;
};
struct TimerRecord {
  std::uint64_t token;
};
struct PeerMessageRecord {
  std::uint16_t from;
  std::string_view payload;
};
struct ClientDisconnectRecord {
  std::uint32_t request;
};
struct StopInstanceRecord {};
using Record =
    std::variant<SelectInstanceRecord, StartInstanceRecord, EndpointListRecord, EndpointsChangedRecord,
                 RequestRecord, ResponseStreamingRecord, HealthCheckEndRecord, AttemptEndRecord, TimerRecord,
                 PeerMessageRecord, ClientDisconnectRecord, StopInstanceRecord>;

inline constexpr std::size_t kBatchHeaderSize = 16;

struct BatchHeader {
  std::uint64_t clock = 0;
  std::uint32_t length = 0;  // of the frame, header included
  std::uint32_t records = 0;
};

// Reads a header. Throws FrameError if the header is incomplete, or the frame's length in it is smaller than
// a header.
BatchHeader decodeHeader(std::string_view bytes);

// Reads the records after a header, one at a time. Views point into the given bytes.
class RecordReader {
 public:
  RecordReader(std::string_view body, std::uint32_t records) : body_(body), left_(records) {}
  bool next(Record& record);  // returns false at the end; throws FrameError on malformed input
  // Returns how many bytes of the body have been read.
  std::size_t position() const { return at_; }

 private:
  std::string_view body_;
  std::size_t at_ = 0;
  std::uint32_t left_;
};

// Builds one reply frame.
class ReplyWriter {
 public:
  ReplyWriter() { clear(); }
  void clear();
  void selectInstance(std::uint32_t instance);
  void sendAttempt(std::uint32_t request, WireEndpoint endpoint, std::uint64_t abandonAt);
  void rejectRequest(std::uint32_t request, std::uint32_t retryAfter);
  void failRequest(std::uint32_t request);
  void cancelAttempt(std::uint32_t request, std::uint16_t attempt);
  void setTimer(std::uint64_t token, std::uint32_t after);
  void subscribe(bool on);
  void startHealthCheck(WireEndpoint endpoint);
  void closeIdleConnections(WireEndpoint endpoint);
  const std::string& finish();  // fills in the header

 private:
  template <typename T>
  void put(T value);
  void putEndpoint(WireEndpoint endpoint);
  void beginRecord(std::uint16_t code);
  std::string bytes_;
  std::uint32_t records_ = 0;
};

}  // namespace heathflow::wirehost
