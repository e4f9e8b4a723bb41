// All parts of one gateway, put together.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "discovery/caller.h"
#include "discovery/directory.h"
#include "discovery/discovery_watch.h"
#include "downstream/client_listener.h"
#include "installation/installation.h"
#include "program/config.h"
#include "routing/router.h"
#include "snapshot/snapshot.h"
#include "upstream/connection_pool.h"

namespace heathflow::program {

class Gateway {
 public:
  // Without an installation it serves as the platform has it: one listener, one protocol.
  Gateway(transport::EventLoop& loop, const Config& config, stats::Observer& observer,
          const installation::Installation& installation = {},
          const std::optional<snapshot::Snapshot>& earlier = {});

  // Opens the listeners that are not open yet; nobody is taken in before start(). 0, or the error number and
  // what it means.
  int listen(std::string& problem);
  // Takes clients from here on.
  void start();
  // Where clients reach it.
  std::optional<transport::SocketAddress> boundTo(std::size_t listener = 0) const {
    return entrances_[listener].listener->boundTo();
  }
  // Takes over what may change while it runs: where discovery is. The rest holds from the next start on.
  void reload(const Config& fresh);
  // What the next life should know.
  snapshot::Snapshot remember() const;
  // Grows with each list that was taken in, so that a new one is seen to be worth keeping.
  std::uint64_t listsTaken() const { return observer_.counters.listsTaken; }
  // Lets all clients go between their requests, then calls back. What endpoints do not answer in time gets
  // its answer before the platform ends the process.
  void drain(std::function<void()> done);

 private:
  transport::EventLoop& loop_;
  const Config& config_;
  installation::Installation installation_;
  std::vector<std::unique_ptr<protocol::Protocol>> protocols_;  // by the pool's index
  upstream::DescriptorBudget budget_;
  upstream::ConnectionPool pool_;
  routing::Router router_;
  stats::Observer& observer_;
  routing::Directory directory_;
  discovery::Caller caller_;
  routing::DiscoveryWatch watch_;
  snapshot::Snapshot memory_;  // of the list as it is, and of earlier lives
  std::string movedTo_;        // the list service's new place, while the list is still of the old one
  downstream::ClientSession::Shared shared_;
  struct Entrance {
    transport::SocketAddress address;
    std::string name;
    std::unique_ptr<protocol::Protocol> protocol;
    std::unique_ptr<downstream::ClientListener> listener;
  };
  void take(const protocol::EndpointList& list);
  void addEntrance(const installation::Listener& listener, stats::Observer& observer);
  std::vector<Entrance> entrances_;
  bool ending_ = false;
  std::size_t draining_ = 0;  // listeners that are not yet done
};

}  // namespace heathflow::program
