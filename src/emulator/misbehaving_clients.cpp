#include "emulator/misbehaving_clients.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "common/uniform.h"
#include "emulator/units.h"
#include "standins/pg_bytes.h"

namespace heathflow::emulator {
namespace {

// The operators require that a client that sends garbage or stops sending gets an error or a close within 3
// s; with some slack.
constexpr Micros kErrorWithin = 3'300'000;
constexpr std::size_t kMaxClients = 24;
constexpr std::size_t kGarbageBytes = 300;
constexpr int kBurstRequests = 6;
constexpr int kPieces = 10;
constexpr Micros kBetweenPieces = 30'000;
// How long clients that wait for an answer keep waiting beyond their deadline.
constexpr Micros kCloseAfterDeadline = 600'000;

}  // namespace

struct MisbehavingClients::Client {
  Client(MisbehavingClients& owner, Kind what)
      : all(owner),
        kind(what),
        line(owner.loop_, [this](test::Line&) { onInput(); }),
        due(owner.loop_, [this] { overdue(); }),
        step(owner.loop_, [this] { nextStep(); }) {
    line.onGone = [this] { onClosed(); };
  }

  // Reports a request to the judge. Answers are matched to requests by their order.
  void reportSent(const std::string& id, Micros patience) {
    Judge::ClientRequest sent;
    sent.id = id;
    sent.gateway = all.gateway_;
    sent.at = all.loop_.now();
    sent.patience = patience;
    all.judge_.requestSent(sent);
    open.push_back(id);
    hasSentRequest = true;
  }
  void onInput() {
    for (const test::pg::Message& message : test::pg::cut(line.got)) {
      if (message.type != 'D' && message.type != 'E') continue;
      const std::string code = message.type == 'E' ? test::pg::field(message.body, 'C') : "";
      const RequestResult how = message.type == 'D'                  ? RequestResult::Served
                                : code == "53300" || code == "57P03" ? RequestResult::Rejected
                                                                     : RequestResult::Failed;
      if (open.empty()) {
        nothingOwed = true;  // the client has got its error
        continue;
      }
      all.judge_.requestAnswered(open.front(), all.loop_.now(), how);
      open.pop_front();
    }
    if (awaitsAnswers && hasSentRequest && open.empty()) all.remove(*this);
  }
  void onClosed() {
    for (const std::string& id : open) all.judge_.requestAnswered(id, all.loop_.now(), RequestResult::Broken);
    all.remove(*this);
  }
  void overdue() {
    if (!awaitsAnswers && !nothingOwed)
      all.judge_.reportBreach(Rule::OneAnswer, all.loop_.now(), all.gateway_,
                              "a misbehaving client (kind " + std::to_string(static_cast<int>(kind)) +
                                  ") got neither an error nor a close");
    all.remove(*this);
  }
  void nextStep() {
    if (kind == Kind::Disconnects || kind == Kind::ClosesSending) {
      for (const std::string& id : open) all.judge_.clientDisconnected(id, all.loop_.now());
      open.clear();
      if (kind == Kind::Disconnects) return all.remove(*this);
      line.stream.shutdownWrite();
      due.arm(all.loop_.now() + kMicrosPerSecond);
      nothingOwed = true;
      return;
    }
    // The client is a slow writer, which sends its next piece.
    const std::size_t size = std::min(rest.size(), std::max<std::size_t>(1, totalBytes / kPieces));
    line.say(rest.substr(0, size));
    rest.erase(0, size);
    if (!rest.empty()) return step.arm(all.loop_.now() + kBetweenPieces);
    reportSent(slowId, all.patience_);
    due.arm(all.loop_.now() + all.patience_ + kCloseAfterDeadline);
  }

  MisbehavingClients& all;
  Kind kind;
  test::Line line;
  transport::Timer due;
  transport::Timer step;
  std::list<std::string> open;  // ids of requests without an answer
  std::string rest;             // the bytes that a slow writer has yet to send
  std::string slowId;           // the id of a slow writer's request
  std::size_t totalBytes = 0;
  bool awaitsAnswers = false;
  bool nothingOwed = false;
  bool removed = false;
  bool hasSentRequest = false;
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
      next_(loop, [this] { startDue(); }) {
  if (perSecond_ > 0) next_.arm(loop_.now() + drawPause());
}

MisbehavingClients::~MisbehavingClients() = default;

Micros MisbehavingClients::drawPause() {
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

void MisbehavingClients::startDue() {
  next_.arm(loop_.now() + drawPause());
  if (socketAddress_ && clients_.size() < kMaxClients) begin(static_cast<Kind>(random_() % kKinds));
}

void MisbehavingClients::begin(Kind kind) {
  clients_.push_back(std::make_unique<Client>(*this, kind));
  Client& client = *clients_.back();
  int error = 0;
  if (!client.line.stream.connect(*socketAddress_, error)) return remove(client);
  client.due.arm(loop_.now() + kErrorWithin);
  const std::string opening = test::pg::startup();
  const std::string id = nextId();
  const std::string statement = request(id);
  const auto truncated = [this](const std::string& bytes) {
    return bytes.substr(0, 1 + random_() % (bytes.size() - 1));
  };
  switch (kind) {
    case Kind::Silent:
      return;
    case Kind::HalfStartup:
      return client.line.say(truncated(opening));
    case Kind::HalfRequest:
      return client.line.say(opening + truncated(statement));
    case Kind::Garbage: {
      std::string bytes;
      for (std::size_t i = 0; i < kGarbageBytes; ++i) bytes += static_cast<char>(random_());
      return client.line.say(random_() % 2 == 0 ? bytes : opening + bytes);
    }
    case Kind::Disconnects:
    case Kind::ClosesSending:
      client.line.say(opening + statement);
      client.reportSent(id, patience_);
      return client.step.arm(loop_.now() + static_cast<Micros>(random_() % 200'000));
    case Kind::SlowWriter:
      client.awaitsAnswers = true;
      client.rest = opening + statement;
      client.totalBytes = client.rest.size();
      client.slowId = id;
      return client.step.arm(loop_.now() + kBetweenPieces);
    case Kind::Burst: {
      client.awaitsAnswers = true;
      std::string all = opening + statement;
      // Each request is allowed the time of the ones before it, because answers come in order.
      client.reportSent(id, patience_);
      for (int i = 1; i < kBurstRequests; ++i) {
        const std::string next = nextId();
        all += request(next);
        client.reportSent(next, (i + 1) * patience_);
      }
      client.due.arm(loop_.now() + kBurstRequests * patience_ + kCloseAfterDeadline);
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
  loop_.deleteLater(std::move(*found));
  clients_.erase(found);
}

}  // namespace heathflow::emulator
