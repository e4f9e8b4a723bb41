// The clients of one gateway on loopback: an open loop over connections that they keep. Latency counts from
// the intended time; the judge hears of every request and answer.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "emulator/arrivals.h"
#include "emulator/judge.h"
#include "transport/event_loop.h"
#include "transport/socket.h"
#include "transport/stream.h"

namespace heathflow::emulator {

struct Answer {
  Micros intended = 0;
  Micros at = 0;
  RequestKind kind = RequestKind::View;
  unsigned group = 0;
  RequestResult how = RequestResult::Served;
};

class Load {
 public:
  using OnAnswer = std::function<void(const Answer&)>;
  // 'leaving': share of requests whose client leaves before their answer, drawn by the seed.
  Load(transport::EventLoop& loop, std::string gateway, Arrivals arrivals, Micros patience, Micros bound,
       Judge& judge, OnAnswer onAnswer, double leaving = 0, std::uint64_t seed = 1);
  ~Load();

  // Where the gateway serves; nothing: nowhere at present, and what would be asked is not.
  void connectTo(std::optional<transport::SocketAddress> socketAddress);
  // Nothing new is sent there; what is out waits for its answer.
  void rest() { resting_ = true; }
  // The gateway was told to end: its close may cross a request that it has not read.
  void mayCross() { mayCross_ = true; }
  // From then on the connections that stand are used on, and no new ones are opened.
  void keepOnly() { keeping_ = true; }
  // No further request.
  void stop();

  std::uint64_t asked() const { return asked_; }
  std::uint64_t unreached() const { return unreached_; }  // for want of a gateway
  std::size_t open() const;                               // without an answer so far

 private:
  struct Connection;
  void turn();
  void ask(const Arrivals::Arrival& arrival);
  void remove(Connection& connection);

  transport::EventLoop& loop_;
  std::string gateway_;
  Arrivals arrivals_;
  Micros patience_;
  Micros bound_;
  Judge& judge_;
  OnAnswer onAnswer_;
  std::optional<transport::SocketAddress> socketAddress_;
  std::list<std::unique_ptr<Connection>> connections_;
  transport::Timer next_;
  std::uint64_t asked_ = 0;
  std::uint64_t unreached_ = 0;
  std::uint64_t sequence_ = 0;
  bool stopped_ = false;
  bool resting_ = false;
  bool mayCross_ = false;
  bool keeping_ = false;
  double leaving_;
  std::mt19937_64 random_;
};

}  // namespace heathflow::emulator
