#include "wirehost/codec.h"

#include <bit>
#include <cstring>

namespace heathflow::wirehost {
namespace {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian and copied as it is");

constexpr std::size_t kReplyHeaderSize = 8;
constexpr std::size_t kEndpointSize = 6;
constexpr std::size_t kEntrySize = 27;

class Cursor {
 public:
  Cursor(std::string_view bytes, std::size_t at) : bytes_(bytes), at_(at) {}

  template <typename T>
  T get() {
    need(sizeof(T));
    T value;
    std::memcpy(&value, bytes_.data() + at_, sizeof(T));
    at_ += sizeof(T);
    return value;
  }
  WireEndpoint endpoint() {
    need(kEndpointSize);
    WireEndpoint value = 0;
    std::memcpy(&value, bytes_.data() + at_, kEndpointSize);
    at_ += kEndpointSize;
    return value;
  }
  std::string_view view(std::size_t size) {
    need(size);
    const auto part = bytes_.substr(at_, size);
    at_ += size;
    return part;
  }
  std::vector<float> report() {
    std::vector<float> values(get<std::uint8_t>());
    for (float& value : values) value = get<float>();
    return values;
  }
  std::vector<Entry> entries() {
    const std::size_t count = get<std::uint32_t>();
    if (count > (bytes_.size() - at_) / kEntrySize)
      throw FrameError("a record runs past the end of its frame");
    std::vector<Entry> rows(count);
    for (Entry& row : rows) {
      row.kind = get<std::uint8_t>();
      row.cluster = get<std::uint16_t>();
      row.status = get<std::uint8_t>();
      row.endpoint = endpoint();
      row.startedAt = get<std::uint64_t>();
      row.nominal = get<float>();
      row.listedPrimary = get<float>();
      row.zone = get<std::uint8_t>();
    }
    return rows;
  }
  std::size_t position() const { return at_; }

 private:
  void need(std::size_t size) const {
    if (bytes_.size() - at_ < size) throw FrameError("a record runs past the end of its frame");
  }
  std::string_view bytes_;
  std::size_t at_;
};

// Braced lists evaluate left to right, so the fields are read in the order of the wire.
Record decodeRecord(Cursor& in) {
  const auto code = in.get<std::uint16_t>();
  switch (code) {
    case 1:
      return LeftRecord{in.get<std::uint32_t>()};
    case 2: {
      const auto buffer = in.get<std::uint32_t>();
      return ListRecord{buffer, in.entries()};
    }
    case 3:
      return KillRecord{};
    case 4:
      return EstablishedRecord{in.get<std::uint32_t>(), in.get<std::uint32_t>(), in.get<std::uint16_t>(),
                               in.endpoint()};
    case 5:
      return EndpointsRecord{in.get<std::uint32_t>(), in.get<std::uint8_t>(), in.get<std::uint32_t>()};
    case 6:
      return ForRecord{in.get<std::uint32_t>()};
    case 7:
      return AttemptEndRecord{
          in.get<std::uint32_t>(), in.get<std::uint16_t>(), in.endpoint(),           in.get<std::uint16_t>(),
          in.get<std::uint32_t>(), in.get<std::uint8_t>(),  in.get<std::uint32_t>(), in.report()};
    case 8:
      return PingRecord{in.endpoint(), in.get<std::uint16_t>(), in.get<std::uint32_t>(), in.report()};
    case 9: {
      const auto seed = in.get<std::uint64_t>();
      const auto size = in.get<std::uint32_t>();
      return InitRecord{seed, in.view(size)};
    }
    case 10:
      return RingRecord{in.get<std::uint64_t>()};
    case 11:
      return CallRecord{in.get<std::uint32_t>(), in.get<float>(),         in.get<std::uint16_t>(),
                        in.get<std::uint32_t>(), in.get<float>(),         in.get<std::uint16_t>(),
                        in.get<std::uint64_t>(), in.get<std::uint16_t>(), in.get<std::uint64_t>()};
    case 12: {
      const auto from = in.get<std::uint16_t>();
      const auto size = in.get<std::uint16_t>();
      return PeerRecord{from, in.view(size)};
    }
    default:
      throw FrameError("unknown record code " + std::to_string(code));
  }
}

}  // namespace

BatchHeader decodeHeader(std::string_view bytes) {
  if (bytes.size() < kBatchHeaderSize) throw FrameError("the frame ends inside its header");
  Cursor in(bytes, 0);
  const BatchHeader header{in.get<std::uint64_t>(), in.get<std::uint32_t>(), in.get<std::uint32_t>()};
  if (header.length < kBatchHeaderSize) throw FrameError("the frame's length is shorter than its header");
  return header;
}

bool RecordReader::next(Record& record) {
  if (left_ == 0) {
    if (at_ != body_.size()) throw FrameError("the frame is longer than its records");
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

void ReplyWriter::begin(std::uint16_t code) {
  put(code);
  ++records_;
}

void ReplyWriter::clear() {
  bytes_.assign(kReplyHeaderSize, '\0');
  records_ = 0;
}

void ReplyWriter::at(std::uint32_t instance) {
  begin(8);
  put(instance);
}

void ReplyWriter::forward(std::uint32_t request, WireEndpoint endpoint, std::uint64_t abandonAt) {
  begin(11);
  put(request);
  putEndpoint(endpoint);
  put(abandonAt);
}

void ReplyWriter::reject(std::uint32_t request, std::uint32_t notBeforeFor) {
  begin(13);
  put(request);
  put(notBeforeFor);
}

void ReplyWriter::error(std::uint32_t request) {
  begin(10);
  put(request);
}

void ReplyWriter::callOff(std::uint32_t request, std::uint16_t attempt) {
  begin(5);
  put(request);
  put(attempt);
}

void ReplyWriter::defer(std::uint64_t label, std::uint32_t after) {
  begin(12);
  put(label);
  put(after);
}

void ReplyWriter::streamChanges(bool on) {
  begin(7);
  put(static_cast<std::uint8_t>(on ? 1 : 0));
}

void ReplyWriter::putEndpoint(WireEndpoint endpoint) {
  bytes_.append(reinterpret_cast<const char*>(&endpoint), kEndpointSize);
}

void ReplyWriter::inspect(WireEndpoint endpoint) {
  begin(1);
  putEndpoint(endpoint);
}

void ReplyWriter::release(WireEndpoint endpoint) {
  begin(4);
  putEndpoint(endpoint);
}

const std::string& ReplyWriter::finish() {
  const auto length = static_cast<std::uint32_t>(bytes_.size());
  std::memcpy(bytes_.data(), &length, sizeof(length));
  std::memcpy(bytes_.data() + sizeof(length), &records_, sizeof(records_));
  return bytes_;
}

}  // namespace heathflow::wirehost
