// Signals as events of the loop.
#pragma once

#include <functional>

#include "transport/event_loop.h"

namespace heathflow::program {

// From the first moment of a serving process: signals that come before they are taken wait, where by their
// usual effect they would end it.
void holdSignals();

class Signals final : private transport::IoHandler {
 public:
  using Handler = std::function<void(int signal)>;
  // From here on SIGTERM, SIGINT, SIGHUP and SIGUSR1 come as calls, and SIGPIPE not at all.
  Signals(transport::EventLoop& loop, Handler handler);
  ~Signals() override;

 private:
  void onReady(std::uint32_t events) override;

  transport::EventLoop& loop_;
  Handler handler_;
  transport::UniqueFd fd_;
};

}  // namespace heathflow::program
