#include "transport/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

namespace heathflow::transport {
namespace {

sockaddr_in toSockaddr(const SocketAddress& socketAddress) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(socketAddress.address);
  out.sin_port = htons(socketAddress.port);
  return out;
}

void enableOption(int fd, int level, int name) {
  const int on = 1;
  ::setsockopt(fd, level, name, &on, sizeof on);
}

UniqueFd openSocket() { return UniqueFd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)); }

}  // namespace

std::optional<SocketAddress> parseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  in_addr address{};
  if (::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address) != 1) return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return SocketAddress{ntohl(address.s_addr), port};
}

std::string toText(const SocketAddress& socketAddress) {
  const in_addr address{htonl(socketAddress.address)};
  char text[INET_ADDRSTRLEN] = {};
  ::inet_ntop(AF_INET, &address, text, sizeof text);
  return std::string(text) + ":" + std::to_string(socketAddress.port);
}

bool isLocalShortage(int error) {
  constexpr std::array kShortages = {EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC, EADDRNOTAVAIL, EAGAIN, EINTR};
  return std::find(kShortages.begin(), kShortages.end(), error) != kShortages.end();
}

SocketResult bindTo(const SocketAddress& socketAddress) {
  UniqueFd fd = openSocket();
  if (!fd) return {UniqueFd(), errno};
  enableOption(fd.get(), SOL_SOCKET, SO_REUSEADDR);
  const sockaddr_in address = toSockaddr(socketAddress);
  if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    return {UniqueFd(), errno};
  return {std::move(fd), 0};
}

SocketResult listenOn(const SocketAddress& socketAddress, int backlog) {
  SocketResult out = bindTo(socketAddress);
  if (out.fd && ::listen(out.fd.get(), backlog) != 0) return {UniqueFd(), errno};
  return out;
}

SocketResult acceptFrom(int listener) {
  for (;;) {
    UniqueFd fd(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR) continue;
      return {UniqueFd(), errno};
    }
    enableOption(fd.get(), IPPROTO_TCP, TCP_NODELAY);
    return {std::move(fd), 0};
  }
}

SocketResult startConnect(const SocketAddress& socketAddress) {
  UniqueFd fd = openSocket();
  if (!fd) return {UniqueFd(), errno};
  enableOption(fd.get(), IPPROTO_TCP, TCP_NODELAY);
  const sockaddr_in address = toSockaddr(socketAddress);
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS && errno != EINTR) {
    return {UniqueFd(), errno};
  }
  return {std::move(fd), 0};
}

int pendingError(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

std::optional<SocketAddress> localAddress(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) return std::nullopt;
  return SocketAddress{ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

namespace {

Transfer transferOf(ssize_t moved, bool reading) {
  if (moved > 0) return {Transfer::Kind::Done, static_cast<std::size_t>(moved)};
  if (moved == 0) return {reading ? Transfer::Kind::Closed : Transfer::Kind::WouldBlock, 0};
  if (errno == EAGAIN || errno == EWOULDBLOCK) return {Transfer::Kind::WouldBlock, 0};
  return {Transfer::Kind::Failed, 0};
}

}  // namespace

Transfer readSome(int fd, char* into, std::size_t size) {
  ssize_t got = 0;
  do {
    got = ::recv(fd, into, size, 0);
  } while (got < 0 && errno == EINTR);
  return transferOf(got, true);
}

Transfer discardSome(int fd, std::size_t size) {
  ssize_t got = 0;
  do {
    // With MSG_TRUNC the kernel discards a TCP socket's bytes without copying them.
    got = ::recv(fd, nullptr, size, MSG_TRUNC);
  } while (got < 0 && errno == EINTR);
  return transferOf(got, true);
}

Transfer writeSome(int fd, const char* from, std::size_t size) {
  ssize_t sent = 0;
  do {
    sent = ::send(fd, from, size, MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return transferOf(sent, false);
}

bool isIdle(int fd) {
  char byte = 0;
  ssize_t got = 0;
  do {
    got = ::recv(fd, &byte, 1, MSG_PEEK);
  } while (got < 0 && errno == EINTR);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void shutdownWrite(int fd) { ::shutdown(fd, SHUT_WR); }

}  // namespace heathflow::transport
