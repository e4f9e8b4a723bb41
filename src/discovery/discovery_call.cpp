#include "discovery/discovery_call.h"

#include <utility>

namespace heathflow::discovery {
namespace {

using stats::CallFailure;
using transport::kMicrosPerMilli;
constexpr std::size_t kMaxBodySize = 8 * 1024 * 1024;
constexpr transport::Stream::Limits kStreamLimits = {64 * 1024, 4 * 1024};
constexpr Micros kMicrosPerSecond = 1'000'000;

std::string pathOf(std::int64_t since, Micros wait) {
  std::string path = "/v1/endpoints";
  if (since < 0) return path;
  return path + "?since=" + std::to_string(since) + "&timeout_ms=" + std::to_string(wait / kMicrosPerMilli);
}

}  // namespace

DiscoveryCall::DiscoveryCall(transport::EventLoop& loop, const transport::SocketAddress& socketAddress,
                             DiscoveryCallOwner& owner)
    : loop_(loop), socketAddress_(socketAddress), owner_(owner) {}

void DiscoveryCall::start(std::int64_t since, Micros wait) {
  inProgress_ = true;
  startedAt_ = loop_.now();
  wait_ = wait;
  immediate_ = since < 0 || wait <= kMicrosPerMilli;
  request_ = "GET " + pathOf(since, wait) + " HTTP/1.1\r\nHost: " + toText(socketAddress_) +
             "\r\nAccept: application/json\r\n\r\n";
  connectionReused_ = stream_ != nullptr && stream_->isIdle();
  if (connectionReused_) return send();
  open();
}

void DiscoveryCall::close() {
  inProgress_ = false;
  response_.reset();
  if (!stream_) return;
  stream_->close();
  loop_.deleteLater(std::move(stream_));
}

void DiscoveryCall::open() {
  if (stream_) loop_.deleteLater(std::move(stream_));
  stream_ =
      std::make_unique<transport::Stream>(loop_, static_cast<transport::StreamOwner&>(*this), kStreamLimits);
  int error = 0;
  if (!stream_->connect(socketAddress_, error)) fail(CallFailure::Unreachable, "it can't be reached");
}

void DiscoveryCall::send() {
  response_ = std::make_unique<protocol::HttpResponse>(kMaxBodySize);
  stream_->output().append(request_);
  stream_->flush();
}

void DiscoveryCall::onInput() {
  if (!inProgress_ || !response_) {
    // Unrequested input must not be taken for the next answer.
    stream_->close();
    return;
  }
  stream_->input().consume(response_->feed(stream_->input().view()));
  stream_->resume();
  if (response_->state() != protocol::HttpResponse::State::Reading) finish();
}

void DiscoveryCall::onEnd(transport::StreamEnd how) {
  if (!inProgress_) return;
  // A reused connection may have been closed just as the request went out: try once more, on a new one.
  if (connectionReused_ && (!response_ || !response_->started())) {
    connectionReused_ = false;
    return open();
  }
  if (!response_) return fail(CallFailure::Unreachable, "it can't be reached");
  // Half a list is not used: a response without a length ends with an orderly close, not with a reset.
  if (!response_->started() || how != transport::StreamEnd::Closed)
    return fail(CallFailure::ConnectionReset, "its connection broke");
  response_->onConnectionClosed();
  finish();
}

void DiscoveryCall::finish() {
  if (response_->state() == protocol::HttpResponse::State::Malformed)
    return fail(CallFailure::Malformed, "its response can't be read");
  if (response_->status() != 200) {
    std::optional<Micros> retryAfter;
    if (const auto seconds = response_->retryAfter()) retryAfter = *seconds * kMicrosPerSecond;
    return fail(CallFailure::Rejected, "status " + std::to_string(response_->status()), retryAfter);
  }
  std::string error;
  const auto list = protocol::parseEndpointList(response_->body(), error);
  if (!list) return fail(CallFailure::Malformed, "its list can't be read: " + error);
  inProgress_ = false;
  if (!response_->keepAlive() || !stream_->input().empty()) stream_->close();
  response_.reset();
  owner_.onList(*this, *list);
}

void DiscoveryCall::fail(CallFailure failure, const std::string& message, std::optional<Micros> retryAfter) {
  close();
  owner_.onError(*this, {failure, message, retryAfter});
}

}  // namespace heathflow::discovery
