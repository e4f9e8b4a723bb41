// The built program (HEATHFLOW_PROGRAM) as a child process of the test.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "emulator/child_process.h"

namespace heathflow::test {

class Process : public emulator::ChildProcess {
 public:
  explicit Process(const std::string& config, std::vector<std::string> arguments = {},
                   emulator::Environment environment = {})
      : ChildProcess(HEATHFLOW_PROGRAM, config, std::move(arguments), std::move(environment)) {}
  // Valid once the program has logged its address.
  transport::SocketAddress socketAddress() {
    return ChildProcess::socketAddress().value_or(transport::SocketAddress{});
  }
};

}  // namespace heathflow::test
