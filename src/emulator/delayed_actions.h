// What is to be done later on a loop, each once.
#pragma once

#include <functional>
#include <iterator>
#include <list>
#include <memory>
#include <utility>

#include "transport/event_loop.h"

namespace heathflow::emulator {

class DelayedActions {
 public:
  explicit DelayedActions(transport::EventLoop& loop) : loop_(loop) {}

  void at(transport::Micros when, std::function<void()> what) {
    due_.push_back(nullptr);
    const auto entry = std::prev(due_.end());
    *entry = std::make_unique<transport::Timer>(loop_, [this, entry, what = std::move(what)] {
      loop_.retire(std::move(*entry));  // it lasts until the end of this turn
      due_.erase(entry);
      what();
    });
    (*entry)->arm(when);
  }
  // None of it is to be done any more.
  void clear() {
    for (auto& timer : due_) {
      timer->disarm();
      loop_.retire(std::move(timer));
    }
    due_.clear();
  }

 private:
  transport::EventLoop& loop_;
  std::list<std::unique_ptr<transport::Timer>> due_;
};

}  // namespace heathflow::emulator
