// Parses the settings that a gateway is started with, both in the simulator and on sockets.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.h"

namespace heathflow::settings {

class SettingsError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The layout of a load report: its field names and the index of each known field; -1: not reported.
struct ReportLayout {
  std::vector<std::string> fields;
  int position = -1;
  int role = -1;
  int inFlight = -1;
};

struct InstanceSettings {
  PolicySettings policy;
  ReportLayout report;
  Micros positionZero = 0;
  std::vector<std::string> classNames;
  Micros idleTime = 0;    // the time after which endpoints close an idle connection; 0: never
  Micros drainGrace = 0;  // how long an endpoint may get requests after its drain was announced
  // For the log: each missing setting and what is used instead.
  std::vector<std::string> notes;
};

// Parses the settings. Throws SettingsError if the text is not a JSON object, a required setting is missing
// or a value is invalid. In the last two cases the message names the key.
InstanceSettings parseSettings(std::string_view text);

}  // namespace heathflow::settings
