// One call to the list service over HTTP: a request for the list, and its answer or how it failed.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "discovery/caller.h"
#include "protocol/endpoint_list.h"
#include "protocol/http_response.h"
#include "transport/stream.h"

namespace heathflow::routing {

using transport::Micros;

// Why a call brought no list.
struct CallProblem {
  discovery::CallFailure how = discovery::CallFailure::Unreachable;
  std::string text;                  // for the log
  std::optional<Micros> retryAfter;  // what the service asked for
};

class DiscoveryCall;

// Told once of each request's end. It may start the call anew or retire it in there.
class DiscoveryCallOwner {
 public:
  virtual ~DiscoveryCallOwner() = default;
  virtual void onList(DiscoveryCall& call, const protocol::EndpointList& list) = 0;
  virtual void onProblem(DiscoveryCall& call, const CallProblem& problem) = 0;
};

class DiscoveryCall final : private transport::StreamOwner {
 public:
  DiscoveryCall(transport::EventLoop& loop, const transport::SocketAddress& socketAddress,
                DiscoveryCallOwner& owner);

  // Asks for what is newer than a revision, or for the whole list where that is below 0, and lets the service
  // wait for news for so long. Uses the connection of the request before while that is still good.
  void start(std::int64_t since, Micros wait);
  // Closes the connection; the owner hears no more.
  void close();

  Micros startedAt() const { return startedAt_; }
  // The time at which the list that came is known to have been true: the call's start, or, where nothing was
  // new, the end of its wait.
  Micros provenAt(bool news) const {
    return news || loop_.now() < startedAt_ + wait_ ? startedAt_ : startedAt_ + wait_;
  }
  // The service was not to wait for news: how long the answer took tells what it costs.
  bool immediate() const { return immediate_; }

 private:
  void onOpen() override { send(); }
  void onInput() override;
  void onEnd(transport::StreamEnd how) override;
  void open();
  void send();
  void finish();
  void fail(discovery::CallFailure how, const std::string& text, std::optional<Micros> retryAfter = {});

  transport::EventLoop& loop_;
  transport::SocketAddress socketAddress_;
  DiscoveryCallOwner& owner_;
  std::unique_ptr<transport::Stream> stream_;
  std::unique_ptr<protocol::HttpResponse> response_;
  std::string request_;
  Micros startedAt_ = 0;
  Micros wait_ = 0;
  bool immediate_ = false;
  bool asking_ = false;
  bool reused_ = false;  // the request went out on a connection that had carried one before
};

}  // namespace heathflow::routing
