// Decides how long a suspected gateway has to refute the suspicion before it is declared failed (Lifeguard).
#pragma once

#include <cstddef>

#include "membership/detector_settings.h"

namespace heathflow::membership {

// The number of confirmations that shorten the timeout of a suspicion; further ones have no effect.
inline constexpr std::size_t kMaxConfirmations = 3;

// Returns a timeout that is longer with more gateways, among which a refutation takes longer to spread, and
// shorter with each confirmation.
// @param runningGateways the number of other gateways that have neither failed nor left.
// @param suspectedBy the number of gateways that suspect it.
Micros suspicionTimeout(const DetectorSettings& settings, std::size_t runningGateways,
                        std::size_t suspectedBy);

}  // namespace heathflow::membership
