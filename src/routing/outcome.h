// What the end of an exchange with an endpoint means to the routing policy: the table of PROTOCOL.
#pragma once

#include <string_view>

#include "policy/routing_policy.h"
#include "settings/settings.h"
#include "upstream/endpoint_connection.h"
#include "wallclock/positions.h"

namespace heathflow::routing {

// Whether an attempt that ended so may have had its effect, or may yet.
bool mayHaveRun(AttemptOutcome outcome);
AttemptOutcome outcomeOf(const upstream::ExchangeEnd& end);

// The role, position and report that came with an answer.
void readNews(const settings::InstanceSettings& settings, const upstream::ExchangeEnd& end, Micros now,
              wallclock::EndpointTime& clocks, AttemptEnded& event);
// A load report as text, rounded so that it never claims too much; empty where it can't be read.
LoadReport readReport(const settings::InstanceSettings& settings, std::string_view text, Micros now,
                      wallclock::EndpointTime& clocks);
// A health check's answer.
HealthCheckEnded healthCheckEndOf(const settings::InstanceSettings& settings,
                                  const upstream::ExchangeEnd& end, Micros now,
                                  wallclock::EndpointTime& clocks);

}  // namespace heathflow::routing
