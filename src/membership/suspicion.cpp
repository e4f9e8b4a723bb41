#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace heathflow::membership {

Micros suspicionTimeout(const DetectorSettings& settings, std::size_t runningGateways,
                        std::size_t suspectedBy) {
  const double powersOfTen = std::max(1.0, std::log10(static_cast<double>(runningGateways) + 1));
  const double minTimeout =
      settings.minSuspicionPeriods * powersOfTen * static_cast<double>(settings.probePeriod);
  const double maxTimeout = settings.maxSuspicionFactor * minTimeout;
  const double confirmations = std::max(0.0, static_cast<double>(suspectedBy) - 1);
  const double share = std::log(confirmations + 1) / std::log(static_cast<double>(kMaxConfirmations) + 1);
  return static_cast<Micros>(std::max(minTimeout, maxTimeout - (maxTimeout - minTimeout) * share));
}

}  // namespace heathflow::membership
