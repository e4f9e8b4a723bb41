// Translates the end of an exchange with an endpoint into the policy's terms, as PROTOCOL lists them.
#pragma once

#include <string_view>

#include "policy/routing_policy.h"
#include "settings/settings.h"
#include "upstream/endpoint_connection.h"
#include "wallclock/endpoint_time.h"

namespace heathflow::routing {

// Whether an attempt with this outcome may have had its effect, or may yet have it.
bool mayHaveRun(AttemptOutcome outcome);
AttemptOutcome outcomeOf(const upstream::ExchangeEnd& end);

// Sets the role, position and load report of the event from the response, where there is one.
void readResponseMetadata(const settings::InstanceSettings& settings, const upstream::ExchangeEnd& end,
                          Micros now, wallclock::EndpointTime& endpointTime, AttemptEnded& event);
// @param text  a load report as the endpoint wrote it. Its position is rounded down, so that it never claims
//              more than the endpoint has.
// @return an empty report where the text can't be read.
LoadReport parseLoadReport(const settings::InstanceSettings& settings, std::string_view text, Micros now,
                           wallclock::EndpointTime& endpointTime);
HealthCheckEnded healthCheckResultOf(const settings::InstanceSettings& settings,
                                     const upstream::ExchangeEnd& end, Micros now,
                                     wallclock::EndpointTime& endpointTime);

}  // namespace heathflow::routing
