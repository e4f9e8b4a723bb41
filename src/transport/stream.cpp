#include "transport/stream.h"

#include <sys/epoll.h>

#include <cerrno>
#include <exception>
#include <utility>

namespace heathflow::transport {
namespace {

// Bytes that one connection may read per turn, so that a busy one does not starve the others.
constexpr std::size_t kMaxReadPerTurn = 256 * 1024;
// Bytes. Discarding copies nothing, so a turn may discard more than it reads. A lingering connection that
// discards more than kMaxDiscard in total is closed.
constexpr std::size_t kMaxDiscardPerTurn = 1024 * 1024;
constexpr std::size_t kMaxDiscard = 96 * 1024 * 1024;
// A shortage or an unreachable network may be momentary, so the call is retried immediately.
constexpr int kMaxConnectTries = 4;

}  // namespace

Stream::Stream(EventLoop& loop, StreamOwner& owner, Limits limits)
    : loop_(loop),
      owner_(owner),
      input_(limits.input, &loop.memory()),
      output_(limits.output, &loop.memory()),
      lingerTimer_(loop, [this] { end(StreamEnd::Closed); }) {}

bool Stream::adopt(UniqueFd&& fd) {
  if (!loop_.watch(fd.get(), *this)) return false;
  fd_ = std::move(fd);
  return true;
}

bool Stream::connect(const SocketAddress& socketAddress, int& error) {
  for (int tries = 0; tries < kMaxConnectTries; ++tries) {
    SocketResult opened = startConnect(socketAddress);
    error = opened.error;
    if (opened.fd && adopt(std::move(opened.fd))) {
      connecting_ = true;
      return true;
    }
    if (opened.fd) error = errno;
    if (!isLocalShortage(error) && error != ENETUNREACH) return false;
  }
  return false;
}

void Stream::close() {
  if (!fd_) return;
  lingerTimer_.disarm();
  stopWaitingForMemory();
  if (lingering_) discardTurn();
  loop_.unwatch(fd_.get(), *this);
  fd_.reset();
  connecting_ = false;
}

void Stream::end(StreamEnd how) {
  if (closed()) return;
  close();
  owner_.onEnd(how);
}

void Stream::onReady(std::uint32_t events) {
  // An exception while handling one connection closes only that connection.
  try {
    handle(events);
  } catch (const std::exception&) {
    end(StreamEnd::Failed);
  }
}

void Stream::handle(std::uint32_t events) {
  if (closed()) return;
  if (connecting_) {
    if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) return;
    if (pendingError(fd_.get()) != 0) return end(StreamEnd::ConnectFailed);
    connecting_ = false;
    owner_.onOpen();
  }
  if (closed()) return;
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    if (lingering_) {
      discardInput();
    } else {
      readInput((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
    }
  }
  if (closed() || (events & EPOLLOUT) == 0 || output_.empty()) return;
  if (!writeOutput()) return end(StreamEnd::Failed);
  if (output_.empty()) onOutputEmpty();
}

void Stream::onOutputEmpty() {
  if (!lingering_) return owner_.onOutputFlushed();
  transport::shutdownWrite(fd_.get());
}

void Stream::readInput(bool hungUp) {
  hungUp_ = hungUp_ || hungUp;
  std::size_t got = 0;
  StreamEnd ended = StreamEnd::Closed;
  bool over = false;
  stalled_ = false;
  stopWaitingForMemory();
  while (!over) {
    const Buffer::FreeSpace space = input_.prepare();
    if (space.size == 0) {
      stalled_ = true;
      break;
    }
    if (got >= kMaxReadPerTurn) {
      loop_.requeue(*this);
      break;
    }
    const Transfer moved = readSome(fd_.get(), space.data, space.size);
    if (moved.kind == Transfer::Kind::WouldBlock) break;
    if (moved.kind == Transfer::Kind::Done) {
      // Reads until the socket would block: a short read may leave bytes behind, and those trigger no new
      // edge.
      input_.commit(moved.size);
      got += moved.size;
      continue;
    }
    over = hungUp_ = true;
    if (moved.kind == Transfer::Kind::Failed) ended = StreamEnd::Failed;
  }
  if (got > 0) owner_.onInput();
  // If the peer has closed and the owner leaves the input full, the stream is ended here: the end behind the
  // unread bytes would never be read. If the owner has made room, the rest is still read, which also tells
  // whether the peer closed orderly or by a reset.
  if (stalled_ && hungUp_ && !closed() && input_.prepare().size == 0) over = true;
  if (over) return end(ended);
  if (stalled_ && open() && !lingering_) continueStalledInput();
}

// Decides how reading goes on after the owner has handled an input that had no room.
void Stream::continueStalledInput() {
  if (input_.prepare().size != 0) return loop_.requeue(*this);
  if (input_.full()) return;
  waitForMemory();
  owner_.onInputLacksMemory();
}

// Bytes that are in the socket already trigger no new event, so the budget has to tell when to read them.
void Stream::waitForMemory() { memoryTicket_ = loop_.memory().addWaiter(*this, input_.nextAllocation()); }

void Stream::stopWaitingForMemory() {
  if (memoryTicket_ != 0) loop_.memory().removeWaiter(std::exchange(memoryTicket_, 0));
}

void Stream::onMemoryReleased() {
  memoryTicket_ = 0;
  loop_.requeue(*this);
}

// If a socket is closed with unread bytes, the kernel sends a reset, and the peer may lose data that was sent
// before. So input is read and discarded until the peer closes.
void Stream::linger(Micros timeout) {
  if (!open() || lingering_) return;
  lingering_ = true;
  stopWaitingForMemory();
  input_.release();
  lingerTimer_.arm(loop_.now() + timeout);
  if (output_.empty()) onOutputEmpty();
  flush();
  loop_.requeue(*this);
}

// Discards received bytes, up to the limit of a turn. Returns false if there may be more.
bool Stream::discardTurn() {
  for (std::size_t got = 0; got < kMaxDiscardPerTurn;) {
    const Transfer moved = discardSome(fd_.get(), kMaxDiscardPerTurn);
    if (moved.kind == Transfer::Kind::WouldBlock) return true;
    got += moved.size;
    discarded_ += moved.size;
    if (moved.kind != Transfer::Kind::Done || discarded_ > kMaxDiscard) {
      discardEnd_ = moved.kind == Transfer::Kind::Failed ? StreamEnd::Failed : StreamEnd::Closed;
      return true;
    }
  }
  return false;
}

void Stream::discardInput() {
  const bool all = discardTurn();
  if (discardEnd_) return end(*discardEnd_);
  if (!all) loop_.requeue(*this);
}

void Stream::resume() {
  if (open() && stalled_) loop_.requeue(*this);
}

bool Stream::writeOutput() {
  while (!output_.empty()) {
    const std::string_view bytes = output_.view();
    const Transfer moved = writeSome(fd_.get(), bytes.data(), bytes.size());
    if (moved.kind == Transfer::Kind::WouldBlock) return true;
    if (moved.kind != Transfer::Kind::Done) return false;
    output_.consume(moved.size);
  }
  return true;
}

// A failure is reported in the next turn, never from within this call.
void Stream::flush() {
  if (!open() || output_.empty()) return;
  if (!writeOutput()) return loop_.requeue(*this);
  if (lingering_ && output_.empty()) onOutputEmpty();
}

}  // namespace heathflow::transport
