// One gateway: owns and connects discovery, router, connection pool and listeners.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery_schedule.h"
#include "discovery/discovery_watch.h"
#include "discovery/endpoint_directory.h"
#include "downstream/client_listener.h"
#include "installation/installation.h"
#include "program/config.h"
#include "program/protocols.h"
#include "routing/router.h"
#include "snapshot/snapshot.h"
#include "upstream/connection_pool.h"

namespace heathflow::program {

// Why a listener could not be opened.
struct ListenError {
  int systemError = 0;
  std::string text;  // for the log
};

class Gateway {
 public:
  // @param config        must outlive the gateway.
  // @param installation  the default one has only the platform's listener and protocol.
  // @param earlier       the snapshot of an earlier incarnation, if any.
  Gateway(transport::EventLoop& loop, const Config& config, stats::Observer& observer,
          const installation::Installation& installation = {},
          const std::optional<snapshot::Snapshot>& earlier = {});
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Opens the listeners that are not open yet. No client is accepted before start().
  // @return the first error; nothing once all are open.
  std::optional<ListenError> listen();
  // Starts routing and discovery with the newest known list. Clients are accepted from here on.
  void start();
  // Returns the address to which a listener is bound. Listener 0 is the platform's, which is opened at the
  // address 'listen' of the configuration; those of the installation follow.
  std::optional<transport::SocketAddress> boundTo(std::size_t listener = 0) const {
    return listeners_[listener].listener->boundTo();
  }
  // Applies the one value that may change at run time, the address of discovery. All others need a restart.
  void reload(const Config& updated);
  // Returns the state to store for the next incarnation.
  snapshot::Snapshot currentSnapshot() const;
  // Returns how many endpoint lists have been applied, which tells whether there is a new one to store.
  std::uint64_t listsApplied() const { return observer_.counters.listUpdatesApplied; }
  // Starts the graceful shutdown: client connections are closed between requests. Open requests are answered
  // before the platform kills the process.
  // @param done  called once all connections are closed.
  void beginShutdown(std::function<void()> done);

 private:
  struct Listener {
    transport::SocketAddress address;
    std::string name;
    std::unique_ptr<protocol::Protocol> protocol;
    std::unique_ptr<downstream::ClientListener> listener;
  };
  void onList(const protocol::EndpointList& list);
  void addListener(const installation::Listener& settings);
  ListenError listenError(const Listener& listener, int error) const;
  protocol::EndpointList initialList() const;

  transport::EventLoop& loop_;
  const Config& config_;
  installation::Installation installation_;
  Protocols protocols_;  // by the connection pool's index
  upstream::DescriptorBudget budget_;
  upstream::ConnectionPool pool_;
  routing::Router router_;
  stats::Observer& observer_;
  discovery::EndpointDirectory directory_;
  discovery::DiscoverySchedule schedule_;
  discovery::DiscoveryWatch watch_;
  snapshot::Snapshot snapshot_;  // with the current list, and values of an earlier incarnation
  std::string newListSource_;    // the list service's new address, while the list is still from the old one
  downstream::ClientConnectionContext context_;
  std::vector<Listener> listeners_;
  bool shuttingDown_ = false;
  std::size_t listenersShuttingDown_ = 0;
};

}  // namespace heathflow::program
