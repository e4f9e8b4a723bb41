// The settings of an installation (deploy/heathflow.xml), parsed and checked against their schema.
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
// Trace logs each step of each request.
enum class LogLevel { Trace, Info, Warning, Error };

struct LogSettings {
  LogForm form = LogForm::Text;
  LogLevel level = LogLevel::Info;
  unsigned linesPerSecond = 5;           // per topic
  unsigned countersIntervalSeconds = 0;  // 0: only at SIGUSR1 and at shutdown
};

struct Listener {
  std::string name;
  transport::SocketAddress address;
  std::string protocol;
  std::string advertise;   // empty: the bound address
  std::string agent;       // empty: the program's name
  std::string readClass;   // class of reads that name none; empty: they must name one
  std::string writeClass;  // the same for writes
  std::string family;      // family of requests that name neither family nor cluster
  int line = 0;            // in the file
};

struct FamilyProtocol {
  std::string protocol;
  bool listed = false;     // endpoints accept the protocol at their address in the endpoint list
  std::uint16_t port = 0;  // used if the endpoint list gives no port for the protocol; 0: none
};

struct Family {
  std::string name;
  std::uint32_t cluster = 0;
  std::vector<FamilyProtocol> protocols;
  bool supports(std::string_view protocol) const;
  int line = 0;
};

struct Login {
  std::string principal;
  std::string credentialsFile;
  std::string credentials;  // first line of the file, see readSecrets()
};

// The snapshot on disk that the gateway reads after a restart.
struct SnapshotSettings {
  std::string file;                    // empty: no snapshot is written
  unsigned writeIntervalSeconds = 10;  // between writes, if there are changes
  unsigned maxListAgeSeconds = 600;    // how long a restored list may be used until the list service answers
};

struct Installation {
  std::string nodeFile;  // the node's configuration, read if NODE_CONFIG is not set; empty: none
  LogSettings log;
  SnapshotSettings snapshot;
  std::vector<Listener> listeners;
  std::vector<Family> families;
  std::optional<Login> boltLogin;
};

using xml::Problem;
using xml::toText;

// Read the settings from a file or from its text. Return nothing if they are invalid; 'problems' then holds
// all problems, ordered by line.
std::optional<Installation> load(const std::string& path, std::vector<Problem>& problems);
std::optional<Installation> parse(const std::string& path, std::string_view text,
                                  std::vector<Problem>& problems);

// Reads the first line of the credentials file, if the settings name one. Adds a problem if the file can't be
// read, its first line is missing or empty, or it is accessible to anyone but its owner.
void readSecrets(Installation& installation, const std::string& path, std::vector<Problem>& problems);

// Adds a problem for each class name in the file that is not a class of the node's settings.
void checkClasses(const Installation& installation, const std::string& path,
                  const std::vector<std::string>& classNames, std::vector<Problem>& problems);

}  // namespace heathflow::installation
