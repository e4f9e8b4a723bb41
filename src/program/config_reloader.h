// Reloads the configuration on SIGHUP and passes it to the gateway. An invalid file changes nothing; a file
// that can't be read because of a transient error is retried for a bounded time.
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

  // Starts a reload; one that is still being retried starts over.
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
