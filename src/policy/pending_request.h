// A request that has no final answer yet or still has attempts in flight.
#pragma once

#include <vector>

#include "policy/policy_context.h"
#include "policy/required_freshness.h"

namespace heathflow::policy {

struct AttemptRecord {
  EndpointId endpoint = 0;
  Micros sentAt = 0;
  double work = 0;  // in average requests
  bool inFlight = true;
  bool mayHaveRun = true;
  bool cancelledUnsent = false;  // cancelled by the policy before it was written
  bool isLongRead = false;       // counts among its endpoint's long reads
};

struct PendingRequest {
  Request request;
  Micros arrivedAt = 0;
  Micros objectiveEnd = 0;                       // an answer by then has its full value
  RequiredFreshness token;                       // of the write that a read has to see
  Consistency consistency = Consistency::Write;  // of the class, adjusted by the session token
  std::vector<AttemptRecord> attempts;
  int attemptsInFlight = 0;
  double admissionDraw = 0;  // random number from 0 to 1
  RejectReason reason = RejectReason::None;
  bool finished = false;  // it has its final answer, or needs none any more
  bool queued = false;
  bool partForwarded = false;  // the client has received a part of an attempt's response

  bool isWrite() const { return consistency == Consistency::Write; }
  bool needsPrimary() const {
    return consistency == Consistency::Write || consistency == Consistency::Strong;
  }
};

}  // namespace heathflow::policy
