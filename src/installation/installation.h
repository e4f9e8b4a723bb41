// The settings of an installation: deploy/heathflow.xml, read and checked against its schema.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "transport/socket.h"
#include "xml/document.h"

namespace heathflow::installation {

enum class LogForm { Text, KeyValue, Json };
// Trace: each step of each request, for one who looks for a cause.
enum class LogLevel { Trace, Info, Warning, Error };

struct LogSettings {
  LogForm form = LogForm::Text;
  LogLevel level = LogLevel::Info;
  unsigned linesPerSecond = 5;  // of each topic
  unsigned countersEvery = 0;   // seconds; 0: at SIGUSR1 and at the end only
};

struct Listener {
  std::string name;
  transport::SocketAddress address;
  std::string protocol;
  std::string advertise;  // empty: the address itself
  std::string agent;      // empty: the program's own name
  std::string readClass;  // of a request that names none; empty: it needs to
  std::string writeClass;
  std::string family;
  int line = 0;  // of the file
};

struct Spoken {
  std::string protocol;
  bool listed = false;
  std::uint16_t port = 0;  // 0: only where the list names one
};

struct Family {
  std::string name;
  std::uint32_t cluster = 0;
  std::vector<Spoken> protocols;
  bool speaks(std::string_view protocol) const;
  int line = 0;
};

struct Login {
  std::string principal;
  std::string credentialsFile;
  std::string credentials;  // read from it
};

// What is kept on disk for the gateway's next life.
struct SnapshotSettings {
  std::string file;        // empty: nothing is kept
  unsigned every = 10;     // seconds from one writing to the next, where there is something new
  unsigned listFor = 600;  // seconds for which a list may be used until the service has spoken
};

struct Installation {
  std::string nodeFile;  // empty: NODE_CONFIG names it
  LogSettings log;
  SnapshotSettings snapshot;
  std::vector<Listener> listeners;
  std::vector<Family> families;
  std::optional<Login> boltLogin;
};

using xml::Problem;
using xml::toText;

// Reads a file, or its text. Nothing where it can't be used; then 'problems' holds all that is wrong with it,
// in the order of its lines.
std::optional<Installation> load(const std::string& path, std::vector<Problem>& problems);
std::optional<Installation> parse(const std::string& path, std::string_view text,
                                  std::vector<Problem>& problems);

// Reads the files that the settings name. Nobody but their owner may be able to.
void readSecrets(Installation& installation, const std::string& path, std::vector<Problem>& problems);

// Checks what the file says against the classes that the node's settings name.
void checkClasses(const Installation& installation, const std::string& path,
                  const std::vector<std::string>& classNames, std::vector<Problem>& problems);

}  // namespace heathflow::installation
