// Ejects endpoints that failed for a while, and tells which have most likely crashed.
#pragma once

#include "policy/policy_context.h"

namespace heathflow::policy {

// Duration of the first ejection of an endpoint; each further failure in a row doubles it, up to 4 s.
inline constexpr Micros kMinEjection = 250 * kMillisecond;

// Failures and responses of one endpoint. An ejection ends when its time is over, when a health check is
// answered, or when the list reports a restart; an answer to a request does not end it. From the
// ejection until it responds, the endpoint gets at most one request at a time.
class OutlierDetection {
 public:
  // Returns whether it is ejected, or suspected because a connection failed.
  bool isEjected(Micros now) const { return now < ejectedUntil_ || now < suspectUntil_; }
  // Returns whether it failed and has not responded since.
  bool hasFailed() const { return ejections_ > 0; }
  // Returns whether a connection was reset and the endpoint then failed: the process that answers next is a
  // new one.
  bool isPresumedDead() const { return presumedDead_; }
  // Returns when it responded again after it had been presumed dead; kNever: never.
  Micros returnedAt() const { return returnedAt_; }
  // Returns when it last responded, or when the first of the requests in flight was sent, if that is later.
  Micros silentSince() const { return silentSince_; }
  // Returns the time of the last reset, failed connect, or timeout without any response.
  Micros lastConnectionFailureAt() const { return lastConnectionFailureAt_; }
  // Returns whether nothing has come for longer than the given time.
  bool isSilentFor(Micros span, Micros now) const { return now - silentSince_ > span; }

  void observeResponse(Micros now);
  void observeFirstInFlight(Micros now);
  // Ejects it, unless it is ejected already: attempts that fail together count as one failure.
  void observeFailure(Micros now);
  // Records an attempt that was reset, timed out or got a malformed answer. Several in a row are a failure.
  void observeUnusableResult(Micros now);
  void observeConnectionReset() { connectionReset_ = true; }
  void observeConnectionFailure(Micros now) { lastConnectionFailureAt_ = now; }
  // Suspects it after a connection failed: it is not used until a health check ends or the time is over.
  void suspectUntil(Micros until) { suspectUntil_ = until; }
  void clearSuspicion() { suspectUntil_ = kNever; }
  void endEjection() { ejectedUntil_ = kNever; }
  // Resets the failures, because the list reports a restart.
  void forgetFailures();

 private:
  int ejections_ = 0;        // in a row
  int unusableResults_ = 0;  // in a row
  Micros ejectedUntil_ = kNever;
  Micros suspectUntil_ = kNever;
  Micros silentSince_ = kNever;
  Micros lastConnectionFailureAt_ = kNever;
  bool connectionReset_ = false;  // a connection was reset, and no response has come since
  bool presumedDead_ = false;
  Micros returnedAt_ = kNever;
};

// Detects that endpoints are short of connections: then no gateway should keep idle ones.
class ConnectionScarcity {
 public:
  bool isScarce(Micros now) const { return now - scarceAt_ < kDuration; }
  void observeSlowConnect(Micros now) { slowConnectAt_ = now; }
  // Records that an endpoint which had rejected a connection answered a health check: it is alive and has no
  // connections left. Ignored soon after a slow connect, because rejections then have another cause.
  void observeConnectRejectedByLiveEndpoint(Micros now) {
    if (now - slowConnectAt_ > kDuration) scarceAt_ = now;
  }

 private:
  static constexpr Micros kDuration = 4 * kSecond;

  Micros slowConnectAt_ = kNever;
  Micros scarceAt_ = kNever;
};

}  // namespace heathflow::policy
