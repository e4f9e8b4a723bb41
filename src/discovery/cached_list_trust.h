// Decides how far the endpoint list of a snapshot can be trusted until the list service has answered. Pure
// logic without I/O.
#pragma once

#include <cstdint>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

struct CachedListSettings {
  Micros maxPollInterval = 0;        // the longest time that a gateway may use a list without polling
  Micros maxAge = 0;                 // an older list is not used: its addresses may have been reassigned
  bool healthChecksAllowed = false;  // endpoints can report their role themselves
};

// Which parts of a cached list may be used.
struct CachedListTrust {
  bool endpoints = false;  // requests may be sent to the listed endpoints
  bool roles = false;      // the listed primary is used; otherwise endpoints have to report their roles
  bool drains = false;     // endpoints listed as draining get no new requests; always equal to `endpoints`
};

// @param age the time since the list was known to be correct. Below -1 s, after the clock was set back, the
//        list is not trusted.
CachedListTrust trustInCachedList(Micros age, const CachedListSettings& settings);

}  // namespace heathflow::discovery
