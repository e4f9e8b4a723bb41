// A fuzz target for PackStream and both of Bolt's state machines; the first byte of an input selects one.
// Each must terminate and stay within the given bytes.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "protocol/bolt_client.h"
#include "protocol/bolt_server.h"

namespace {

using namespace heathflow::protocol;
using heathflow::transport::Buffer;

void require(bool holds) {
  if (!holds) std::abort();
}

void packstreamTarget(std::string_view bytes) {
  packstream::Reader reader(bytes);
  while (!reader.atEnd() && reader.skip()) require(reader.at() <= bytes.size());
  const packstream::DecodeError decodeError = packstream::check(bytes);
  // A valid value must also be readable inside a message.
  if (decodeError != packstream::DecodeError::None) return;
  std::string message;
  packstream::addStructureHeader(message, 0x70, 1);
  message += bytes;
  unsigned fields = 0;
  require(bolt::checkFields(message, fields) == packstream::DecodeError::None && fields == 1);
  std::string_view problem;
  bolt::readSummary(message);
  bolt::readExtra(message, bolt::Tag::Begin, problem);
}

// Drives the server side as a client connection does: a request ends when no further message is accepted.
std::string serverOutput(std::string_view bytes, std::size_t piece) {
  BoltListenerSettings settings;
  settings.agent = "fuzz";
  settings.readClass = "r";
  settings.writeClass = "w";
  BoltServer server(settings);
  Buffer out(1 << 24);
  std::string input;
  std::size_t from = 0;
  bool open = false;
  while (!bytes.empty()) {
    const std::size_t size = std::min(piece, bytes.size());
    input += bytes.substr(0, size);
    bytes.remove_prefix(size);
    for (;;) {
      const ClientSide::Step step = server.step(input, from, out);
      require(from + step.consumed <= input.size());
      using Kind = ClientSide::Step::Kind;
      if (step.kind == Kind::Fatal || step.kind == Kind::Disconnect) return std::string(out.view());
      if (step.kind == Kind::NeedMore) {
        if (!open || !bytes.empty()) break;
        server.writeFailure(out);
        open = false;
        input.erase(0, from);
        from = 0;
        continue;
      }
      if (step.kind == Kind::Request) {
        std::string_view problem;
        if (server.parseRequest(std::string_view(input).substr(0, step.consumed), problem)) {
          open = true;
          from = step.consumed;
        } else {
          server.writeInvalidRequest(problem, out);
          input.erase(0, step.consumed);
        }
      } else if (step.kind == Kind::RequestPart) {
        from += step.consumed;
      } else if (step.kind == Kind::Interrupt) {
        input.erase(0, from);
        from = 0;
        open = false;
      } else {
        input.erase(0, step.consumed);
      }
    }
  }
  return std::string(out.view());
}

void endpointTarget(std::string_view bytes, bool transaction) {
  const BoltLogin login;
  Buffer out(1 << 20);
  BoltClient client(login);
  require(client.start(out));
  std::string input("\0\0\4\5", 4);
  client.feed(input, false, out);
  input.erase(0, client.parsedBytes());
  client.onConsumed();
  // SUCCESS with an empty map, twice, completes the login.
  input += std::string("\0\3\xB1\x70\xA0\0\0\0\3\xB1\x70\xA0\0\0", 14);
  require(client.feed(input, false, out) == EndpointSide::Event::Ready);
  input.clear();
  client.onConsumed();
  const std::string begin("\0\3\xB1\x11\xA0\0\0", 7);
  const std::string run("\0\6\xB3\x10\x81x\xA0\xA0\0\0", 10);
  const std::string pull("\0\6\xB1\x3F\xA1\x81n\xFF\0\0", 10);
  require(client.writeRequest(transaction ? begin + run + pull : run + pull, {}, 1000, out));
  while (!bytes.empty()) {
    const std::size_t size = std::min<std::size_t>(1 + bytes.size() / 3, bytes.size());
    input += bytes.substr(0, size);
    bytes.remove_prefix(size);
    const EndpointSide::Event event = client.feed(input, false, out);
    require(client.parsedBytes() <= input.size());
    for (const Slice& piece : client.answer().pieces) {
      if (event == EndpointSide::Event::Part || event == EndpointSide::Event::Answered) {
        require(piece.at + piece.size <= input.size());
      }
    }
    if (event == EndpointSide::Event::Broken || event == EndpointSide::Event::Answered) return;
    if (event == EndpointSide::Event::Part) {
      input.erase(0, client.parsedBytes());
      client.onConsumed();
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 4) {
    case 0:
      packstreamTarget(bytes);
      break;
    case 1:
      serverOutput(bytes, bytes.size());
      break;
    case 2:
      serverOutput(bytes, 7);
      break;
    default:
      endpointTarget(bytes, data[0] % 8 >= 4);
      break;
  }
  return 0;
}
