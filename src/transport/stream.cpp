#include "transport/stream.h"

#include <sys/epoll.h>

#include <cerrno>
#include <exception>

namespace heathflow::transport {
namespace {

// What one connection may read in a turn, so that a busy one does not starve the others.
constexpr std::size_t kReadPerTurn = 256 * 1024;
// Dropped bytes cost no copy, so that a turn may take more of them; and the most that is dropped at all.
constexpr std::size_t kDropPerTurn = 1024 * 1024;
constexpr std::size_t kDropMost = 96 * 1024 * 1024;
// A call may fail for a moment and go well the next time.
constexpr int kConnectTries = 4;

}  // namespace

Stream::Stream(EventLoop& loop, StreamOwner& owner, Limits limits)
    : loop_(loop),
      owner_(owner),
      input_(limits.input, &loop.memory()),
      output_(limits.output, &loop.memory()),
      lingerLimit_(loop, [this] { end(StreamEnd::Closed); }) {}

bool Stream::adopt(UniqueFd&& fd) {
  if (!loop_.watch(fd.get(), *this)) return false;
  fd_ = std::move(fd);
  return true;
}

bool Stream::connect(const SocketAddress& socketAddress, int& error) {
  for (int tries = 0; tries < kConnectTries; ++tries) {
    Opened opened = startConnect(socketAddress);
    error = opened.error;
    if (opened.fd && adopt(std::move(opened.fd))) {
      connecting_ = true;
      return true;
    }
    if (opened.fd) error = errno;
    if (!ownLack(error) && error != ENETUNREACH) return false;
  }
  return false;
}

void Stream::close() {
  if (!fd_) return;
  lingerLimit_.disarm();
  if (lingering_) dropTurn();
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
  // Guards the process: whatever goes wrong in here ends this connection and no more.
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
    if (pendingError(fd_.get()) != 0) return end(StreamEnd::NotConnected);
    connecting_ = false;
    owner_.onOpen();
  }
  if (closed()) return;
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    if (lingering_) {
      dropSent();
    } else {
      readInput((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
    }
  }
  if (closed() || (events & EPOLLOUT) == 0 || output_.empty()) return;
  if (!writeOutput()) return end(StreamEnd::Failed);
  if (output_.empty()) outputGone();
}

void Stream::outputGone() {
  if (!lingering_) return owner_.onOutputFlushed();
  transport::endSending(fd_.get());
}

void Stream::readInput(bool hungUp) {
  hungUp_ = hungUp_ || hungUp;
  std::size_t got = 0;
  StreamEnd ended = StreamEnd::Closed;
  bool over = false;
  stalled_ = false;
  while (!over) {
    const Buffer::Room room = input_.room();
    if (room.size == 0) {
      stalled_ = true;
      break;
    }
    if (got >= kReadPerTurn) {
      loop_.again(*this);
      break;
    }
    const Transfer moved = readSome(fd_.get(), room.at, room.size);
    if (moved.kind == Transfer::Kind::WouldBlock) break;
    if (moved.kind == Transfer::Kind::Done) {
      // Read on until the socket has no more: a transfer may be short of what is there, and what a short one
      // leaves behind is no new edge.
      input_.filled(moved.size);
      got += moved.size;
      continue;
    }
    over = hungUp_ = true;
    if (moved.kind == Transfer::Kind::Failed) ended = StreamEnd::Failed;
  }
  if (got > 0) owner_.onInput();
  // Guards against a peer that closes behind an input that nobody empties. Where the owner has made room the
  // rest is still to be read, and whether it ends in order or by a reset.
  if (stalled_ && hungUp_ && !closed() && input_.room().size == 0) over = true;
  if (over) end(ended);
}

// Guards what the peer has yet to read, and what it is just sending: closed on unread bytes, the kernel would
// send a reset that overtakes all that was sent before.
void Stream::linger(Micros limit) {
  if (!open() || lingering_) return;
  lingering_ = true;
  input_.release();
  lingerLimit_.arm(loop_.now() + limit);
  if (output_.empty()) outputGone();
  flush();
  loop_.again(*this);
}

// Throws away what has come, up to what a turn may take. False: there may be more.
bool Stream::dropTurn() {
  for (std::size_t got = 0; got < kDropPerTurn;) {
    const Transfer moved = dropSome(fd_.get(), kDropPerTurn);
    if (moved.kind == Transfer::Kind::WouldBlock) return true;
    got += moved.size;
    dropped_ += moved.size;
    if (moved.kind != Transfer::Kind::Done || dropped_ > kDropMost) {
      dropEnd_ = moved.kind == Transfer::Kind::Failed ? StreamEnd::Failed : StreamEnd::Closed;
      return true;
    }
  }
  return false;
}

void Stream::dropSent() {
  const bool all = dropTurn();
  if (dropEnd_) return end(*dropEnd_);
  if (!all) loop_.again(*this);
}

void Stream::resume() {
  if (open() && stalled_) loop_.again(*this);
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

// A failure is told by the loop, never from within: the event that comes with it is sure to follow.
void Stream::flush() {
  if (!open() || output_.empty()) return;
  if (!writeOutput()) return loop_.again(*this);
  if (lingering_ && output_.empty()) outputGone();
}

}  // namespace heathflow::transport
