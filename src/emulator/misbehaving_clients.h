// Clients of one gateway that do not behave: they stop in the middle, send garbage, write slowly, ask much at
// once, or leave. What each is owed all the same is checked, and told to the judge.
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
  // 'perSecond': so many begin; 'groups': they ask for these.
  MisbehavingClients(transport::EventLoop& loop, std::string gateway, double perSecond, unsigned groups,
                     Micros patience, std::uint64_t seed, Judge& judge);
  ~MisbehavingClients();

  // Where the gateway serves; nothing: nowhere at present. Those that are there go without a word.
  void connectTo(std::optional<transport::SocketAddress> socketAddress);
  // No further ones, and nothing more is checked of those that are there.
  void stop();

 private:
  enum class Kind { Silent, HalfStartup, HalfRequest, Garbage, HitAndRun, HalfClose, SlowWriter, Burst };
  static constexpr int kKinds = 8;
  struct Client;
  void turn();
  void begin(Kind kind);
  void remove(Client& client);
  std::string nextId();
  std::string request(const std::string& id);
  Micros pause();

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
