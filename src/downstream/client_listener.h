// Takes in clients, within the descriptors there are, and lets them go when the process ends.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

#include "downstream/client_session.h"
#include "upstream/descriptor_budget.h"

namespace heathflow::downstream {

class ClientListener final : private transport::IoHandler, private ClientSessionOwner {
 public:
  // 'index': by which the pool knows the protocol. What all sessions share is shared by all listeners too.
  ClientListener(transport::EventLoop& loop, routing::Router& router, upstream::ConnectionPool& pool,
                 upstream::DescriptorBudget& budget, stats::Observer& observer,
                 const protocol::Protocol& protocol, std::size_t index, ClientSession::Shared& shared);
  ~ClientListener() override;

  // 0, or the error number that stood in the way.
  int listen(const transport::SocketAddress& socketAddress);
  bool listening() const { return static_cast<bool>(listener_); }
  std::optional<transport::SocketAddress> boundTo() const;
  // The process ends: clients are let go between requests, new ones are taken in for a while yet. Calls back
  // when all have their answers and are gone.
  void drain(std::function<void()> done);

 private:
  using Sessions = std::list<std::unique_ptr<ClientSession>>;

  void onReady(std::uint32_t events) override;
  void onSessionOver(ClientSession& session) override;
  void onSessionBusy(ClientSession& session) override;
  void onSessionResting(ClientSession& session) override;
  void onSessionLingering(ClientSession& session) override;
  // Whether the queue is empty.
  bool acceptAll();
  bool makeRoom();
  bool closeOneOf(Sessions& sessions);
  void thinOut();
  bool rested(const Sessions& sessions) const;
  // Whose sessions may be ended between requests, those that go first in front.
  std::vector<Sessions*> mayGo();
  void move(ClientSession& session, Sessions& to);
  std::vector<ClientSession*> all() const;
  // False where it can't be watched at present; it then stays the caller's.
  bool admit(transport::UniqueFd&& fd, bool fits);
  void stopListening();
  void checkDrained();

  transport::EventLoop& loop_;
  routing::Router& router_;
  upstream::ConnectionPool& pool_;
  upstream::DescriptorBudget& budget_;
  stats::Observer& observer_;
  const protocol::Protocol& protocol_;
  std::size_t protocolIndex_;
  ClientSession::Shared& shared_;
  transport::UniqueFd listener_;
  transport::UniqueFd unwatched_;  // accepted, and to be watched before the next is
  Sessions busy_;                  // with a request out
  Sessions regular_;               // between requests and have asked more than once; the longest idle first
  Sessions once_;                  // have asked once; the longest idle first
  Sessions unknown_;               // nothing could be understood of them so far; the oldest first
  Sessions lingering_;             // have had their last answer and are closing; the oldest first
  struct Held {
    Sessions* in;
    Sessions::iterator at;
  };
  std::unordered_map<ClientSession*, Held> index_;
  transport::Timer retry_;
  transport::Timer closing_;
  transport::Timer lastCall_;
  transport::Timer thinning_;
  std::function<void()> drained_;
  bool draining_ = false;
  Micros drainAt_ = 0;
};

}  // namespace heathflow::downstream
