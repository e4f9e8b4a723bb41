// Clients of one gateway that hold connections and, where they are told to, ask one request after the other.
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

  // Opens connections until there were so many; each asks once.
  void grow(std::size_t to);
  // Those that have their first answer, were turned away, or have been let go since.
  std::size_t settled() const;
  // Those that have their first answer and still stand.
  std::size_t held() const;
  // So many of those that stand ask, until there were so many statements in all.
  void ask(std::size_t asking, std::size_t statements);
  // Of these statements.
  std::size_t answered() const { return answered_; }
  std::size_t failed() const { return failed_; }  // with an error

 private:
  struct Client;
  void askNext(Client& client);
  void ask(Client& client);

  transport::EventLoop& loop_;
  transport::SocketAddress gateway_;
  std::list<std::unique_ptr<Client>> clients_;
  std::size_t left_ = 0;  // statements that are still to be asked
  std::size_t asked_ = 0;
  std::size_t answered_ = 0;
  std::size_t failed_ = 0;
};

}  // namespace heathflow::emulator
