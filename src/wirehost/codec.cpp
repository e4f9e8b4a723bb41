#include "wirehost/codec.h"

#include <bit>
#include <cstring>

namespace heathflow::wirehost {
namespace {

static_assert(std::endian::native == std::endian::little,
              "the wire format is little-endian and copied without conversion");

constexpr std::size_t kReplyHeaderSize = 8;
constexpr std::size_t kEndpointSize = 6;
constexpr std::size_t kListEntrySize = 27;

class Cursor {
 public:
  Cursor(std::string_view bytes, std::size_t at) : bytes_(bytes), at_(at) {}

  template <typename T>
  T get() {
    require(sizeof(T));
    T value;
    std::memcpy(&value, bytes_.data() + at_, sizeof(T));
    at_ += sizeof(T);
    return value;
  }
  WireEndpoint endpoint() {
    require(kEndpointSize);
    WireEndpoint value = 0;
    std::memcpy(&value, bytes_.data() + at_, kEndpointSize);
    at_ += kEndpointSize;
    return value;
  }
  std::string_view view(std::size_t size) {
    require(size);
    const auto part = bytes_.substr(at_, size);
    at_ += size;
    return part;
  }
  std::vector<float> report() {
    std::vector<float> values(get<std::uint8_t>());
    for (float& value : values) value = get<float>();
    return values;
  }
  std::vector<ListEntry> entries() {
    const std::size_t count = get<std::uint32_t>();
    if (count > (bytes_.size() - at_) / kListEntrySize)
      throw FrameError("a record extends beyond the end of its frame");
    std::vector<ListEntry> entries(count);
    for (ListEntry& entry : entries) {
      entry.kind = get<std::uint8_t>();
      entry.cluster = get<std::uint16_t>();
      entry.status = get<std::uint8_t>();
      entry.endpoint = endpoint();
      entry.startedAt = get<std::uint64_t>();
      entry.nominalSize = get<float>();
      entry.listedPrimary = get<float>();
      entry.zone = get<std::uint8_t>();
    }
    return entries;
  }
  std::size_t position() const { return at_; }

 private:
  void require(std::size_t size) const {
    if (bytes_.size() - at_ < size) throw FrameError("a record extends beyond the end of its frame");
  }
  std::string_view bytes_;
  std::size_t at_;
};

// Braced lists are evaluated from left to right, so the fields are read in wire order.
Record decodeRecord(Cursor& in) {
  const auto code = in.get<std::uint16_t>();
  switch (code) {
    case 1:
      return ClientDisconnectRecord{in.get<std::uint32_t>()};
    case 2: {
      const auto listId = in.get<std::uint32_t>();
      return EndpointListRecord{listId, in.entries()};
    }
    case 3:
      return StopInstanceRecord{};
    case 4:
      return ResponseStreamingRecord{in.get<std::uint32_t>(), in.get<std::uint32_t>(),
                                     in.get<std::uint16_t>(), in.endpoint()};
    case 5:
      return EndpointsChangedRecord{in.get<std::uint32_t>(), in.get<std::uint8_t>(), in.get<std::uint32_t>()};
    case 6:
      return SelectInstanceRecord{in.get<std::uint32_t>()};
    case 7:
      return AttemptEndRecord{
          in.get<std::uint32_t>(), in.get<std::uint16_t>(), in.endpoint(),           in.get<std::uint16_t>(),
          in.get<std::uint32_t>(), in.get<std::uint8_t>(),  in.get<std::uint32_t>(), in.report()};
    case 8:
      return HealthCheckEndRecord{in.endpoint(), in.get<std::uint16_t>(), in.get<std::uint32_t>(),
                                  in.report()};
    case 9: {
      const auto seed = in.get<std::uint64_t>();
      const auto size = in.get<std::uint32_t>();
      return StartInstanceRecord{seed, in.view(size)};
    }
    case 10:
      return TimerRecord{in.get<std::uint64_t>()};
    case 11:
      return RequestRecord{in.get<std::uint32_t>(), in.get<float>(),         in.get<std::uint16_t>(),
                           in.get<std::uint32_t>(), in.get<float>(),         in.get<std::uint16_t>(),
                           in.get<std::uint64_t>(), in.get<std::uint16_t>(), in.get<std::uint64_t>()};
    case 12: {
      const auto from = in.get<std::uint16_t>();
      const auto size = in.get<std::uint16_t>();
      return PeerMessageRecord{from, in.view(size)};
    }
    default:
      throw FrameError("unknown record code " + std::to_string(code));
  }
}

}  // namespace

BatchHeader decodeHeader(std::string_view bytes) {
  if (bytes.size() < kBatchHeaderSize) throw FrameError("the frame is shorter than its header");
  Cursor in(bytes, 0);
  const BatchHeader header{in.get<std::uint64_t>(), in.get<std::uint32_t>(), in.get<std::uint32_t>()};
  if (header.length < kBatchHeaderSize)
    throw FrameError("the frame's length field is smaller than its header");
  return header;
}

bool RecordReader::next(Record& record) {
  if (left_ == 0) {
    if (at_ != body_.size()) throw FrameError("the frame has bytes after its last record");
    return false;
  }
  Cursor in(body_, at_);
  record = decodeRecord(in);
  at_ = in.position();
  --left_;
  return true;
}

template <typename T>
void ReplyWriter::put(T value) {
  char raw[sizeof(T)];
  std::memcpy(raw, &value, sizeof(T));
  bytes_.append(raw, sizeof(T));
}

void ReplyWriter::beginRecord(std::uint16_t code) {
  put(code);
  ++records_;
}

void ReplyWriter::clear() {
  bytes_.assign(kReplyHeaderSize, '\0');
  records_ = 0;
}

void ReplyWriter::selectInstance(std::uint32_t instance) {
  beginRecord(8);
  put(instance);
}

void ReplyWriter::sendAttempt(std::uint32_t request, WireEndpoint endpoint, std::uint64_t abandonAt) {
  beginRecord(11);
  put(request);
  putEndpoint(endpoint);
  put(abandonAt);
}

void ReplyWriter::rejectRequest(std::uint32_t request, std::uint32_t retryAfter) {
  beginRecord(13);
  put(request);
  put(retryAfter);
}

void ReplyWriter::failRequest(std::uint32_t request) {
  beginRecord(10);
  put(request);
}

void ReplyWriter::cancelAttempt(std::uint32_t request, std::uint16_t attempt) {
  beginRecord(5);
  put(request);
  put(attempt);
}

void ReplyWriter::setTimer(std::uint64_t token, std::uint32_t after) {
  beginRecord(12);
  put(token);
  put(after);
}

void ReplyWriter::subscribe(bool on) {
  beginRecord(7);
  put(static_cast<std::uint8_t>(on ? 1 : 0));
}

void ReplyWriter::putEndpoint(WireEndpoint endpoint) {
  bytes_.append(reinterpret_cast<const char*>(&endpoint), kEndpointSize);
}

void ReplyWriter::startHealthCheck(WireEndpoint endpoint) {
  beginRecord(1);
  putEndpoint(endpoint);
}

void ReplyWriter::closeIdleConnections(WireEndpoint endpoint) {
  beginRecord(4);
  putEndpoint(endpoint);
}

const std::string& ReplyWriter::finish() {
  const auto length = static_cast<std::uint32_t>(bytes_.size());
  std::memcpy(bytes_.data(), &length, sizeof(length));
  std::memcpy(bytes_.data() + sizeof(length), &records_, sizeof(records_));
  return bytes_;
}

}  // namespace heathflow::wirehost
