#include "emulator/misbehaving_clients.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "common/uniform.h"
#include "standins/pg_bytes.h"

namespace heathflow::emulator {
namespace {

constexpr Micros kMicrosPerMilli = 1000;
constexpr Micros kMicrosPerSecond = 1'000'000;
// LATER, Bad clients: who sends nothing that can be read, or does not go on, is owed an error or a close
// within 3 s; with a little for this machine.
constexpr Micros kOwedWithin = 3'300'000;
constexpr std::size_t kClientsMost = 24;
constexpr std::size_t kGarbage = 300;
constexpr int kInBurst = 6;
constexpr int kPieces = 10;
constexpr Micros kBetweenPieces = 30'000;
// Of those that wait for an answer: so long beyond their time they look.
constexpr Micros kBeyond = 600'000;

}  // namespace

struct MisbehavingClients::Client {
  Client(MisbehavingClients& owner, Kind what)
      : all(owner),
        kind(what),
        line(owner.loop_, [this](test::Line&) { heard(); }),
        due(owner.loop_, [this] { overdue(); }),
        step(owner.loop_, [this] { goOn(); }) {
    line.onGone = [this] { gone(); };
  }

  // What was asked of the judge's knowledge, in the order of the answers.
  void ask(const std::string& id, Micros patience) {
    Judge::ClientRequest asked;
    asked.id = id;
    asked.gateway = all.gateway_;
    asked.at = all.loop_.now();
    asked.patience = patience;
    all.judge_.requestSent(asked);
    open.push_back(id);
    askedSome = true;
  }
  void heard() {
    for (const test::pg::Message& message : test::pg::cut(line.got)) {
      if (message.type != 'D' && message.type != 'E') continue;
      const std::string code = message.type == 'E' ? test::pg::field(message.body, 'C') : "";
      const RequestResult how = message.type == 'D'                  ? RequestResult::Served
                                : code == "53300" || code == "57P03" ? RequestResult::Rejected
                                                                     : RequestResult::Failed;
      if (open.empty()) {
        owedNothing = true;  // its error
        continue;
      }
      all.judge_.requestAnswered(open.front(), all.loop_.now(), how);
      open.pop_front();
    }
    if (awaitsAnswers && askedSome && open.empty()) all.remove(*this);
  }
  void gone() {
    for (const std::string& id : open) all.judge_.requestAnswered(id, all.loop_.now(), RequestResult::Broken);
    all.remove(*this);
  }
  void overdue() {
    if (!awaitsAnswers && !owedNothing)
      all.judge_.reportBreach(Rule::OneAnswer, all.loop_.now(), all.gateway_,
                              "a client that stopped (" + std::to_string(static_cast<int>(kind)) +
                                  ") got neither an error nor a close");
    all.remove(*this);
  }
  void goOn() {
    if (kind == Kind::HitAndRun || kind == Kind::HalfClose) {
      for (const std::string& id : open) all.judge_.clientDisconnected(id, all.loop_.now());
      open.clear();
      if (kind == Kind::HitAndRun) return all.remove(*this);
      line.stream.endSending();
      due.arm(all.loop_.now() + kMicrosPerSecond);
      owedNothing = true;
      return;
    }
    // One that writes slowly.
    const std::size_t size = std::min(rest.size(), std::max<std::size_t>(1, whole / kPieces));
    line.say(rest.substr(0, size));
    rest.erase(0, size);
    if (!rest.empty()) return step.arm(all.loop_.now() + kBetweenPieces);
    ask(slowId, all.patience_);
    due.arm(all.loop_.now() + all.patience_ + kBeyond);
  }

