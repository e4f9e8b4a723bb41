// A gateway without its own process: many of them share one process and one event loop. It calls and watches
// the list service, sends health checks and connects as the program does. It has no clients and no memory
// limit of its own.
#pragma once

#include <memory>
#include <string>

#include "program/config.h"
#include "program/gateway.h"
#include "stats/observer.h"
#include "transport/event_loop.h"

namespace heathflow::emulator {

class ProtocolOnlyGateway {
 public:
  // @param configuration  the text of the configuration file that the program would read.
  ProtocolOnlyGateway(transport::EventLoop& loop, const std::string& configuration);

  // Starts the gateway, or restarts it if it is up.
  // @throws std::runtime_error  if the gateway can't listen.
  void start();
  // Ends the gateway without a graceful shutdown. Must not be called within a turn of the loop.
  void kill() { gateway_.reset(); }
  bool up() const { return gateway_ != nullptr; }
  // The counters of the newest incarnation.
  const stats::Counters& counters() const { return observer_->counters; }

 private:
  class SilentObserver final : public stats::Observer {
   public:
    using Observer::log;
    void log(stats::Topic, const std::string&, const stats::LogContext&) override {}
  };

  transport::EventLoop& loop_;
  program::Config config_;
  std::unique_ptr<SilentObserver> observer_;
  std::unique_ptr<program::Gateway> gateway_;
};

}  // namespace heathflow::emulator
