// An edge-triggered, single-threaded epoll loop with timers. The clock is read once per turn.
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
  // With a manual clock the loop advances it to the next timer whenever no descriptor is ready.
  explicit EventLoop(Clock clock = {});
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Watches a descriptor for all events, edge-triggered. Returns false, with errno set, if epoll rejects it.
  bool watch(int fd, IoHandler& handler);
  // Must be called before the descriptor is closed; the handler gets no events afterwards.
  void unwatch(int fd, IoHandler& handler);
  // Calls the handler in the next turn without waiting for an event. Used by a handler that has work left.
  void requeue(IoHandler& handler);

  // Returns the clock reading of this turn.
  Micros now() const { return now_; }
  Clock& clock() { return clock_; }

  // Runs one turn: waits for the next event or timer, at most 'maxWait'.
  void turn(Micros maxWait = kForever);
  void run();
  void stop() { stopping_ = true; }

  // Deletes an object at the end of the turn. Used if the object's own code may be running when it is
  // dropped.
  template <typename T>
  void deleteLater(std::unique_ptr<T> object) {
    pendingDeletes_.push_back(std::shared_ptr<void>(std::move(object)));
  }

  // The budget shared by the buffers of all connections on this loop.
  MemoryBudget& memory() { return memory_; }

  static constexpr Micros kForever = -1;

 private:
  friend class Timer;
  void wait(Micros maxWait);
  void runTimers();

  MemoryBudget memory_{std::numeric_limits<std::size_t>::max()};
  UniqueFd epoll_;
  Clock clock_;
  Micros now_ = 0;
  bool stopping_ = false;
  std::vector<std::pair<IoHandler*, std::uint32_t>> ready_;
  std::vector<IoHandler*> requeued_;
  std::set<std::pair<Micros, Timer*>> timers_;
  std::vector<std::shared_ptr<void>> pendingDeletes_;
};

// Runs its action once, at the time it was armed for. The destructor disarms it.
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
