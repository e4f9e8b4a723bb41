// Clients of one gateway that misbehave: they stop in the middle of a message, send garbage, write slowly,
// send bursts, or disconnect. If a client does not get the answer, error or close that it is still owed, this
// is reported to the judge.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "emulator/judge.h"
#include "standins/standins.h"
#include "transport/event_loop.h"

namespace heathflow::emulator {

class MisbehavingClients {
 public:
  // @param perSecond  the mean rate of connections; 0: none.
  // @param groups     the number of groups that they send requests to.
  MisbehavingClients(transport::EventLoop& loop, std::string gateway, double perSecond, unsigned groups,
                     Micros patience, std::uint64_t seed, Judge& judge);
  ~MisbehavingClients();

  // Sets the gateway's address and closes all connections. Without an address the gateway is down.
  void connectTo(std::optional<transport::SocketAddress> socketAddress);
  // Closes all connections and opens no more.
  void stop();

 private:
  enum class Kind {
    Silent,
    HalfStartup,
    HalfRequest,
    Garbage,
    Disconnects,
    ClosesSending,
    SlowWriter,
    Burst
  };
  static constexpr int kKinds = 8;
  struct Client;
  void startDue();
  void begin(Kind kind);
  void remove(Client& client);
  std::string nextId();
  std::string request(const std::string& id);
  Micros drawPause();

  transport::EventLoop& loop_;
  std::string gateway_;
  double perSecond_;
  unsigned groups_;
  Micros patience_;
  std::mt19937_64 random_;
  Judge& judge_;
  std::optional<transport::SocketAddress> socketAddress_;
  std::list<std::unique_ptr<Client>> clients_;
  transport::Timer next_;
  std::uint64_t sequence_ = 0;
};

}  // namespace heathflow::emulator
