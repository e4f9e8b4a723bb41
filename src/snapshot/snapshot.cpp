#include "snapshot/snapshot.h"

#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>
#include <vector>

namespace heathflow::snapshot {
namespace {

// A file begins with the magic text, the format version and the checksum of the content, both little-endian.
constexpr std::string_view kMagic = "heathflow-snapshot\n";
constexpr std::size_t kVersionSize = 4;
constexpr std::size_t kChecksumSize = 8;
constexpr std::size_t kHeaderSize = kMagic.size() + kVersionSize + kChecksumSize;
// Version 1 did not contain the source of the list.
constexpr std::uint32_t kVersion = 2;
constexpr std::uint32_t kOldestVersion = 1;
// These limits bound the memory that is needed to read a file.
constexpr std::size_t kMaxFileSize = 16 << 20;
constexpr std::size_t kMaxEndpoints = 100'000;
constexpr std::size_t kMaxMapSize = 64;
constexpr std::size_t kMaxDepth = 16;
constexpr int kReadAttempts = 3;
// Represents an unknown cost in the file.
constexpr std::int64_t kNoCallCost = -1;

// The content of a file, encoded as arrays: the order of the fields is part of the format.
using PortRecord = std::tuple<std::string, std::uint16_t>;
using EndpointRecord = std::tuple<std::string, std::string, std::string, std::uint32_t, std::uint8_t, double,
                                  std::int64_t, bool, std::vector<PortRecord>>;
using Version1Record = std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t,
                                  std::vector<EndpointRecord>, std::int64_t, std::uint32_t, std::int64_t>;
using Version2Record = std::tuple<Version1Record, std::string>;

std::string littleEndian(std::uint64_t value, std::size_t size) {
  std::string out;
  for (std::size_t i = 0; i < size; ++i) out += static_cast<char>(value >> (8 * i));
  return out;
}

std::uint64_t fromLittleEndian(std::string_view bytes) {
  std::uint64_t out = 0;
  for (std::size_t i = bytes.size(); i-- > 0;) out = out << 8 | static_cast<unsigned char>(bytes[i]);
  return out;
}

EndpointRecord recordOf(const protocol::ListedEndpoint& endpoint) {
  const std::vector<PortRecord> ports(endpoint.ports.begin(), endpoint.ports.end());
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

// Throws msgpack::type_error if the phase is unknown.
protocol::ListedEndpoint endpointOf(const EndpointRecord& record) {
  protocol::ListedEndpoint out;
  std::uint8_t phase = 0;
  std::vector<PortRecord> ports;
  std::tie(out.id, out.hostPort, out.locality, out.cell, phase, out.size, out.upSinceMs, out.primary, ports) =
      record;
  if (phase > static_cast<std::uint8_t>(protocol::ListedEndpoint::Phase::Gone)) throw msgpack::type_error();
  out.phase = static_cast<protocol::ListedEndpoint::Phase>(phase);
  for (const auto& [protocol, port] : ports) out.ports.emplace_back(protocol, port);
  return out;
}

// Returns what is wrong with the header or the checksum; empty if both are valid.
std::string headerProblem(std::string_view bytes) {
  if (bytes.substr(0, kMagic.size()) != kMagic.substr(0, bytes.size())) return "it is not a snapshot file";
  if (bytes.size() < kHeaderSize) return "it is truncated";
  const std::uint64_t version = fromLittleEndian(bytes.substr(kMagic.size(), kVersionSize));
  if (version < kOldestVersion || version > kVersion)
    return "its format is version " + std::to_string(version) + ", but only versions up to " +
           std::to_string(kVersion) + " are supported";
  const std::string_view content = bytes.substr(kHeaderSize);
  const auto checksum = fromLittleEndian(bytes.substr(kMagic.size() + kVersionSize, kChecksumSize));
  if (checksum != XXH3_64bits(content.data(), content.size()))
    return "its checksum does not match: it is truncated or damaged";
  return {};
}

// Throws if the content can't be decoded. The limits are needed because the checksum protects against
// accidental damage only.
Snapshot parseContent(std::string_view content, bool hasSource) {
  const msgpack::unpack_limit limits(kMaxEndpoints, kMaxMapSize, kMaxFileSize, kMaxFileSize, 0, kMaxDepth);
  const msgpack::object_handle handle =
      msgpack::unpack(content.data(), content.size(), nullptr, nullptr, limits);
  Snapshot out;
  Version1Record record;
  if (hasSource) {
    std::tie(record, out.source) = handle.get().as<Version2Record>();
  } else {
    record = handle.get().as<Version1Record>();
  }
  std::vector<EndpointRecord> endpoints;
  std::int64_t callCost = kNoCallCost;
  std::uint32_t earlyCrashes = 0;
  std::tie(out.name, out.writtenAt, out.listValidAsOf, out.list.revision, endpoints, callCost, earlyCrashes,
           out.initialLatency) = record;
  out.list.complete = true;
  if (callCost > 0) out.callCost = callCost;
  out.earlyCrashes = earlyCrashes;
  for (const EndpointRecord& endpoint : endpoints) out.list.endpoints.push_back(endpointOf(endpoint));
  return out;
}

}  // namespace

std::string encode(const Snapshot& snapshot) {
  std::vector<EndpointRecord> endpoints;
  for (const protocol::ListedEndpoint& endpoint : snapshot.list.endpoints)
    endpoints.push_back(recordOf(endpoint));
  const Version1Record record{snapshot.name,
                              snapshot.writtenAt,
                              snapshot.listValidAsOf,
                              snapshot.list.revision,
                              endpoints,
                              snapshot.callCost.value_or(kNoCallCost),
                              snapshot.earlyCrashes,
                              snapshot.initialLatency};
  msgpack::sbuffer content;
  msgpack::pack(content, Version2Record{record, snapshot.source});
  std::string out(kMagic);
  out += littleEndian(kVersion, kVersionSize);
  out += littleEndian(XXH3_64bits(content.data(), content.size()), kChecksumSize);
  return out.append(content.data(), content.size());
}

std::optional<Snapshot> decode(std::string_view bytes, const std::string& name, std::string& problem) {
  if (std::string wrong = headerProblem(bytes); !wrong.empty()) {
    problem = std::move(wrong);
    return {};
  }
  const std::uint64_t version = fromLittleEndian(bytes.substr(kMagic.size(), kVersionSize));
  try {
    Snapshot out = parseContent(bytes.substr(kHeaderSize), version >= kVersion);
    if (out.name == name) return out;
    problem = "it belongs to gateway '" + out.name + "'";
  } catch (const std::exception&) {
    problem = "its content can't be decoded";
  }
  return {};
}

std::optional<protocol::EndpointList> trustedList(const Snapshot& snapshot, Micros now,
                                                  const discovery::CachedListSettings& settings) {
  if (snapshot.listValidAsOf <= 0) return {};
  const discovery::CachedListTrust trust =
      discovery::trustInCachedList(now - snapshot.listValidAsOf, settings);
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
  files::Content file = files::read(path, kMaxFileSize);
  for (int attempts = 1; attempts < kReadAttempts && !file.bytes && file.error != ENOENT; ++attempts)
    file = files::read(path, kMaxFileSize);
  if (file.error == ENOENT) return {};
  // The file stays in place: after a temporary disk error it may still be good.
  if (!file.bytes && file.error != EFBIG) {
    problem = "the snapshot " + path + " can't be read, starting without it: " + std::strerror(file.error);
    return {};
  }
  std::string reason = "it is too large";
  std::optional<Snapshot> out;
  if (file.bytes) out = decode(*file.bytes, name, reason);
  if (out) return out;
  const std::string unusable = path + ".unusable";
  const bool renamed = std::rename(path.c_str(), unusable.c_str()) == 0;
  problem = "the snapshot " + path + " can't be used, starting without it: " + reason +
            (renamed ? "; it was set aside as " + unusable
                     : "; renaming it to " + unusable + " failed: " + std::strerror(errno));
  return {};
}

bool save(const std::string& path, const Snapshot& snapshot, files::Durable durable, std::string& problem) {
  const int error = files::replace(path, encode(snapshot), durable);
  if (error != 0) problem = "the snapshot can't be written to " + path + ": " + std::strerror(error);
  return error == 0;
}

}  // namespace heathflow::snapshot
