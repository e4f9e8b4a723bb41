// Translates the end of an exchange with an endpoint into outcomes and reports for the policy.
#pragma once

#include <string_view>

#include "policy/routing_policy.h"
#include "settings/settings.h"
#include "upstream/endpoint_connection.h"
#include "wallclock/endpoint_time.h"

namespace heathflow::routing {

// Returns whether the request of an attempt with this outcome may have run, or may still run.
bool mayHaveRun(AttemptOutcome outcome);
AttemptOutcome outcomeOf(const upstream::ExchangeEnd& end);

// Sets the role, position and load report of the event from the response. Does nothing if the exchange ended
// without a response.
void readResponseMetadata(const settings::InstanceSettings& settings, const upstream::ExchangeEnd& end,
                          Micros now, wallclock::EndpointTime& endpointTime, AttemptEnded& event);
// Parses a load report as the endpoint wrote it. The position is rounded down, so that the report never
// claims more than the endpoint has applied.
// @return a report without the fields that can't be parsed, or an empty one if its position can't be right.
LoadReport parseLoadReport(const settings::InstanceSettings& settings, std::string_view text, Micros now,
                           wallclock::EndpointTime& endpointTime);
HealthCheckEnded healthCheckResultOf(const settings::InstanceSettings& settings,
                                     const upstream::ExchangeEnd& end, Micros now,
                                     wallclock::EndpointTime& endpointTime);

}  // namespace heathflow::routing
