// Temporary files and folders for tests and tools.
#pragma once

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

#include "transport/fd.h"

namespace heathflow::test {

// A temporary file with the given text, removed by the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_((std::filesystem::temp_directory_path() / "heathflow-file-XXXXXX").string()) {
    const transport::UniqueFd fd(::mkstemp(path_.data()));
    if (!fd) throw std::runtime_error("a temporary file can't be created at " + path_);
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { ::unlink(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A temporary folder, empty at first, removed by the destructor with all its content.
class TemporaryFolder {
 public:
  TemporaryFolder() : path_((std::filesystem::temp_directory_path() / "heathflow-XXXXXX").string()) {
    if (::mkdtemp(path_.data()) == nullptr)
      throw std::runtime_error("a temporary folder can't be created at " + path_);
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace heathflow::test
