// Paths between processes on loopback that carry out a schedule of faults: one for streams, one for
// datagrams.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "emulator/link_conditions.h"
#include "transport/event_loop.h"
#include "transport/socket.h"
#include "transport/stream.h"

namespace heathflow::emulator {

// Listens at an address of its own and passes on to another: delays, holds back what crosses a cut until it
// heals, resets, rejects. A cut is silent: connections stay open and nothing comes.
class StreamLink final : private transport::IoHandler {
 public:
  // At 'at' (port 0: any free one) for 'to'; the schedule's times count from now.
  StreamLink(transport::EventLoop& loop, const transport::SocketAddress& at,
             const transport::SocketAddress& to, LinkConditions conditions);
  ~StreamLink() override;

  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  // Hears of the bytes that come from who opened a connection, as they come.
  std::function<void(std::string_view bytes)> onForth;
  // Where new connections are passed on to from now on.
  void connectTo(const transport::SocketAddress& to) { to_ = to; }
  // A new schedule, from now on.
  void change(LinkConditions conditions);
  std::size_t passing() const { return pairs_.size(); }
  std::uint64_t taken() const { return taken_; }
  std::uint64_t rejected() const { return rejected_; }

 private:
  struct Half;
  struct Pair;

  void onReady(std::uint32_t events) override;
  void arm();
  void applyNextConditions();
  void remove(Pair& pair);
  Micros now() const { return loop_.now() - start_; }

  transport::EventLoop& loop_;
  transport::SocketAddress to_;
  LinkConditions conditions_;
  Micros start_ = 0;
  transport::UniqueFd listener_;
  transport::SocketAddress socketAddress_;
  std::list<std::unique_ptr<Pair>> pairs_;
  transport::Timer next_;
  std::uint64_t taken_ = 0;
  std::uint64_t rejected_ = 0;
};

// The same for datagrams: what comes to one of its addresses leaves from the other. Loss, doubles and
// overtaking too.
class DatagramLink final : private transport::IoHandler {
 public:
  // Datagrams that come to endpoint() go to 'to', and what 'to' answers goes back to who sent last.
  DatagramLink(transport::EventLoop& loop, const transport::SocketAddress& at,
               const transport::SocketAddress& to, LinkConditions conditions);
  ~DatagramLink() override;

  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  void change(LinkConditions conditions);
  std::uint64_t delivered() const { return delivered_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct DatagramInFlight {
    Way way;
    std::string bytes;
  };
  void onReady(std::uint32_t events) override;
  void take(int fd, Way way);
  void deliverDue();
  Micros now() const { return loop_.now() - start_; }

  transport::EventLoop& loop_;
  transport::SocketAddress to_;
  LinkConditions conditions_;
  Micros start_ = 0;
  transport::UniqueFd front_;
  transport::UniqueFd rear_;
  transport::SocketAddress socketAddress_;
  std::optional<transport::SocketAddress> peer_;
  std::multimap<Micros, DatagramInFlight> inFlight_;  // by when it arrives
  transport::Timer deliveryTimer_;
  std::uint64_t delivered_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace heathflow::emulator
