// Which endpoints are left alone for a while because they failed, and which have most likely died.
#pragma once

#include "policy/policy_context.h"

namespace heathflow::policy {

// For so long an endpoint is ejected by its first failure; each further one doubles the time.
inline constexpr Micros kMinEjection = 250 * kMillisecond;

// What one endpoint's failures and responses have shown.
class OutlierDetection {
 public:
  bool isEjected(Micros now) const { return now < ejectedUntil_ || now < suspectUntil_; }
  // It failed and has not answered since.
  bool hasFailed() const { return ejections_ > 0; }
  // Its connections broke and it then failed: whatever answers there next was started anew.
  bool isPresumedDead() const { return presumedDead_; }
  // When it answered again after it had been presumed dead; kNever: it never was.
  Micros returnedAt() const { return returnedAt_; }
  // When it last responded, or the first of the requests in flight there was sent.
  Micros lastResponseAt() const { return lastResponseAt_; }
  // When a request there last ended without a response.
  Micros lastBreakAt() const { return lastBreakAt_; }
  // @return whether nothing has come for the given time.
  bool isSilentFor(Micros span, Micros now) const { return now - lastResponseAt_ > span; }

  void observeResponse(Micros now);
  void observeFirstInFlight(Micros now);
  // Ejects it, unless it is ejected already: attempts that break together are one failure.
  void observeFailure(Micros now);
  // An attempt ended without an answer that is of use. Several in a row are a failure.
  void observeUselessEnd(Micros now);
  void observeConnectionReset() { connectionReset_ = true; }
  void observeBreak(Micros now) { lastBreakAt_ = now; }
  // Something broke there, and a health check is to tell whether it lives.
  void suspectUntil(Micros until) { suspectUntil_ = until; }
  void clearSuspicion() { suspectUntil_ = kNever; }
  void endEjection() { ejectedUntil_ = kNever; }
  // It was started anew, by the endpoint list.
  void forgetFailures();

 private:
  int ejections_ = 0;    // in a row
  int uselessEnds_ = 0;  // in a row
  Micros ejectedUntil_ = kNever;
  Micros suspectUntil_ = kNever;
  Micros lastResponseAt_ = kNever;
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
  // An endpoint that had turned a connection away answered a health check: it lives and has none to spare.
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
