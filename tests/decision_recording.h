// Recordings of one gateway's decisions: its events as frames of the simulator's wire, and the replies to
// them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "wirehost/codec.h"
#include "wirehost/host.h"

namespace heathflow::test {

inline std::string frame(std::uint64_t clock, std::uint32_t records, const std::string& body) {
  std::string out;
  const auto length = static_cast<std::uint32_t>(wirehost::kBatchHeaderSize + body.size());
  out.append(reinterpret_cast<const char*>(&clock), sizeof(clock));
  out.append(reinterpret_cast<const char*>(&length), sizeof(length));
  out.append(reinterpret_cast<const char*>(&records), sizeof(records));
  return out + body;
}

// Keeps of each batch what concerns one instance.
class DecisionRecorder {
 public:
  explicit DecisionRecorder(std::uint32_t instance) : instance_(instance) {}

  // Returns the frame to keep, empty where the batch has nothing for the instance.
  std::string take(const wirehost::BatchHeader& header, std::string_view body) {
    wirehost::RecordReader reader(body, header.records);
    wirehost::Record record;
    std::size_t begin = 0;
    bool selected = false;
    bool any = false;
    while (reader.next(record)) {
      const std::string_view bytes = body.substr(begin, reader.position() - begin);
      begin = reader.position();
      if (const auto* target = std::get_if<wirehost::SelectInstanceRecord>(&record)) {
        selected = target->instance == instance_;
      } else {
        const bool list = std::holds_alternative<wirehost::EndpointListRecord>(record);
        any = any || (selected && !list);
        if (!selected && !list) continue;
      }
      if (selected || !std::holds_alternative<wirehost::SelectInstanceRecord>(record)) {
        kept_ += bytes;
        ++records_;
      }
    }
    if (!any) return {};
    std::string out = frame(header.clock, records_, kept_);
    kept_.clear();
    records_ = 0;
    return out;
  }

 private:
  std::uint32_t instance_;
  std::string kept_;  // with lists of batches that had nothing else for the instance
  std::uint32_t records_ = 0;
};

// The replies to recorded frames, one after the other.
inline std::string replay(std::string_view events) {
  wirehost::Host host;
  std::string actions;
  while (!events.empty()) {
    const auto header = wirehost::decodeHeader(events);
    const auto body = events.substr(wirehost::kBatchHeaderSize, header.length - wirehost::kBatchHeaderSize);
    actions += host.handle(header, body);
    events.remove_prefix(header.length);
  }
  return actions;
}

}  // namespace heathflow::test
