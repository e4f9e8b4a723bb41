#include "routing/discovery_watch.h"

namespace heathflow::routing {
namespace {

using startup::CallFailure;
using transport::kMicrosPerMilli;
constexpr std::size_t kBodyLimit = 8 * 1024 * 1024;
constexpr transport::Stream::Limits kLimits = {64 * 1024, 4 * 1024};
// How late an answer may be. PROTOCOL, Figures, and STANDING: what a silent call misses counts as told 6 s
// after it fell silent, or 2 s after a wait that is over later. The next call has to bring it by then.
constexpr Micros kAnswerWithin = 1'900'000;
constexpr Micros kAnswerAfterWait = 1'400'000;
// PROTOCOL, Discovery: a watch lasts as long as the next call comes within 200 ms. Guards against a tight
// loop with a service that answers at once though nothing is new.
constexpr Micros kSoonest = 50'000;
// The first call asks for what is new and waits for nothing.
constexpr Micros kNoWait = kMicrosPerMilli;
constexpr Micros kMicrosPerSecond = 1'000'000;

}  // namespace

DiscoveryWatch::DiscoveryWatch(transport::EventLoop& loop, const transport::Endpoint& endpoint,
                               Micros watchFor, startup::Caller& caller, Observer& observer, OnList onList,
                               OnFailure onFailure)
    : loop_(loop),
      endpoint_(endpoint),
      watchFor_(watchFor),
      caller_(caller),
      observer_(observer),
      onList_(std::move(onList)),
      onFailure_(std::move(onFailure)),
      limit_(loop, [this] { failed(CallFailure::Silent, "no answer in time"); }),
      next_(loop, [this] { call(nextWait_); }) {}

void DiscoveryWatch::subscribe() {
  wanted_ = true;
  // A call that is out answers this wish as well, and a watch that stands is one already.
  if (calling_ || next_.armed()) return;
  callAt(caller_.first(), kNoWait);
}

void DiscoveryWatch::callAt(Micros at, Micros wait) {
  if (at <= loop_.now()) return call(wait);
  nextWait_ = wait;
  next_.arm(at);
}

// What the old place still had to say is part of the whole list that the new one gives, so its call ends
// here. Revisions are not compared across the two.
void DiscoveryWatch::moveTo(const transport::Endpoint& endpoint) {
  if (endpoint == endpoint_) return;
  endpoint_ = endpoint;
  hangUp();
  revision_ = -1;
  if (wanted_) callAt(caller_.moved(loop_.now()), kNoWait);
}

void DiscoveryWatch::call(Micros wait) {
  calling_ = true;
  calledAt_ = loop_.now();
  atOnce_ = revision_ < 0 || wait <= kNoWait;
  std::string path = "/v1/endpoints";
  if (revision_ >= 0) {
    path += "?since=" + std::to_string(revision_) + "&timeout_ms=" + std::to_string(wait / kMicrosPerMilli);
  }
  request_ =
      "GET " + path + " HTTP/1.1\r\nHost: " + toText(endpoint_) + "\r\nAccept: application/json\r\n\r\n";
  ++observer_.counters.discoveryCalls;
  limit_.arm(loop_.now() + (wait <= kNoWait ? kAnswerWithin : wait + kAnswerAfterWait));
  reused_ = stream_ != nullptr && stream_->quiet();
  if (reused_) return send();
  open();
}

void DiscoveryWatch::open() {
  if (stream_) loop_.retire(std::move(stream_));
  stream_ = std::make_unique<transport::Stream>(loop_, static_cast<transport::StreamOwner&>(*this), kLimits);
  int error = 0;
  if (!stream_->connect(endpoint_, error)) failed(CallFailure::Unreachable, "it can't be reached");
}

void DiscoveryWatch::onOpen() { send(); }

void DiscoveryWatch::send() {
  response_ = std::make_unique<protocol::HttpResponse>(kBodyLimit);
  stream_->output().append(request_);
  stream_->flush();
}

void DiscoveryWatch::onInput() {
  if (!calling_ || !response_) {
    // Nobody asked: what comes now would be taken for the next answer.
    stream_->close();
    return;
  }
  stream_->input().consume(response_->feed(stream_->input().view()));
  stream_->resume();
  if (response_->state() != protocol::HttpResponse::State::Reading) finished();
}

void DiscoveryWatch::onEnd(transport::StreamEnd how) {
  if (!calling_) return;
  // A kept connection that closes as it is used says nothing of discovery: once more, on a new one.
  if (reused_ && (!response_ || !response_->begun())) {
    reused_ = false;
    return open();
  }
  if (!response_) return failed(CallFailure::Unreachable, "it can't be reached");
  // Guards against half a list: where a response has no length only an orderly close ends it, and no reset.
  if (!response_->begun() || how != transport::StreamEnd::Closed)
    return failed(CallFailure::Broken, "its connection broke");
  response_->ended();
  finished();
}

void DiscoveryWatch::finished() {
  if (response_->state() == protocol::HttpResponse::State::Malformed)
    return failed(CallFailure::Unreadable, "its response can't be read");
  if (response_->status() != 200) {
    std::optional<Micros> retryAfter;
    if (const auto seconds = response_->retryAfter()) retryAfter = *seconds * kMicrosPerSecond;
    return failed(CallFailure::TurnedAway, "status " + std::to_string(response_->status()), retryAfter);
  }
  std::string problem;
  const auto list = protocol::parseMemberList(response_->body(), problem);
  if (!list) return failed(CallFailure::Unreadable, "its list can't be read: " + problem);
  calling_ = false;
  if (atOnce_) {
    caller_.answered(loop_.now() - calledAt_);
  } else {
    caller_.told();
  }
  limit_.disarm();
  if (!response_->keepAlive() || !stream_->input().empty()) stream_->close();
  response_.reset();
  const bool news = list->revision != revision_;
  revision_ = list->revision;
  const bool early = !news && loop_.now() - calledAt_ < watchFor_ / 2;
  onList_(*list);
  if (calling_) return;
  if (early) {
    callAt(loop_.now() + kSoonest, watchFor_);
  } else {
    call(watchFor_);
  }
}

void DiscoveryWatch::hangUp() {
  calling_ = false;
  limit_.disarm();
  next_.disarm();
  if (stream_) {
    stream_->close();
    loop_.retire(std::move(stream_));
  }
  response_.reset();
}

// The list stays as it was.
void DiscoveryWatch::failed(CallFailure how, const std::string& why, std::optional<Micros> retryAfter) {
  hangUp();
  callAt(caller_.failed(loop_.now(), how, retryAfter), kNoWait);
  ++observer_.counters.discoveryFailures;
  observer_.note(Topic::Discovery, "a call to discovery failed: " + why);
  onFailure_();
}

}  // namespace heathflow::routing
