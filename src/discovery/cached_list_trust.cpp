#include "discovery/cached_list_trust.h"

namespace heathflow::discovery {
namespace {

// A list that appears to be from the future by up to this much is still trusted: the clock may have been set
// back a little.
constexpr Micros kClockTolerance = 1'000'000;

}  // namespace

CachedListTrust trustInCachedList(Micros age, const CachedListSettings& settings) {
  if (age < -kClockTolerance || age > settings.maxAge) return {};
  CachedListTrust out;
  out.endpoints = true;
  out.drains = true;
  // After the poll interval another endpoint may have become the primary, and a write must not go to the old
  // one. Without health checks the list is the only source of roles.
  out.roles = age <= settings.maxPollInterval || !settings.healthChecksAllowed;
  return out;
}

}  // namespace heathflow::discovery