  MisbehavingClients& all;
  Kind kind;
  test::Line line;
  transport::Timer due;
  transport::Timer step;
  std::list<std::string> open;
  std::string rest;
  std::string slowId;
  std::size_t whole = 0;
  bool awaitsAnswers = false;
  bool owedNothing = false;
  bool removed = false;
  bool askedSome = false;
};

MisbehavingClients::MisbehavingClients(transport::EventLoop& loop, std::string gateway, double perSecond,
                                       unsigned groups, Micros patience, std::uint64_t seed, Judge& judge)
    : loop_(loop),
      gateway_(std::move(gateway)),
      perSecond_(perSecond),
      groups_(groups),
      patience_(patience),
      random_(seed),
      judge_(judge),
      next_(loop, [this] { turn(); }) {
  if (perSecond_ > 0) next_.arm(loop_.now() + pause());
}

MisbehavingClients::~MisbehavingClients() = default;

Micros MisbehavingClients::pause() {
  return static_cast<Micros>(-std::log(1 - uniformUnit(random_())) / perSecond_ *
                             static_cast<double>(kMicrosPerSecond));
}

std::string MisbehavingClients::nextId() { return gateway_ + "-rough-" + std::to_string(++sequence_); }

std::string MisbehavingClients::request(const std::string& id) {
  return test::pg::query("SELECT blob FROM rows WHERE handle = 'key' /* id=" + id +
                         ",c=any,d=" + std::to_string(patience_ / kMicrosPerMilli) +
                         ",cluster=" + std::to_string(random_() % groups_) + " */");
}

void MisbehavingClients::connectTo(std::optional<transport::SocketAddress> socketAddress) {
  if (socketAddress == socketAddress_) return;
  socketAddress_ = socketAddress;
  while (!clients_.empty()) {
    Client& client = *clients_.front();
    for (const std::string& id : client.open) judge_.clientDisconnected(id, loop_.now());
    remove(client);
  }
}

void MisbehavingClients::stop() {
  next_.disarm();
  connectTo({});
}

void MisbehavingClients::turn() {
  next_.arm(loop_.now() + pause());
  if (socketAddress_ && clients_.size() < kClientsMost) begin(static_cast<Kind>(random_() % kKinds));
}

void MisbehavingClients::begin(Kind kind) {
  clients_.push_back(std::make_unique<Client>(*this, kind));
  Client& client = *clients_.back();
  int error = 0;
  if (!client.line.stream.connect(*socketAddress_, error)) return remove(client);
  client.due.arm(loop_.now() + kOwedWithin);
  const std::string opening = test::pg::startup();
  const std::string id = nextId();
  const std::string asking = request(id);
  const auto cutShort = [this](const std::string& bytes) {
    return bytes.substr(0, 1 + random_() % (bytes.size() - 1));
  };
  switch (kind) {
    case Kind::Silent:
      return;
    case Kind::HalfStartup:
      return client.line.say(cutShort(opening));
    case Kind::HalfRequest:
      return client.line.say(opening + cutShort(asking));
    case Kind::Garbage: {
      std::string bytes;
      for (std::size_t i = 0; i < kGarbage; ++i) bytes += static_cast<char>(random_());
      return client.line.say(random_() % 2 == 0 ? bytes : opening + bytes);
    }
    case Kind::HitAndRun:
    case Kind::HalfClose:
      client.line.say(opening + asking);
      client.ask(id, patience_);
      return client.step.arm(loop_.now() + static_cast<Micros>(random_() % 200'000));
    case Kind::SlowWriter:
      client.awaitsAnswers = true;
      client.rest = opening + asking;
      client.whole = client.rest.size();
      client.slowId = id;
      return client.step.arm(loop_.now() + kBetweenPieces);
    case Kind::Burst: {
      client.awaitsAnswers = true;
      std::string all = opening + asking;
      // The wait for the answers before one does not count against it.
      client.ask(id, patience_);
      for (int i = 1; i < kInBurst; ++i) {
        const std::string next = nextId();
        all += request(next);
        client.ask(next, (i + 1) * patience_);
      }
      client.due.arm(loop_.now() + kInBurst * patience_ + kBeyond);
      return client.line.say(all);
    }
  }
}

void MisbehavingClients::remove(Client& client) {
  if (std::exchange(client.removed, true)) return;
  client.due.disarm();
  client.step.disarm();
  client.line.stream.close();
  const auto found = std::find_if(clients_.begin(), clients_.end(),
                                  [&](const auto& entry) { return entry.get() == &client; });
  if (found == clients_.end()) return;
  loop_.retire(std::move(*found));
  clients_.erase(found);
}

}  // namespace heathflow::emulator
