// Reads the settings that an instance is started with, on the simulator's wire and on sockets alike.
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

// The index of each field in a load report; -1: not reported.
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
  Micros idleTime = 0;    // after which endpoints close an idle connection; 0: never
  Micros drainGrace = 0;  // for how long an endpoint may get requests after its drain was announced
  // For the log: a sentence on each missing setting and the value used instead.
  std::vector<std::string> notes;
};

// Throws SettingsError, naming the key, when the text is not JSON or lacks a required setting.
InstanceSettings parseSettings(std::string_view text);

}  // namespace heathflow::settings
