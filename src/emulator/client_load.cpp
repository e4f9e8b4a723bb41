#include "emulator/client_load.h"

#include <algorithm>
#include <utility>

#include "common/uniform.h"
#include "emulator/units.h"
#include "standins/pg_bytes.h"

namespace heathflow::emulator {
namespace {

constexpr transport::Stream::Limits kLimits = {1 << 20, 1 << 20};
// While all of these connections are busy, a due request is not sent.
constexpr std::size_t kMaxConnections = 64;
// How long a client waits beyond its deadline before it closes the connection.
constexpr Micros kCloseAfterDeadline = 600 * kMicrosPerMilli;
// If a gateway that shuts down closes a connection within this time after a request was written, the close
// and the request may have crossed on the way: the gateway did not read the request, and a real client would
// retry at another gateway.
constexpr Micros kCrossingWindow = 50 * kMicrosPerMilli;
// A client that disconnects before its answer does so within this time after its request.
constexpr std::uint64_t kDisconnectsWithin = 400 * kMicrosPerMilli;

}  // namespace

struct ClientLoad::Connection final : transport::StreamOwner {
  explicit Connection(ClientLoad& owner)
      : load(owner),
        stream(owner.loop_, *this, kLimits),
        limit(owner.loop_, [this] { load.remove(*this); }),
        disconnect(owner.loop_, [this] {
          load.judge_.clientDisconnected(id, load.loop_.now());
          load.remove(*this);
        }) {}

  void onOpen() override {
    up = true;
    if (busy) onWritten();
    stream.flush();
  }

  // Reports the request to the judge: its time starts when it is written.
  void onWritten() {
    if (!reported) {
      Judge::ClientRequest request;
      request.id = id;
      request.gateway = load.gateway_;
      request.at = load.loop_.now();
      request.patience = load.patience_;
      request.repeatable = request.rejectable = answer.kind != RequestKind::Save;
      if (answer.kind == RequestKind::View) request.bound = load.bound_;
      load.judge_.requestSent(request);
      ++load.requests_;
      reported = true;
    }
    sentAt = load.loop_.now();
    limit.arm(sentAt + load.patience_ + kCloseAfterDeadline);
    if (load.disconnectShare_ > 0 && uniformUnit(load.random_()) < load.disconnectShare_)
      disconnect.arm(sentAt + static_cast<Micros>(load.random_() % kDisconnectsWithin));
  }

  void send(const Arrivals::Arrival& arrival) {
    busy = true;
    reported = false;
    answered = false;
    id = load.gateway_ + "-" + std::to_string(++load.sequence_);
    answer = {arrival.at, 0, arrival.kind, arrival.group, RequestResult::Served};
    const std::string statement =
        arrival.kind == RequestKind::Save
            ? "INSERT INTO rows (handle, blob) VALUES ('key', '\\x9f03') RETURNING blob"
            : "SELECT blob FROM rows WHERE handle = 'key'";
    stream.output().append(test::pg::query(statement + " /* id=" + id + ",c=" + nameOf(arrival.kind) +
                                           ",d=" + std::to_string(load.patience_ / kMicrosPerMilli) +
                                           ",cluster=" + std::to_string(arrival.group) + " */"));
    if (!up) return;
    onWritten();
    stream.flush();
  }

  void onInput() override {
    bytes += stream.input().view();
    stream.input().consume(stream.input().size());
    for (const test::pg::Message& message : test::pg::cut(bytes)) {
      if (message.type == 'Z' && !greeted) {
        greeted = true;
      } else if (message.type == 'D') {
        answered = true;
        answer.result = RequestResult::Served;
      } else if (message.type == 'E') {
        const std::string code = test::pg::field(message.body, 'C');
        answered = true;
        answer.result = code == "53300" || code == "57P03" ? RequestResult::Rejected : RequestResult::Failed;
        if (!greeted) return finish();  // rejected right after the connect
      } else if (message.type == 'Z' && answered) {
        finish();
      }
    }
  }

