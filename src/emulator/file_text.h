// Reads the text of scenario and plan files.
#pragma once

#include <cstring>
#include <optional>
#include <string>
#include <vector>

#include "files/files.h"
#include "xml/document.h"

namespace heathflow::emulator {

// Returns the text of a file; nothing if it can't be read, with the reason added to 'problems'.
inline std::optional<std::string> textOfFile(const std::string& path, std::vector<xml::Problem>& problems) {
  files::Content file = files::read(path);
  if (!file.bytes)
    problems.push_back({path, 0, "", std::string("the file can't be opened: ") + std::strerror(file.error)});
  return std::move(file.bytes);
}

}  // namespace heathflow::emulator
