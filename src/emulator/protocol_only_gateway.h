// A gateway without a process of its own, many of which share one process and one loop. It calls and watches
// the list service, sends health checks and connects as the program does; no client uses it, and it has no
// memory limit of its own.
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
  // @param configuration  the text that the program would read at its start.
  ProtocolOnlyGateway(transport::EventLoop& loop, const std::string& configuration);

  // @throws std::runtime_error  where the listener can't be used.
  void start();
  // Ends it without a graceful shutdown. Not from within a turn of the loop.
  void kill() { gateway_.reset(); }
  bool up() const { return gateway_ != nullptr; }
  // Of the newest incarnation.
  const stats::Counters& counters() const { return observer_->counters; }

 private:
  class Silent final : public stats::Observer {
   public:
    using Observer::log;
    void log(stats::Topic, const std::string&, const stats::LogContext&) override {}
  };

  transport::EventLoop& loop_;
  program::Config config_;
  std::unique_ptr<Silent> observer_;
  std::unique_ptr<program::Gateway> gateway_;
};

}  // namespace heathflow::emulator
