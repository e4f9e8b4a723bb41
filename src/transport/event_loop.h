// An edge-triggered epoll loop with timers. One thread; one clock reading a turn.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "transport/clock.h"
#include "transport/fd.h"
#include "transport/memory_budget.h"

namespace heathflow::transport {

class IoHandler {
 public:
  virtual ~IoHandler() = default;
  // The descriptor may have become readable, writable or closed.
  virtual void onReady(std::uint32_t events) = 0;
};

class Timer;

class EventLoop {
 public:
  // With a clock by hand the loop moves it itself, to the next timer, whenever no descriptor is ready.
  explicit EventLoop(Clock clock = {});
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Watches a descriptor for everything, by its edges. False when the kernel has no room for it.
  bool watch(int fd, IoHandler& handler);
  // Call before the descriptor is closed; nothing is delivered to the handler afterwards.
  void unwatch(int fd, IoHandler& handler);
  // Calls the handler again in the next turn, for one that has left something undone.
  void again(IoHandler& handler);

  // The time of this turn.
  Micros now() const { return now_; }
  Clock& clock() { return clock_; }

  // Runs one turn: waits for what comes next, no longer than 'most'.
  void turn(Micros most = kForever);
  void run();
  void stop() { stopping_ = true; }

  // Keeps an object until the end of the turn, for one that is let go while its own code is running.
  template <typename T>
  void retire(std::unique_ptr<T> object) {
    retired_.push_back(std::shared_ptr<void>(std::move(object)));
  }

  // What the buffers of all connections on this loop may take.
  MemoryBudget& memory() { return memory_; }

  static constexpr Micros kForever = -1;

 private:
  friend class Timer;
  void wait(Micros most);
  void runTimers();

  MemoryBudget memory_{std::numeric_limits<std::size_t>::max()};
  UniqueFd epoll_;
  Clock clock_;
  Micros now_ = 0;
  bool stopping_ = false;
  std::vector<std::pair<IoHandler*, std::uint32_t>> ready_;
  std::vector<IoHandler*> again_;
  std::set<std::pair<Micros, Timer*>> timers_;
  std::vector<std::shared_ptr<void>> retired_;
};

// Runs its action once, at the time it was armed for. Disarmed when destroyed.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> action) : loop_(loop), action_(std::move(action)) {}
  ~Timer() { disarm(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void arm(Micros at);
  void disarm();
  bool armed() const { return armed_; }

 private:
  friend class EventLoop;
  EventLoop& loop_;
  std::function<void()> action_;
  Micros at_ = 0;
  bool armed_ = false;
};

}  // namespace heathflow::transport
