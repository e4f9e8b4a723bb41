// What a client says of a request in the comment of its statement.
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
  std::optional<std::int64_t> timeoutMs;  // for how long the client waits
  Slice timeout;                          // where that stands in the statement
  std::optional<std::int64_t> afterMs;    // the session's last write, Unix milliseconds
  bool isClientRetry = false;
  bool keyed = false;       // it names an idempotency key
  bool write = false;       // the statement is the INSERT
  std::string_view handle;  // of the row
};

// Reads a statement of one of the protocol's two forms. Nothing where it has another form, or its comment
// can't be read: a name twice, a value that is empty or no number where one belongs. Names that are not known
// are skipped.
std::optional<RequestComment> parseRequestComment(std::string_view statement);

}  // namespace heathflow::protocol
