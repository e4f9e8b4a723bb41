// Reads batches from standard input and writes one reply each to standard output.
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <exception>
#include <string>

#include "wirehost/codec.h"
#include "wirehost/host.h"

namespace {

using heathflow::wirehost::FrameError;

constexpr std::size_t kReadChunkSize = 1U << 20;

// Reads up to size bytes; fewer only at the end of input.
std::size_t readFully(char* into, std::size_t size) {
  std::size_t got = 0;
  while (got < size) {
    const ssize_t n = ::read(STDIN_FILENO, into + got, size - got);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) throw FrameError("cannot read from standard input");
    if (n == 0) break;
    got += static_cast<std::size_t>(n);
  }
  return got;
}

// Grows the body as bytes arrive, so that a wrong length cannot allocate memory for bytes that never come.
void readBody(std::string& body, std::size_t size) {
  body.clear();
  while (body.size() < size) {
    const std::size_t before = body.size();
    const std::size_t part = std::min(kReadChunkSize, size - before);
    body.resize(before + part);
    if (readFully(body.data() + before, part) < part) throw FrameError("the input ends inside a frame");
  }
}

void writeFully(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::write(STDOUT_FILENO, bytes.data() + sent, bytes.size() - sent);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) throw FrameError("cannot write to standard output");
    sent += static_cast<std::size_t>(n);
  }
}

}  // namespace

int main() {
  try {
    heathflow::wirehost::Host host;
    std::string header(heathflow::wirehost::kBatchHeaderSize, '\0');
    std::string body;
    for (;;) {
      const std::size_t got = readFully(header.data(), header.size());
      if (got == 0) return 0;
      const auto parsed = heathflow::wirehost::decodeHeader(std::string_view(header).substr(0, got));
      readBody(body, parsed.length - header.size());
      writeFully(host.handle(parsed, body));
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heathflow_wirehost: %s\n", error.what());
    return 1;
  }
}
