#include "files/files.h"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <system_error>

namespace heathflow::files {
namespace {

constexpr std::size_t kPiece = 64 << 10;
constexpr mode_t kMode = 0644;
constexpr std::string_view kMark = ".new.";

// An open descriptor; closed at the end of its scope.
class Opened {
 public:
  Opened(const std::string& path, int flags) {
    do {
      fd_ = ::open(path.c_str(), flags | O_CLOEXEC, kMode);
    } while (fd_ < 0 && errno == EINTR);
  }
  ~Opened() { (void)close(); }
  Opened(const Opened&) = delete;
  Opened& operator=(const Opened&) = delete;

  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  // 0, or why what was written may not have been taken.
  int close() {
    if (fd_ < 0) return 0;
    const int result = ::close(fd_);
    fd_ = -1;
    return result == 0 || errno == EINTR ? 0 : errno;
  }

 private:
  int fd_ = -1;
};

int writeAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t wrote = ::write(fd, bytes.data(), bytes.size());
    if (wrote > 0) bytes.remove_prefix(static_cast<std::size_t>(wrote));
    if (wrote < 0 && errno != EINTR) return errno;
  }
  return 0;
}

int sync(int fd) {
  while (::fsync(fd) != 0) {
    if (errno != EINTR) return errno;
  }
  return 0;
}

std::filesystem::path folderOf(const std::string& path) {
  const auto folder = std::filesystem::path(path).parent_path();
  return folder.empty() ? std::filesystem::path(".") : folder;
}

int writeAside(const std::string& path, std::string_view bytes, Durable durable) {
  Opened file(path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file) return errno;
  int error = writeAll(file.get(), bytes);
  if (error == 0 && durable == Durable::Yes) error = sync(file.get());
  const int closed = file.close();
  return error != 0 ? error : closed;
}

}  // namespace

Content read(const std::string& path, std::size_t largest) {
  const Opened file(path, O_RDONLY);
  if (!file) return {{}, errno};
  std::string bytes;
  std::array<char, kPiece> piece;
  for (;;) {
    const ssize_t got = ::read(file.get(), piece.data(), piece.size());
    if (got == 0) return {std::move(bytes), 0};
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return {{}, errno};
    bytes.append(piece.data(), static_cast<std::size_t>(got));
    if (bytes.size() > largest) return {{}, EFBIG};
  }
}

int replace(const std::string& path, std::string_view bytes, Durable durable) {
  const std::string aside = path + std::string(kMark) + std::to_string(::getpid());
  int error = writeAside(aside, bytes, durable);
  if (error == 0 && std::rename(aside.c_str(), path.c_str()) != 0) error = errno;
  if (error != 0) {
    ::unlink(aside.c_str());
    return error;
  }
  if (durable == Durable::No) return 0;
  const Opened folder(folderOf(path).string(), O_RDONLY | O_DIRECTORY);
  return folder ? sync(folder.get()) : errno;
}

void removeLeftovers(const std::string& path) {
  const std::string start = std::filesystem::path(path).filename().string() + std::string(kMark);
  std::error_code error;
  // By hand: stepping on by '++' would throw where the folder can't be read on.
  std::filesystem::directory_iterator at(folderOf(path), error);
  for (; !error && at != std::filesystem::directory_iterator(); at.increment(error)) {
    const std::filesystem::directory_entry& entry = *at;
    const std::string name = entry.path().filename().string();
    if (!name.starts_with(start)) continue;
    pid_t writer = 0;
    const char* end = name.data() + name.size();
    const auto [read, problem] = std::from_chars(name.data() + start.size(), end, writer);
    if (problem != std::errc() || read != end || writer <= 0) continue;
    const bool gone = ::kill(writer, 0) != 0 && errno == ESRCH;
    if (gone || writer == ::getpid()) ::unlink(entry.path().c_str());
  }
}

}  // namespace heathflow::files
