// Delivers signals as events of the loop.
#pragma once

#include <functional>

#include "transport/event_loop.h"

namespace heathflow::program {

// Blocks the signals that Signals handles, which then stay pending until a Signals object is created. It is
// called before anything else, because by default they would end the process.
void blockSignals();

class Signals final : private transport::IoHandler {
 public:
  using Handler = std::function<void(int signal)>;
  // Handles SIGTERM, SIGINT, SIGHUP and SIGUSR1; SIGPIPE is ignored.
  // @throws std::system_error
  Signals(transport::EventLoop& loop, Handler handler);
  ~Signals() override;

 private:
  void onReady(std::uint32_t events) override;

  transport::EventLoop& loop_;
  Handler handler_;
  transport::UniqueFd fd_;
};

}  // namespace heathflow::program
