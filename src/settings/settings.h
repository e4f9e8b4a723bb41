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

// Which field of a load report holds what; -1: not reported.
struct ReportLayout {
  std::vector<std::string> fields;
  int position = -1;
  int role = -1;
  int held = -1;
};

struct InstanceSettings {
  PolicySettings logic;
  ReportLayout report;
  Micros positionZero = 0;
  std::vector<std::string> classNames;
  Micros idleTime = 0;    // after which endpoints close an idle connection; 0: never
  Micros drainGrace = 0;  // for how long an endpoint may be sent to after it was told to drain
  // What the text does not say, and what is taken in its place: a sentence each.
  std::vector<std::string> notes;
};

// Throws SettingsError, naming the key, when the text is not JSON or lacks what is needed.
InstanceSettings parseSettings(std::string_view text);

}  // namespace heathflow::settings
