// Reads and replaces complete files: a read is not truncated by a signal or a short read, and a replacement
// is atomic, so that a reader sees either the old file or the new one. Errors are errno values.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace heathflow::files {

// Bounds the memory that a file can take, in bytes.
inline constexpr std::size_t kMaxFileSize = 64 << 20;

struct Content {
  std::optional<std::string> bytes;  // nothing if the file could not be read to its end
  int error = 0;                     // why not; EFBIG if it is larger than 'maxSize'
};
Content read(const std::string& path, std::size_t maxSize = kMaxFileSize);

// Whether a write waits until the data is on disk. Otherwise a crash of the machine, but not of the process,
// may leave an empty or incomplete file.
enum class Durable { No, Yes };

// Writes a temporary file beside 'path' and renames it to 'path'. Returns 0 or the error. After an error
// 'path' is unchanged, unless only the sync of its directory failed: then it is the new file.
int replace(const std::string& path, std::string_view bytes, Durable durable);
// Removes temporary files beside 'path' that were left by this process or by processes that no longer run.
void removeLeftovers(const std::string& path);

}  // namespace heathflow::files
