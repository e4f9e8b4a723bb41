// Proxies on loopback that delay, cut, reset or lose traffic by a schedule: one for TCP streams, one for
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

// Listens at its own address and forwards connections to another one, with delays, cuts, resets and
// rejections. During a cut connections stay open, and bytes are held back until it ends.
class StreamLink final : private transport::IoHandler {
 public:
  // Times of the schedule are relative to now.
  // @param at  the address to listen at; port 0: any free port.
  // @throws std::runtime_error  if the link can't listen there.
  StreamLink(transport::EventLoop& loop, const transport::SocketAddress& at,
             const transport::SocketAddress& to, LinkConditions conditions);
  ~StreamLink() override;

  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  // Called with bytes from clients when they are read.
  std::function<void(std::string_view bytes)> onBytesToServer;
  // Sets the address to which new connections are forwarded.
  void connectTo(const transport::SocketAddress& to) { to_ = to; }
  // Replaces the schedule; its times are relative to now.
  void change(LinkConditions conditions);
  std::size_t connections() const { return pairs_.size(); }
  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t rejected() const { return rejected_; }

 private:
  struct Side;
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
  std::uint64_t accepted_ = 0;
  std::uint64_t rejected_ = 0;
};

// Forwards datagrams like StreamLink, with loss, duplicates and reordering.
class DatagramLink final : private transport::IoHandler {
 public:
  // Datagrams that arrive at socketAddress() are forwarded to 'to', and answers to the latest sender.
  // @throws std::runtime_error  if a socket can't be bound.
  DatagramLink(transport::EventLoop& loop, const transport::SocketAddress& at,
               const transport::SocketAddress& to, LinkConditions conditions);
  ~DatagramLink() override;

  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  void change(LinkConditions conditions);
  std::uint64_t delivered() const { return delivered_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct DatagramInFlight {
    Direction direction;
    std::string bytes;
  };
  void onReady(std::uint32_t events) override;
  void take(int fd, Direction direction);
  void deliverDue();
  Micros now() const { return loop_.now() - start_; }

  transport::EventLoop& loop_;
  transport::SocketAddress to_;
  LinkConditions conditions_;
  Micros start_ = 0;
  transport::UniqueFd clientSide_;
  transport::UniqueFd serverSide_;
  transport::SocketAddress socketAddress_;
  std::optional<transport::SocketAddress> peer_;
  std::multimap<Micros, DatagramInFlight> inFlight_;  // by arrival time
  transport::Timer deliveryTimer_;
  std::uint64_t delivered_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace heathflow::emulator
