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

constexpr const char* kProcessTopic = "process";  // of lines about the process itself

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
  std::uint64_t droppedLines = 0;  // since the last line that was written
};

Writer& writer() {
  static Writer instance;
  return instance;
}

// Returns a text in double quotes, escaped, so that text from clients can't end a line or forge a field.
std::string jsonText(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns a text without control characters, so that text from clients stays within its line.
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

// A writable pipe takes PIPE_BUF bytes without blocking (POSIX); the rest is for the prefix of the line.
constexpr std::size_t kMaxLineLength = PIPE_BUF - 128;

// Returns whether a line can be written without waiting for the log's reader.
bool isWritable() {
  pollfd standardError{STDERR_FILENO, POLLOUT, 0};
  int ready = 0;
  do {
    ready = ::poll(&standardError, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready < 0 || (standardError.revents & POLLOUT) != 0;
}

// Writes a line, or drops it if nobody reads the log: requests must not wait for it.
void writeLine(Writer& out, Level level, std::string line) {
  if (!isWritable()) {
    ++out.droppedLines;
    return;
  }
  if (line.size() > kMaxLineLength) line.resize(kMaxLineLength);
  out.logger->log(level, spdlog::string_view_t(line.data(), line.size()));
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
  Writer& out = writer();
  if (!out.logger->should_log(level)) return;
  if (out.droppedLines > 0 && isWritable()) {
    const std::string notice =
        std::to_string(std::exchange(out.droppedLines, 0)) + " log lines dropped: nobody read the log";
    writeLine(out, Level::warn, lineOf(out.form, kProcessTopic, notice, {}));
  }
  writeLine(out, level, lineOf(out.form, topic, text, context));
}

}  // namespace

Log::Log()
    : Log([] {
        using std::chrono::seconds;
        return std::chrono::duration_cast<seconds>(std::chrono::steady_clock::now().time_since_epoch())
            .count();
      }) {}

void configureLog(const installation::LogSettings& settings) {
  Writer& out = writer();
  out.form = settings.form;
  out.logger = makeLogger(settings.form);
  switch (settings.level) {
    case installation::LogLevel::Trace:
      out.logger->set_level(Level::trace);
      break;
    case installation::LogLevel::Info:
      break;
    case installation::LogLevel::Warning:
      out.logger->set_level(Level::warn);
      break;
    case installation::LogLevel::Error:
      out.logger->set_level(Level::err);
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
    const std::uint64_t suppressed = bucket.suppressed;
    bucket = Bucket{second, 0, 0};
    if (suppressed != 0) {
      write(Level::warn, kTopicNames[index],
            std::to_string(suppressed) + " more lines suppressed by the rate limit", {});
    }
  }
  if (++bucket.lines > linesPerSecond_) {
    ++bucket.suppressed;
    return;
  }
  write(Level::warn, kTopicNames[index], text, context);
}

}  // namespace heathflow::program
