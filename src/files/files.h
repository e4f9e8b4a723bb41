// Files as wholes: read to their end whatever a short read or a signal says, and replaced so that a reader
// sees the old one or the new one. Errors are numbers of the system.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace heathflow::files {

// Guards memory against a file that can't be meant: bytes.
inline constexpr std::size_t kLargest = 64 << 20;

struct Content {
  std::optional<std::string> bytes;  // nothing where it could not be read to its end
  int error = 0;                     // why not; EFBIG where it is larger than 'largest'
};
Content read(const std::string& path, std::size_t largest = kLargest);

// Whether what is written is on the disk before it counts. Without it a crash of the machine, but none of the
// process, may leave an empty or a half file behind.
enum class Durable { No, Yes };

// Writes beside 'path' under a name of this process's own, then renames. 0, or the error; then 'path' is as
// it was, or, where only the folder could not be synced, already the new one.
int replace(const std::string& path, std::string_view bytes, Durable durable);
// Removes what processes that are gone have left half written beside 'path'.
void removeLeftovers(const std::string& path);

}  // namespace heathflow::files
