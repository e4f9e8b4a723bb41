#include "protocol/pg_server.h"

namespace heathflow::protocol {
namespace {

constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssRequest = 80877104;
constexpr std::uint32_t kCancelRequest = 80877102;
constexpr std::uint32_t kMajorVersion = 3;
constexpr std::size_t kStartupHeader = 8;

using Step = PgServer::Step;

bool isBlank(std::string_view statement) {
  return statement.find_first_not_of(" \t\r\n;") == std::string_view::npos;
}

void writeParameter(Buffer& out, std::string_view name, std::string_view value) {
  std::string body(name);
  body += '\0';
  body += value;
  body += '\0';
  writeMessage(out, 'S', body);
}

}  // namespace

Step PgServer::fatal(Buffer& out, std::string_view code, std::string_view message) {
  writeError(out, true, code, message);
  Step step;
  step.kind = Step::Kind::Fatal;
  step.violation = true;
  return step;
}

Step PgServer::startup(std::string_view bytes, Buffer& out) {
  if (bytes.size() < kLengthSize) return {};
  const std::size_t length = readU32(bytes, 0);
  if (length < kStartupHeader || length > kStartupLimit) {
    return fatal(out, sqlstate::kProtocolViolation, "the length of the startup packet is out of range");
  }
  if (bytes.size() < length) return {};
  Step step;
  step.kind = Step::Kind::Handled;
  step.consumed = length;
  const std::uint32_t code = readU32(bytes, kLengthSize);
  if (code == kSslRequest || code == kGssRequest) {
    out.append("N");
    return step;
  }
  if (code == kCancelRequest) {
    step.kind = Step::Kind::Disconnect;
    return step;
  }
  if (code >> 16 != kMajorVersion) {
    return fatal(out, sqlstate::kFeatureNotSupported, "this protocol version is not supported");
  }
  if ((code & 0xFFFF) != 0) {
    // A newer minor version: NegotiateProtocolVersion offers 3.0 and lists no unrecognized options.
    writeMessage(out, 'v', std::string_view("\0\3\0\0\0\0\0\0", 8));
  }
  started_ = true;
  writeMessage(out, 'R', std::string_view("\0\0\0\0", 4));
  writeParameter(out, "server_version", "15.0 (heathflow)");
  writeParameter(out, "server_encoding", "UTF8");
  writeParameter(out, "client_encoding", "UTF8");
  writeParameter(out, "standard_conforming_strings", "on");
  writeParameter(out, "integer_datetimes", "on");
  writeMessage(out, 'K', std::string_view("\0\0\0\0\0\0\0\0", 8));
  writeReady(out);
  return step;
}

// Rejects an unsupported message; the connection stays usable.
Step PgServer::rejectMessage(Buffer& out, std::size_t consumed) {
  writeError(out, false, sqlstate::kFeatureNotSupported, "only simple queries are served");
  Step step;
  step.kind = Step::Kind::Handled;
  step.consumed = consumed;
  return step;
}

Step PgServer::step(std::string_view bytes, Buffer& out) {
  if (!started_) return startup(bytes, out);
  const Frame frame = readFrame(bytes, kClientMessageLimit);
  if (frame.kind == Frame::Kind::Partial) return {};
  if (frame.kind == Frame::Kind::Malformed) {
    return fatal(out, sqlstate::kProtocolViolation, "the length of a message is out of range");
  }
  Step step;
  step.consumed = frame.size;
  step.kind = Step::Kind::Handled;
  if (frame.type == 'X') {
    step.kind = Step::Kind::Disconnect;
    return step;
  }
  if (frame.type == 'S') {
    skippingToSync_ = false;
    writeReady(out);
    return step;
  }
  if (skippingToSync_) return step;
  switch (frame.type) {
    case 'Q': {
      if (frame.body.empty() || frame.body.find('\0') != frame.body.size() - 1) {
        return fatal(out, sqlstate::kProtocolViolation, "a query does not end where its message does");
      }
      const std::string_view statement = frame.body.substr(0, frame.body.size() - 1);
      if (isBlank(statement)) {
        writeMessage(out, 'I', {});
        writeReady(out);
        return step;
      }
      step.kind = Step::Kind::Query;
      step.statement = {kHeaderSize, statement.size()};
      return step;
    }
    case 'P':
    case 'B':
    case 'C':
    case 'D':
    case 'E':
      skippingToSync_ = true;
      return rejectMessage(out, frame.size);
    case 'F': {
      Step reply = rejectMessage(out, frame.size);
      writeReady(out);
      return reply;
    }
    case 'H':  // Flush: output is never delayed here
    case 'd':  // rest of a COPY that was never started
    case 'c':
    case 'f':
      return step;
    default:
      return fatal(out, sqlstate::kProtocolViolation, "a message of an unknown type");
  }
}

}  // namespace heathflow::protocol
