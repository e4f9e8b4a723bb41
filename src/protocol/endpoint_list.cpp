#include "protocol/endpoint_list.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace heathflow::protocol {
namespace {

using Json = nlohmann::json;

class Reader {
 public:
  explicit Reader(std::string& problem) : problem_(problem) {}

  const Json* field(const Json& object, const char* key, bool required) {
    const auto found = object.find(key);
    if (found != object.end() && !found->is_null()) return &*found;
    if (required) fail(key, "is missing");
    return nullptr;
  }
  void text(const Json& object, const char* key, std::string& out, bool required) {
    const Json* value = field(object, key, required);
    if (value == nullptr) return;
    if (!value->is_string()) return fail(key, "is not a string");
    out = value->get_ref<const std::string&>();
  }
  void integer(const Json& object, const char* key, std::int64_t& out, bool required) {
    const Json* value = field(object, key, required);
    if (value == nullptr) return;
    if (value->is_number_integer()) {
      out = value->get<std::int64_t>();
    } else if (value->is_number_float() && std::abs(value->get<double>()) < 9e15) {
      out = static_cast<std::int64_t>(value->get<double>());
    } else {
      fail(key, "is not an integer");
    }
  }
  void fail(const char* key, const char* what) {
    if (problem_.empty()) problem_ = std::string("'") + key + "' " + what;
  }
  bool valid() const { return problem_.empty(); }

 private:
  std::string& problem_;
};

// Reads "ports": {"bolt": 7687}. The key is absent if the list serves only one protocol.
void readPorts(Reader& reader, const Json& entry, ListedEndpoint& out) {
  const Json* ports = reader.field(entry, "ports", false);
  if (ports == nullptr) return;
  if (!ports->is_object()) return reader.fail("ports", "is not an object");
  for (const auto& [name, value] : ports->items()) {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() - 1 >= 65535) {
      return reader.fail("ports", "holds a value that is not a port number");
    }
    out.ports.emplace_back(name, value.get<std::uint16_t>());
  }
}

ListedEndpoint readEndpoint(Reader& reader, const Json& entry) {
  ListedEndpoint out;
  if (!entry.is_object()) {
    reader.fail("members", "holds an entry that is not an object");
    return out;
  }
  reader.text(entry, "id", out.id, true);
  std::string phase;
  reader.text(entry, "phase", phase, true);
  if (phase == "Terminating") {
    out.phase = ListedEndpoint::Phase::Terminating;
  } else if (phase == "Gone") {
    out.phase = ListedEndpoint::Phase::Gone;
  } else if (phase != "Ready") {
    reader.fail("phase", "is unknown");
  }
  // For an endpoint that is gone the id suffices.
  const bool required = out.phase != ListedEndpoint::Phase::Gone;
  reader.text(entry, "host_port", out.hostPort, required);
  reader.text(entry, "locality", out.locality, false);
  std::int64_t cell = 0;
  reader.integer(entry, "cell", cell, required);
  if (cell < 0 || cell > std::numeric_limits<std::uint32_t>::max()) reader.fail("cell", "is out of range");
  out.cell = static_cast<std::uint32_t>(cell);
  reader.integer(entry, "up_since_ms", out.upSinceMs, false);
  // A later time would overflow when converted to microseconds.
  if (out.upSinceMs < 0 || out.upSinceMs > 4'000'000'000'000'000)
    reader.fail("up_since_ms", "is out of range");
  std::string mode;
  reader.text(entry, "mode", mode, false);
  out.primary = mode == "read-write";
  readPorts(reader, entry, out);
  if (const Json* size = reader.field(entry, "size", false)) {
    if (!size->is_number()) reader.fail("size", "is not a number");
    if (size->is_number()) out.size = size->get<double>();
  }
  return out;
}

}  // namespace

void apply(const EndpointList& update, EndpointList& list) {
  if (update.complete) {
    list.endpoints = update.endpoints;
  } else {
    std::unordered_map<std::string_view, const ListedEndpoint*> changed;
    for (const ListedEndpoint& endpoint : update.endpoints) changed[endpoint.id] = &endpoint;
    for (ListedEndpoint& endpoint : list.endpoints) {
      const auto found = changed.find(endpoint.id);
      if (found == changed.end()) continue;
      endpoint = *found->second;
      changed.erase(found);
    }
    for (const ListedEndpoint& endpoint : update.endpoints) {
      const auto isNew = changed.find(endpoint.id);
      if (isNew == changed.end() || isNew->second != &endpoint) continue;
      list.endpoints.push_back(endpoint);
    }
  }
  std::erase_if(list.endpoints,
                [](const ListedEndpoint& endpoint) { return endpoint.phase == ListedEndpoint::Phase::Gone; });
  list.revision = update.revision;
  list.complete = true;
}

std::optional<EndpointList> parseEndpointList(std::string_view json, std::string& problem) {
  problem.clear();
  try {
    const Json document = Json::parse(json, nullptr, false);
    if (!document.is_object()) {
      problem = "the document is not a JSON object";
      return std::nullopt;
    }
    Reader reader(problem);
    EndpointList out;
    reader.integer(document, "revision", out.revision, true);
    const Json* complete = reader.field(document, "complete", true);
    if (complete != nullptr && !complete->is_boolean()) reader.fail("complete", "is not a boolean");
    if (complete != nullptr && complete->is_boolean()) out.complete = complete->get<bool>();
    const Json* endpoints = reader.field(document, "members", true);
    if (endpoints != nullptr && !endpoints->is_array()) reader.fail("members", "is not an array");
    if (!reader.valid()) return std::nullopt;
    out.endpoints.reserve(endpoints->size());
    for (const Json& entry : *endpoints) out.endpoints.push_back(readEndpoint(reader, entry));
    if (!reader.valid()) return std::nullopt;
    return out;
  } catch (const std::exception& error) {
    problem = error.what();
    return std::nullopt;
  }
}

}  // namespace heathflow::protocol
