// How far the endpoint list of a snapshot can be trusted before the list service has answered. Decisions
// only.
#pragma once

#include <cstdint>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

struct CachedListSettings {
  Micros maxPollInterval = 0;        // the longest time for which a gateway may use a list without polling
  Micros maxAge = 0;                 // an older list is not used: its addresses may have been reassigned
  bool healthChecksAllowed = false;  // endpoints can report their role themselves
};

// Which parts of a cached list may be used.
struct CachedListTrust {
  bool endpoints = false;  // requests may be sent to them
  bool roles = false;      // the listed primary counts; else endpoints have to report their role themselves
  bool drains = false;     // endpoints listed as draining get no new requests; always as `endpoints`
};

// @param age since the list was known to be true; more than 1 s below 0 where the clock was set back
//        since, and then the list is not trusted.
CachedListTrust trustInCachedList(Micros age, const CachedListSettings& settings);

}  // namespace heathflow::discovery
