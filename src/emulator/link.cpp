#include "emulator/link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace heathflow::emulator {
namespace {

constexpr transport::Stream::Limits kLimits = {1 << 20, 8 << 20};
constexpr std::size_t kMaxDatagramBytes = 65'536;
// Further datagrams are dropped, as by a full queue.
constexpr std::size_t kMaxDatagramsInFlight = 10'000;
// How often a link checks whether held-back bytes can be sent while a direction is cut.
constexpr Micros kRecheckInterval = 5'000;

sockaddr_in socketNameOf(const transport::SocketAddress& socketAddress) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(socketAddress.port);
  out.sin_addr.s_addr = htonl(socketAddress.address);
  return out;
}

transport::UniqueFd datagramSocket(const transport::SocketAddress& at) {
  transport::UniqueFd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in address = socketNameOf(at);
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    throw std::runtime_error("can't bind the socket of a datagram link to " + toText(at));
  return fd;
}

// Makes the kernel reset the connection when the descriptor is closed, instead of closing it in order.
void resetOnClose(int fd) {
  const linger abrupt{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &abrupt, sizeof abrupt);
}

}  // namespace

// One side of a forwarded connection. Bytes that it reads are sent by the other side.
struct StreamLink::Side final : transport::StreamOwner {
  Side(StreamLink& owner, Pair& both, Direction outgoing)
      : link(owner), pair(both), direction(outgoing), stream(owner.loop_, *this, kLimits) {}

  void onOpen() override { stream.flush(); }
  void onInput() override;
  void onEnd(transport::StreamEnd how) override;

  void shiftTimes(Micros by) {
    last = std::max<Micros>(0, last - by);
    for (auto& [when, bytes] : delayed) {
      if (when != 0) when = std::max<Micros>(1, when - by);
    }
  }

  StreamLink& link;
  Pair& pair;
  Direction direction;  // of the bytes that it reads
  transport::Stream stream;
  std::deque<std::pair<Micros, std::string>> delayed;  // with arrival times; 0: held back by a cut
  Micros last = 0;                                     // the latest arrival time so far
  bool ended = false;
};

struct StreamLink::Pair {
  Pair(StreamLink& owner)
      : link(owner),
        client(owner, *this, Direction::ToServer),
        server(owner, *this, Direction::ToClient),
        due(owner.loop_, [this] { forwardDue(); }) {}

  Side& otherSide(const Side& side) { return &side == &client ? server : client; }

  void forwardDue() {
    const Micros time = link.now();
    Micros wake = 0;
    for (Side* side : {&client, &server}) {
      while (!side->delayed.empty()) {
        auto& [when, bytes] = side->delayed.front();
        const bool cut = when == 0;
        if (cut) {
          const auto arrival = link.conditions_.streamArrival(time, side->direction, side->last);
          if (arrival) when = side->last = std::max<Micros>(1, *arrival);
        }
        if (when == 0 || when > time) {
          const Micros again = when == 0 ? time + kRecheckInterval : when;
          wake = wake == 0 ? again : std::min(wake, again);
          break;
        }
        transport::Stream& to = otherSide(*side).stream;
        to.output().append(bytes);
        if (to.open()) to.flush();
        side->delayed.pop_front();
      }
      // The end of a connection arrives after all bytes that were sent before it, and not through a cut.
      if (side->ended && side->delayed.empty()) {
        if (link.conditions_.streamArrival(time, side->direction, 0)) return link.remove(*this);
        wake = wake == 0 ? time + kRecheckInterval : std::min(wake, time + kRecheckInterval);
      }
    }
    if (wake != 0) due.arm(link.start_ + wake);
  }

  StreamLink& link;
  Side client;
  Side server;
  transport::Timer due;
};

void StreamLink::Side::onInput() {
  if (direction == Direction::ToServer && link.onBytesToServer) link.onBytesToServer(stream.input().view());
  const auto arrival = link.conditions_.streamArrival(link.now(), direction, last);
  // Bytes after held-back ones are held back too, so that they stay in order.
  const bool behind = !delayed.empty() && delayed.back().first == 0;
  Micros when = 0;
  if (arrival && !behind) when = last = std::max<Micros>(1, *arrival);
  delayed.emplace_back(when, std::string(stream.input().view()));
  stream.input().consume(stream.input().size());
  pair.forwardDue();
}

void StreamLink::Side::onEnd(transport::StreamEnd) {
  ended = true;
  pair.forwardDue();
}

StreamLink::StreamLink(transport::EventLoop& loop, const transport::SocketAddress& at,
                       const transport::SocketAddress& to, LinkConditions conditions)
    : loop_(loop), to_(to), conditions_(std::move(conditions)), start_(loop.now()), next_(loop, [this] {
        applyNextConditions();
      }) {
  transport::SocketResult opened = transport::listenOn(at, 512);
  if (!opened.fd) throw std::runtime_error("a stream link can't listen at " + toText(at));
  listener_ = std::move(opened.fd);
  socketAddress_ = transport::localAddress(listener_.get()).value_or(at);
  loop_.watch(listener_.get(), *this);
  arm();
}

