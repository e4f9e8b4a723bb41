// Documents of the list service: a complete list of endpoints or the changes to one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathflow::protocol {

struct ListedEndpoint {
  enum class Phase { Ready, Terminating, Gone };
  std::string id;
  std::string hostPort;
  std::string locality;
  std::uint32_t cell = 0;
  Phase phase = Phase::Ready;
  double size = 1;
  std::int64_t upSinceMs = 0;
  bool primary = false;
  std::vector<std::pair<std::string, std::uint16_t>> ports;  // of further protocols, by protocol name
};

struct EndpointList {
  std::int64_t revision = 0;
  bool complete = false;
  std::vector<ListedEndpoint> endpoints;
};

// Applies a complete list or a list of changes to 'list', which is complete afterwards. Endpoints in phase
// Gone are removed.
void apply(const EndpointList& update, EndpointList& list);

// Parses a document. Returns nothing and sets 'problem' if any part of it is invalid.
std::optional<EndpointList> parseEndpointList(std::string_view json, std::string& problem);

}  // namespace heathflow::protocol
