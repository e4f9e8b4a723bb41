// All parts of one gateway, put together.
#pragma once

#include <functional>

#include "program/config.h"
#include "routing/client_listener.h"
#include "routing/directory.h"
#include "routing/discovery_watch.h"
#include "routing/member_pool.h"
#include "routing/router.h"

namespace heathflow::program {

class Gateway {
 public:
  Gateway(transport::EventLoop& loop, const Config& config, routing::Observer& observer);

  // Takes clients from here on; false, and why, when the address can't be had.
  bool start(std::string& problem);
  // Where clients reach it.
  std::optional<transport::Endpoint> boundTo() const { return listener_.boundTo(); }
  // Takes over what may change while it runs: where discovery is. The rest holds from the next start on.
  void reload(const Config& fresh) { watch_.moveTo(fresh.discovery); }
  // Lets all clients go between their requests, then calls back. What members do not answer in time gets its
  // answer before the platform ends the process.
  void drain(std::function<void()> done);

 private:
  transport::EventLoop& loop_;
  const Config& config_;
  routing::DescriptorBudget budget_;
  routing::MemberPool pool_;
  routing::Router router_;
  routing::Directory directory_;
  routing::DiscoveryWatch watch_;
  routing::ClientListener listener_;
};

}  // namespace heathflow::program
