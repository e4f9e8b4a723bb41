// XML files that are checked against a schema, with all that is wrong with them told in one go. Nothing is
// fetched, and no entity of a file's own is put in.
#pragma once

#include <charconv>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// libxml2's own types.
struct _xmlNode;
struct _xmlDoc;

namespace heathflow::xml {

using Node = _xmlNode;

// One thing that is wrong with a file.
struct Problem {
  std::string file;
  int line = 0;  // 0: of the file as a whole
  std::string element;
  std::string text;  // what was found, and what was expected
};
// "FILE:LINE: element 'NAME': TEXT".
std::string toText(const Problem& problem);

// Gathers problems of one file, up to a bound.
class Collector {
 public:
  Collector(std::string file, std::vector<Problem>& problems) : file_(std::move(file)), problems_(problems) {}
  void add(int line, std::string_view element, std::string text);
  const std::string& file() const { return file_; }

 private:
  std::string file_;
  std::vector<Problem>& problems_;
};

class Document {
 public:
  // Reads a text of the namespace 'space'. Nothing where it is no XML; 'valid' says whether it is as the
  // schema has it. What is wrong goes to the problems.
  static std::optional<Document> read(const std::string& path, std::string_view text, std::string_view schema,
                                      const std::string& space, std::vector<Problem>& problems);

  const Node* root() const;
  bool valid() const { return valid_; }

 private:
  struct Free {
    void operator()(_xmlDoc* it) const;
  };
  std::unique_ptr<_xmlDoc, Free> document_;
  bool valid_ = false;
};

std::string_view nameOf(const Node* node);
int lineOf(const Node* node);
// Its value; empty where there is none, or the schema's default.
std::string attribute(const Node* node, const char* name);
// The elements under a node, by their order.
std::vector<const Node*> children(const Node* node, std::string_view name = {});

// The schema has seen to the form: what is no number here is not there.
template <typename T>
T numberOf(const std::string& text, T otherwise) {
  T value = otherwise;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace heathflow::xml
