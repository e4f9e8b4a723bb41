#include "discovery/cached_list_trust.h"

namespace heathflow::discovery {
namespace {

// A clock may be set back by so much without the list counting as one from the future.
constexpr Micros kClockTolerance = 1'000'000;

}  // namespace

CachedListTrust trustInCachedList(Micros age, const CachedListSettings& settings) {
  if (age < -kClockTolerance || age > settings.maxAge) return {};
  CachedListTrust out;
  out.endpoints = true;
  out.drains = true;
  // After the poll interval there may be another primary, and a write must not go to the old one. Without
  // health checks the list is the only source of roles.
  out.roles = age <= settings.maxPollInterval || !settings.healthChecksAllowed;
  return out;
}

}  // namespace heathflow::discovery
