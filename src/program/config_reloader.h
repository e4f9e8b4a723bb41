// Reads the configuration again on SIGHUP and hands it to the gateway. A file that can't be used changes
// nothing; one that can't be read at the moment is tried again for a while.
#pragma once

#include <string>

#include "common/startup_backoff.h"
#include "program/gateway.h"
#include "transport/event_loop.h"

namespace heathflow::program {

class ConfigReloader {
 public:
  // @param fallbackFile  see loadConfig().
  ConfigReloader(transport::EventLoop& loop, Gateway& gateway, std::string fallbackFile);

  // A call while an earlier reload is still being retried starts anew.
  void reload();

 private:
  void attempt();

  transport::EventLoop& loop_;
  Gateway& gateway_;
  std::string fallbackFile_;
  StartupBackoff retry_;
  transport::Timer nextAttempt_;
};

}  // namespace heathflow::program
