// A fuzz target for PackStream and for both of Bolt's state machines: the first byte of an input says which.
// Each must come to an end, keep within the bytes it was given, and say the same whole and in pieces.
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
  const packstream::Flaw flaw = packstream::check(bytes);
  // What is one sound value can be read again from a message around it.
  if (flaw != packstream::Flaw::None) return;
  std::string message;
  packstream::addStructureHead(message, 0x70, 1);
  message += bytes;
  unsigned fields = 0;
  require(bolt::checkFields(message, fields) == packstream::Flaw::None && fields == 1);
  std::string_view problem;
  bolt::readSummary(message);
  bolt::readExtra(message, bolt::Tag::Begin, problem);
}

// A client connection's way with the machine: requests end when nothing more is taken.
std::string serverSays(std::string_view bytes, std::size_t piece) {
  BoltListening listening;
  listening.agent = "fuzz";
  listening.readClass = "r";
  listening.writeClass = "w";
  BoltServer server(listening);
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
      if (step.kind == Kind::Fatal || step.kind == Kind::Left) return std::string(out.view());
      if (step.kind == Kind::NeedMore) {
        if (!open || !bytes.empty()) break;
        server.failed(out);
        open = false;
        input.erase(0, from);
        from = 0;
        continue;
      }
      if (step.kind == Kind::Request) {
        std::string_view problem;
        if (server.read(std::string_view(input).substr(0, step.consumed), problem)) {
          open = true;
          from = step.consumed;
        } else {
          server.rejected(problem, out);
          input.erase(0, step.consumed);
        }
      } else if (step.kind == Kind::More) {
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
  input.erase(0, client.seen());
  client.dropped();
  // SUCCESS with an empty map, twice: the login is done.
  input += std::string("\0\3\xB1\x70\xA0\0\0\0\3\xB1\x70\xA0\0\0", 14);
  require(client.feed(input, false, out) == EndpointSide::Event::Ready);
  input.clear();
  client.dropped();
  const std::string begin("\0\3\xB1\x11\xA0\0\0", 7);
  const std::string run("\0\6\xB3\x10\x81x\xA0\xA0\0\0", 10);
  const std::string pull("\0\6\xB1\x3F\xA1\x81n\xFF\0\0", 10);
  require(client.ask(transaction ? begin + run + pull : run + pull, {}, 1000, out));
  while (!bytes.empty()) {
    const std::size_t size = std::min<std::size_t>(1 + bytes.size() / 3, bytes.size());
    input += bytes.substr(0, size);
    bytes.remove_prefix(size);
    const EndpointSide::Event event = client.feed(input, false, out);
    require(client.seen() <= input.size());
    for (const Slice& piece : client.answer().pieces) {
      if (event == EndpointSide::Event::Part || event == EndpointSide::Event::Answered) {
        require(piece.at + piece.size <= input.size());
      }
    }
    if (event == EndpointSide::Event::Broken || event == EndpointSide::Event::Answered) return;
    if (event == EndpointSide::Event::Part) {
      input.erase(0, client.seen());
      client.dropped();
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
      serverSays(bytes, bytes.size());
      break;
    case 2:
      serverSays(bytes, 7);
      break;
    default:
      endpointTarget(bytes, data[0] % 8 >= 4);
      break;
  }
  return 0;
}
