// What a router keeps of endpoints, groups and requests: data only. What is done with it is decided in
// logic.cpp.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <vector>

#include "policy/endpoint_evidence.h"
#include "policy/routing_policy.h"

namespace heathflow {

constexpr Micros kNever = std::numeric_limits<Micros>::min() / 4;

// A sum that fades over the given time.
struct Fading {
  double value = 0;
  Micros at = kNever;
  double now(Micros now, Micros over) const {
    return at == kNever ? 0 : value * std::exp(-static_cast<double>(now - at) / static_cast<double>(over));
  }
  void add(double amount, Micros when, Micros over) {
    value = now(when, over) + amount;
    at = when;
  }
};

struct EndpointState {
  Endpoint info;
  double order = 0;               // this router's own, from 0 to 1: among equals the lowest comes first
  bool ready = false;             // the contract lets us send to it
  bool draining = false;          // listed so since its last launch
  bool doubted = false;           // where the list is only advice: nothing but the list speaks of its state
  LogPosition position = kNever;  // the last known log position
  Micros primaryAt = kNever;      // the newest time at which it is known to have been the primary
  Micros replicaAt = kNever;      // the newest time at which it is known to have been a replica
  Micros toldAt = kNever;         // when it last spoke of its role
  Micros deniedAt = kNever;       // when it rejected a write as no primary, and has taken none since
  Micros listedAt = kNever;       // when the list first took it for the primary
  int inFlight = 0;
  double load = 0;              // own requests in flight, each weighed by its class
  int longReads = 0;            // own ones in flight
  Micros progressDue = kNever;  // by when one of these should have ended
  double slowness = 1;
  Micros slownessAt = kNever;
  double limit = 1;
  int strikes = 0;
  int failures = 0;  // time-outs, broken connections and malformed answers in a row
  Micros blockedUntil = kNever;
  Micros suspectUntil = kNever;  // something broke, and a health check is to tell whether it lives
  Micros heardAt = kNever;
  Micros brokeAt = kNever;    // when a request there last ended without a word
  Micros namedAt = kNever;    // by the list
  std::uint64_t namedIn = 0;  // the newest list that did
  bool healthChecking = false;
  Micros healthCheckedAt = kNever;
  Micros unwillingAt = kNever;  // when it last turned a health check away for wanting nothing new
  EndpointEvidence evidence;    // for times in which the list has expired
  Micros lagAt = kNever;
  Micros lag = 0;              // how far behind it was last told to be, the age of the telling included
  bool rejected = false;       // it turned a connection away, and a health check is to tell whether it lives
  bool broken = false;         // a connection broke under a request, and it has not answered since
  bool lost = false;           // and it then failed: it most likely died
  Micros returnedAt = kNever;  // when it answered again
  double ease = 1;             // so many times its even part of a cold endpoint does this router ask of it
  Micros easedAt = kNever;
  Fading sent;  // work sent to it, what it turned away included
};

// What was lately asked of a group's replicas, or its primary, and how much was served in time: by requests,
// not by time, so that it tells a router with little traffic as much as a busy one.
struct Record {
  double asked = 0;
  double served = 0;
  void add(double good, double gain) {
    asked += 1 - asked * gain;
    served += good - served * gain;
  }
};

struct EndpointGroup {
  std::vector<EndpointId> endpoints;  // by id, so that their order is the same at every router
  Micros primaryAt = kNever;  // the newest time at which any endpoint is known to have been the primary
  Micros toldAt = kNever;     // when one last claimed to be it
  Micros soughtAt = kNever;
  Micros askedAllAt = kNever;               // who leads
  bool seeksAll = false;                    // in this round
  std::vector<std::deque<RequestId>> held;  // by class
  std::size_t heldCount = 0;
  Fading taken;  // work that warm endpoints have answered
  Fading reads;  // lately, of those that need a position
  Record replicas;
  Record primary;
  bool ticking = false;
};

struct AttemptRecord {
  EndpointId endpoint = 0;
  Micros sentAt = 0;
  double cost = 0;
  bool pending = true;
  bool ran = true;        // false once it is known that it never ran
  bool recalled = false;  // cancelled before it was written
  bool isLong = false;    // counts among its endpoint's long reads
};

struct PendingRequest {
  Request request;
  Micros arrived = 0;
  Micros aimEnd = 0;
  LogPosition token = kNever;  // the session's write that a read must see
  Consistency consistency = Consistency::Write;
  std::vector<AttemptRecord> tries;
  int pending = 0;
  double luck = 0;
  RejectReason rejectReason = RejectReason::None;
  bool over = false;
  bool held = false;
  bool bound = false;  // its client has seen a part of an attempt's answer
  bool isWrite() const { return consistency == Consistency::Write; }
};

// A mean that moves, and that few samples move faster.
struct Mean {
  double value = 0;
  double samples = 0;
  void add(double sample, double gain) { value += (sample - value) * std::max(gain, 1 / ++samples); }
};

}  // namespace heathflow
