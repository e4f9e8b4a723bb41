// Buffers, the clock, the event loop, and streams over loopback.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <memory>
#include <string>

#include "standins/loopback.h"
#include "transport/buffer.h"
#include "transport/clock.h"
#include "transport/event_loop.h"
#include "transport/stream.h"

namespace heathflow::transport {
namespace {

using test::until;

TEST(BufferQueue, KeepsUnconsumedBytesInOrder) {
  Buffer buffer(64 * 1024);
  std::string expected;
  std::size_t next = 0;
  for (int round = 0; round < 2000; ++round) {
    const std::string piece(1 + static_cast<std::size_t>(round) % 97, static_cast<char>('a' + round % 26));
    ASSERT_TRUE(buffer.append(piece));
    expected += piece;
    const std::size_t drop = std::min<std::size_t>(buffer.size(), static_cast<std::size_t>(round) % 89);
    buffer.consume(drop);
    next += drop;
    ASSERT_EQ(buffer.view(), std::string_view(expected).substr(next));
  }
}

TEST(BufferQueue, AcceptsNoBytesBeyondItsLimit) {
  Buffer buffer(100);
  EXPECT_TRUE(buffer.append(std::string(60, 'x')));
  EXPECT_FALSE(buffer.append(std::string(41, 'y')));
  EXPECT_EQ(buffer.size(), 60U);
  EXPECT_TRUE(buffer.append(std::string(40, 'z')));
  EXPECT_TRUE(buffer.full());
  EXPECT_EQ(buffer.prepare().size, 0U);
  buffer.consume(10);
  EXPECT_EQ(buffer.prepare().size, 10U);
}

// Many connections that have each carried one large message must not keep its memory.
TEST(BufferQueue, FreesTheMemoryOfALargeMessage) {
  Buffer buffer(256 * 1024);
  ASSERT_TRUE(buffer.append(std::string(200 * 1024, 'x')));
  EXPECT_GE(buffer.capacity(), 200U * 1024);
  buffer.consume(200 * 1024);
  EXPECT_LE(buffer.capacity(), 16U * 1024);
}

// The buffers of all connections share one memory limit.
TEST(BufferQueue, ChargesLargeBuffersToTheMemoryBudgetUntilTheyAreFreed) {
  MemoryBudget budget(100'000);
  {
    Buffer first(80'000, &budget);
    Buffer second(80'000, &budget);
    ASSERT_TRUE(first.append(std::string(4000, 'x')));
    EXPECT_EQ(budget.used(), 0U) << "small buffers are not charged";
    ASSERT_TRUE(first.append(std::string(60'000, 'x')));
    EXPECT_EQ(budget.used(), first.capacity());
    EXPECT_FALSE(second.append(std::string(60'000, 'y')));
    EXPECT_TRUE(second.empty());
    EXPECT_TRUE(second.append(std::string(4000, 'y')));
    first.consume(64'000);
    EXPECT_EQ(budget.used(), 0U);
    EXPECT_TRUE(second.append(std::string(60'000, 'y')));
    EXPECT_EQ(second.size(), 64'000U);
  }
  EXPECT_EQ(budget.used(), 0U);
}

TEST(ClockReadings, ReadTheWallClockOnceAndFollowTheSteadyClock) {
  Clock clock;
  EXPECT_EQ(clock.reading(1000, 5'000'000), 5'000'000);
  EXPECT_EQ(clock.reading(2000, 5'001'000), 5'001'000);
  // Wall clock steps of four seconds back, four seconds forward and one hour forward do not change the
  // readings.
  EXPECT_EQ(clock.reading(3000, 1'002'000), 5'002'000);
  EXPECT_EQ(clock.reading(4000, 9'003'000), 5'003'000);
  EXPECT_EQ(clock.reading(5000, 3'605'004'000), 5'004'000);
  EXPECT_EQ(clock.reading(6000, 5'005'000), 5'005'000);
}

TEST(LoopTimers, RunInOrderOfTimeUnlessDisarmed) {
  EventLoop loop;
  std::string ran;
  Timer second(loop, [&] { ran += 'b'; });
  Timer first(loop, [&] { ran += 'a'; });
  Timer never(loop, [&] { ran += 'x'; });
  second.arm(loop.now() + 2000);
  first.arm(loop.now() + 1000);
  never.arm(loop.now() + 1500);
  never.disarm();
  EXPECT_TRUE(until(loop, [&] { return ran.size() >= 2; }));
  EXPECT_EQ(ran, "ab");
}

TEST(LoopTimers, MayBeRearmedByTheirCallback) {
  EventLoop loop;
  int left = 3;
  Timer* self = nullptr;
  Timer timer(loop, [&] {
    if (--left > 0) self->arm(loop.now());
  });
  self = &timer;
  timer.arm(loop.now());
  EXPECT_TRUE(until(loop, [&] { return left == 0; }));
  EXPECT_FALSE(timer.armed());
}

struct Peer : StreamOwner {
  explicit Peer(EventLoop& loop, Stream::Limits limits = {1 << 20, 1 << 20}) : stream(loop, *this, limits) {}
  void onOpen() override { opened = true; }
  void onInput() override {
    if (throws) throw std::runtime_error("a fault in the owner");
    if (keep) return;
    got += stream.input().view();
    stream.input().consume(stream.input().size());
    stream.resume();
  }
  void onOutputFlushed() override { ++outputFlushed; }
  void onEnd(StreamEnd how) override {
    ended = true;
    end = how;
  }
  bool opened = false;
  bool keep = false;
  bool throws = false;
  bool ended = false;
  int outputFlushed = 0;
  StreamEnd end = StreamEnd::Closed;
  std::string got;
  Stream stream;
};

enum class Over { Unix, Tcp };

struct Pair {
  explicit Pair(EventLoop& loop, Stream::Limits limits = {1 << 20, 1 << 20}, Over over = Over::Unix)
      : a(loop, limits), b(loop, limits) {
    if (over == Over::Tcp) {
      const SocketResult listener = listenOn({0x7F000001, 0}, 1);
      SocketResult opened = startConnect(*localAddress(listener.fd.get()));
      EXPECT_TRUE(a.stream.adopt(std::move(opened.fd)));
      SocketResult accepted;
      EXPECT_TRUE(until(loop, [&] { return (accepted = acceptFrom(listener.fd.get())).error == 0; }));
      EXPECT_TRUE(b.stream.adopt(std::move(accepted.fd)));
      return;
    }
    int fds[2] = {-1, -1};
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds), 0);
    EXPECT_TRUE(a.stream.adopt(UniqueFd(fds[0])));
    EXPECT_TRUE(b.stream.adopt(UniqueFd(fds[1])));
  }
  Peer a;
  Peer b;
};

TEST(Streams, SendMoreThanTheSocketBuffersHold) {
  EventLoop loop;
  Pair pair(loop);
  std::string sent;
  for (int i = 0; sent.size() < 900'000; ++i) sent += std::to_string(i);
  ASSERT_TRUE(pair.a.stream.output().append(sent));
  pair.a.stream.flush();
  EXPECT_TRUE(until(loop, [&] { return pair.b.got.size() >= sent.size(); }));
  EXPECT_EQ(pair.b.got, sent);
  EXPECT_TRUE(pair.a.stream.output().empty());
  EXPECT_GE(pair.a.outputFlushed, 1);
}

// With edge-triggered events, bytes left in the socket because the input was full cause no further event.
TEST(Streams, ContinueToReadOnceAFullInputIsConsumed) {
  EventLoop loop;
  Pair pair(loop, {2000, 1 << 20});
  pair.b.keep = true;
  const std::string sent(5000, 'q');
  ASSERT_TRUE(pair.a.stream.output().append(sent));
  pair.a.stream.flush();
  EXPECT_TRUE(until(loop, [&] { return pair.b.stream.input().full(); }));
  std::size_t got = 0;
  EXPECT_TRUE(until(loop, [&] {
    got += pair.b.stream.input().size();
    pair.b.stream.input().consume(pair.b.stream.input().size());
    pair.b.stream.resume();
    return got >= sent.size();
  }));
  EXPECT_EQ(got, sent.size());
}

TEST(Streams, DeliverInputBeforeTheClose) {
  EventLoop loop;
  Pair pair(loop);
  ASSERT_TRUE(pair.a.stream.output().append("last words"));
  pair.a.stream.flush();
  pair.a.stream.close();
  EXPECT_TRUE(until(loop, [&] { return pair.b.ended; }));
  EXPECT_EQ(pair.b.got, "last words");
  EXPECT_EQ(pair.b.end, StreamEnd::Closed);
  EXPECT_TRUE(pair.b.stream.closed());
}

// Data after a full input must not be lost if the peer has already closed, orderly or with a reset.
TEST(Streams, DeliverInputBeforeTheCloseHoweverSmallTheirBuffer) {
  for (const StreamEnd how : {StreamEnd::Closed, StreamEnd::Failed}) {
    EventLoop loop;
    Pair pair(loop, {2000, 1 << 20});
    // Closing a socket with unread bytes resets the connection.
    if (how == StreamEnd::Failed) {
      ASSERT_TRUE(pair.b.stream.output().append("unread"));
      pair.b.stream.flush();
    }
    ASSERT_TRUE(pair.a.stream.output().append(std::string(50'000, 'q')));
    pair.a.stream.flush();
    pair.a.stream.close();
    ASSERT_TRUE(until(loop, [&] { return pair.b.ended; }));
    EXPECT_EQ(pair.b.got.size(), 50'000U);
    EXPECT_EQ(pair.b.end, how);
  }
}

// A peer that keeps sending must still get all output, and its data must not be reported.
TEST(Streams, ThatLingerSendTheirOutputAndDiscardInput) {
  EventLoop loop;
  Pair pair(loop, {8 << 20, 8 << 20}, Over::Tcp);
  const std::string words(7'000'000, 'w');
  ASSERT_TRUE(pair.a.stream.output().append(words));
  pair.a.stream.linger(3'600'000'000);
  EXPECT_FALSE(pair.a.stream.output().empty()) << "more than the kernel takes at once";
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(pair.b.stream.output().append(std::string(100'000, 'x')));
    pair.b.stream.flush();
    loop.turn(0);
  }
  ASSERT_TRUE(until(loop, [&] { return pair.b.ended; }));
  EXPECT_EQ(pair.b.got, words);
  EXPECT_EQ(pair.b.end, StreamEnd::Closed);
  ASSERT_TRUE(until(loop, [&] { return pair.a.ended; }));
  EXPECT_EQ(pair.a.got, "");
  EXPECT_EQ(pair.a.outputFlushed, 0);
}

TEST(Streams, ThatLingerEndAtTheirTimeoutOrByteLimit) {
  EventLoop loop;
  Pair silent(loop, {1 << 20, 1 << 20}, Over::Tcp);
  silent.a.stream.linger(1'000);
  EXPECT_TRUE(until(loop, [&] { return silent.a.ended; }));
  EXPECT_TRUE(silent.a.stream.closed());
  // A peer that keeps sending after the half-close.
  const SocketResult listener = listenOn({0x7F000001, 0}, 1);
  const SocketResult greedy = startConnect(*localAddress(listener.fd.get()));
  SocketResult accepted;
  ASSERT_TRUE(until(loop, [&] { return (accepted = acceptFrom(listener.fd.get())).error == 0; }));
  Peer lingering(loop);
  ASSERT_TRUE(lingering.stream.adopt(std::move(accepted.fd)));
  lingering.stream.linger(3'600'000'000);
  std::size_t sent = 0;
  const std::string piece(1 << 20, 'x');
  EXPECT_TRUE(until(loop, [&] {
    sent += writeSome(greedy.fd.get(), piece.data(), piece.size()).size;
    loop.turn(0);
    return lingering.ended;
  }));
  EXPECT_GT(sent, std::size_t{90} << 20);
  EXPECT_EQ(lingering.got, "");
}

// When a lingering stream is closed at once, received bytes are discarded first; otherwise the kernel would
// send a reset that overtakes the output.
TEST(Streams, ThatLingerAreClosedWithoutAReset) {
  EventLoop loop;
  Pair pair(loop, {1 << 20, 1 << 20}, Over::Tcp);
  ASSERT_TRUE(pair.a.stream.output().append("last words"));
  pair.a.stream.linger(3'600'000'000);
  ASSERT_TRUE(pair.b.stream.output().append("unread"));
  pair.b.stream.flush();
  pair.a.stream.close();
  ASSERT_TRUE(until(loop, [&] { return pair.b.ended; }));
  EXPECT_EQ(pair.b.got, "last words");
  EXPECT_EQ(pair.b.end, StreamEnd::Closed);
}

// An exception while handling one connection must not affect any other.
TEST(Streams, FailWhenTheirOwnerThrows) {
  EventLoop loop;
  Pair bad(loop);
  Pair good(loop);
  bad.b.throws = true;
  ASSERT_TRUE(bad.a.stream.output().append("x"));
  bad.a.stream.flush();
  EXPECT_TRUE(until(loop, [&] { return bad.b.ended; }));
  EXPECT_EQ(bad.b.end, StreamEnd::Failed);
  ASSERT_TRUE(good.a.stream.output().append("y"));
  good.a.stream.flush();
  EXPECT_TRUE(until(loop, [&] { return good.b.got == "y"; }));
}

// An idle connection must not be reused if its peer has closed it or sent something meanwhile.
TEST(Streams, AreIdleOnlyUntilInputOrACloseArrives) {
  EventLoop loop;
  Pair withInput(loop);
  Pair closed(loop);
  EXPECT_TRUE(withInput.b.stream.isIdle());
  ASSERT_TRUE(withInput.a.stream.output().append("!"));
  withInput.a.stream.flush();
  EXPECT_FALSE(withInput.b.stream.isIdle());
  EXPECT_TRUE(closed.b.stream.isIdle());
  closed.a.stream.close();
  EXPECT_FALSE(closed.b.stream.isIdle());
}

TEST(Streams, ReportARejectedConnection) {
  EventLoop loop;
  SocketResult listener = listenOn({0x7F000001, 0}, 1);
  ASSERT_TRUE(listener.fd);
  const auto socketAddress = localAddress(listener.fd.get());
  ASSERT_TRUE(socketAddress);
  listener.fd.reset();
  Peer peer(loop);
  int error = 0;
  // The system may report it at once or later.
  if (peer.stream.connect(*socketAddress, error)) {
    EXPECT_TRUE(until(loop, [&] { return peer.ended; }));
    EXPECT_EQ(peer.end, StreamEnd::ConnectFailed);
  } else {
    EXPECT_EQ(error, ECONNREFUSED);
  }
  EXPECT_FALSE(peer.opened);
}

TEST(Endpoints, AreReadStrictly) {
  EXPECT_EQ(parseSocketAddress("127.0.0.1:5432"), (SocketAddress{0x7F000001, 5432}));
  EXPECT_EQ(toText({0x7F000001, 5432}), "127.0.0.1:5432");
  for (const char* text :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "host:5432", "127.0.0.1:12x", ":1"}) {
    EXPECT_FALSE(parseSocketAddress(text)) << text;
  }
}

}  // namespace
}  // namespace heathflow::transport
