// What a gateway keeps on disk for its next start, where the settings name a file: the endpoint list with its
// source and when it was true, what calls cost the list service, the usual latency, and how often the gateway
// has crashed early. It holds no log position. How long its parts are used: trustInCachedList().
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
  std::string name;             // of the gateway
  std::int64_t writtenAt = 0;   // Unix microseconds
  std::int64_t listTrueAt = 0;  // the newest time at which the list was known to be true; 0: there is none
  std::string source;           // the address of the service that gave the list; empty: not known
  protocol::EndpointList list;
  std::optional<Micros> callCost;  // of the list service
  Micros initialLatency = 0;       // of a usual request; 0: not known
  unsigned earlyCrashes = 0;       // in a row; the running process counts as one until it has run for a while
};

// The content of a file: a magic text, a version, a checksum (xxHash) and the snapshot (MessagePack).
std::string encode(const Snapshot& snapshot);
// Nothing where the bytes are truncated, damaged, of another gateway or of an unknown version.
// @param name of this gateway.
// @param problem is set to why there is nothing.
std::optional<Snapshot> decode(std::string_view bytes, const std::string& name, std::string& problem);

// The list as far as it can be trusted at a time; nothing where it may not be used.
std::optional<protocol::EndpointList> trustedList(const Snapshot& snapshot, Micros now,
                                                  const discovery::CachedListSettings& settings);

// Reads a file. One whose content can't be used is renamed to end in ".unusable"; one that can't be read
// stays. In both cases 'problem' is set; a file that does not exist is no problem.
std::optional<Snapshot> load(const std::string& path, const std::string& name, std::string& problem);
// Replaces the file atomically. False, with 'problem' set, where it can't.
bool save(const std::string& path, const Snapshot& snapshot, files::Durable durable, std::string& problem);

}  // namespace heathflow::snapshot
