// Which endpoints are ejected for a while because they failed, and which have most likely died.
#pragma once

#include "policy/policy_context.h"

namespace heathflow::policy {

// An endpoint is ejected for so long by its first failure; each further one doubles the time, up to 4 s.
inline constexpr Micros kMinEjection = 250 * kMillisecond;

// What one endpoint's failures and responses have shown. An ejection ends with its time, with an answered
// health check, or when the list reports a restart; an answer to a request does not end it. Until the
// endpoint responds it gets one request at a time.
class OutlierDetection {
 public:
  // Ejected, or suspected since something broke there.
  bool isEjected(Micros now) const { return now < ejectedUntil_ || now < suspectUntil_; }
  // It failed and has not answered since.
  bool hasFailed() const { return ejections_ > 0; }
  // Its connections broke and it then failed: whatever answers there next was started anew.
  bool isPresumedDead() const { return presumedDead_; }
  // When it answered again after it had been presumed dead; kNever: it never was.
  Micros returnedAt() const { return returnedAt_; }
  // When it last responded, or the first of the requests in flight there was sent.
  Micros silentSince() const { return silentSince_; }
  // The last reset, failed connect, or time-out without any response.
  Micros lastBreakAt() const { return lastBreakAt_; }
  // @return whether nothing has come for the given time.
  bool isSilentFor(Micros span, Micros now) const { return now - silentSince_ > span; }

  void observeResponse(Micros now);
  void observeFirstInFlight(Micros now);
  // Ejects it, unless it is ejected already: attempts that break together are one failure.
  void observeFailure(Micros now);
  // An attempt ended without an answer that is of use. Several in a row are a failure.
  void observeUselessEnd(Micros now);
  void observeConnectionReset() { connectionReset_ = true; }
  void observeBreak(Micros now) { lastBreakAt_ = now; }
  // Something broke there: not used until a health check ends or this time is over.
  void suspectUntil(Micros until) { suspectUntil_ = until; }
  void clearSuspicion() { suspectUntil_ = kNever; }
  void endEjection() { ejectedUntil_ = kNever; }
  // The list reports a restart.
  void forgetFailures();

 private:
  int ejections_ = 0;    // in a row
  int uselessEnds_ = 0;  // in a row
  Micros ejectedUntil_ = kNever;
  Micros suspectUntil_ = kNever;
  Micros silentSince_ = kNever;
  Micros lastBreakAt_ = kNever;
  bool connectionReset_ = false;  // and nothing has come since
  bool presumedDead_ = false;
  Micros returnedAt_ = kNever;
};

// Whether connections at endpoints are scarce: then no gateway should keep idle ones.
class ConnectionScarcity {
 public:
  bool isScarce(Micros now) const { return now - scarceAt_ < kDuration; }
  void observeSlowConnect(Micros now) { slowConnectAt_ = now; }
  // An endpoint that had turned a connection away answered a health check: it is alive and has none to spare.
  // Slow connects have another cause, and then this proves nothing.
  void observeTurnedAwayByLiveEndpoint(Micros now) {
    if (now - slowConnectAt_ > kDuration) scarceAt_ = now;
  }

 private:
  static constexpr Micros kDuration = 4 * kSecond;

  Micros slowConnectAt_ = kNever;
  Micros scarceAt_ = kNever;
};

}  // namespace heathflow::policy
