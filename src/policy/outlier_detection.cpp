#include "policy/outlier_detection.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

constexpr Micros kMaxEjection = 4 * kSecond;
// Bounds the shift that doubles the duration of an ejection.
constexpr int kMaxEjectionsCounted = 8;
constexpr int kUnusableResultsToFailure = 3;

}  // namespace

void OutlierDetection::observeResponse(Micros now) {
  silentSince_ = now;
  if (presumedDead_) returnedAt_ = now;
  presumedDead_ = false;
  connectionReset_ = false;
  ejections_ = 0;
  unusableResults_ = 0;
}

void OutlierDetection::observeFirstInFlight(Micros now) { silentSince_ = std::max(silentSince_, now); }

void OutlierDetection::observeFailure(Micros now) {
  presumedDead_ = presumedDead_ || connectionReset_;
  if (now < ejectedUntil_) return;
  ejections_ = std::min(ejections_ + 1, kMaxEjectionsCounted);
  unusableResults_ = 0;
  ejectedUntil_ = now + std::min(kMaxEjection, kMinEjection << (ejections_ - 1));
}

void OutlierDetection::observeUnusableResult(Micros now) {
  if (++unusableResults_ >= kUnusableResultsToFailure) observeFailure(now);
}

void OutlierDetection::forgetFailures() {
  ejections_ = 0;
  unusableResults_ = 0;
  ejectedUntil_ = kNever;
}

}  // namespace heathflow::policy
