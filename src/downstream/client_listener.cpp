#include "downstream/client_listener.h"

#include <cerrno>
#include <memory>
#include <string>
#include <utility>

namespace heathflow::downstream {
namespace {

constexpr int kBacklog = 1024;
constexpr int kMaxAcceptsPerTurn = 64;
// While the system has no descriptor or memory to give.
constexpr Micros kAcceptRetryDelay = 50'000;
// PROTOCOL, Figures: after SIGTERM new connections keep coming for 0.2 to 0.4 s.
constexpr Micros kListenAfterShutdownStart = 450'000;
// PROTOCOL, Figures: the process is killed no sooner than 0.7 s after SIGTERM. Clients without a request are
// closed before that.
constexpr Micros kCloseNewcomersAfterShutdownStart = 600'000;
constexpr Micros kShutdownCheckInterval = 250'000;
// For a queue of new connections that could not be emptied before the listener closes.
constexpr Micros kAcceptQueueRetryDelay = 5'000;
// A client is never evicted sooner after its last request, for it may be about to send the next one.
constexpr Micros kMinIdleTime = 250'000;

}  // namespace

ClientListener::ClientListener(transport::EventLoop& loop, routing::Router& router,
                               upstream::ConnectionPool& pool, upstream::DescriptorBudget& budget,
                               stats::Observer& observer, const protocol::Protocol& protocol,
                               std::size_t protocolIndex, ClientConnectionContext& context)
    : loop_(loop),
      router_(router),
      pool_(pool),
      budget_(budget),
      observer_(observer),
      protocol_(protocol),
      protocolIndex_(protocolIndex),
      context_(context),
      acceptRetry_(loop, [this] { (void)acceptAll(); }),
      stopListening_(loop, [this] { stopListening(); }),
      closeNewcomers_(loop, [this] { checkShutdown(); }),
      eviction_(loop, [this] { evictIdle(); }) {}

ClientListener::~ClientListener() {
  if (listener_) loop_.unwatch(listener_.get(), *this);
}

int ClientListener::listen(const transport::SocketAddress& address) {
  transport::SocketResult opened = transport::listenOn(address, kBacklog);
  if (!opened.fd) return opened.error;
  if (!loop_.watch(opened.fd.get(), *this)) return errno;
  listener_ = std::move(opened.fd);
  return 0;
}

std::optional<transport::SocketAddress> ClientListener::boundTo() const {
  return transport::localAddress(listener_.get());
}

// ---- Accepting ----

void ClientListener::onReady(std::uint32_t) { (void)acceptAll(); }

// @return whether no connection waits to be accepted any more.
bool ClientListener::acceptAll() {
  for (int i = 0; i < kMaxAcceptsPerTurn && listener_; ++i) {
    // Beyond the budget clients wait in the queue, where a request that they have sent is not lost.
    if (!budget_.canRejectClient() && !makeRoom() && !budget_.canRejectClient()) {
      acceptRetry_.arm(loop_.now() + kAcceptRetryDelay);
      return false;
    }
    const transport::SocketResult opened = acceptOne();
    if (opened.error == 0) continue;
    if (opened.error == EAGAIN || opened.error == EWOULDBLOCK) return true;
    if (!onAcceptFailed(opened.error)) return false;
  }
  if (listener_) loop_.requeue(*this);
  return false;
}

// @return with error 0 where a client was accepted.
transport::SocketResult ClientListener::acceptOne() {
  transport::SocketResult opened{std::move(unwatched_), 0};
  if (!opened.fd) opened = transport::acceptFrom(listener_.get());
  if (!opened.fd) return opened;
  if (startConnection(std::move(opened.fd), makeRoom())) return {{}, 0};
  const int error = errno;
  // The client may have sent a request already: the connection is kept until it can be watched.
  unwatched_ = std::move(opened.fd);
  return {{}, error};
}

// @return whether to go on accepting.
bool ClientListener::onAcceptFailed(int error) {
  if (error == ECONNABORTED || error == EPROTO) return true;
  observer_.log(stats::Topic::Limits, "a client can't be accepted: error " + std::to_string(error));
  // An idle connection to an endpoint is closed before a client is rejected.
  if ((error == EMFILE || error == ENFILE) && pool_.evictLongestIdle()) return true;
  acceptRetry_.arm(loop_.now() + kAcceptRetryDelay);
  return false;
}

// Frees descriptors for one more client: first of lingering connections, then of idle ones.
// @return whether there is one.
bool ClientListener::makeRoom() {
  while (!budget_.canServeClient()) {
    if (ClientConnection* lingering = connections_.oldestLingering()) {
      lingering->closeLingering();
    } else if (!connections_.evictOne()) {
      return false;
    }
  }
  return true;
}

// @param serve  else the client gets an error.
// @return false, with errno set, where the connection can't be watched; it then stays with the caller.
bool ClientListener::startConnection(transport::UniqueFd&& fd, bool serve) {
  auto connection = std::make_unique<ClientConnection>(loop_, static_cast<ClientConnectionOwner&>(*this),
                                                       router_, context_, observer_, protocolIndex_,
                                                       protocol_.name(), protocol_.makeClientSide());
  if (!connection->adopt(std::move(fd))) return false;
  if (!serve) {
    ++observer_.counters.clientsRejected;
    observer_.log(stats::Topic::Limits, "a client is rejected: no descriptor is left for it");
    connection->rejectConnection();
  }
  if (shuttingDown_) connection->closeWhenIdle(false);
  ++observer_.counters.clientsAccepted;
  budget_.clientOpened();
  connections_.add(std::move(connection));
  if (!eviction_.armed()) evictIdle();
  return true;
}

// ---- Idle clients ----

// Evicts idle clients while many descriptors are in use, so that new ones need not be rejected.
void ClientListener::evictIdle() {
  while (budget_.shouldEvictIdleClients()) {
    if (!connections_.evictOne(loop_.now() - kMinIdleTime)) return eviction_.arm(loop_.now() + kMinIdleTime);
    ++observer_.counters.idleClientsEvicted;
  }
}

void ClientListener::onConnectionBusy(ClientConnection& connection) { connections_.setBusy(connection); }

void ClientListener::onConnectionIdle(ClientConnection& connection) {
  connections_.setIdle(connection);
  if (!eviction_.armed()) evictIdle();
}

void ClientListener::onConnectionLingering(ClientConnection& connection) {
  connections_.setLingering(connection);
  budget_.clientLingers();
}

void ClientListener::onConnectionClosed(ClientConnection& connection) {
  ClientConnectionRegistry::Removed removed = connections_.remove(connection);
  if (removed.connection == nullptr) return;
  budget_.clientClosed(removed.lingered);
  loop_.deleteLater(std::move(removed.connection));
  checkShutdown();
}

// ---- Shutdown ----

void ClientListener::beginShutdown(std::function<void()> done) {
  if (shuttingDown_) return;
  shuttingDown_ = true;
  shutdownStartedAt_ = loop_.now();
  shutdownDone_ = std::move(done);
  for (ClientConnection* connection : connections_.all()) connection->closeWhenIdle(false);
  stopListening_.arm(loop_.now() + kListenAfterShutdownStart);
  closeNewcomers_.arm(loop_.now() + kCloseNewcomersAfterShutdownStart);
  checkShutdown();
}

void ClientListener::stopListening() {
  if (!listener_) return;
  // Connections that are still in the queue would be reset, with a request that they have sent.
  if (!acceptAll() && loop_.now() < shutdownStartedAt_ + kCloseNewcomersAfterShutdownStart) {
    return stopListening_.arm(loop_.now() + kAcceptQueueRetryDelay);
  }
  loop_.unwatch(listener_.get(), *this);
  listener_.reset();
  acceptRetry_.disarm();
  checkShutdown();
}

void ClientListener::checkShutdown() {
  if (!shuttingDown_ || listener_ || !shutdownDone_) return;
  if (!closeNewcomers_.armed()) {
    // From now on clients without a request are closed as well; one in the middle of a message gets a little
    // longer.
    closeNewcomers_.arm(loop_.now() + kShutdownCheckInterval);
    // Closing connections calls this function again; without the callback those calls return at once.
    auto done = std::exchange(shutdownDone_, nullptr);
    for (ClientConnection* connection : connections_.all()) connection->closeWhenIdle(true);
    shutdownDone_ = std::move(done);
  }
  if (connections_.empty()) {
    const auto done = std::exchange(shutdownDone_, nullptr);
    done();
  }
}

}  // namespace heathflow::downstream
