// Settings of the failure detector.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/messages.h"

namespace heathflow::membership {

struct DetectorSettings {
  std::string name;
  std::string address;
  std::vector<std::string> seeds;    // addresses of gateways to join by
  Micros probePeriod = 1'000'000;    // from probe to probe
  Micros ackTimeout = 250'000;       // of a direct probe; the rest of the period is for indirect ones
  unsigned indirectProbes = 3;       // how many gateways get a PingRequest for an unanswered ping
  double minSuspicionPeriods = 1.0;  // for each power of ten of gateways, with many confirmations
  double maxSuspicionFactor = 3.0;   // times that, without confirmations
  double retransmitFactor = 3.0;     // how often an update is sent, for each doubling of gateways
  std::size_t maxUpdatesPerMessage = 16;
  Micros syncInterval = 15'000'000;  // from one full exchange with another gateway to the next
  Micros stallThreshold = 500'000;   // a tick that comes so late shows that this gateway was stalled
  Micros forgetAfter = 120'000'000;  // so long an ended incarnation is remembered and can't return
  std::uint64_t seed = 1;            // of random choices
};

}  // namespace heathflow::membership
