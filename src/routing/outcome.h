// What the end of an exchange with a member means to the decision module: the table of PROTOCOL.
#pragma once

#include <string_view>

#include "logic.h"
#include "routing/member_connection.h"
#include "settings/settings.h"

namespace heathflow::routing {

Outcome outcomeOf(const ExchangeEnd& end);

// The role, position and report that came with an answer.
void readNews(const settings::InstanceSettings& settings, const ExchangeEnd& end, Micros now,
              AttemptEnded& event);
// A load report as text, rounded so that it never claims too much; empty where it can't be read.
Report readReport(const settings::InstanceSettings& settings, std::string_view text, Micros now);
// A probe's answer.
ProbeEnded probeEndOf(const settings::InstanceSettings& settings, const ExchangeEnd& end, Micros now);

}  // namespace heathflow::routing
