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
  explicit Client(IdleConnections& all) : crowd(all), stream(all.loop_, *this, kLimits) {}

  void onOpen() override { say(test::pg::startup()); }
  void onInput() override {
    got += stream.input().view();
    stream.input().consume(stream.input().size());
    for (const auto& message : test::pg::cut(got)) take(message);
  }
  void onEnd(transport::StreamEnd) override { ended = true; }
  void take(const test::pg::Message& message) {
    if (message.type == 'E' && asking) ++crowd.failed_;
    if (message.type != 'Z') return;
    if (!greeted) {
      greeted = true;
      return crowd.ask(*this);
    }
    known = true;
    if (!asking) return;
    ++crowd.answered_;
    asking = false;
    crowd.askNext(*this);
  }
  void say(std::string_view bytes) {
    stream.output().append(bytes);
    stream.flush();
  }

  IdleConnections& crowd;
  transport::Stream stream;
  std::string got;
  bool greeted = false;
  bool known = false;  // it has asked once: a gateway closes those that never do
  bool asking = false;
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
      clients_.begin(), clients_.end(), [](const auto& client) { return client->known || client->ended; }));
}

std::size_t IdleConnections::held() const {
  return static_cast<std::size_t>(std::count_if(
      clients_.begin(), clients_.end(), [](const auto& client) { return client->known && !client->ended; }));
}

void IdleConnections::ask(std::size_t asking, std::size_t statements) {
  left_ = statements;
  for (const auto& client : clients_) {
    if (asking == 0) return;
    if (!client->known || client->ended) continue;
    --asking;
    askNext(*client);
  }
}

void IdleConnections::askNext(Client& client) {
  if (left_ == 0) return;
  --left_;
  client.asking = true;
  ask(client);
}

void IdleConnections::ask(Client& client) {
  client.say(test::pg::query(test::request(kClass, "r" + std::to_string(++asked_))));
}

}  // namespace heathflow::emulator
