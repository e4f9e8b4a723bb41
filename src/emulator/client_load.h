// The clients of one gateway on loopback: an open loop over reused connections. Latency is measured from the
// intended time of a request. Every request and answer is reported to the judge.
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
  RequestResult result = RequestResult::Served;
};

class ClientLoad {
 public:
  using OnAnswer = std::function<void(const Answer&)>;
  // @param patience         how long a client waits for its answer.
  // @param bound            the staleness bound of View requests.
  // @param disconnectShare  the share of requests whose client disconnects before the answer; drawn with
  // 'seed'.
  ClientLoad(transport::EventLoop& loop, std::string gateway, const Arrivals& arrivals, Micros patience,
             Micros bound, Judge& judge, OnAnswer onAnswer, double disconnectShare = 0,
             std::uint64_t seed = 1);
  ~ClientLoad();

  // Sets the gateway's address and closes all connections. Without an address the gateway is down, and no
  // request is sent.
  void connectTo(std::optional<transport::SocketAddress> socketAddress);
  // Sends no new requests; requests in flight still wait for their answers.
  void pause() { paused_ = true; }
  // The gateway was requested to shut down, so it may close a connection while a request is on its way.
  void expectClose() { closeExpected_ = true; }
  // Opens no new connections from now on; open ones are still used.
  void openNoConnections() { opensNoConnections_ = true; }
  // Ends the load; requests in flight still wait for their answers.
  void stop();

  std::uint64_t requests() const { return requests_; }
  // Requests that were not sent: the gateway was down or paused, or no connection was available.
  std::uint64_t unreached() const { return unreached_; }
  std::size_t openRequests() const;  // in flight

 private:
  struct Connection;
  void sendDue();
  void send(const Arrivals::Arrival& arrival);
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
  std::uint64_t requests_ = 0;
  std::uint64_t unreached_ = 0;
  std::uint64_t sequence_ = 0;
  bool stopped_ = false;
  bool paused_ = false;
  bool closeExpected_ = false;
  bool opensNoConnections_ = false;
  double disconnectShare_;
  std::mt19937_64 random_;
};

}  // namespace heathflow::emulator
