// SIGHUP: reads the configuration again and hands it to the gateway. Guards a running gateway against a file
// that can't be used, which changes nothing, and against a moment in which it can't be read.
#pragma once

#include <string>

#include "common/startup_backoff.h"
#include "program/gateway.h"
#include "transport/event_loop.h"

namespace heathflow::program {

class Reloading {
 public:
  // 'otherwise': the file of the settings, where the environment names none.
  Reloading(transport::EventLoop& loop, Gateway& gateway, std::string otherwise);

  // Reads now, and again for a while where that fails for a moment. A later call starts anew.
  void begin();

 private:
  void attempt();

  transport::EventLoop& loop_;
  Gateway& gateway_;
  std::string otherwise_;
  StartupBackoff retry_;
  transport::Timer again_;
};

}  // namespace heathflow::program
