#include "installation/installation.h"

#include <sys/stat.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <map>
#include <set>

#include "files/files.h"
#include "installation/schema.h"

namespace heathflow::installation {
namespace {

using xml::attribute;
using xml::children;
using xml::Collector;
using xml::lineOf;
using xml::nameOf;
using xml::Node;
using xml::numberOf;

constexpr const char* kNamespace = "urn:heathflow:settings:1";

LogSettings readLog(const Node* node) {
  LogSettings out;
  const std::string form = attribute(node, "form");
  const std::string level = attribute(node, "level");
  if (form == "keyvalue") out.form = LogForm::KeyValue;
  if (form == "json") out.form = LogForm::Json;
  if (level == "trace") out.level = LogLevel::Trace;
  if (level == "warning") out.level = LogLevel::Warning;
  if (level == "error") out.level = LogLevel::Error;
  out.linesPerSecond = numberOf(attribute(node, "lines-per-second"), out.linesPerSecond);
  out.countersIntervalSeconds = numberOf(attribute(node, "counters-every"), out.countersIntervalSeconds);
  return out;
}

SnapshotSettings readSnapshot(const Node* node) {
  SnapshotSettings out;
  out.file = attribute(node, "file");
  out.writeIntervalSeconds = numberOf(attribute(node, "every"), out.writeIntervalSeconds);
  out.maxListAgeSeconds = numberOf(attribute(node, "list-for"), out.maxListAgeSeconds);
  return out;
}

Listener readListener(const Node* node, Collector& collector) {
  Listener out;
  out.line = lineOf(node);
  out.name = attribute(node, "name");
  out.protocol = attribute(node, "protocol");
  out.advertise = attribute(node, "advertise");
  out.agent = attribute(node, "agent");
  const std::string address = attribute(node, "address");
  if (const auto socketAddress = transport::parseSocketAddress(address)) {
    out.address = *socketAddress;
  } else {
    collector.add(
        out.line, "listener",
        "'" + address +
            "' is not an IPv4 address with a port: expected four numbers up to 255 and a port up to 65535");
  }
  for (const Node* defaults : children(node, "defaults")) {
    out.readClass = attribute(defaults, "read-class");
    out.writeClass = attribute(defaults, "write-class");
    out.family = attribute(defaults, "family");
  }
  return out;
}

Family readFamily(const Node* node) {
  Family out;
  out.line = lineOf(node);
  out.name = attribute(node, "name");
  out.cluster = numberOf<std::uint32_t>(attribute(node, "cluster"), 0);
  for (const Node* entry : children(node, "protocol")) {
    const std::string listed = attribute(entry, "listed");
    out.protocols.push_back({attribute(entry, "name"), listed == "true" || listed == "1",
                             numberOf<std::uint16_t>(attribute(entry, "port"), 0)});
  }
  return out;
}

Installation readInstallation(const Node* root, Collector& collector) {
  Installation out;
  for (const Node* part : children(root)) {
    const std::string_view name = nameOf(part);
    if (name == "node") out.nodeFile = attribute(part, "file");
    if (name == "log") out.log = readLog(part);
    if (name == "snapshot") out.snapshot = readSnapshot(part);
    if (name == "listeners") {
      for (const Node* entry : children(part)) out.listeners.push_back(readListener(entry, collector));
    }
    if (name == "families") {
      for (const Node* entry : children(part)) out.families.push_back(readFamily(entry));
    }
    if (name != "members") continue;
    for (const Node* login : children(part, "bolt-login")) {
      out.boltLogin = Login{attribute(login, "principal"), attribute(login, "credentials-file"), {}};
    }
  }
  return out;
}

const Family* findFamily(const Installation& all, const std::string& name) {
  const auto found =
      std::find_if(all.families.begin(), all.families.end(), [&](const Family& f) { return f.name == name; });
  return found == all.families.end() ? nullptr : &*found;
}

void checkFamily(const Family& family, Collector& collector) {
  std::set<std::string> names;
  int listed = 0;
  for (const FamilyProtocol& entry : family.protocols) {
    listed += entry.listed ? 1 : 0;
    if (!names.insert(entry.protocol).second) {
      collector.add(family.line, "family",
                    "the family '" + family.name + "' names '" + entry.protocol +
                        "' twice: a protocol may be named only once");
    }
    if (entry.listed && entry.port != 0) {
      collector.add(
          family.line, "family",
          "'" + entry.protocol + "' of the family '" + family.name +
              "' is listed and has a port: the list gives the port, so only one of the two may be set");
    }
  }
  if (listed != 1) {
    collector.add(
        family.line, "family",
        "the family '" + family.name + "' has " + std::to_string(listed) +
            " listed protocols: the list gives one address per endpoint, so exactly one is required");
  }
}

// Checks what the schema can't express: references to names that must exist, and values that must be unique.
void check(const Installation& all, Collector& collector) {
  std::map<std::string, int> names;
  std::map<std::uint32_t, std::string> clusters;
  for (const Family& family : all.families) {
    if (!names.emplace(family.name, family.line).second) {
      collector.add(family.line, "family",
                    "the name '" + family.name + "' is already used by the family on line " +
                        std::to_string(names[family.name]) + ": names must be unique");
    }
    if (!clusters.emplace(family.cluster, family.name).second) {
      collector.add(family.line, "family",
                    "cluster " + std::to_string(family.cluster) + " is already used by the family '" +
                        clusters[family.cluster] + "': a cluster belongs to one family");
    }
    checkFamily(family, collector);
  }
  std::map<std::string, int> listeners;
  std::map<std::string, std::string> addresses;
  for (const Listener& listener : all.listeners) {
    const auto report = [&](const std::string& text) { collector.add(listener.line, "listener", text); };
    if (!listeners.emplace(listener.name, listener.line).second) {
      report("the name '" + listener.name + "' is already used by the listener on line " +
             std::to_string(listeners[listener.name]) + ": names must be unique");
    }
    const std::string address = toText(listener.address);
    if (listener.address.port != 0 && !addresses.emplace(address, listener.name).second) {
      report("the address " + address + " is already used by the listener '" + addresses[address] +
             "': addresses must be unique");
    }
    if (listener.family.empty()) continue;
    const Family* family = findFamily(all, listener.family);
    if (family == nullptr) {
      report("there is no family '" + listener.family + "' under 'families'");
    } else if (!family->supports(listener.protocol)) {
      report("the family '" + listener.family + "' does not speak '" + listener.protocol +
             "', the protocol of this listener");
    }
  }
}

}  // namespace

bool Family::supports(std::string_view protocol) const {
  return std::any_of(protocols.begin(), protocols.end(),
                     [&](const FamilyProtocol& entry) { return entry.protocol == protocol; });
}

std::optional<Installation> parse(const std::string& path, std::string_view text,
                                  std::vector<Problem>& problems) {
  const auto document = xml::Document::read(path, text, schemaText(), kNamespace, problems);
  if (!document) return std::nullopt;
  // An invalid document is read as well, so that as many problems as possible are reported at once.
  Collector collector(path, problems);
  Installation out;
  if (document->root() != nullptr && nameOf(document->root()) == "heathflow") {
    out = readInstallation(document->root(), collector);
    if (document->valid()) check(out, collector);
  }
  std::stable_sort(problems.begin(), problems.end(),
                   [](const Problem& a, const Problem& b) { return a.line < b.line; });
  if (!problems.empty()) return std::nullopt;
  return out;
}

std::optional<Installation> load(const std::string& path, std::vector<Problem>& problems) {
  const files::Content text = files::read(path);
  if (text.bytes) return parse(path, *text.bytes, problems);
  problems.push_back({path, 0, "", std::string("the file can't be opened: ") + std::strerror(text.error)});
  return std::nullopt;
}

void readSecrets(Installation& installation, const std::string& path, std::vector<Problem>& problems) {
  if (!installation.boltLogin) return;
  Login& login = *installation.boltLogin;
  const auto report = [&](const std::string& text) {
    problems.push_back({path, 0, "bolt-login", login.credentialsFile + " " + text});
  };
  struct stat status {};
  if (::stat(login.credentialsFile.c_str(), &status) != 0)
    return report("can't be opened: the credentials are expected in this file");
  if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return report("is accessible to other users: only its owner may have access (mode 600)");
  }
  std::ifstream file(login.credentialsFile);
  if (!std::getline(file, login.credentials) || login.credentials.empty()) {
    report("has no first line or an empty one: the credentials are expected there");
  }
}

void checkClasses(const Installation& installation, const std::string& path,
                  const std::vector<std::string>& classNames, std::vector<Problem>& problems) {
  for (const Listener& listener : installation.listeners) {
    for (const std::string* name : {&listener.readClass, &listener.writeClass}) {
      if (name->empty() || std::find(classNames.begin(), classNames.end(), *name) != classNames.end())
        continue;
      std::string known;
      for (const std::string& entry : classNames) known += (known.empty() ? "" : ", ") + entry;
      problems.push_back({path, listener.line, "listener",
                          "there is no class '" + *name + "': one of " + known + " is expected"});
    }
  }
}

}  // namespace heathflow::installation
