// State that all client connections of a gateway share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "downstream/incomplete_messages.h"
#include "policy/routing_policy.h"

namespace heathflow::downstream {

struct ClientConnectionContext {
  explicit ClientConnectionContext(const std::vector<std::string>& names) : classNames(names) {
    for (std::size_t i = 0; i < classNames.size(); ++i) {
      classIndexes.emplace(classNames[i], static_cast<std::uint32_t>(i));
    }
  }
  std::vector<std::string> classNames;
  std::unordered_map<std::string_view, std::uint32_t> classIndexes;
  std::unordered_set<std::string> openRequestIds;
  IncompleteMessages incompleteMessages;
  std::uint64_t connectionCount = 0;  // accepted so far
  // For each group, whether it is served in a protocol, by index. A group without an entry is served in all.
  std::unordered_map<GroupId, std::vector<bool>> servedProtocols;
};

}  // namespace heathflow::downstream
