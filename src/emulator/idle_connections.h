// Clients of one gateway that keep idle connections, and can send requests over some of them.
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

  // Opens connections up to a number; each sends one request.
  void grow(std::size_t to);
  // Connections that have their first answer, or have ended.
  std::size_t settled() const;
  // Connections that have their first answer and are open.
  std::size_t openCount() const;
  // Sends a number of statements over so many of the open connections, each one after its last answer.
  void send(std::size_t senders, std::size_t statements);
  // Of these statements.
  std::size_t answered() const { return answered_; }
  std::size_t failed() const { return failed_; }  // with an error

 private:
  struct Client;
  void sendNext(Client& client);
  void send(Client& client);

  transport::EventLoop& loop_;
  transport::SocketAddress gateway_;
  std::list<std::unique_ptr<Client>> clients_;
  std::size_t remaining_ = 0;  // statements that are still to be sent
  std::size_t sent_ = 0;
  std::size_t answered_ = 0;
  std::size_t failed_ = 0;
};

}  // namespace heathflow::emulator
