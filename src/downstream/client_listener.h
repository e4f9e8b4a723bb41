// Accepts clients of one protocol within the descriptor budget, and closes them when the process shuts down.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "downstream/client_connection.h"
#include "downstream/client_connection_registry.h"
#include "upstream/connection_pool.h"
#include "upstream/descriptor_budget.h"

namespace heathflow::downstream {

class ClientListener final : private transport::IoHandler, private ClientConnectionOwner {
 public:
  // All references outlive the listener.
  // @param protocolIndex  the pool's index of the protocol.
  // @param context        the same for all listeners of a gateway.
  ClientListener(transport::EventLoop& loop, routing::Router& router, upstream::ConnectionPool& pool,
                 upstream::DescriptorBudget& budget, stats::Observer& observer,
                 const protocol::Protocol& protocol, std::size_t protocolIndex,
                 ClientConnectionContext& context);
  ~ClientListener() override;

  // @return 0, or the error number.
  int listen(const transport::SocketAddress& address);
  bool listening() const { return static_cast<bool>(listener_); }
  std::optional<transport::SocketAddress> boundTo() const;
  // Starts the graceful shutdown: clients are closed between requests, and new ones are accepted for a while
  // yet.
  // @param done  called when all connections are closed.
  void beginShutdown(std::function<void()> done);

 private:
  void onReady(std::uint32_t events) override;
  void onConnectionClosed(ClientConnection& connection) override;
  void onConnectionBusy(ClientConnection& connection) override;
  void onConnectionIdle(ClientConnection& connection) override;
  void onConnectionLingering(ClientConnection& connection) override;
  bool acceptAll();
  transport::SocketResult acceptOne();
  bool onAcceptFailed(int error);
  bool makeRoom();
  bool startConnection(transport::UniqueFd&& fd, bool serve);
  void evictIdle();
  void stopListening();
  void checkShutdown();

  transport::EventLoop& loop_;
  routing::Router& router_;
  upstream::ConnectionPool& pool_;
  upstream::DescriptorBudget& budget_;
  stats::Observer& observer_;
  const protocol::Protocol& protocol_;
  std::size_t protocolIndex_;
  ClientConnectionContext& context_;
  transport::UniqueFd listener_;
  transport::UniqueFd unwatched_;  // accepted, and could not be watched yet; the next to be served
  ClientConnectionRegistry connections_;
  transport::Timer acceptRetry_;
  transport::Timer stopListening_;
  transport::Timer closeNewcomers_;
  transport::Timer eviction_;
  std::function<void()> shutdownDone_;
  bool shuttingDown_ = false;
  Micros shutdownStartedAt_ = 0;
};

}  // namespace heathflow::downstream
