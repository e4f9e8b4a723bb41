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
#include <utility>

namespace heathflow::files {
namespace {

constexpr std::size_t kReadSize = 64 << 10;
constexpr mode_t kFileMode = 0644;
// The name of a temporary file ends in this suffix and the process id of its writer.
constexpr std::string_view kTemporarySuffix = ".new.";

// Owns the descriptor of an open file or directory, and closes it at the end of its scope.
class FileDescriptor {
 public:
  FileDescriptor(const std::string& path, int flags) {
    do {
      fd_ = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
    } while (fd_ < 0 && errno == EINTR);
  }
  ~FileDescriptor() { (void)close(); }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  // Returns 0, or the errno value of the failure; written data may then be lost.
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
    const ssize_t written = ::write(fd, bytes.data(), bytes.size());
    if (written > 0) bytes.remove_prefix(static_cast<std::size_t>(written));
    if (written < 0 && errno != EINTR) return errno;
  }
  return 0;
}

int sync(int fd) {
  while (::fsync(fd) != 0) {
    if (errno != EINTR) return errno;
  }
  return 0;
}

std::filesystem::path directoryOf(const std::string& path) {
  const auto directory = std::filesystem::path(path).parent_path();
  return directory.empty() ? std::filesystem::path(".") : directory;
}

int writeFile(const std::string& path, std::string_view bytes, Durable durable) {
  FileDescriptor file(path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file) return errno;
  int error = writeAll(file.get(), bytes);
  if (error == 0 && durable == Durable::Yes) error = sync(file.get());
  const int closeError = file.close();
  return error != 0 ? error : closeError;
}

// Returns the id of the process that wrote the temporary file 'name'; nothing if 'name' is not 'prefix'
// followed by a process id.
std::optional<pid_t> writerOf(std::string_view name, std::string_view prefix) {
  if (!name.starts_with(prefix)) return std::nullopt;
  pid_t writer = 0;
  const char* end = name.data() + name.size();
  const auto [last, error] = std::from_chars(name.data() + prefix.size(), end, writer);
  if (error != std::errc() || last != end || writer <= 0) return std::nullopt;
  return writer;
}

bool isRunning(pid_t process) { return ::kill(process, 0) == 0 || errno != ESRCH; }

}  // namespace

Content read(const std::string& path, std::size_t maxSize) {
  const FileDescriptor file(path, O_RDONLY);
  if (!file) return {{}, errno};
  std::string bytes;
  std::array<char, kReadSize> chunk;
  for (;;) {
    const ssize_t size = ::read(file.get(), chunk.data(), chunk.size());
    if (size == 0) return {std::move(bytes), 0};
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return {{}, errno};
    bytes.append(chunk.data(), static_cast<std::size_t>(size));
    if (bytes.size() > maxSize) return {{}, EFBIG};
  }
}

int replace(const std::string& path, std::string_view bytes, Durable durable) {
  const std::string temporary = path + std::string(kTemporarySuffix) + std::to_string(::getpid());
  int error = writeFile(temporary, bytes, durable);
  if (error == 0 && std::rename(temporary.c_str(), path.c_str()) != 0) error = errno;
  if (error != 0) {
    ::unlink(temporary.c_str());
    return error;
  }
  if (durable == Durable::No) return 0;
  const FileDescriptor directory(directoryOf(path).string(), O_RDONLY | O_DIRECTORY);
  return directory ? sync(directory.get()) : errno;
}

void removeLeftovers(const std::string& path) {
  const std::string prefix = std::filesystem::path(path).filename().string() + std::string(kTemporarySuffix);
  std::error_code error;
  // Not a range-based loop, whose '++' throws if the directory can't be read further.
  std::filesystem::directory_iterator entry(directoryOf(path), error);
  for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
    const auto writer = writerOf(entry->path().filename().string(), prefix);
    if (writer && (!isRunning(*writer) || *writer == ::getpid())) ::unlink(entry->path().c_str());
  }
}

}  // namespace heathflow::files
