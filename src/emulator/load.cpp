#include "emulator/load.h"

#include <algorithm>
#include <utility>

#include "common/uniform.h"
#include "standins/pg_bytes.h"

namespace heathflow::emulator {
namespace {

constexpr transport::Stream::Limits kLimits = {1 << 20, 1 << 20};
// A client opens no more beside those it has; what finds none is not asked.
constexpr std::size_t kConnectionsMost = 64;
constexpr Micros kMicrosPerMilli = 1000;
// A client looks so long beyond its time before it closes the connection.
constexpr Micros kBeyondPatience = 600 * kMicrosPerMilli;
// The close of a gateway that ends may cross a request that it has not read; its client asks once more
// elsewhere.
constexpr Micros kCrossing = 50 * kMicrosPerMilli;
// Within which a client that leaves does so.
constexpr std::uint64_t kLeavesWithin = 400 * kMicrosPerMilli;

}  // namespace

struct Load::Connection final : transport::StreamOwner {
  explicit Connection(Load& owner)
      : load(owner),
        stream(owner.loop_, *this, kLimits),
        limit(owner.loop_, [this] { load.remove(*this); }),
        leave(owner.loop_, [this] {
          load.judge_.clientDisconnected(id, load.loop_.now());
          load.remove(*this);
        }) {}

  void onOpen() override {
    up = true;
    if (busy) wrote();
    stream.flush();
  }

  // The request counts from the time at which it goes out.
  void wrote() {
    if (!told) {
      Judge::ClientRequest request;
      request.id = id;
      request.gateway = load.gateway_;
      request.at = load.loop_.now();
      request.patience = load.patience_;
      request.repeatable = request.rejectable = answer.kind != RequestKind::Save;
      if (answer.kind == RequestKind::View) request.bound = load.bound_;
      load.judge_.requestSent(request);
      ++load.asked_;
      told = true;
    }
    askedAt = load.loop_.now();
    limit.arm(askedAt + load.patience_ + kBeyondPatience);
    if (load.leaving_ > 0 && uniformUnit(load.random_()) < load.leaving_)
      leave.arm(askedAt + static_cast<Micros>(load.random_() % kLeavesWithin));
  }

  void send(const Arrivals::Arrival& arrival) {
    busy = true;
    told = false;
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
    wrote();
    stream.flush();
  }

  void onInput() override {
    bytes += stream.input().view();
    stream.input().consume(stream.input().size());
    for (const test::pg::Message& message : test::pg::cut(bytes)) {
      if (message.type == 'Z' && !welcomed) {
        welcomed = true;
      } else if (message.type == 'D') {
        answered = true;
        answer.how = RequestResult::Served;
      } else if (message.type == 'E') {
        const std::string code = test::pg::field(message.body, 'C');
        answered = true;
        answer.how = code == "53300" || code == "57P03" ? RequestResult::Rejected : RequestResult::Failed;
        if (!welcomed) return finish();  // rejected right after the connect
      } else if (message.type == 'Z' && answered) {
        finish();
      }
    }
  }

  void finish() {
    if (!busy || !told) return;
    limit.disarm();
    leave.disarm();
    busy = false;
    answer.at = load.loop_.now();
    load.judge_.requestAnswered(id, answer.at, answer.how);
    load.onAnswer_(answer);
  }

  void onEnd(transport::StreamEnd how) override {
    if (busy && answered) finish();
    const bool crossed =
        load.mayCross_ && how == transport::StreamEnd::Closed && load.loop_.now() - askedAt < kCrossing;
    if (busy && told && crossed) {
      load.judge_.clientDisconnected(id, load.loop_.now());
    } else if (busy && told) {
      // Its gateway is dead, which the emulator tells the judge, or has broken its word.
      answer.at = load.loop_.now();
      if (load.socketAddress_) load.judge_.requestAnswered(id, answer.at, RequestResult::Broken);
    } else if (busy) {
      ++load.unreached_;
    }
    load.remove(*this);
  }

  Load& load;
  transport::Stream stream;
  transport::Timer limit;
  transport::Timer leave;
  Micros askedAt = 0;
  std::string bytes;
  std::string id;
  Answer answer;
  bool up = false;
  bool welcomed = false;
  bool busy = false;
  bool told = false;      // the judge knows of the request
  bool answered = false;  // its answer has come, but for its end
};

Load::Load(transport::EventLoop& loop, std::string gateway, Arrivals arrivals, Micros patience, Micros bound,
           Judge& judge, OnAnswer onAnswer, double leaving, std::uint64_t seed)
    : loop_(loop),
      gateway_(std::move(gateway)),
      arrivals_(std::move(arrivals)),
      patience_(patience),
      bound_(bound),
      judge_(judge),
      onAnswer_(std::move(onAnswer)),
      next_(loop, [this] { turn(); }),
      leaving_(leaving),
      random_(seed) {
  next_.arm(arrivals_.next());
}

Load::~Load() = default;

void Load::connectTo(std::optional<transport::SocketAddress> socketAddress) {
  if (socketAddress == socketAddress_) return;
  socketAddress_ = socketAddress;
  resting_ = keeping_ = mayCross_ = false;
  while (!connections_.empty()) remove(*connections_.front());
}

void Load::stop() {
  stopped_ = true;
  next_.disarm();
}

std::size_t Load::open() const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const auto& one) { return one->busy && one->told; }));
}

void Load::turn() {
  while (!stopped_ && arrivals_.next() <= loop_.now()) ask(arrivals_.take());
  if (!stopped_) next_.arm(arrivals_.next());
}

void Load::ask(const Arrivals::Arrival& arrival) {
  if (!socketAddress_ || resting_) {
    ++unreached_;
    return;
  }
  for (const auto& connection : connections_) {
    if (!connection->busy && connection->up && connection->stream.quiet()) return connection->send(arrival);
  }
  if (keeping_ || connections_.size() >= kConnectionsMost) {
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

void Load::remove(Connection& connection) {
  for (auto entry = connections_.begin(); entry != connections_.end(); ++entry) {
    if (entry->get() != &connection) continue;
    connection.limit.disarm();
    connection.leave.disarm();
    connection.stream.close();
    loop_.retire(std::move(*entry));
    connections_.erase(entry);
    return;
  }
}

}  // namespace heathflow::emulator
