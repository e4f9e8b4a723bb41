// Keeps the endpoint list current: calls the list service, watches it for changes, and repeats calls that
// failed or had no answer in time.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery_call.h"
#include "discovery/discovery_schedule.h"
#include "discovery/list_lease.h"
#include "protocol/endpoint_list.h"
#include "stats/observer.h"
#include "transport/event_loop.h"

namespace heathflow::discovery {

class DiscoveryWatch final : private DiscoveryCallOwner {
 public:
  using OnList = std::function<void(const protocol::EndpointList&)>;
  using OnFailure = std::function<void()>;
  // The lease on the list has ended, so that the list may lack a change.
  // @param connectedBefore endpoints with a connection that has stood since then are still in the list;
  //        nothing: that is known of none.
  using OnLeaseEnd = std::function<void(std::optional<Micros> connectedBefore)>;

  DiscoveryWatch(transport::EventLoop& loop, const transport::SocketAddress& socketAddress,
                 DiscoverySchedule& schedule, stats::Observer& observer, OnList onList, OnFailure onFailure,
                 OnLeaseEnd onLeaseEnd);

  // The revision of the cached list from which the first call asks for changes.
  void startFrom(std::int64_t revision) { revision_ = revision; }
  // Calls as soon as the schedule allows, and from then on watches and retries by itself.
  void subscribe();
  // The service is reached at another address from now on; the complete list is requested there.
  void moveTo(const transport::SocketAddress& socketAddress);

 private:
  void onList(DiscoveryCall& call, const protocol::EndpointList& list) override;
  void onError(DiscoveryCall& call, const CallError& error) override;
  void call(Micros wait);
  void callAt(Micros at, Micros wait);
  void callTimedOut();
  void callFailed(const CallError& error, Micros elapsed);
  std::unique_ptr<DiscoveryCall> takeOverdue(const DiscoveryCall& call);
  void closeAllExcept(DiscoveryCall& call);
  void closeOverdue();
  void closeAll();
  void updateLease(CallFailure failure);
  void leaseChanged();
  void leaseEnded();
  void recordRecovery();
  void traceList(const DiscoveryCall& call, bool changed);
  void logFailure(const CallError& error, Micros elapsed);

  transport::EventLoop& loop_;
  transport::SocketAddress socketAddress_;
  DiscoverySchedule& schedule_;
  stats::Observer& observer_;
  OnList onList_;
  OnFailure onFailure_;
  OnLeaseEnd onLeaseEnd_;
  std::int64_t revision_ = -1;  // of the current list; below 0: there is none
  std::unique_ptr<DiscoveryCall> newest_;
  // Calls that timed out, the oldest first: a service with a long queue may still answer them.
  std::vector<std::unique_ptr<DiscoveryCall>> overdue_;
  ListLease lease_;
  transport::Timer leaseEnd_;
  bool expired_ = false;  // the lease has ended, and the routing policy knows
  Micros expiredAt_ = 0;
  std::uint64_t failuresInRow_ = 0;
  transport::Timer callTimeout_;  // of the newest call
  transport::Timer nextCall_;
  Micros nextWait_ = 0;      // of the call that the timer is for
  bool subscribed_ = false;  // the routing policy wants the list
  bool calling_ = false;     // the newest call is out
  bool watching_ = false;    // it is a watch
};

}  // namespace heathflow::discovery
