#include "xml/document.h"

#include <libxml/parser.h>
#include <libxml/tree.h>
#include <libxml/xmlschemas.h>

#include <algorithm>
#include <utility>

namespace heathflow::xml {
namespace {

// In bytes. A settings file has a few kilobytes, so a file above this limit is rejected.
constexpr std::size_t kMaxFileSize = 4 * 1024 * 1024;
constexpr std::size_t kMaxProblems = 100;

struct LibxmlDeleter {
  void operator()(xmlParserCtxt* object) const { xmlFreeParserCtxt(object); }
  void operator()(xmlSchemaParserCtxt* object) const { xmlSchemaFreeParserCtxt(object); }
  void operator()(xmlSchema* object) const { xmlSchemaFree(object); }
  void operator()(xmlSchemaValidCtxt* object) const { xmlSchemaFreeValidCtxt(object); }
};
template <typename T>
using LibxmlPtr = std::unique_ptr<T, LibxmlDeleter>;

std::string_view textOf(const xmlChar* text) {
  return text == nullptr ? std::string_view() : std::string_view(reinterpret_cast<const char*>(text));
}

struct ErrorContext {
  Collector& collector;
  std::string namespacePrefix;  // the namespace in braces, as the library writes it
};

// Removes the namespace from a message of the library, and the element's name at the start of the message:
// validation errors start with "Element 'NAME': " or "Element 'NAME', attribute ", and the problem names the
// element already.
std::string simplify(std::string_view message, const std::string& namespacePrefix) {
  std::string text(message);
  while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) text.pop_back();
  for (std::size_t at = text.find(namespacePrefix); at != std::string::npos;
       at = text.find(namespacePrefix)) {
    text.erase(at, namespacePrefix.size());
  }
  if (text.starts_with("Element '")) {
    const std::size_t end = text.find("': ");
    const std::size_t attribute = text.find("', attribute '");
    if (attribute != std::string::npos && (end == std::string::npos || attribute < end)) {
      text.erase(0, attribute + 3);
    } else if (end != std::string::npos) {
      text.erase(0, end + 3);
    }
  }
  return text;
}

void onStructuredError(void* context, xmlErrorPtr error) {
  auto& errors = *static_cast<ErrorContext*>(context);
  const auto* node = static_cast<const xmlNode*>(error->node);
  const std::string_view element = node == nullptr ? std::string_view() : textOf(node->name);
  if (error->message != nullptr)
    errors.collector.add(error->line, element, simplify(error->message, errors.namespacePrefix));
}

// Discards generic messages of the library: each problem also comes as a structured error.
void discardMessage(void*, const char*, ...) {}

class LibxmlInitializer {
 public:
  LibxmlInitializer() {
    xmlInitParser();
    xmlSetGenericErrorFunc(nullptr, discardMessage);
  }
};

LibxmlPtr<xmlSchema> parseSchema(std::string_view text) {
  LibxmlPtr<xmlSchemaParserCtxt> context(
      xmlSchemaNewMemParserCtxt(text.data(), static_cast<int>(text.size())));
  return LibxmlPtr<xmlSchema>(context == nullptr ? nullptr : xmlSchemaParse(context.get()));
}

}  // namespace

std::string toText(const Problem& problem) {
  std::string out = problem.file;
  if (problem.line > 0) out += ":" + std::to_string(problem.line);
  out += ": ";
  if (!problem.element.empty()) out += "element '" + problem.element + "': ";
  return out + problem.text;
}

void Collector::add(int line, std::string_view element, std::string text) {
  if (problems_.size() < kMaxProblems)
    problems_.push_back({file_, line, std::string(element), std::move(text)});
}

void Document::Deleter::operator()(_xmlDoc* document) const { xmlFreeDoc(document); }

const Node* Document::root() const { return xmlDocGetRootElement(document_.get()); }

std::optional<Document> Document::read(const std::string& path, std::string_view text,
                                       std::string_view schema, const std::string& namespaceUri,
                                       std::vector<Problem>& problems) {
  static const LibxmlInitializer libxml;
  Collector collector(path, problems);
  ErrorContext errors{collector, "{" + namespaceUri + "}"};
  if (text.size() > kMaxFileSize) {
    collector.add(0, "", "the file is larger than 4 MiB");
    return std::nullopt;
  }
  const LibxmlPtr<xmlParserCtxt> parser(xmlNewParserCtxt());
  if (parser == nullptr) {
    collector.add(0, "", "out of memory for the XML parser");
    return std::nullopt;
  }
  xmlSetStructuredErrorFunc(&errors, onStructuredError);
  Document out;
  out.document_.reset(xmlCtxtReadMemory(parser.get(), text.data(), static_cast<int>(text.size()),
                                        path.c_str(), nullptr, XML_PARSE_NONET));
  xmlSetStructuredErrorFunc(nullptr, nullptr);
  if (out.document_ == nullptr || !problems.empty()) {
    if (problems.empty()) collector.add(0, "", "the file is not well-formed XML");
    return std::nullopt;
  }
  if (out.document_->intSubset != nullptr) {
    collector.add(0, "", "the file has a document type declaration, which is not allowed");
    return std::nullopt;
  }
  const LibxmlPtr<xmlSchema> parsedSchema = parseSchema(schema);
  const LibxmlPtr<xmlSchemaValidCtxt> validator(
      parsedSchema == nullptr ? nullptr : xmlSchemaNewValidCtxt(parsedSchema.get()));
  if (validator == nullptr) {
    collector.add(0, "", "the built-in schema can't be loaded");
    return std::nullopt;
  }
  xmlSchemaSetValidStructuredErrors(validator.get(), onStructuredError, &errors);
  out.valid_ = xmlSchemaValidateDoc(validator.get(), out.document_.get()) == 0;
  if (!out.valid_ && problems.empty()) collector.add(0, "", "the file does not match its schema");
  return out;
}

std::string_view nameOf(const Node* node) { return textOf(node->name); }
int lineOf(const Node* node) { return static_cast<int>(xmlGetLineNo(node)); }

std::string attribute(const Node* node, const char* name) {
  xmlChar* value = xmlGetNoNsProp(node, reinterpret_cast<const xmlChar*>(name));
  std::string out(textOf(value));
  xmlFree(value);
  return out;
}

std::vector<const Node*> children(const Node* node, std::string_view name) {
  std::vector<const Node*> out;
  for (const xmlNode* child = node->children; child != nullptr; child = child->next) {
    if (child->type != XML_ELEMENT_NODE) continue;
    if (name.empty() || textOf(child->name) == name) out.push_back(child);
  }
  return out;
}

}  // namespace heathflow::xml
