#include "xml/document.h"

#include <libxml/parser.h>
#include <libxml/tree.h>
#include <libxml/xmlschemas.h>

#include <algorithm>
#include <utility>

namespace heathflow::xml {
namespace {

// Guards against files that can't be meant: settings are a few kilobytes.
constexpr std::size_t kFileLimit = 4 * 1024 * 1024;
// So many problems of one file are told.
constexpr std::size_t kProblemsTold = 100;

struct FreeOf {
  void operator()(xmlParserCtxt* it) const { xmlFreeParserCtxt(it); }
  void operator()(xmlSchemaParserCtxt* it) const { xmlSchemaFreeParserCtxt(it); }
  void operator()(xmlSchema* it) const { xmlSchemaFree(it); }
  void operator()(xmlSchemaValidCtxt* it) const { xmlSchemaFreeValidCtxt(it); }
};
template <typename T>
using Owned = std::unique_ptr<T, FreeOf>;

std::string_view textOf(const xmlChar* text) {
  return text == nullptr ? std::string_view() : std::string_view(reinterpret_cast<const char*>(text));
}

struct Errors {
  Collector& collector;
  std::string space;  // in braces, as the library writes it
};

// The schema's own words start with "Element 'NAME': "; the namespace in them only hides the name.
std::string plain(std::string_view message, const std::string& space) {
  std::string text(message);
  while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) text.pop_back();
  for (std::size_t at = text.find(space); at != std::string::npos; at = text.find(space)) {
    text.erase(at, space.size());
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

void collect(void* context, xmlErrorPtr error) {
  auto& errors = *static_cast<Errors*>(context);
  const auto* node = static_cast<const xmlNode*>(error->node);
  const std::string_view element = node == nullptr ? std::string_view() : textOf(node->name);
  if (error->message != nullptr)
    errors.collector.add(error->line, element, plain(error->message, errors.space));
}

// Generic messages of the library go nowhere: all that matters comes as a structured error.
void discard(void*, const char*, ...) {}

class Library {
 public:
  Library() {
    xmlInitParser();
    xmlSetGenericErrorFunc(nullptr, discard);
  }
};

Owned<xmlSchema> readSchema(std::string_view text) {
  Owned<xmlSchemaParserCtxt> context(xmlSchemaNewMemParserCtxt(text.data(), static_cast<int>(text.size())));
  return Owned<xmlSchema>(context == nullptr ? nullptr : xmlSchemaParse(context.get()));
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
  if (problems_.size() < kProblemsTold)
    problems_.push_back({file_, line, std::string(element), std::move(text)});
}

void Document::Free::operator()(_xmlDoc* it) const { xmlFreeDoc(it); }

const Node* Document::root() const { return xmlDocGetRootElement(document_.get()); }

std::optional<Document> Document::read(const std::string& path, std::string_view text,
                                       std::string_view schema, const std::string& space,
                                       std::vector<Problem>& problems) {
  static const Library library;
  Collector collector(path, problems);
  Errors errors{collector, "{" + space + "}"};
  if (text.size() > kFileLimit) {
    collector.add(0, "", "the file holds more than 4 MiB: settings of a usual size are expected");
    return std::nullopt;
  }
  const Owned<xmlParserCtxt> parser(xmlNewParserCtxt());
  if (parser == nullptr) {
    collector.add(0, "", "no memory is left to read the file");
    return std::nullopt;
  }
  xmlSetStructuredErrorFunc(&errors, collect);
  Document out;
  out.document_.reset(xmlCtxtReadMemory(parser.get(), text.data(), static_cast<int>(text.size()),
                                        path.c_str(), nullptr, XML_PARSE_NONET));
  xmlSetStructuredErrorFunc(nullptr, nullptr);
  if (out.document_ == nullptr || !problems.empty()) {
    if (problems.empty()) collector.add(0, "", "the file is no XML");
    return std::nullopt;
  }
  if (out.document_->intSubset != nullptr) {
    collector.add(0, "", "the file has a document type of its own: none is expected");
    return std::nullopt;
  }
  const Owned<xmlSchema> checked = readSchema(schema);
  const Owned<xmlSchemaValidCtxt> validator(checked == nullptr ? nullptr
                                                               : xmlSchemaNewValidCtxt(checked.get()));
  if (validator == nullptr) {
    collector.add(0, "", "the schema can't be used");
    return std::nullopt;
  }
  xmlSchemaSetValidStructuredErrors(validator.get(), collect, &errors);
  out.valid_ = xmlSchemaValidateDoc(validator.get(), out.document_.get()) == 0;
  if (!out.valid_ && problems.empty()) collector.add(0, "", "the file is not as its schema says");
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