  void finish() {
    if (!busy || !reported) return;
    limit.disarm();
    disconnect.disarm();
    busy = false;
    answer.at = load.loop_.now();
    load.judge_.requestAnswered(id, answer.at, answer.result);
    load.onAnswer_(answer);
  }

  void onEnd(transport::StreamEnd how) override {
    if (busy && answered) finish();
    const bool crossed = load.closeExpected_ && how == transport::StreamEnd::Closed &&
                         load.loop_.now() - sentAt < kCrossingWindow;
    if (busy && reported && crossed) {
      load.judge_.clientDisconnected(id, load.loop_.now());
    } else if (busy && reported) {
      // Either the gateway is at fault, or the emulator killed it and reported that to the judge.
      answer.at = load.loop_.now();
      if (load.socketAddress_) load.judge_.requestAnswered(id, answer.at, RequestResult::Broken);
    } else if (busy) {
      ++load.unreached_;
    }
    load.remove(*this);
  }

  ClientLoad& load;
  transport::Stream stream;
  transport::Timer limit;
  transport::Timer disconnect;
  Micros sentAt = 0;
  std::string bytes;
  std::string id;
  Answer answer;
  bool up = false;
  bool greeted = false;
  bool busy = false;
  bool reported = false;  // the request was reported to the judge
  bool answered = false;  // the answer has come, but not yet the ReadyForQuery message that ends it
};

ClientLoad::ClientLoad(transport::EventLoop& loop, std::string gateway, const Arrivals& arrivals,
                       Micros patience, Micros bound, Judge& judge, OnAnswer onAnswer, double disconnectShare,
                       std::uint64_t seed)
    : loop_(loop),
      gateway_(std::move(gateway)),
      arrivals_(arrivals),
      patience_(patience),
      bound_(bound),
      judge_(judge),
      onAnswer_(std::move(onAnswer)),
      next_(loop, [this] { sendDue(); }),
      disconnectShare_(disconnectShare),
      random_(seed) {
  next_.arm(arrivals_.next());
}

ClientLoad::~ClientLoad() = default;

void ClientLoad::connectTo(std::optional<transport::SocketAddress> socketAddress) {
  if (socketAddress == socketAddress_) return;
  socketAddress_ = socketAddress;
  paused_ = opensNoConnections_ = closeExpected_ = false;
  while (!connections_.empty()) remove(*connections_.front());
}

void ClientLoad::stop() {
  stopped_ = true;
  next_.disarm();
}

std::size_t ClientLoad::openRequests() const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const auto& one) { return one->busy && one->reported; }));
}

void ClientLoad::sendDue() {
  while (!stopped_ && arrivals_.next() <= loop_.now()) send(arrivals_.take());
  if (!stopped_) next_.arm(arrivals_.next());
}

void ClientLoad::send(const Arrivals::Arrival& arrival) {
  if (!socketAddress_ || paused_) {
    ++unreached_;
    return;
  }
  for (const auto& connection : connections_) {
    if (!connection->busy && connection->up && connection->stream.isIdle()) return connection->send(arrival);
  }
  if (opensNoConnections_ || connections_.size() >= kMaxConnections) {
    ++unreached_;
    return;
  }
  connections_.push_back(std::make_unique<Connection>(*this));
  Connection& connection = *connections_.back();
  connection.stream.output().append(test::pg::startup());
  int error = 0;
  if (!connection.stream.connect(*socketAddress_, error)) {
    ++unreached_;
    return remove(connection);
  }
  connection.send(arrival);
}

void ClientLoad::remove(Connection& connection) {
  for (auto entry = connections_.begin(); entry != connections_.end(); ++entry) {
    if (entry->get() != &connection) continue;
    connection.limit.disarm();
    connection.disconnect.disarm();
    connection.stream.close();
    loop_.deleteLater(std::move(*entry));
    connections_.erase(entry);
    return;
  }
}

}  // namespace heathflow::emulator
