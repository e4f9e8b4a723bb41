// Asks the list service for the list of endpoints and keeps a watch on it, once the routing policy wants one.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "discovery/caller.h"
#include "discovery/discovery_call.h"
#include "discovery/list_lease.h"
#include "protocol/endpoint_list.h"
#include "stats/observer.h"
#include "transport/event_loop.h"

namespace heathflow::routing {

class DiscoveryWatch final : private DiscoveryCallOwner {
 public:
  using OnList = std::function<void(const protocol::EndpointList&)>;
  using OnFailure = std::function<void()>;
  // The list has not been confirmed for so long that a change may have been missed. It vouches for endpoints
  // that have stood since a time; nothing: for none.
  using OnLeaseEnd = std::function<void(std::optional<Micros> stoodBefore)>;

  // 'caller' says when to call, and how long one watch waits for something new.
  DiscoveryWatch(transport::EventLoop& loop, const transport::SocketAddress& socketAddress,
                 discovery::Caller& caller, stats::Observer& observer, OnList onList, OnFailure onFailure,
                 OnLeaseEnd onLeaseEnd);

  // The list as it was known at the start; watching goes on from there.
  void startFrom(std::int64_t revision) { revision_ = revision; }
  // Asks as soon as the caller has it. While the call or the watch goes well it stays subscribed by itself,
  // and calls again by itself after a failure.
  void subscribe();
  // The service is reached elsewhere from now on: the whole list is asked for there.
  void moveTo(const transport::SocketAddress& socketAddress);

 private:
  void onList(DiscoveryCall& call, const protocol::EndpointList& list) override;
  void onProblem(DiscoveryCall& call, const CallProblem& problem) override;
  void call(Micros wait);
  void callAt(Micros at, Micros wait);
  void unanswered();
  void leaseEnded();
  // 'elapsed': since the call went out.
  void failed(const CallProblem& problem, Micros elapsed);
  std::unique_ptr<DiscoveryCall> takeOverdue(const DiscoveryCall& call);
  void keepOnly(DiscoveryCall& call);
  void closeOverdue();
  void hangUp();
  void leaseChanged();
  void traceList(const DiscoveryCall& call, bool news);
  void noteConfirmed();

  transport::EventLoop& loop_;
  transport::SocketAddress socketAddress_;
  discovery::Caller& caller_;
  stats::Observer& observer_;
  OnList onList_;
  OnFailure onFailure_;
  OnLeaseEnd onLeaseEnd_;
  std::int64_t revision_ = -1;  // of the list we hold; below 0: none
  std::unique_ptr<DiscoveryCall> newest_;
  // Calls without an answer in time, the oldest first: a service with a long line may yet come to them.
  std::vector<std::unique_ptr<DiscoveryCall>> overdue_;
  discovery::ListLease lease_;
  transport::Timer leaseEnd_;
  bool expired_ = false;  // the lease has ended, and the routing policy knows
  Micros expiredAt_ = 0;
  std::uint64_t failuresInRow_ = 0;
  transport::Timer answerDue_;  // of the newest call
  transport::Timer next_;
  Micros nextWait_ = 0;    // of the call that the timer is for
  bool wanted_ = false;    // the routing policy has asked for news
  bool calling_ = false;   // the newest call is out
  bool watching_ = false;  // it goes on from an answer
};

}  // namespace heathflow::routing
