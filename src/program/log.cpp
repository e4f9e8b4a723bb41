#include "program/log.h"

#include <limits.h>
#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace heathflow::program {
namespace {

using installation::LogForm;
using Level = spdlog::level::level_enum;

constexpr std::array<const char*, stats::kTopics> kTopicNames = {"downstream", "upstream",   "discovery",
                                                                 "limits",     "invariants", "requests"};

// Of lines about the process itself.
constexpr const char* kProcessTopic = "process";

std::unique_ptr<spdlog::logger> makeLogger(LogForm form) {
  auto logger =
      std::make_unique<spdlog::logger>("heathflow", std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_level(Level::info);
  logger->flush_on(Level::trace);
  switch (form) {
    case LogForm::Text:
      logger->set_pattern("heathflow: %v");
      break;
    case LogForm::KeyValue:
      logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
      break;
    case LogForm::Json:
      logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":\"%l\",%v}");
      break;
  }
  return logger;
}

struct Writer {
  LogForm form = LogForm::Text;
  std::unique_ptr<spdlog::logger> logger = makeLogger(LogForm::Text);
  std::uint64_t lostLines = 0;  // since the last line that was written
};

Writer& writer() {
  static Writer instance;
  return instance;
}

// A text in double quotes, escaped, so that text from clients can't end a line or forge a field.
std::string jsonText(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Without control characters, so that text from clients stays within its line.
std::string oneLine(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (static_cast<unsigned char>(c) < ' ') c = ' ';
  }
  return out;
}

void addField(std::string& out, LogForm form, std::string_view name, const std::string& value) {
  if (!out.empty()) out += form == LogForm::Json ? "," : " ";
  if (form == LogForm::Json) {
    out += '"';
    out += name;
    out += "\":";
  } else {
    out += name;
    out += '=';
  }
  out += value;
}

// A pipe that is writable takes a write of this size at once (POSIX, PIPE_BUF).
constexpr std::size_t kMaxLineLength = PIPE_BUF - 128;

// Whether a line can be written without waiting for the log's reader.
bool isWritable() {
  pollfd standardError{STDERR_FILENO, POLLOUT, 0};
  int ready = 0;
  do {
    ready = ::poll(&standardError, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready < 0 || (standardError.revents & POLLOUT) != 0;
}

// A log that nobody reads loses lines, for requests must not wait for it.
void writeLine(Writer& to, Level level, std::string line) {
  if (!isWritable()) {
    ++to.lostLines;
    return;
  }
  if (line.size() > kMaxLineLength) line.resize(kMaxLineLength);
  to.logger->log(level, spdlog::string_view_t(line.data(), line.size()));
}

std::string lineOf(LogForm form, const char* topic, const std::string& text,
                   const stats::LogContext& context) {
  std::string line;
  if (form == LogForm::Text) {
    if (topic != kProcessTopic) line = std::string(topic) + ": ";
    line += oneLine(text);
  } else {
    const bool json = form == LogForm::Json;
    addField(line, form, "topic", json ? jsonText(topic) : topic);
    if (context.connection != 0) addField(line, form, "connection", std::to_string(context.connection));
    if (!context.protocol.empty()) {
      addField(line, form, "protocol", json ? jsonText(context.protocol) : std::string(context.protocol));
    }
    if (!context.request.empty()) addField(line, form, "request", jsonText(context.request));
    if (context.family) addField(line, form, "family", std::to_string(*context.family));
    addField(line, form, "text", jsonText(text));
  }
  return line;
}

void write(Level level, const char* topic, const std::string& text, const stats::LogContext& context) {
  Writer& to = writer();
  if (!to.logger->should_log(level)) return;
  if (to.lostLines > 0 && isWritable()) {
    const std::string missing =
        std::to_string(std::exchange(to.lostLines, 0)) + " lines were lost: nobody read the log";
    writeLine(to, Level::warn, lineOf(to.form, kProcessTopic, missing, {}));
  }
  writeLine(to, level, lineOf(to.form, topic, text, context));
}

}  // namespace

Log::Log()
    : Log([] {
        using std::chrono::seconds;
        return std::chrono::duration_cast<seconds>(std::chrono::steady_clock::now().time_since_epoch())
            .count();
      }) {}

void configureLog(const installation::LogSettings& settings) {
  Writer& to = writer();
  to.form = settings.form;
  to.logger = makeLogger(settings.form);
  switch (settings.level) {
    case installation::LogLevel::Trace:
      to.logger->set_level(Level::trace);
      break;
    case installation::LogLevel::Info:
      break;
    case installation::LogLevel::Warning:
      to.logger->set_level(Level::warn);
      break;
    case installation::LogLevel::Error:
      to.logger->set_level(Level::err);
      break;
  }
}

void logLine(const std::string& text) { write(Level::info, kProcessTopic, text, {}); }

void Log::trace(stats::Topic topic, const std::string& text, const stats::LogContext& context) {
  write(Level::trace, kTopicNames[static_cast<std::size_t>(topic)], text, context);
}

void Log::log(stats::Topic topic, const std::string& text, const stats::LogContext& context) {
  const auto index = static_cast<std::size_t>(topic);
  Bucket& bucket = buckets_[index];
  const std::int64_t second = seconds_();
  if (bucket.second != second) {
    const std::uint64_t dropped = bucket.dropped;
    bucket = Bucket{second, 0, 0};
    if (dropped != 0) {
      write(Level::warn, kTopicNames[index], std::to_string(dropped) + " more lines were left out", {});
    }
  }
  if (++bucket.lines > linesPerSecond_) {
    ++bucket.dropped;
    return;
  }
  write(Level::warn, kTopicNames[index], text, context);
}

}  // namespace heathflow::program
