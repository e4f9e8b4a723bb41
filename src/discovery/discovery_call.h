// One HTTP call to the list service: a request for the endpoint list, and the list or why there is none.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "protocol/endpoint_list.h"
#include "protocol/http_response.h"
#include "stats/call_failure.h"
#include "transport/stream.h"

namespace heathflow::discovery {

using transport::Micros;

// Why a call brought no list.
struct CallError {
  stats::CallFailure failure = stats::CallFailure::Unreachable;
  std::string message;               // for the log
  std::optional<Micros> retryAfter;  // the wait that the service requested
};

class DiscoveryCall;

// Is called once at each request's end. It may start the call again or retire it there.
class DiscoveryCallOwner {
 public:
  virtual ~DiscoveryCallOwner() = default;
  virtual void onList(DiscoveryCall& call, const protocol::EndpointList& list) = 0;
  virtual void onError(DiscoveryCall& call, const CallError& error) = 0;
};

class DiscoveryCall final : private transport::StreamOwner {
 public:
  DiscoveryCall(transport::EventLoop& loop, const transport::SocketAddress& socketAddress,
                DiscoveryCallOwner& owner);

  // Sends a request, over the connection of the one before while that is still good.
  // @param since the service answers with changes after this revision; below 0: with the complete list.
  // @param wait how long the service waits for a change.
  void start(std::int64_t since, Micros wait);
  // Closes the connection; the owner is not called any more.
  void close();

  Micros startedAt() const { return startedAt_; }
  // When the list in the answer is known to have been true: at the call's start, or, where nothing had
  // changed, at the end of its wait.
  Micros provenAt(bool changed) const {
    return changed || loop_.now() < startedAt_ + wait_ ? startedAt_ : startedAt_ + wait_;
  }
  // The service did not have to wait for a change: how long the answer took shows what a call costs.
  bool immediate() const { return immediate_; }

 private:
  void onOpen() override { send(); }
  void onInput() override;
  void onEnd(transport::StreamEnd how) override;
  void open();
  void send();
  void finish();
  void fail(stats::CallFailure failure, const std::string& message, std::optional<Micros> retryAfter = {});

  transport::EventLoop& loop_;
  transport::SocketAddress socketAddress_;
  DiscoveryCallOwner& owner_;
  std::unique_ptr<transport::Stream> stream_;
  std::unique_ptr<protocol::HttpResponse> response_;
  std::string request_;
  Micros startedAt_ = 0;
  Micros wait_ = 0;
  bool immediate_ = false;
  bool inProgress_ = false;
  bool connectionReused_ = false;  // the request went out on a connection that had carried one before
};

}  // namespace heathflow::discovery
