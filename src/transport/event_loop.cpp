#include "transport/event_loop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <system_error>

namespace heathflow::transport {
namespace {

constexpr int kEventsPerTurn = 256;
constexpr Micros kMicrosPerSecond = 1'000'000;
// With a manual clock: time for the kernel to deliver data in flight over loopback.
constexpr Micros kLoopbackSettleTime = 2'000;
constexpr std::uint32_t kWatchedEvents = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;

}  // namespace

EventLoop::EventLoop(Clock clock)
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)), clock_(clock), now_(clock_.now()) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll");
}

bool EventLoop::watch(int fd, IoHandler& handler) {
  epoll_event event{};
  event.events = kWatchedEvents;
  event.data.ptr = &handler;
  return ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) == 0;
}

void EventLoop::unwatch(int fd, IoHandler& handler) {
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  std::erase(requeued_, &handler);
  for (auto& [waiting, events] : ready_) {
    if (waiting == &handler) waiting = nullptr;
  }
}

void EventLoop::requeue(IoHandler& handler) {
  if (std::find(requeued_.begin(), requeued_.end(), &handler) == requeued_.end())
    requeued_.push_back(&handler);
}

void EventLoop::wait(Micros maxWait) {
  Micros span = maxWait;
  if (!requeued_.empty()) {
    span = 0;
  } else if (!timers_.empty()) {
    const Micros due = std::max<Micros>(0, timers_.begin()->first - clock_.now());
    span = maxWait == kForever ? due : std::min(due, maxWait);
  }
  const Micros until = span < 0 ? clock_.now() : clock_.now() + span;
  if (clock_.isManual() && span > 0) span = kLoopbackSettleTime;
  std::array<epoll_event, kEventsPerTurn> events;
  timespec limit{};
  limit.tv_sec = span / kMicrosPerSecond;
  limit.tv_nsec = span % kMicrosPerSecond * 1000;
  int count =
      ::epoll_pwait2(epoll_.get(), events.data(), kEventsPerTurn, span < 0 ? nullptr : &limit, nullptr);
  if (count < 0 && (errno == ENOSYS || errno == EPERM)) {
    // The kernel lacks or forbids epoll_pwait2: the timeout is rounded up to milliseconds, so that a timer is
    // not checked too early.
    const int millis = span < 0 ? -1 : static_cast<int>(std::min<Micros>((span + 999) / 1000, 60'000));
    count = ::epoll_wait(epoll_.get(), events.data(), kEventsPerTurn, millis);
  }
  if (clock_.isManual() && count <= 0) clock_.advanceTo(until);
  now_ = clock_.now();
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    ready_.emplace_back(static_cast<IoHandler*>(event.data.ptr), event.events);
  }
}

void EventLoop::runTimers() {
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    Timer* timer = timers_.begin()->second;
    timer->disarm();
    timer->action_();
  }
}

void EventLoop::turn(Micros maxWait) {
  ready_.clear();
  memory_.notifyWaiters();
  wait(maxWait);
  for (IoHandler* handler : requeued_) ready_.emplace_back(handler, EPOLLIN | EPOLLOUT);
  requeued_.clear();
  // Events are handled before timers: an answer that has already arrived must not time out.
  for (std::size_t i = 0; i < ready_.size(); ++i) {
    if (ready_[i].first != nullptr) ready_[i].first->onReady(ready_[i].second);
  }
  ready_.clear();
  runTimers();
  // Destructors may schedule further deletions.
  while (!pendingDeletes_.empty()) {
    auto gone = std::move(pendingDeletes_);
    pendingDeletes_.clear();
  }
}

void EventLoop::run() {
  while (!stopping_) turn();
}

void Timer::arm(Micros at) {
  disarm();
  at_ = at;
  armed_ = true;
  loop_.timers_.emplace(at_, this);
}

void Timer::disarm() {
  if (!armed_) return;
  loop_.timers_.erase({at_, this});
  armed_ = false;
}

}  // namespace heathflow::transport
