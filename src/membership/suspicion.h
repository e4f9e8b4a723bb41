// How long a suspected gateway has time to refute the suspicion before it is declared failed (Lifeguard).
#pragma once

#include <cstddef>

#include "membership/detector_settings.h"

namespace heathflow::membership {

// So many gateways that confirm a suspicion shorten its timeout; further ones do not.
inline constexpr std::size_t kMaxConfirmations = 3;

// Longer in larger fleets, where a refutation takes longer to spread; shorter with each confirmation.
// @param livingGateways the others that have not ended.
// @param suspectedBy how many gateways suspect it.
Micros suspicionTimeout(const DetectorSettings& settings, std::size_t livingGateways,
                        std::size_t suspectedBy);

}  // namespace heathflow::membership
