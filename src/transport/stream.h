// One connection: its descriptor and its buffers, read and written until the socket has no more.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "transport/buffer.h"
#include "transport/event_loop.h"
#include "transport/socket.h"

namespace heathflow::transport {

enum class StreamEnd { NotConnected, Closed, Failed };

class StreamOwner {
 public:
  virtual ~StreamOwner() = default;
  virtual void onOpen() {}            // an outgoing connection is up
  virtual void onInput() = 0;         // more bytes stand in the input
  virtual void onOutputFlushed() {}   // all output has been handed to the kernel
  virtual void onEnd(StreamEnd) = 0;  // by the peer or the network; the stream is closed
};

class Stream final : private IoHandler {
 public:
  struct Limits {
    std::size_t input;
    std::size_t output;
  };

  Stream(EventLoop& loop, StreamOwner& owner, Limits limits);
  ~Stream() override { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Takes over a connection that is up. False when it can't be watched; it then stays the caller's.
  bool adopt(UniqueFd&& fd);
  // Starts one. The owner hears of it later, of failures too. False, and the error number, where it could not
  // even be begun, a moment's lack aside.
  bool connect(const SocketAddress& socketAddress, int& error);

  Buffer& input() { return input_; }
  const Buffer& input() const { return input_; }
  Buffer& output() { return output_; }
  const Buffer& output() const { return output_; }
  bool open() const { return static_cast<bool>(fd_) && !connecting_; }
  bool closed() const { return !fd_; }
  // Hands as much of the output to the kernel as it takes.
  void flush();
  // No more is sent behind what was; reading goes on.
  void endSending() {
    if (open()) transport::endSending(fd_.get());
  }
  // Whether there was more to read than the input, or the memory of all, has room for.
  bool stalled() const { return stalled_; }
  // Whether the peer has ended its side or the connection broke: nothing comes behind what has come by now.
  bool hungUp() const { return hungUp_; }
  // Reads on after the owner has made room in a full input.
  void resume();
  // Whether nothing has come in unnoticed: no bytes, no close, no error.
  bool quiet() const { return open() && input_.empty() && transport::quiet(fd_.get()); }
  // The orderly, lingering close: what is written still goes out, then sending ends. What comes meanwhile is
  // thrown away and never reported. The stream ends at the peer's end, after so long, or at a bound of bytes.
  void linger(Micros limit);
  // At once. Of one that lingers what has come is dropped first, so that no reset overtakes what was sent.
  void close();

 private:
  void onReady(std::uint32_t events) override;
  void handle(std::uint32_t events);
  void readInput(bool hungUp);
  void dropSent();
  bool dropTurn();
  void outputGone();
  bool writeOutput();
  void end(StreamEnd how);

  EventLoop& loop_;
  StreamOwner& owner_;
  Buffer input_;
  Buffer output_;
  UniqueFd fd_;
  bool connecting_ = false;
  Timer lingerLimit_;
  bool lingering_ = false;
  std::size_t dropped_ = 0;
  std::optional<StreamEnd> dropEnd_;  // how what was thrown away ended
  bool stalled_ = false;              // the input was full when there was more to read
  bool hungUp_ = false;               // the peer has closed, or the connection broke
};

}  // namespace heathflow::transport
