// What a gateway keeps on disk for its next life, where a lasting disk is allowed: the list and when it was
// true, what calls cost the service, and how its lives ended. Never a position, nor a role beyond its time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/cached_list_trust.h"
#include "files/files.h"
#include "protocol/endpoint_list.h"

namespace heathflow::snapshot {

using Micros = std::int64_t;

struct Snapshot {
  std::string name;             // of the gateway
  std::int64_t writtenAt = 0;   // Unix microseconds
  std::int64_t listTrueAt = 0;  // the newest time at which the list was known to hold; 0: there is none
  std::string source;           // of the list: where its service was; empty: not known
  protocol::EndpointList list;
  std::optional<Micros> callCost;  // of the list service
  Micros initialLatency = 0;       // what a request took the endpoints; 0: not known
  unsigned youngDeaths = 0;        // lives in a row that ended young, this one counted until it is not
};

// A file's bytes: a mark, a version, a checksum (xxHash) and the content (MessagePack).
std::string encode(const Snapshot& snapshot);
// Nothing where the bytes are cut, damaged, of another gateway or of a version that is not known; then
// 'problem' says which.
std::optional<Snapshot> decode(std::string_view bytes, const std::string& name, std::string& problem);

// The list as far as it may be believed at a time; nothing where it may not be used.
std::optional<protocol::EndpointList> believed(const Snapshot& snapshot, Micros now,
                                               const discovery::CachedListSettings& settings);

// Reads a file. One whose content can't be used is set aside beside itself, under a name that says so, and
// its problem is told; one that can't be read stays. Without a file there is no problem.
std::optional<Snapshot> load(const std::string& path, const std::string& name, std::string& problem);
// Writes aside and renames, so that a reader sees the old file or the new one. False, and why, where it
// can't.
bool save(const std::string& path, const Snapshot& snapshot, files::Durable durable, std::string& problem);

}  // namespace heathflow::snapshot
