// Discovery's documents: the list of endpoints, whole or as changes.
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
  std::vector<std::pair<std::string, std::uint16_t>> ports;  // of other protocols, by name
};

struct EndpointList {
  std::int64_t revision = 0;
  bool complete = false;
  std::vector<ListedEndpoint> endpoints;
};

// Takes a list, whole or of changes, into one that is whole; who is gone leaves it.
void apply(const EndpointList& news, EndpointList& whole);

// Nothing, and why in 'problem', where the document can't be read as a whole.
std::optional<EndpointList> parseEndpointList(std::string_view json, std::string& problem);

}  // namespace heathflow::protocol
