// A hollow gateway: the program's own gateway, whole, beside many others in one process and on one loop. It
// has the real protocol and the real decisions for calling the list service, watching, probing and
// connecting; it has no process and no memory limit of its own, and nobody asks it for anything.
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
  // 'configuration': the text that the program would read at its start.
  ProtocolOnlyGateway(transport::EventLoop& loop, const std::string& configuration);

  // Begins a life; throws where the configuration or the listener can't be used.
  void start();
  // Ends it without a word. Not from within the loop's own turn.
  void end() { gateway_.reset(); }
  bool up() const { return gateway_ != nullptr; }
  // Of the newest life.
  const routing::Counters& counters() const { return observer_->counters; }

 private:
  class Silent final : public routing::Observer {
   public:
    using Observer::note;
    void note(routing::Topic, const std::string&, const routing::About&) override {}
  };

  transport::EventLoop& loop_;
  program::Config config_;
  std::unique_ptr<Silent> observer_;
  std::unique_ptr<program::Gateway> gateway_;
};

}  // namespace heathflow::emulator