StreamLink::~StreamLink() { loop_.unwatch(listener_.get(), *this); }

// All times are relative to the start of the schedule, so known ones are shifted to the new start.
void StreamLink::change(LinkConditions conditions) {
  const Micros before = now();
  for (const auto& pair : pairs_) {
    pair->client.shiftTimes(before);
    pair->server.shiftTimes(before);
  }
  conditions_ = std::move(conditions);
  start_ = loop_.now();
  applyNextConditions();
}

void StreamLink::arm() {
  if (const auto next = conditions_.nextChangeAfter(now())) next_.arm(start_ + *next);
}

void StreamLink::applyNextConditions() {
  arm();
  if (!conditions_.at(now()).resets) return;
  while (!pairs_.empty()) remove(*pairs_.front());
}

void StreamLink::onReady(std::uint32_t) {
  for (;;) {
    transport::SocketResult opened = transport::acceptFrom(listener_.get());
    if (!opened.fd) return;
    resetOnClose(opened.fd.get());
    if (conditions_.at(now()).rejects) {
      ++rejected_;
      continue;
    }
    ++accepted_;
    pairs_.push_back(std::make_unique<Pair>(*this));
    Pair& pair = *pairs_.back();
    int error = 0;
    const bool good =
        pair.client.stream.adopt(std::move(opened.fd)) && pair.server.stream.connect(to_, error);
    if (!good) remove(pair);
  }
}

void StreamLink::remove(Pair& pair) {
  for (auto entry = pairs_.begin(); entry != pairs_.end(); ++entry) {
    if (entry->get() != &pair) continue;
    pair.due.disarm();
    pair.client.stream.close();
    pair.server.stream.close();
    loop_.deleteLater(std::move(*entry));
    pairs_.erase(entry);
    return;
  }
}

DatagramLink::DatagramLink(transport::EventLoop& loop, const transport::SocketAddress& at,
                           const transport::SocketAddress& to, LinkConditions conditions)
    : loop_(loop),
      to_(to),
      conditions_(std::move(conditions)),
      start_(loop.now()),
      clientSide_(datagramSocket(at)),
      serverSide_(datagramSocket({at.address, 0})),
      deliveryTimer_(loop, [this] { deliverDue(); }) {
  socketAddress_ = transport::localAddress(clientSide_.get()).value_or(at);
  loop_.watch(clientSide_.get(), *this);
  loop_.watch(serverSide_.get(), *this);
}

DatagramLink::~DatagramLink() {
  loop_.unwatch(clientSide_.get(), *this);
  loop_.unwatch(serverSide_.get(), *this);
}

void DatagramLink::change(LinkConditions conditions) {
  const Micros before = now();
  for (auto& [when, datagram] : std::exchange(inFlight_, {}))
    inFlight_.emplace(std::max<Micros>(0, when - before), std::move(datagram));
  conditions_ = std::move(conditions);
  start_ = loop_.now();
}

void DatagramLink::onReady(std::uint32_t) {
  take(clientSide_.get(), Direction::ToServer);
  take(serverSide_.get(), Direction::ToClient);
}

void DatagramLink::take(int fd, Direction direction) {
  std::string bytes(kMaxDatagramBytes, '\0');
  for (;;) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        ::recvfrom(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) break;
    if (direction == Direction::ToServer) peer_ = {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
    const auto arrivals = conditions_.arrivals(now(), direction);
    if (arrivals.empty()) ++dropped_;
    for (const Micros when : arrivals) {
      if (inFlight_.size() >= kMaxDatagramsInFlight) {
        ++dropped_;
        continue;
      }
      inFlight_.emplace(when, DatagramInFlight{direction, bytes.substr(0, static_cast<std::size_t>(got))});
    }
  }
  deliverDue();
}

void DatagramLink::deliverDue() {
  while (!inFlight_.empty() && inFlight_.begin()->first <= now()) {
    const DatagramInFlight datagram = std::move(inFlight_.begin()->second);
    inFlight_.erase(inFlight_.begin());
    const auto target = datagram.direction == Direction::ToServer ? std::optional(to_) : peer_;
    if (!target) continue;
    const sockaddr_in address = socketNameOf(*target);
    const int fd = datagram.direction == Direction::ToServer ? serverSide_.get() : clientSide_.get();
    ::sendto(fd, datagram.bytes.data(), datagram.bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address),
             sizeof address);
    ++delivered_;
  }
  if (!inFlight_.empty()) deliveryTimer_.arm(start_ + inFlight_.begin()->first);
}

}  // namespace heathflow::emulator
