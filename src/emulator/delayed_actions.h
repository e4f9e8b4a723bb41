// Actions that an event loop runs once each, at a given time.
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

  // Runs the action at this time, unless clear() is called before.
  void at(transport::Micros when, std::function<void()> action) {
    due_.push_back(nullptr);
    const auto entry = std::prev(due_.end());
    *entry = std::make_unique<transport::Timer>(loop_, [this, entry, action = std::move(action)] {
      loop_.deleteLater(std::move(*entry));  // this callback has to outlive the current turn
      due_.erase(entry);
      action();
    });
    (*entry)->arm(when);
  }
  // Cancels all actions.
  void clear() {
    for (auto& timer : due_) {
      timer->disarm();
      loop_.deleteLater(std::move(timer));
    }
    due_.clear();
  }

 private:
  transport::EventLoop& loop_;
  std::list<std::unique_ptr<transport::Timer>> due_;
};

}  // namespace heathflow::emulator
