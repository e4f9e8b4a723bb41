// The state that a gateway stores on disk for its next start, if the settings name a file: the endpoint list
// with its source and the time at which it was correct, the cost of a call for the list service, the average
// latency, and the number of early crashes. It contains no log position. trustInCachedList() decides how long
// the parts of the list are used.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/cached_list_trust.h"
#include "files/files.h"
#include "protocol/endpoint_list.h"

namespace heathflow::snapshot {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

struct Snapshot {
  std::string name;                // of the gateway
  std::int64_t writtenAt = 0;      // Unix microseconds
  std::int64_t listValidAsOf = 0;  // the latest time at which the list was known to be correct; 0: no list
  std::string source;              // the address of the list service that sent the list; empty: unknown
  protocol::EndpointList list;
  std::optional<Micros> callCost;  // of the list service
  Micros initialLatency = 0;       // of an average request; 0: unknown
  unsigned earlyCrashes = 0;  // in a row; includes the running process until it has run for kEarlyCrashTime
};

// Returns the content of a file: a magic text, a version, a checksum (xxHash) and the snapshot (MessagePack).
std::string encode(const Snapshot& snapshot);
// Decodes the content of a file. Returns std::nullopt and sets 'problem' if the bytes are truncated, damaged,
// of another gateway or of an unknown version.
// @param name the name of this gateway.
std::optional<Snapshot> decode(std::string_view bytes, const std::string& name, std::string& problem);

// Returns the parts of the list that can be trusted at the given time; std::nullopt if it must not be used.
std::optional<protocol::EndpointList> trustedList(const Snapshot& snapshot, Micros now,
                                                  const discovery::CachedListSettings& settings);

// Reads a file. A file with unusable content is renamed to end in ".unusable"; one that can't be read stays
// in place. In both cases 'problem' is set. Returns std::nullopt without a problem if the file does not
// exist.
std::optional<Snapshot> load(const std::string& path, const std::string& name, std::string& problem);
// Replaces the file atomically. Returns false and sets 'problem' on failure.
bool save(const std::string& path, const Snapshot& snapshot, files::Durable durable, std::string& problem);

}  // namespace heathflow::snapshot
