// Records the decisions of one gateway, and replays a recording.
//
//   heathflow_record_decisions record INSTANCE FILE.events
//     Runs in place of heathflow_wirehost and writes the events of one instance to the file.
//   heathflow_record_decisions replay FILE.events FILE.actions
//     Writes the actions that result from the events.
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "decision_recording.h"
#include "wirehost/codec.h"
#include "wirehost/host.h"

namespace {

using heathflow::test::DecisionRecorder;
using heathflow::test::replay;
using heathflow::wirehost::BatchHeader;
using heathflow::wirehost::Host;
using heathflow::wirehost::kBatchHeaderSize;

std::string readFile(const char* path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

int record(std::uint32_t instance, const char* path) {
  std::ofstream out(path, std::ios::binary);
  DecisionRecorder recorder(instance);
  Host host;
  std::string header(kBatchHeaderSize, '\0');
  while (std::cin.read(header.data(), static_cast<std::streamsize>(header.size()))) {
    const BatchHeader parsed = heathflow::wirehost::decodeHeader(header);
    std::string body(parsed.length - kBatchHeaderSize, '\0');
    std::cin.read(body.data(), static_cast<std::streamsize>(body.size()));
    out << recorder.take(parsed, body) << std::flush;
    const std::string& reply = host.handle(parsed, body);
    std::cout.write(reply.data(), static_cast<std::streamsize>(reply.size()));
    std::cout.flush();
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const std::string mode = argc == 4 ? argv[1] : "";
    if (mode == "record")
      return record(static_cast<std::uint32_t>(std::strtoul(argv[2], nullptr, 10)), argv[3]);
    if (mode == "replay") {
      std::ofstream(argv[3], std::ios::binary) << replay(readFile(argv[2]));
      return 0;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heathflow_record_decisions: %s\n", error.what());
    return 1;
  }
  std::fputs("usage: heathflow_record_decisions record INSTANCE EVENTS | replay EVENTS ACTIONS\n", stderr);
  return 64;
}
