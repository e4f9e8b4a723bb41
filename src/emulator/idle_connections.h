// Clients of one gateway that keep idle connections open and can send requests over some of them.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>

#include "transport/event_loop.h"
#include "transport/socket.h"
#include "transport/stream.h"

namespace heathflow::emulator {

class IdleConnections {
 public:
  IdleConnections(transport::EventLoop& loop, const transport::SocketAddress& gateway);
  ~IdleConnections();

  // Opens connections until there are 'to' of them; each sends one request.
  void grow(std::size_t to);
  // Returns how many connections have had their first answer or have ended.
  std::size_t settled() const;
  // Returns how many connections have had their first answer and are open.
  std::size_t openCount() const;
  // Sends statements over this many of the open connections, which each wait for an answer before the next
  // one.
  void send(std::size_t senders, std::size_t statements);
  // How many of these statements were answered, errors included.
  std::size_t answered() const { return answered_; }
  // How many of them were answered with an error.
  std::size_t failed() const { return failed_; }

 private:
  struct Client;
  void sendNext(Client& client);
  void send(Client& client);

  transport::EventLoop& loop_;
  transport::SocketAddress gateway_;
  std::list<std::unique_ptr<Client>> clients_;
  std::size_t remaining_ = 0;  // statements that have yet to be sent
  std::size_t sent_ = 0;
  std::size_t answered_ = 0;
  std::size_t failed_ = 0;
};

}  // namespace heathflow::emulator
