// The built program (HEATHFLOW_PROGRAM) as a child of the test.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "rig/child.h"

namespace heathflow::test {

class Process : public rig::Child {
 public:
  explicit Process(const std::string& config, std::vector<std::string> arguments = {},
                   rig::Environment environment = {})
      : Child(HEATHFLOW_PROGRAM, config, std::move(arguments), std::move(environment)) {}
  // Once it has said where it serves.
  transport::Endpoint endpoint() { return Child::endpoint().value_or(transport::Endpoint{}); }
};

}  // namespace heathflow::test
