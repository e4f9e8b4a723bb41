#include "downstream/client_listener.h"

#include <algorithm>
#include <cerrno>
#include <string>
#include <vector>

namespace heathflow::downstream {
namespace {

constexpr int kBacklog = 1024;
constexpr int kAcceptsPerTurn = 64;
// How many that can't be closed yet are passed by in search of one that can.
constexpr int kPassedAtMost = 8;
// Guards against spinning while the system has no descriptor or memory to give.
constexpr Micros kRetryAccept = 50'000;
// PROTOCOL, Figures: after SIGTERM new connections keep coming for 0.2 to 0.4 s.
constexpr Micros kStillComing = 450'000;
// And what comes more than 0.7 s after it must not be left to the kill.
constexpr Micros kLastCall = 600'000;
constexpr Micros kLookAgain = 250'000;
// How soon the queue is looked at again that could not be emptied before the listener closes.
constexpr Micros kQueueAgain = 5'000;
// Guards clients that are about to ask against losing their place: for so long one is left alone in any
// crowd.
constexpr Micros kLeftAlone = 250'000;

}  // namespace

ClientListener::ClientListener(transport::EventLoop& loop, routing::Router& router,
                               upstream::ConnectionPool& pool, upstream::DescriptorBudget& budget,
                               stats::Observer& observer, const protocol::Protocol& protocol,
                               std::size_t index, ClientSession::Shared& shared)
    : loop_(loop),
      router_(router),
      pool_(pool),
      budget_(budget),
      observer_(observer),
      protocol_(protocol),
      protocolIndex_(index),
      shared_(shared),
      retry_(loop, [this] { (void)acceptAll(); }),
      closing_(loop, [this] { stopListening(); }),
      lastCall_(loop, [this] { checkDrained(); }),
      thinning_(loop, [this] { thinOut(); }) {}

ClientListener::~ClientListener() {
  if (listener_) loop_.unwatch(listener_.get(), *this);
}

int ClientListener::listen(const transport::SocketAddress& socketAddress) {
  transport::Opened opened = transport::listenOn(socketAddress, kBacklog);
  if (!opened.fd) return opened.error;
  if (!loop_.watch(opened.fd.get(), *this)) return errno;
  listener_ = std::move(opened.fd);
  return 0;
}

std::optional<transport::SocketAddress> ClientListener::boundTo() const {
  return transport::boundTo(listener_.get());
}

void ClientListener::onReady(std::uint32_t) { (void)acceptAll(); }

bool ClientListener::acceptAll() {
  for (int i = 0; i < kAcceptsPerTurn && listener_; ++i) {
    // Guards requests that stand behind a connection: they wait in the queue rather than be cut off unread.
    if (!budget_.clientMayBeRejected() && !makeRoom() && !budget_.clientMayBeRejected()) {
      retry_.arm(loop_.now() + kRetryAccept);
      return false;
    }
    transport::Opened opened{std::move(unwatched_), 0};
    if (!opened.fd) opened = transport::acceptFrom(listener_.get());
    if (opened.fd && admit(std::move(opened.fd), makeRoom())) continue;
    if (opened.fd) {
      // Guards the request that may stand in it: its connection is not closed for what we lack.
      opened.error = errno;
      unwatched_ = std::move(opened.fd);
    }
    if (opened.error == EAGAIN || opened.error == EWOULDBLOCK) return true;
    if (opened.error == ECONNABORTED || opened.error == EPROTO) continue;
    observer_.note(stats::Topic::Limits, "a client can't be accepted: error " + std::to_string(opened.error));
    // An idle connection to an endpoint goes before a client does.
    if ((opened.error == EMFILE || opened.error == ENFILE) && pool_.closeLongestIdle()) continue;
    retry_.arm(loop_.now() + kRetryAccept);
    return false;
  }
  if (listener_) loop_.again(*this);
  return false;
}

// Room for one more client. First go connections that only linger, then idle ones.
bool ClientListener::makeRoom() {
  while (!budget_.clientFits()) {
    if (!lingering_.empty()) {
      lingering_.front()->closeLingering();
      continue;
    }
    const auto kinds = mayGo();
    if (std::none_of(kinds.begin(), kinds.end(), [this](Sessions* kind) { return closeOneOf(*kind); })) {
      return false;
    }
  }
  return true;
}

// First those that have asked nothing that could be understood, then those that have asked once, then the
// others. Guards each against a crowd of those before it: it only goes where it holds more places than they.
std::vector<ClientListener::Sessions*> ClientListener::mayGo() {
  std::vector<Sessions*> kinds = {&unknown_};
  if (once_.size() >= unknown_.size()) kinds.push_back(&once_);
  const auto returned = static_cast<std::size_t>(
      std::count_if(busy_.begin(), busy_.end(), [](const auto& session) { return session->returned(); }));
  const std::size_t others = unknown_.size() + once_.size() + busy_.size() - returned;
  if (regular_.size() + returned > others) kinds.push_back(&regular_);
  return kinds;
}

bool ClientListener::closeOneOf(Sessions& sessions) {
  for (int passed = 0; !sessions.empty() && passed < kPassedAtMost; ++passed) {
    ClientSession& oldest = *sessions.front();
    if (oldest.closeIfIdle()) return true;
    // It has something unread: it is about to be busy, or will be looked at again.
    move(oldest, sessions);
  }
  return false;
}

// Guards the places that clients may hold against those that never ask, and those that ask once and stay:
// once many are taken idle ones give theirs back, in the order in which they go for others.
void ClientListener::thinOut() {
  while (budget_.clientsCrowd()) {
    const auto kinds = mayGo();
    if (std::none_of(kinds.begin(), kinds.end(),
                     [this](Sessions* kind) { return rested(*kind) && closeOneOf(*kind); })) {
      return thinning_.arm(loop_.now() + kLeftAlone);
    }
    ++observer_.counters.idleClientsEvicted;
  }
}

// Whether the longest idle of them has been left alone for long enough.
bool ClientListener::rested(const Sessions& sessions) const {
  return !sessions.empty() && sessions.front()->restingSince() + kLeftAlone <= loop_.now();
}

void ClientListener::move(ClientSession& session, Sessions& to) {
  const auto found = index_.find(&session);
  if (found == index_.end()) return;
  to.splice(to.end(), *found->second.in, found->second.at);
  found->second.in = &to;
}

void ClientListener::onSessionBusy(ClientSession& session) { move(session, busy_); }

void ClientListener::onSessionResting(ClientSession& session) {
  move(session, !session.known() ? unknown_ : session.returned() ? regular_ : once_);
  if (!thinning_.armed()) thinOut();
}

void ClientListener::onSessionLingering(ClientSession& session) {
  move(session, lingering_);
  budget_.clientLingers();
}

std::vector<ClientSession*> ClientListener::all() const {
  std::vector<ClientSession*> out;
  out.reserve(index_.size());
  for (const Sessions* list : {&regular_, &once_, &unknown_, &lingering_, &busy_}) {
    for (const auto& session : *list) out.push_back(session.get());
  }
  return out;
}

bool ClientListener::admit(transport::UniqueFd&& fd, bool fits) {
  auto session =
      std::make_unique<ClientSession>(loop_, static_cast<ClientSessionOwner&>(*this), router_, shared_,
                                      observer_, protocolIndex_, protocol_.name(), protocol_.towardsClient());
  if (!session->adopt(std::move(fd))) return false;
  if (!fits) {
    ++observer_.counters.clientsRejected;
    observer_.note(stats::Topic::Limits, "a client is rejected: no descriptor is left for it");
    session->rejectConnection();
  }
  if (draining_) session->drain(false);
  ++observer_.counters.clientsAccepted;
  budget_.clientOpened();
  ClientSession* key = session.get();
  unknown_.push_back(std::move(session));
  index_.emplace(key, Held{&unknown_, std::prev(unknown_.end())});
  if (!thinning_.armed()) thinOut();
  return true;
}

void ClientListener::onSessionOver(ClientSession& session) {
  const auto found = index_.find(&session);
  if (found == index_.end()) return;
  budget_.clientClosed(found->second.in == &lingering_);
  loop_.retire(std::move(*found->second.at));
  found->second.in->erase(found->second.at);
  index_.erase(found);
  checkDrained();
}

void ClientListener::drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  drainAt_ = loop_.now();
  drained_ = std::move(done);
  for (ClientSession* session : all()) session->drain(false);
  closing_.arm(loop_.now() + kStillComing);
  lastCall_.arm(loop_.now() + kLastCall);
  checkDrained();
}

void ClientListener::stopListening() {
  if (!listener_) return;
  // Guards those that stand in the queue: closed over them, they would be reset unread.
  if (!acceptAll() && loop_.now() < drainAt_ + kLastCall) return closing_.arm(loop_.now() + kQueueAgain);
  loop_.unwatch(listener_.get(), *this);
  listener_.reset();
  retry_.disarm();
  checkDrained();
}

void ClientListener::checkDrained() {
  if (!draining_ || listener_ || !drained_) return;
  if (!lastCall_.armed()) {
    // Who has not asked by now is let go as well; one in the middle of a message gets a little longer.
    lastCall_.arm(loop_.now() + kLookAgain);
    auto done = std::move(drained_);
    drained_ = nullptr;
    for (ClientSession* session : all()) session->drain(true);
    drained_ = std::move(done);
  }
  if (index_.empty()) {
    auto done = std::move(drained_);
    drained_ = nullptr;
    done();
  }
}

}  // namespace heathflow::downstream
