#include "emulator/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "faultshim/shim.h"

namespace heathflow::emulator {
namespace {

constexpr std::size_t kMaxLogBytes = 4 << 20;
constexpr std::size_t kMaxLogEvents = 50'000;

}  // namespace

Environment withFaults(const std::string& library, const std::string& plan) {
  // The address sanitizer exits unless it is the first library loaded, but also works when loaded after the
  // shim.
  return {{"LD_PRELOAD", library},
          {faultshim::kPlanVariable, plan},
          {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
}

ChildProcess::ChildProcess(std::string program, const std::string& config, std::vector<std::string> arguments,
                           Environment environment)
    : program_(std::move(program)), arguments_(std::move(arguments)), environment_(std::move(environment)) {
  file_ = folder_.path() + "/config.json";
  configure(config);
  start();
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::start() {
  int pipe[2] = {-1, -1};
  if (::pipe2(pipe, O_CLOEXEC) != 0)
    throw std::runtime_error("can't create a pipe for the log of " + program_ + ": " + std::strerror(errno));
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) {
    ::close(pipe[0]);
    ::close(pipe[1]);
    throw std::runtime_error("can't start " + program_ + ": fork() failed");
  }
  if (pid_ == 0) {
    // The kernel kills the child when its parent ends. The parent may have ended before prctl() took effect.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::dup2(pipe[1], STDERR_FILENO);
    ::setenv("NODE_CONFIG", file_.c_str(), 1);
    for (const auto& [name, value] : environment_) ::setenv(name.c_str(), value.c_str(), 1);
    std::vector<char*> words = {program_.data()};
    for (std::string& argument : arguments_) words.push_back(argument.data());
    words.push_back(nullptr);
    ::execv(program_.c_str(), words.data());
    ::_exit(127);
  }
  ::close(pipe[1]);
  output_ = transport::UniqueFd(pipe[0]);
  ::fcntl(output_.get(), F_SETFL, O_NONBLOCK);
  exited_ = logUnread_ = false;
  ++incarnations_;
  incarnationBegin_ = events_.size();
}

void ChildProcess::configure(const std::string& config) { std::ofstream(file_) << config; }
void ChildProcess::removeConfiguration() { std::filesystem::remove(file_); }

void ChildProcess::signal(int number) {
  if (!over()) ::kill(pid_, number);
}
void ChildProcess::pause() { signal(SIGSTOP); }
void ChildProcess::resume() { signal(SIGCONT); }

void ChildProcess::kill() {
  if (over()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, &status_, 0);
  exited_ = true;
  readLog();
}

void ChildProcess::restart() {
  kill();
  if (!partial_.empty()) events_.push_back({clock_.now(), std::exchange(partial_, {})});
  start();
}

void ChildProcess::setLogUnread(bool unread) {
  logUnread_ = unread;
  if (unread) ::fcntl(output_.get(), F_SETPIPE_SZ, 4096);
}

void ChildProcess::readLog() {
  if (logUnread_) return;
  char bytes[4096];
  for (;;) {
    const ssize_t got = ::read(output_.get(), bytes, sizeof bytes);
    if (got <= 0) break;
    text_.append(bytes, static_cast<std::size_t>(got));
    partial_.append(bytes, static_cast<std::size_t>(got));
  }
  if (text_.size() > kMaxLogBytes) text_.erase(0, text_.size() - kMaxLogBytes);
  std::size_t from = 0;
  for (std::size_t end; (end = partial_.find('\n', from)) != std::string::npos; from = end + 1) {
    if (events_.size() < kMaxLogEvents) events_.push_back({clock_.now(), partial_.substr(from, end - from)});
  }
  partial_.erase(0, from);
}

const std::string& ChildProcess::log() {
  readLog();
  return text_;
}

const std::vector<LogEvent>& ChildProcess::events() {
  readLog();
  return events_;
}

std::vector<LogEvent> ChildProcess::linesContaining(const std::string& text) {
  std::vector<LogEvent> out;
  for (const LogEvent& event : events()) {
    if (event.text.find(text) != std::string::npos) out.push_back(event);
  }
  return out;
}

std::map<std::string, std::uint64_t> ChildProcess::counters() {
  std::map<std::string, std::uint64_t> out;
  readLog();
  for (std::size_t i = incarnationBegin_; i < events_.size(); ++i) {
    // The format of a counter line: "heathflow: GROUP: NAME=VALUE NAME=VALUE".
    std::istringstream words(events_[i].text);
    std::string program, group;
    if (!(words >> program >> group) || group.empty() || group.back() != ':') continue;
    group.back() = '.';
    for (std::string word; words >> word;) {
      const std::size_t sign = word.find('=');
      if (sign == std::string::npos || word.find_first_not_of("0123456789", sign + 1) != std::string::npos)
        break;
      out[group + word.substr(0, sign)] = std::strtoull(word.c_str() + sign + 1, nullptr, 10);
    }
  }
  return out;
}

std::optional<transport::SocketAddress> ChildProcess::socketAddress() {
  static const std::string mark = "serves at ";
  readLog();
  for (std::size_t i = incarnationBegin_; i < events_.size(); ++i) {
    const std::size_t at = events_[i].text.find(mark);
    if (at != std::string::npos)
      return transport::parseSocketAddress(events_[i].text.substr(at + mark.size()));
  }
  return {};
}

bool ChildProcess::over() {
  if (!exited_) exited_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
  return exited_;
}

int ChildProcess::status() const { return WIFEXITED(status_) ? WEXITSTATUS(status_) : -WTERMSIG(status_); }

}  // namespace heathflow::emulator
