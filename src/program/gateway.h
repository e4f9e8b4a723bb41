// One gateway with all its parts.
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
  // @param config        outlives the gateway.
  // @param installation  without one the gateway has the platform's listener and protocol.
  // @param earlier       the snapshot of an earlier incarnation.
  Gateway(transport::EventLoop& loop, const Config& config, stats::Observer& observer,
          const installation::Installation& installation = {},
          const std::optional<snapshot::Snapshot>& earlier = {});

  // Opens the listeners that are not open yet; no client is accepted before start().
  // @return nothing once all are open.
  std::optional<ListenError> listen();
  // Accepts clients from here on.
  void start();
  // @return the address at which clients reach it.
  std::optional<transport::SocketAddress> boundTo(std::size_t listener = 0) const {
    return listeners_[listener].listener->boundTo();
  }
  // Takes over what may change while it runs: the address of discovery. The rest holds from the next start
  // on.
  void reload(const Config& fresh);
  // @return what the next incarnation should know.
  snapshot::Snapshot currentSnapshot() const;
  // How many endpoint lists have been received, to see whether there is a new one to store.
  std::uint64_t listUpdatesApplied() const { return observer_.counters.listUpdatesApplied; }
  // Closes all clients between their requests. Requests without an answer get one before the platform kills
  // the process.
  // @param done  called when all are closed.
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
  Protocols protocols_;  // by the pool's index
  upstream::DescriptorBudget budget_;
  upstream::ConnectionPool pool_;
  routing::Router router_;
  stats::Observer& observer_;
  discovery::EndpointDirectory directory_;
  discovery::DiscoverySchedule schedule_;
  discovery::DiscoveryWatch watch_;
  snapshot::Snapshot snapshot_;  // of the list as it is, and of earlier incarnations
  std::string newListSource_;    // the list service's new address, while the list is still of the old one
  downstream::ClientConnectionContext context_;
  std::vector<Listener> listeners_;
  bool shuttingDown_ = false;
  std::size_t listenersShuttingDown_ = 0;
};

}  // namespace heathflow::program
