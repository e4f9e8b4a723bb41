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
  std::vector<std::string> seeds;    // addresses of gateways through which to join
  Micros probePeriod = 1'000'000;    // from one probe to the next
  Micros ackTimeout = 250'000;       // of a direct probe; the rest of the period is for indirect probes
  unsigned indirectProbes = 3;       // the number of gateways that get a PingRequest for an unanswered ping
  double minSuspicionPeriods = 1.0;  // per power of ten of the number of gateways, with kMaxConfirmations
  double maxSuspicionFactor = 3.0;   // multiplies the minimum if there are no confirmations
  double retransmitFactor = 3.0;     // transmissions of an update per doubling of the number of gateways
  std::size_t maxUpdatesPerMessage = 16;
  Micros syncInterval = 15'000'000;  // from one exchange of the full state to the next
  Micros stallThreshold = 500'000;   // a tick this late shows that this gateway was stalled
  Micros forgetAfter = 120'000'000;  // how long an ended incarnation is remembered and can't return
  std::uint64_t seed = 1;            // of the random number generator
};

}  // namespace heathflow::membership
