#include "faultshim/fault_plan.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace heathflow::faultshim {
namespace {

constexpr Micros kMicrosPerMilli = 1000;
constexpr std::array<const char*, kFaults> kNames = {
    "short-read", "short-write", "interrupt", "interrupt-io", "socket", "accept",
    "connect",    "create",      "watch",     "break",        "listen", "file-open",
    "file-read",  "file-write",  "file-sync", "file-rename",  "hold-up"};

template <typename T>
std::optional<T> numberOf(std::string_view text) {
  if (text.starts_with('+')) text.remove_prefix(1);
  T out{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return out;
}

// What stands behind a sign; the text keeps what stands before it.
std::optional<std::string_view> cutAt(std::string_view& text, char sign) {
  const std::size_t at = text.find(sign);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view behind = text.substr(at + 1);
  text = text.substr(0, at);
  return behind;
}

bool readTime(std::string_view text, Micros& out) {
  const auto millis = numberOf<Micros>(text);
  if (!millis) return false;
  out = *millis * kMicrosPerMilli;
  return true;
}

// "0.05@1000-2000#3" behind a fault's name.
bool readShare(std::string_view text, FaultShare& out) {
  const auto most = cutAt(text, '#');
  auto times = cutAt(text, '@');
  const auto share = numberOf<double>(text);
  if (!share || *share < 0 || *share > 1) return false;
  out.share = *share;
  if (most) {
    const auto count = numberOf<std::uint64_t>(*most);
    if (!count) return false;
    out.most = *count;
  }
  if (!times) return true;
  const auto until = cutAt(*times, '-');
  return readTime(*times, out.from) && (!until || readTime(*until, out.until));
}

bool readStep(std::string_view text, ClockStep& out) {
  const auto at = cutAt(text, '@');
  return readTime(text, out.by) && (!at || readTime(*at, out.at));
}

bool readItem(std::string_view item, FaultPlan& out) {
  const auto value = cutAt(item, '=');
  if (!value) return false;
  if (item == "seed") {
    const auto seed = numberOf<std::uint64_t>(*value);
    out.seed = seed.value_or(0);
    return seed.has_value();
  }
  if (item == "step") return readStep(*value, out.steps.emplace_back());
  const auto name = std::find(kNames.begin(), kNames.end(), item);
  if (name == kNames.end()) return false;
  FaultShare share;
  share.fault = static_cast<Fault>(name - kNames.begin());
  if (!readShare(*value, share)) return false;
  out.shares.push_back(share);
  return true;
}

}  // namespace

const char* nameOf(Fault fault) { return kNames.at(static_cast<std::size_t>(fault)); }

std::string FaultPlan::text() const {
  std::ostringstream out;
  out << "seed=" << seed;
  for (const FaultShare& share : shares) {
    out << ';' << nameOf(share.fault) << '=' << share.share << '@' << share.from / kMicrosPerMilli;
    if (share.until != 0) out << '-' << share.until / kMicrosPerMilli;
    if (share.most != 0) out << '#' << share.most;
  }
  for (const ClockStep& step : steps)
    out << ";step=" << step.by / kMicrosPerMilli << '@' << step.at / kMicrosPerMilli;
  return out.str();
}

std::optional<FaultPlan> parsePlan(std::string_view text, std::string& problem) {
  FaultPlan out;
  while (!text.empty()) {
    std::string_view item = text;
    text = cutAt(item, ';').value_or(std::string_view());
    if (item.empty() || readItem(item, out)) continue;
    problem = "no fault can be read from '" + std::string(item) + "'";
    return std::nullopt;
  }
  return out;
}

FaultDraw::FaultDraw(FaultPlan plan)
    : plan_(std::move(plan)), random_(plan_.seed), used_(plan_.shares.size(), 0) {}

bool FaultDraw::strikes(Fault fault, Micros now) {
  for (std::size_t i = 0; i < plan_.shares.size(); ++i) {
    const FaultShare& share = plan_.shares[i];
    const bool due = now >= share.from && (share.until == 0 || now < share.until);
    const bool left = share.most == 0 || used_[i] < share.most;
    if (share.fault != fault || !due || !left) continue;
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= share.share) continue;
    ++used_[i];
    ++struck_[static_cast<std::size_t>(fault)];
    return true;
  }
  return false;
}

std::size_t FaultDraw::turn(Fault fault, std::size_t count) {
  return turns_[static_cast<std::size_t>(fault)]++ % count;
}

std::size_t FaultDraw::upTo(std::size_t most) {
  return std::uniform_int_distribution<std::size_t>(1, std::max<std::size_t>(1, most))(random_);
}

Micros FaultDraw::wallAhead(Micros now) const {
  Micros out = 0;
  for (const ClockStep& step : plan_.steps) {
    if (now >= step.at) out += step.by;
  }
  return out;
}

}  // namespace heathflow::faultshim
