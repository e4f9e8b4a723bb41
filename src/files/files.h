// Reads and replaces complete files: a read is not cut short by a signal or a partial read, and a replacement
// is atomic, so that a reader sees the old file or the new one. Errors are errno values.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace heathflow::files {

// Bounds the memory that a file can take; bytes.
inline constexpr std::size_t kMaxFileSize = 64 << 20;

struct Content {
  std::optional<std::string> bytes;  // nothing where the file could not be read to its end
  int error = 0;                     // why not; EFBIG where it is larger than 'maxSize'
};
Content read(const std::string& path, std::size_t maxSize = kMaxFileSize);

// Whether a write waits until the disk has it. Without that a crash of the machine, but not of the process,
// may leave an empty or incomplete file.
enum class Durable { No, Yes };

// Writes a temporary file beside 'path' and renames it. Returns 0 or the error; after an error 'path' is
// unchanged, or already the new file where only its folder could not be synced.
int replace(const std::string& path, std::string_view bytes, Durable durable);
// Removes temporary files beside 'path' that processes which no longer run have left.
void removeLeftovers(const std::string& path);

}  // namespace heathflow::files
