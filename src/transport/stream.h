// A connection: its descriptor and its buffers. Each event is handled until the socket would block or the
// input has no room, over several turns if there is much to read.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "transport/buffer.h"
#include "transport/event_loop.h"
#include "transport/socket.h"

namespace heathflow::transport {

enum class StreamEnd { ConnectFailed, Closed, Failed };

class StreamOwner {
 public:
  virtual ~StreamOwner() = default;
  virtual void onOpen() {}     // an outgoing connection is established
  virtual void onInput() = 0;  // bytes were added to the input
  // Bytes may be left in the socket, because the memory budget has no room for the input to grow. Reading
  // goes on once there is room. Called again each time that an attempt to read more has failed.
  virtual void onInputLacksMemory() {}
  virtual void onOutputFlushed() {}  // all output has been handed to the kernel
  // The stream was ended by the peer, the network, a linger limit or an exception in its owner, and is
  // closed. Not called after close().
  virtual void onEnd(StreamEnd) = 0;
};

class Stream final : private IoHandler, private MemoryWaiter {
 public:
  struct Limits {
    std::size_t input;
    std::size_t output;
  };

  Stream(EventLoop& loop, StreamOwner& owner, Limits limits);
  ~Stream() override { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Takes over an established connection. Returns false if it can't be watched; the caller then keeps it.
  bool adopt(UniqueFd&& fd);
  // Starts a connection; its success or failure is reported to the owner later. Returns false and sets
  // 'error' to the errno if it could not be started, even after retries on a local shortage.
  bool connect(const SocketAddress& socketAddress, int& error);

  Buffer& input() { return input_; }
  const Buffer& input() const { return input_; }
  Buffer& output() { return output_; }
  const Buffer& output() const { return output_; }
  bool open() const { return static_cast<bool>(fd_) && !connecting_; }
  bool closed() const { return !fd_; }
  // Writes as much of the output as the kernel accepts.
  void flush();
  // Shuts down the sending direction; reading goes on.
  void shutdownWrite() {
    if (open()) transport::shutdownWrite(fd_.get());
  }
  // Returns whether the last read stopped because the input's limit or the memory budget left no room. The
  // socket may then hold more bytes.
  bool stalled() const { return stalled_; }
  // Returns whether the peer has closed its side or the connection broke, so that nothing more will arrive
  // than has arrived by now.
  bool hungUp() const { return hungUp_; }
  // Continues reading after the owner has consumed bytes of a full input.
  void resume();
  // Returns whether the connection is open, has no unread bytes and the peer has neither closed nor broken
  // it.
  bool isIdle() const { return open() && input_.empty() && transport::isIdle(fd_.get()); }
  // Closes with a linger: sends the pending output, then shuts down sending. Bytes received meanwhile are
  // discarded and not reported. The stream ends when the peer closes, after 'timeout', or when too many bytes
  // have been discarded.
  void linger(Micros timeout);
  // Closes at once. While lingering, received bytes are discarded first, up to the limit of a turn, so that
  // no reset overtakes the sent data.
  void close();

 private:
  void onReady(std::uint32_t events) override;
  void handle(std::uint32_t events);
  void onMemoryReleased() override;
  void readInput(bool hungUp);
  void continueStalledInput();
  void waitForMemory();
  void stopWaitingForMemory();
  void discardInput();
  bool discardTurn();
  void onOutputEmpty();
  bool writeOutput();
  void end(StreamEnd how);

  EventLoop& loop_;
  StreamOwner& owner_;
  Buffer input_;
  Buffer output_;
  UniqueFd fd_;
  bool connecting_ = false;
  Timer lingerTimer_;
  bool lingering_ = false;
  std::size_t discarded_ = 0;
  std::optional<StreamEnd> discardEnd_;    // how the discarded input ended
  MemoryBudget::Ticket memoryTicket_ = 0;  // 0: the input does not wait for memory
  bool stalled_ = false;                   // the last read stopped because the input had no room
  bool hungUp_ = false;                    // the peer has closed or the connection broke
};

}  // namespace heathflow::transport
