// One HTTP request to the list service, which results in an endpoint list or an error.
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

// Describes why a call returned no list.
struct CallError {
  stats::CallFailure failure = stats::CallFailure::Unreachable;
  std::string message;               // for the log
  std::optional<Micros> retryAfter;  // the delay that the service requested
};

class DiscoveryCall;

// Receives the result of each request, exactly once. From there it may start the call again or retire it.
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

  // Sends a request, over the connection of the previous one if that is still usable.
  // @param since the service answers with the changes after this revision; below 0: with the complete list.
  // @param wait how long the service waits for a change before it answers.
  void start(std::int64_t since, Micros wait);
  // Closes the connection. The owner gets no result.
  void close();

  Micros startedAt() const { return startedAt_; }
  // Returns the latest time at which the received list is known to have been correct: the start of the call
  // or, if nothing had changed after the whole wait, the end of the wait.
  Micros validAsOf(bool changed) const {
    return changed || loop_.now() < startedAt_ + wait_ ? startedAt_ : startedAt_ + wait_;
  }
  // Returns whether the service answers without waiting for a change. Then the duration of the call shows
  // what it costs the service.
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
  bool connectionReused_ = false;  // the request was sent over a connection that had carried an earlier one
};

}  // namespace heathflow::discovery
