// What the end of an exchange with a member means to the decision module: the table of PROTOCOL.
#pragma once

#include <string_view>

#include "logic.h"
#include "routing/member_connection.h"
#include "routing/observer.h"
#include "settings/settings.h"
#include "wallclock/positions.h"

namespace heathflow::routing {

const char* nameOf(Outcome outcome);
const char* nameOf(CloseReason reason);
// Whether an attempt that ended so may have had its effect, or may yet.
bool mayHaveRun(Outcome outcome);
Outcome outcomeOf(const ExchangeEnd& end);

// The role, position and report that came with an answer.
void readNews(const settings::InstanceSettings& settings, const ExchangeEnd& end, Micros now,
              wallclock::MemberTime& clocks, AttemptEnded& event);
// A load report as text, rounded so that it never claims too much; empty where it can't be read.
Report readReport(const settings::InstanceSettings& settings, std::string_view text, Micros now,
                  wallclock::MemberTime& clocks);
// A probe's answer.
ProbeEnded probeEndOf(const settings::InstanceSettings& settings, const ExchangeEnd& end, Micros now,
                      wallclock::MemberTime& clocks);

}  // namespace heathflow::routing
