// A request that has no final answer yet or still has attempts in flight, and its attempts.
#pragma once

#include <vector>

#include "policy/policy_context.h"

namespace heathflow::policy {

struct AttemptRecord {
  EndpointId endpoint = 0;
  Micros sentAt = 0;
  double work = 0;  // in usual requests
  bool inFlight = true;
  bool mayHaveRun = true;
  bool recalled = false;    // cancelled before it was written
  bool isLongRead = false;  // counts among its endpoint's long reads
};

struct PendingRequest {
  Request request;
  Micros arrivedAt = 0;
  Micros objectiveEnd = 0;                       // an answer by then has its full value
  LogPosition token = kNever;                    // the write that a read has to see
  Consistency consistency = Consistency::Write;  // as it binds this request
  std::vector<AttemptRecord> attempts;
  int attemptsInFlight = 0;
  double admissionDraw = 0;  // from 0 to 1, at random
  RejectReason reason = RejectReason::None;
  bool concluded = false;  // it has its final answer, or nobody waits for one
  bool queued = false;
  bool partForwarded = false;  // its client has seen a part of an attempt's response

  bool isWrite() const { return consistency == Consistency::Write; }
  bool needsPrimary() const {
    return consistency == Consistency::Write || consistency == Consistency::Strong;
  }
};

}  // namespace heathflow::policy
