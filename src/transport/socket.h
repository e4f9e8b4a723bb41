// Non-blocking TCP sockets over IPv4. Nothing here throws or waits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/fd.h"

namespace heathflow::transport {

struct SocketAddress {
  std::uint32_t address = 0;  // in host order
  std::uint16_t port = 0;
  bool operator==(const SocketAddress&) const = default;
};

// "127.0.0.1:5432"; there are no names to resolve.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);
std::string toText(const SocketAddress& socketAddress);

// A descriptor, or the error number that stood in the way.
struct Opened {
  UniqueFd fd;
  int error = 0;
};
// Whether an error speaks of what this process or machine lacks, descriptors, memory or ports, and not of the
// other end.
bool ownLack(int error);
// Bound and not listening: connections are rejected. A restart may bind again at once.
Opened bindTo(const SocketAddress& socketAddress);
Opened listenOn(const SocketAddress& socketAddress, int backlog);
// One that went away while it was in the queue comes as ECONNABORTED or EPROTO, and says nothing of those
// behind it.
Opened acceptFrom(int listener);
// The connection comes up, or fails, later.
Opened startConnect(const SocketAddress& socketAddress);
int pendingError(int fd);
// The address a socket is bound to.
std::optional<SocketAddress> boundTo(int fd);

struct Transfer {
  enum class Kind { Done, WouldBlock, Closed, Failed } kind = Kind::Done;
  std::size_t size = 0;
};
Transfer readSome(int fd, char* into, std::size_t size);
// Takes up to 'size' bytes off the socket without keeping them.
Transfer dropSome(int fd, std::size_t size);
Transfer writeSome(int fd, const char* from, std::size_t size);
// Whether nothing has come in: neither bytes nor a close nor an error.
bool quiet(int fd);
// No more is sent; the peer reads to the end of what was.
void endSending(int fd);

}  // namespace heathflow::transport
