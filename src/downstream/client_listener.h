// Accepts clients of one protocol within the descriptor budget, and closes their connections on shutdown.
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
  // All references must outlive the listener.
  // @param protocolIndex  the connection pool's index of the protocol.
  // @param context        shared by all listeners of a gateway.
  ClientListener(transport::EventLoop& loop, routing::Router& router, upstream::ConnectionPool& pool,
                 upstream::DescriptorBudget& budget, stats::Observer& observer,
                 const protocol::Protocol& protocol, std::size_t protocolIndex,
                 ClientConnectionContext& context);
  ~ClientListener() override;

  // Opens the listening socket.
  // @return 0, or the errno value of the failure.
  int listen(const transport::SocketAddress& address);
  bool listening() const { return static_cast<bool>(listener_); }
  std::optional<transport::SocketAddress> boundTo() const;
  // Starts the graceful shutdown: connections are closed between requests, and new ones are still accepted
  // for a while.
  // @param done  called once all connections are closed.
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
  bool freeDescriptors();
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
  transport::UniqueFd unwatched_;  // an accepted connection that could not be watched yet; served next
  ClientConnectionRegistry connections_;
  transport::Timer acceptRetry_;
  transport::Timer stopListening_;
  transport::Timer closeUnused_;
  transport::Timer eviction_;
  std::function<void()> shutdownDone_;
  bool shuttingDown_ = false;
  Micros shutdownStartedAt_ = 0;
};

}  // namespace heathflow::downstream
