// Starts attempts, forwards their responses to the owner of the request and reports how they ended to the
// policy.
#pragma once

#include <cstddef>
#include <string_view>

#include "invariants/invariant_checker.h"
#include "policy/routing_policy.h"
#include "protocol/wire.h"
#include "routing/endpoint_list_status.h"
#include "routing/policy_driver.h"
#include "routing/request_table.h"
#include "settings/settings.h"
#include "stats/observer.h"
#include "upstream/connection_pool.h"
#include "wallclock/endpoint_time.h"

namespace heathflow::routing {

class AttemptManager {
 public:
  // The objects of the gateway that attempts use. All of them outlive the manager.
  struct Environment {
    transport::EventLoop& loop;
    const settings::InstanceSettings& settings;
    upstream::ConnectionPool& pool;
    stats::Observer& observer;
    RequestTable& requests;
    invariants::InvariantChecker& checker;
    wallclock::EndpointTime& endpointTime;
    const EndpointListStatus& listStatus;
    PolicyDriver& policy;
  };
  explicit AttemptManager(const Environment& environment) : env_(environment) {}

  // ---- Actions of the policy ----
  void start(const SendAttempt& action);
  void cancel(const CancelAttempt& action);

  // ---- For the owner of the request; see Router ----
  bool canWriteMore(RequestId request, std::size_t size);
  void writeMore(RequestId request, std::string_view message);
  void resumeResponse(RequestId request);

  // ---- Called by attempts ----
  bool write(Attempt& attempt, protocol::EndpointSide& side, transport::Buffer& out);
  bool onResponsePart(Attempt& attempt, const protocol::Answer& answer, std::string_view bytes);
  void onExchangeEnd(Attempt& attempt, const upstream::ExchangeEnd& exchangeEnd);
  void onTimeout(Attempt& attempt);

 private:
  void countAttempt(const PendingRequest& request);
  void connect(Attempt& attempt);
  // Closes the connection of an attempt in flight and ends the attempt.
  void abort(Attempt& attempt, AttemptOutcome outcome);
  // @param exchangeEnd  null if the attempt was aborted, or ended before an exchange was started.
  void end(Attempt& attempt, AttemptOutcome outcome, const upstream::ExchangeEnd* exchangeEnd,
           bool rolledBack = false);
  AttemptEnded describeEnd(Attempt& attempt, AttemptOutcome outcome,
                           const upstream::ExchangeEnd* exchangeEnd);
  void recordEnd(const Attempt& attempt, const AttemptEnded& event);

  Environment env_;
};

}  // namespace heathflow::routing
