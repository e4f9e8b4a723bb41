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

  const Json* field(const Json& object, const char* key, bool needed) {
    const auto found = object.find(key);
    if (found != object.end() && !found->is_null()) return &*found;
    if (needed) fail(key, "is missing");
    return nullptr;
  }
  void text(const Json& object, const char* key, std::string& out, bool needed) {
    const Json* value = field(object, key, needed);
    if (value == nullptr) return;
    if (!value->is_string()) return fail(key, "is no text");
    out = value->get_ref<const std::string&>();
  }
  void whole(const Json& object, const char* key, std::int64_t& out, bool needed) {
    const Json* value = field(object, key, needed);
    if (value == nullptr) return;
    if (value->is_number_integer()) {
      out = value->get<std::int64_t>();
    } else if (value->is_number_float() && std::abs(value->get<double>()) < 9e15) {
      out = static_cast<std::int64_t>(value->get<double>());
    } else {
      fail(key, "is no whole number");
    }
  }
  void fail(const char* key, const char* what) {
    if (problem_.empty()) problem_ = std::string("'") + key + "' " + what;
  }
  bool good() const { return problem_.empty(); }

 private:
  std::string& problem_;
};

// "ports": {"bolt": 7687}; lists that know of one protocol have none.
void readPorts(Reader& reader, const Json& entry, ListedEndpoint& out) {
  const Json* ports = reader.field(entry, "ports", false);
  if (ports == nullptr) return;
  if (!ports->is_object()) return reader.fail("ports", "is no object");
  for (const auto& [name, value] : ports->items()) {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() - 1 >= 65535) {
      return reader.fail("ports", "holds what is no port");
    }
    out.ports.emplace_back(name, value.get<std::uint16_t>());
  }
}

ListedEndpoint readEndpoint(Reader& reader, const Json& entry) {
  ListedEndpoint out;
  if (!entry.is_object()) {
    reader.fail("members", "holds what is no object");
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
    reader.fail("phase", "is not known");
  }
  // One that is gone needs no more than its name.
  const bool needed = out.phase != ListedEndpoint::Phase::Gone;
  reader.text(entry, "host_port", out.hostPort, needed);
  reader.text(entry, "locality", out.locality, false);
  std::int64_t cell = 0;
  reader.whole(entry, "cell", cell, needed);
  if (cell < 0 || cell > std::numeric_limits<std::uint32_t>::max()) reader.fail("cell", "is out of range");
  out.cell = static_cast<std::uint32_t>(cell);
  reader.whole(entry, "up_since_ms", out.upSinceMs, false);
  // Beyond this the time can't be told in microseconds.
  if (out.upSinceMs < 0 || out.upSinceMs > 4'000'000'000'000'000)
    reader.fail("up_since_ms", "is out of range");
  std::string mode;
  reader.text(entry, "mode", mode, false);
  out.primary = mode == "read-write";
  readPorts(reader, entry, out);
  if (const Json* size = reader.field(entry, "size", false)) {
    if (!size->is_number()) reader.fail("size", "is no number");
    if (size->is_number()) out.size = size->get<double>();
  }
  return out;
}

}  // namespace

void apply(const EndpointList& news, EndpointList& whole) {
  if (news.complete) {
    whole.endpoints = news.endpoints;
  } else {
    std::unordered_map<std::string_view, const ListedEndpoint*> changed;
    for (const ListedEndpoint& endpoint : news.endpoints) changed[endpoint.id] = &endpoint;
    for (ListedEndpoint& endpoint : whole.endpoints) {
      const auto found = changed.find(endpoint.id);
      if (found == changed.end()) continue;
      endpoint = *found->second;
      changed.erase(found);
    }
    for (const ListedEndpoint& endpoint : news.endpoints) {
      const auto isNew = changed.find(endpoint.id);
      if (isNew == changed.end() || isNew->second != &endpoint) continue;
      whole.endpoints.push_back(endpoint);
    }
  }
  std::erase_if(whole.endpoints,
                [](const ListedEndpoint& m) { return m.phase == ListedEndpoint::Phase::Gone; });
  whole.revision = news.revision;
  whole.complete = true;
}

std::optional<EndpointList> parseEndpointList(std::string_view json, std::string& problem) {
  problem.clear();
  try {
    const Json document = Json::parse(json, nullptr, false);
    if (!document.is_object()) {
      problem = "the document is no JSON object";
      return std::nullopt;
    }
    Reader reader(problem);
    EndpointList out;
    reader.whole(document, "revision", out.revision, true);
    const Json* complete = reader.field(document, "complete", true);
    if (complete != nullptr && !complete->is_boolean()) reader.fail("complete", "is neither true nor false");
    if (complete != nullptr && complete->is_boolean()) out.complete = complete->get<bool>();
    const Json* endpoints = reader.field(document, "members", true);
    if (endpoints != nullptr && !endpoints->is_array()) reader.fail("members", "is no array");
    if (!reader.good()) return std::nullopt;
    out.endpoints.reserve(endpoints->size());
    for (const Json& entry : *endpoints) out.endpoints.push_back(readEndpoint(reader, entry));
    if (!reader.good()) return std::nullopt;
    return out;
  } catch (const std::exception& error) {
    problem = error.what();
    return std::nullopt;
  }
}

}  // namespace heathflow::protocol
