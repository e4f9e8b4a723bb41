// Keeps the endpoint list current: calls the list service, watches it for changes, and repeats calls that
// failed or timed out.
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
  // Called when the lease on the list ends. From then on the list may lack a change of which the gateway
  // counts as notified.
  // @param latestConnectedSince an endpoint with a connection that has been open since this time was in the
  //        newest confirmed list and has not been removed since; std::nullopt: no list has been confirmed, so
  //        a connection shows nothing.
  using OnLeaseEnd = std::function<void(std::optional<Micros> latestConnectedSince)>;

  DiscoveryWatch(transport::EventLoop& loop, const transport::SocketAddress& socketAddress,
                 DiscoverySchedule& schedule, stats::Observer& observer, OnList onList, OnFailure onFailure,
                 OnLeaseEnd onLeaseEnd);

  // Sets the revision of the cached list; the first call requests the changes after it.
  void startFrom(std::int64_t revision) { revision_ = revision; }
  // Makes the first call when the schedule allows it, and watches and retries from then on.
  void subscribe();
  // Switches to a new address of the service and requests the complete list there.
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
  std::int64_t revision_ = -1;  // of the current list; below 0: none
  std::unique_ptr<DiscoveryCall> newest_;
  // Calls that timed out, oldest first. A service with a long queue may still answer them.
  std::vector<std::unique_ptr<DiscoveryCall>> overdue_;
  ListLease lease_;
  transport::Timer leaseEnd_;
  bool expired_ = false;  // the lease has ended, and the routing policy was notified
  Micros expiredAt_ = 0;
  std::uint64_t failuresInRow_ = 0;
  transport::Timer callTimeout_;  // of the newest call
  transport::Timer nextCall_;
  Micros nextWait_ = 0;      // of the call that nextCall_ makes
  bool subscribed_ = false;  // the routing policy wants the list
  bool calling_ = false;     // the newest call is in flight
  bool watching_ = false;    // the newest call is a watch
};

}  // namespace heathflow::discovery
