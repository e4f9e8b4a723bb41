// The metadata of a request, from the comment of its statement.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "protocol/pg_message.h"

namespace heathflow::protocol {

struct RequestComment {
  std::string_view id;
  std::string_view className;
  std::optional<std::uint32_t> group;
  std::optional<std::int64_t> timeoutMs;  // how long the client waits
  Slice timeout;                          // its position in the statement
  std::optional<std::int64_t> afterMs;    // position of the session's last write, Unix time
  bool isClientRetry = false;
  bool keyed = false;       // has an idempotency key
  bool write = false;       // the statement is an INSERT
  std::string_view handle;  // of the row that the statement reads or writes
};

// Parses a statement in one of the two supported forms. Returns nothing for any other form and for an invalid
// comment: a duplicate name, an empty value, or a value that should be a number and is not. Unknown names are
// skipped.
std::optional<RequestComment> parseRequestComment(std::string_view statement);

}  // namespace heathflow::protocol
