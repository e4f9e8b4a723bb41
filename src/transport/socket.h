// Non-blocking TCP sockets over IPv4. No function here throws or blocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/fd.h"

namespace heathflow::transport {

struct SocketAddress {
  std::uint32_t address = 0;  // host byte order
  std::uint16_t port = 0;
  bool operator==(const SocketAddress&) const = default;
};

// Parses an address such as "127.0.0.1:5432". Returns nothing for any other form; host names are not
// resolved.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);
std::string toText(const SocketAddress& socketAddress);

// A descriptor, or the errno of the failure.
struct SocketResult {
  UniqueFd fd;
  int error = 0;
};
// Returns whether an errno reports a shortage of this process or machine (descriptors, memory, ports) or an
// interrupted call, and says nothing about the peer.
bool isLocalShortage(int error);
// Returns a bound socket that does not listen, so the kernel rejects connections. SO_REUSEADDR lets a
// restarted process bind again at once.
SocketResult bindTo(const SocketAddress& socketAddress);
SocketResult listenOn(const SocketAddress& socketAddress, int backlog);
// Accepts the next connection of the queue. ECONNABORTED and EPROTO mean that this one was closed while
// queued; those behind it may still be accepted.
SocketResult acceptFrom(int listener);
// Starts a connection. Returns an error if it fails at once; otherwise it is established, or fails, later.
SocketResult startConnect(const SocketAddress& socketAddress);
int pendingError(int fd);
// Returns the address that a socket is bound to; nothing if the system call fails.
std::optional<SocketAddress> localAddress(int fd);

struct Transfer {
  enum class Kind { Done, WouldBlock, Closed, Failed } kind = Kind::Done;
  std::size_t size = 0;
};
Transfer readSome(int fd, char* into, std::size_t size);
// Reads and discards up to 'size' bytes.
Transfer discardSome(int fd, std::size_t size);
Transfer writeSome(int fd, const char* from, std::size_t size);
// Returns whether the socket has no unread bytes, no end of stream and no error.
bool isIdle(int fd);
// Shuts down the sending direction; the peer reads what was sent and then the end of the stream.
void shutdownWrite(int fd);

}  // namespace heathflow::transport
