// Parses XML files, validates them against a schema, and reports all problems at once. Nothing outside
// the file is loaded, and entities that a file declares are not expanded.
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

// An error in a file.
struct Problem {
  std::string file;
  int line = 0;         // 0: the problem concerns the file as a whole
  std::string element;  // empty: the problem concerns no single element
  std::string text;     // what was found, and what was expected
};
// Returns "FILE:LINE: element 'NAME': TEXT", without the parts that are not known.
std::string toText(const Problem& problem);

// Appends the problems of one file to a list, up to a bound on the length of the list.
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
  // Parses and validates a text. Returns nothing if it can't be parsed; if it does not match the schema,
  // valid() is false. Problems are appended to 'problems'.
  // @param path          the file's name in problems.
  // @param schema        the text of the schema.
  // @param namespaceUri  the namespace of the schema, which is left out of messages.
  static std::optional<Document> read(const std::string& path, std::string_view text, std::string_view schema,
                                      const std::string& namespaceUri, std::vector<Problem>& problems);

  const Node* root() const;
  bool valid() const { return valid_; }

 private:
  struct Deleter {
    void operator()(_xmlDoc* document) const;
  };
  std::unique_ptr<_xmlDoc, Deleter> document_;
  bool valid_ = false;
};

std::string_view nameOf(const Node* node);
int lineOf(const Node* node);
// Returns the value of an attribute; empty if the element does not have it. The schema's defaults are not
// filled in.
std::string attribute(const Node* node, const char* name);
// Returns the child elements of a node in their order.
// @param name  if not empty, only elements of this name.
std::vector<const Node*> children(const Node* node, std::string_view name = {});

// Returns the number that a text holds, or 'fallback' if the text is empty. In a valid document the schema
// ensures that any other text is a number.
template <typename T>
T numberOf(const std::string& text, T fallback) {
  T value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace heathflow::xml
