#include "faultshim/fault_plan.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace heathflow::faultshim {
namespace {

constexpr Micros kMicrosPerMilli = 1000;
constexpr std::array<const char*, kFaultCount> kFaultNames = {
    "short-read", "short-write", "interrupt", "interrupt-io", "socket", "accept",
    "connect",    "create",      "watch",     "break",        "listen", "file-open",
    "file-read",  "file-write",  "file-sync", "file-rename",  "hold-up"};

template <typename T>
std::optional<T> parseNumber(std::string_view text) {
  if (text.starts_with('+')) text.remove_prefix(1);
  T out{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return out;
}

// Returns the text after the first 'separator' and cuts the given text before it. Returns nullopt and leaves
// the text whole if it has no separator.
std::optional<std::string_view> splitAt(std::string_view& text, char separator) {
  const std::size_t at = text.find(separator);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view rest = text.substr(at + 1);
  text = text.substr(0, at);
  return rest;
}

bool parseMillis(std::string_view text, Micros& out) {
  const auto millis = parseNumber<Micros>(text);
  if (!millis) return false;
  out = *millis * kMicrosPerMilli;
  return true;
}

// Parses the part after a fault's name and '=', such as "0.05@1000-2000#3".
bool parseRule(std::string_view text, FaultRule& out) {
  const auto maxCount = splitAt(text, '#');
  auto times = splitAt(text, '@');
  const auto probability = parseNumber<double>(text);
  if (!probability || *probability < 0 || *probability > 1) return false;
  out.probability = *probability;
  if (maxCount) {
    const auto count = parseNumber<std::uint64_t>(*maxCount);
    if (!count) return false;
    out.maxCount = *count;
  }
  if (!times) return true;
  const auto until = splitAt(*times, '-');
  return parseMillis(*times, out.from) && (!until || parseMillis(*until, out.until));
}

bool parseStep(std::string_view text, ClockStep& out) {
  const auto at = splitAt(text, '@');
  return parseMillis(text, out.by) && (!at || parseMillis(*at, out.at));
}

bool parseItem(std::string_view item, FaultPlan& out) {
  const auto value = splitAt(item, '=');
  if (!value) return false;
  if (item == "seed") {
    const auto seed = parseNumber<std::uint64_t>(*value);
    out.seed = seed.value_or(0);
    return seed.has_value();
  }
  if (item == "step") return parseStep(*value, out.steps.emplace_back());
  const auto name = std::find(kFaultNames.begin(), kFaultNames.end(), item);
  if (name == kFaultNames.end()) return false;
  FaultRule rule;
  rule.fault = static_cast<Fault>(name - kFaultNames.begin());
  if (!parseRule(*value, rule)) return false;
  out.rules.push_back(rule);
  return true;
}

}  // namespace

const char* nameOf(Fault fault) { return kFaultNames.at(static_cast<std::size_t>(fault)); }

std::string FaultPlan::text() const {
  std::ostringstream out;
  out << "seed=" << seed;
  for (const FaultRule& rule : rules) {
    out << ';' << nameOf(rule.fault) << '=' << rule.probability << '@' << rule.from / kMicrosPerMilli;
    if (rule.until != 0) out << '-' << rule.until / kMicrosPerMilli;
    if (rule.maxCount != 0) out << '#' << rule.maxCount;
  }
  for (const ClockStep& step : steps)
    out << ";step=" << step.by / kMicrosPerMilli << '@' << step.at / kMicrosPerMilli;
  return out.str();
}

std::optional<FaultPlan> parsePlan(std::string_view text, std::string& problem) {
  FaultPlan out;
  while (!text.empty()) {
    std::string_view item = text;
    text = splitAt(item, ';').value_or(std::string_view());
    if (item.empty() || parseItem(item, out)) continue;
    problem = "invalid item in a fault plan: '" + std::string(item) + "'";
    return std::nullopt;
  }
  return out;
}

FaultSampler::FaultSampler(FaultPlan plan)
    : plan_(std::move(plan)), random_(plan_.seed), countByRule_(plan_.rules.size(), 0) {}

bool FaultSampler::shouldFail(Fault fault, Micros now) {
  for (std::size_t i = 0; i < plan_.rules.size(); ++i) {
    const FaultRule& rule = plan_.rules[i];
    const bool active = now >= rule.from && (rule.until == 0 || now < rule.until);
    const bool available = rule.maxCount == 0 || countByRule_[i] < rule.maxCount;
    if (rule.fault != fault || !active || !available) continue;
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= rule.probability) continue;
    ++countByRule_[i];
    ++injected_[static_cast<std::size_t>(fault)];
    return true;
  }
  return false;
}

std::size_t FaultSampler::nextErrorIndex(Fault fault, std::size_t count) {
  return errorsReturned_[static_cast<std::size_t>(fault)]++ % count;
}

std::size_t FaultSampler::randomUpTo(std::size_t max) {
  return std::uniform_int_distribution<std::size_t>(1, std::max<std::size_t>(1, max))(random_);
}

Micros FaultSampler::wallClockOffset(Micros now) const {
  Micros out = 0;
  for (const ClockStep& step : plan_.steps) {
    if (now >= step.at) out += step.by;
  }
  return out;
}

}  // namespace heathflow::faultshim
