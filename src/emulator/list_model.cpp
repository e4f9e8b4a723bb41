#include "emulator/list_model.h"

#include <algorithm>
#include <utility>

#include "common/uniform.h"

namespace heathflow::emulator {
namespace {

std::string lineOf(const ListedEntry& entry, const std::string& phase) {
  return "{\"id\":\"" + entry.id + "\",\"host_port\":\"" + entry.hostPort +
         "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":" + std::to_string(entry.cell) + ",\"phase\":\"" +
         phase + "\",\"size\":1.0,\"up_since_ms\":" + std::to_string(entry.upSinceMs) + ",\"mode\":\"" +
         (entry.primary ? "read-write" : "read-only") + "\"}";
}

bool same(const ListedEntry& a, const ListedEntry& b) {
  return a.hostPort == b.hostPort && a.cell == b.cell && a.phase == b.phase && a.upSinceMs == b.upSinceMs &&
         a.primary == b.primary;
}

}  // namespace

std::string textOf(const std::vector<ListedEntry>& entries) {
  std::string out = "[";
  for (const ListedEntry& entry : entries) out += (out.size() == 1 ? "" : ",") + lineOf(entry, entry.phase);
  return out + "]";
}

void ListModel::set(std::vector<ListedEntry> entries) {
  ++revision_;
  for (const ListedEntry& old : entries_) {
    const bool stays =
        std::any_of(entries.begin(), entries.end(), [&](const auto& e) { return e.id == old.id; });
    if (stays) continue;
    ListedEntry removed = old;
    removed.phase = "Gone";
    changes_[old.id] = {revision_, removed};
  }
  for (const ListedEntry& entry : entries) {
    const auto known = changes_.find(entry.id);
    if (known == changes_.end() || !same(known->second.second, entry))
      changes_[entry.id] = {revision_, entry};
  }
  entries_ = std::move(entries);
}

std::size_t ListModel::write(std::int64_t since, Answer& answer) const {
  // A caller with a newer revision than the service's gets the complete list.
  const bool complete = since < 0 || since > revision_;
  std::string endpoints;
  std::size_t lines = 0;
  const auto add = [&](const ListedEntry& entry) {
    endpoints += (lines++ == 0 ? "" : ",") + lineOf(entry, entry.phase);
  };
  if (complete) {
    for (const ListedEntry& entry : entries_) {
      if (!entryLimit_ || lines < *entryLimit_) add(entry);
    }
  } else {
    for (const auto& [id, change] : changes_) {
      if (change.first > since) add(change.second);
    }
  }
  answer.body = "{\"revision\":" + std::to_string(revision_) +
                ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[" + endpoints + "]}";
  return lines;
}

ListModel::Answer ListModel::serve(Micros now, std::int64_t since) {
  Answer out;
  const std::size_t lines = write(since, out);
  if (since < 0 || since > revision_) ++completeLists_;
  busyUntil_ = std::max(busyUntil_, now) + costs_.call + static_cast<Micros>(lines) * costs_.line;
  out.at = busyUntil_;
  return out;
}

std::optional<ListModel::Answer> ListModel::call(Micros now, std::int64_t since, bool mayWait) {
  ++calls_;
  arrivals_.add(now);
  Answer broken;
  broken.kind = Answer::Kind::Reset;
  broken.at = now;
  if (const bool reset = draw(resetShare_); down_ || reset) {
    ++resets_;
    return broken;
  }
  if (draw(rejectShare_)) return reject(now);
  if (mayWait && !newerThan(since)) return {};
  if (busyUntil_ - now > costs_.patience) return reject(now);
  return serve(now, since);
}

ListModel::Answer ListModel::answerWatch(Micros now, std::int64_t since) {
  return draw(rejectShare_) ? reject(now) : serve(now, since);
}

bool ListModel::draw(double share) { return share > 0 && uniformUnit(random_()) < share; }

ListModel::Answer ListModel::reject(Micros now) {
  ++rejected_;
  Answer out;
  out.kind = Answer::Kind::Rejected;
  out.at = now;
  return out;
}

}  // namespace heathflow::emulator
