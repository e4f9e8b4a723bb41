#include "emulator/idle_connections.h"

#include <algorithm>

#include "standins/gateway_rig.h"
#include "standins/pg_bytes.h"

namespace heathflow::emulator {
namespace {

constexpr transport::Stream::Limits kLimits = {64 * 1024, 64 * 1024};
constexpr const char* kClass = "any";

}  // namespace

struct IdleConnections::Client final : transport::StreamOwner {
  explicit Client(IdleConnections& owner) : all(owner), stream(owner.loop_, *this, kLimits) {}

  void onOpen() override { say(test::pg::startup()); }
  void onInput() override {
    got += stream.input().view();
    stream.input().consume(stream.input().size());
    for (const auto& message : test::pg::cut(got)) take(message);
  }
  void onEnd(transport::StreamEnd) override { ended = true; }
  void take(const test::pg::Message& message) {
    if (message.type == 'E' && waiting) ++all.failed_;
    if (message.type != 'Z') return;
    if (!greeted) {
      greeted = true;
      return all.send(*this);
    }
    settled = true;
    if (!waiting) return;
    ++all.answered_;
    waiting = false;
    all.sendNext(*this);
  }
  void say(std::string_view bytes) {
    stream.output().append(bytes);
    stream.flush();
  }

  IdleConnections& all;
  transport::Stream stream;
  std::string got;
  bool greeted = false;
  bool settled = false;  // it has its first answer; a gateway closes connections without a request
  bool waiting = false;
  bool ended = false;
};

IdleConnections::IdleConnections(transport::EventLoop& loop, const transport::SocketAddress& gateway)
    : loop_(loop), gateway_(gateway) {}

IdleConnections::~IdleConnections() = default;

void IdleConnections::grow(std::size_t to) {
  while (clients_.size() < to) {
    clients_.push_back(std::make_unique<Client>(*this));
    int error = 0;
    if (!clients_.back()->stream.connect(gateway_, error)) clients_.back()->ended = true;
  }
}

std::size_t IdleConnections::settled() const {
  return static_cast<std::size_t>(std::count_if(
      clients_.begin(), clients_.end(), [](const auto& client) { return client->settled || client->ended; }));
}

std::size_t IdleConnections::openCount() const {
  return static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(), [](const auto& client) {
    return client->settled && !client->ended;
  }));
}

void IdleConnections::send(std::size_t senders, std::size_t statements) {
  remaining_ = statements;
  for (const auto& client : clients_) {
    if (senders == 0) return;
    if (!client->settled || client->ended) continue;
    --senders;
    sendNext(*client);
  }
}

void IdleConnections::sendNext(Client& client) {
  if (remaining_ == 0) return;
  --remaining_;
  client.waiting = true;
  send(client);
}

void IdleConnections::send(Client& client) {
  client.say(test::pg::query(test::request(kClass, "r" + std::to_string(++sent_))));
}

}  // namespace heathflow::emulator
