#include "snapshot/snapshot.h"

#include <xxhash.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <msgpack.hpp>
#include <tuple>
#include <vector>

namespace heathflow::snapshot {
namespace {

constexpr std::string_view kMark = "heathflow-snapshot\n";
// Version 1 had no source.
constexpr std::uint32_t kVersion = 2;
constexpr std::uint32_t kVersionLeast = 1;
// Guards memory against a file that can't be meant.
constexpr std::size_t kFileLimit = 16 << 20;
constexpr std::size_t kEndpointsMost = 100'000;
constexpr int kReadTries = 3;

using Port = std::tuple<std::string, std::uint16_t>;
using Entry = std::tuple<std::string, std::string, std::string, std::uint32_t, std::uint8_t, double,
                         std::int64_t, bool, std::vector<Port>>;
using ContentWithoutSource = std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t,
                                        std::vector<Entry>, std::int64_t, std::uint32_t, std::int64_t>;

using Content = std::tuple<ContentWithoutSource, std::string>;

std::string number(std::uint64_t value, std::size_t bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i));
  return out;
}

std::uint64_t numberAt(std::string_view bytes) {
  std::uint64_t out = 0;
  for (std::size_t i = bytes.size(); i-- > 0;) out = out << 8 | static_cast<unsigned char>(bytes[i]);
  return out;
}

Entry entryOf(const protocol::ListedEndpoint& endpoint) {
  std::vector<Port> ports(endpoint.ports.begin(), endpoint.ports.end());
  return {endpoint.id,
          endpoint.hostPort,
          endpoint.locality,
          endpoint.cell,
          static_cast<std::uint8_t>(endpoint.phase),
          endpoint.size,
          endpoint.upSinceMs,
          endpoint.primary,
          ports};
}

bool readEntry(const Entry& entry, protocol::ListedEndpoint& out) {
  std::uint8_t phase = 0;
  std::vector<Port> ports;
  std::tie(out.id, out.hostPort, out.locality, out.cell, phase, out.size, out.upSinceMs, out.primary, ports) =
      entry;
  if (phase > static_cast<std::uint8_t>(protocol::ListedEndpoint::Phase::Gone)) return false;
  out.phase = static_cast<protocol::ListedEndpoint::Phase>(phase);
  for (const auto& [protocol, port] : ports) out.ports.emplace_back(protocol, port);
  return true;
}

}  // namespace

std::string encode(const Snapshot& snapshot) {
  std::vector<Entry> entries;
  for (const protocol::ListedEndpoint& endpoint : snapshot.list.endpoints)
    entries.push_back(entryOf(endpoint));
  msgpack::sbuffer content;
  msgpack::pack(content,
                Content{ContentWithoutSource{snapshot.name, snapshot.writtenAt, snapshot.listTrueAt,
                                             snapshot.list.revision, entries, snapshot.callCost.value_or(-1),
                                             snapshot.youngDeaths, snapshot.initialLatency},
                        snapshot.source});
  std::string out(kMark);
  out += number(kVersion, 4) + number(XXH3_64bits(content.data(), content.size()), 8);
  return out.append(content.data(), content.size());
}

std::optional<Snapshot> decode(std::string_view bytes, const std::string& name, std::string& problem) {
  constexpr std::size_t kHead = kMark.size() + 12;
  if (bytes.substr(0, kMark.size()) != kMark.substr(0, bytes.size())) {
    problem = "it is no snapshot";
    return {};
  }
  if (bytes.size() < kHead) {
    problem = "it is cut";
    return {};
  }
  const std::uint64_t version = numberAt(bytes.substr(kMark.size(), 4));
  if (version < kVersionLeast || version > kVersion) {
    problem = "it has version " + std::to_string(version) + ", and only those up to " +
              std::to_string(kVersion) + " are known here";
    return {};
  }
  const std::string_view content = bytes.substr(kHead);
  if (numberAt(bytes.substr(kMark.size() + 4, 8)) != XXH3_64bits(content.data(), content.size())) {
    problem = "its checksum is wrong: it is cut or damaged";
    return {};
  }
  try {
    // Read with limits, for a checksum shows accidents and not intent.
    const msgpack::unpack_limit limits(kEndpointsMost, 64, kFileLimit, kFileLimit, 0, 16);
    const msgpack::object_handle handle =
        msgpack::unpack(content.data(), content.size(), nullptr, nullptr, limits);
    Snapshot out;
    ContentWithoutSource read;
    if (version == kVersion) {
      std::tie(read, out.source) = handle.get().as<Content>();
    } else {
      read = handle.get().as<ContentWithoutSource>();
    }
    std::vector<Entry> entries;
    std::int64_t cost = -1;
    std::uint32_t young = 0;
    std::tie(out.name, out.writtenAt, out.listTrueAt, out.list.revision, entries, cost, young,
             out.initialLatency) = read;
    out.list.complete = true;
    if (cost > 0) out.callCost = cost;
    out.youngDeaths = young;
    for (const Entry& entry : entries) {
      protocol::ListedEndpoint endpoint;
      if (!readEntry(entry, endpoint)) throw msgpack::type_error();
      out.list.endpoints.push_back(std::move(endpoint));
    }
    if (out.name == name) return out;
    problem = "it is that of '" + out.name + "'";
  } catch (const std::exception&) {
    problem = "its content can't be read";
  }
  return {};
}

std::optional<protocol::EndpointList> believed(const Snapshot& snapshot, Micros now,
                                               const discovery::CachedListSettings& settings) {
  if (snapshot.listTrueAt <= 0) return {};
  const discovery::CachedListTrust trust = discovery::trustInCachedList(now - snapshot.listTrueAt, settings);
  if (!trust.endpoints) return {};
  protocol::EndpointList out = snapshot.list;
  for (protocol::ListedEndpoint& endpoint : out.endpoints) {
    endpoint.primary = endpoint.primary && trust.roles;
    if (!trust.drains && endpoint.phase == protocol::ListedEndpoint::Phase::Terminating)
      endpoint.phase = protocol::ListedEndpoint::Phase::Ready;
  }
  return out;
}

std::optional<Snapshot> load(const std::string& path, const std::string& name, std::string& problem) {
  files::Content file = files::read(path, kFileLimit);
  for (int tries = 1; tries < kReadTries && !file.bytes && file.error != ENOENT; ++tries)
    file = files::read(path, kFileLimit);
  if (file.error == ENOENT) return {};
  // Guards what an earlier life has learned: a disk that fails for a moment says nothing of the file.
  if (!file.bytes && file.error != EFBIG) {
    problem = "the snapshot " + path + " can't be read: " + std::strerror(file.error);
    return {};
  }
  std::string why = "it is larger than any snapshot";
  std::optional<Snapshot> out;
  if (file.bytes) out = decode(*file.bytes, name, why);
  if (out) return out;
  const std::string aside = path + ".unusable";
  const bool moved = std::rename(path.c_str(), aside.c_str()) == 0;
  problem = "the snapshot " + path + " is not used: " + why +
            (moved ? "; it was set aside as " + aside : "; it can't be set aside");
  return {};
}

bool save(const std::string& path, const Snapshot& snapshot, files::Durable durable, std::string& problem) {
  const int error = files::replace(path, encode(snapshot), durable);
  if (error != 0) problem = "the snapshot can't be written to " + path + ": " + std::strerror(error);
  return error == 0;
}

}  // namespace heathflow::snapshot
