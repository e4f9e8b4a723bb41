// Frames of the simulator's wire: little-endian, unpadded records without lengths of their own.
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

struct Entry {
  std::uint8_t kind = 0;
  std::uint16_t cluster = 0;
  std::uint8_t status = 0;
  WireEndpoint endpoint = 0;
  std::uint64_t startedAt = 0;
  float nominal = 1;
  float listedPrimary = 0;
  std::uint8_t zone = 0;
};

struct ForRecord {
  std::uint32_t instance;
};
struct InitRecord {
  std::uint64_t seed;
  std::string_view settings;
};
struct ListRecord {
  std::uint32_t buffer;
  std::vector<Entry> rows;
};
struct EndpointsRecord {
  std::uint32_t buffer;
  std::uint8_t scope;
  std::uint32_t version;
};
struct CallRecord {
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
struct EstablishedRecord {
  std::uint32_t request;
  std::uint32_t elapsed;
  std::uint16_t attempt;
  WireEndpoint endpoint;
};
struct PingRecord {
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
  std::uint8_t done;
  std::uint32_t progress;
  std::vector<float> report;
};
struct RingRecord {
  std::uint64_t label;
};
struct PeerRecord {
  std::uint16_t from;
  std::string_view payload;
};
struct LeftRecord {
  std::uint32_t request;
};
struct KillRecord {};
using Record = std::variant<ForRecord, InitRecord, ListRecord, EndpointsRecord, CallRecord, EstablishedRecord,
                            PingRecord, AttemptEndRecord, RingRecord, PeerRecord, LeftRecord, KillRecord>;

inline constexpr std::size_t kBatchHeaderSize = 16;

struct BatchHeader {
  std::uint64_t clock = 0;
  std::uint32_t length = 0;  // header included
  std::uint32_t records = 0;
};

// Reads a header; throws FrameError when it is short or its length cannot hold a header.
BatchHeader decodeHeader(std::string_view bytes);

// Reads the records behind a header, one at a time; views point into the given bytes.
class RecordReader {
 public:
  RecordReader(std::string_view body, std::uint32_t records) : body_(body), left_(records) {}
  bool next(Record& record);  // false at the end; throws FrameError on malformed input
  // How many bytes of the body have been read.
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
  void at(std::uint32_t instance);
  void forward(std::uint32_t request, WireEndpoint endpoint, std::uint64_t abandonAt);
  void reject(std::uint32_t request, std::uint32_t notBeforeFor);
  void error(std::uint32_t request);
  void callOff(std::uint32_t request, std::uint16_t attempt);
  void defer(std::uint64_t label, std::uint32_t after);
  void streamChanges(bool on);
  void inspect(WireEndpoint endpoint);
  void release(WireEndpoint endpoint);
  const std::string& finish();  // fills in the header

 private:
  template <typename T>
  void put(T value);
  void putEndpoint(WireEndpoint endpoint);
  void begin(std::uint16_t code);
  std::string bytes_;
  std::uint32_t records_ = 0;
};

}  // namespace heathflow::wirehost
