// A program as a child process, with its log as events with times. The kernel kills it when the process that
// started it ends.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "standins/temporary_file.h"
#include "transport/clock.h"
#include "transport/fd.h"
#include "transport/socket.h"

namespace heathflow::emulator {

using transport::Micros;

struct LogEvent {
  Micros at = 0;  // when it was read here
  std::string text;
};

// Variables that a child has in addition to those of the emulator.
using Environment = std::map<std::string, std::string>;

// The environment of a program whose system calls fail by a plan (faultshim/fault_plan.h).
// @param library  the file of heathflow_faults.
Environment withFaults(const std::string& library, const std::string& plan);

class ChildProcess {
 public:
  // Starts a program with this configuration, in a folder that is removed with the object.
  ChildProcess(std::string program, const std::string& config, std::vector<std::string> arguments = {},
               Environment environment = {});
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Writes the configuration file, which is read at a start and at SIGHUP.
  void configure(const std::string& config);
  void removeConfiguration();
  void signal(int number);
  // SIGSTOP and SIGCONT.
  void pause();
  void resume();
  // SIGKILL; waits for the exit.
  void kill();
  // Takes effect at the next start.
  void setEnvironment(Environment environment) { environment_ = std::move(environment); }
  // Kills it where it runs, and starts it with the configuration file as it is. Its log goes on.
  void restart();

  // The log of all incarnations, of a long one the newest part.
  const std::string& log();
  bool says(const std::string& what) { return log().find(what) != std::string::npos; }
  // While its log is unread the pipe holds as little as the system allows.
  void setLogUnread(bool unread);
  // The lines of the log.
  const std::vector<LogEvent>& events();
  // The lines of all incarnations that contain a text.
  std::vector<LogEvent> linesContaining(const std::string& text);
  // The newest value of each counter of the newest incarnation, by "group.name".
  std::map<std::string, std::uint64_t> counters();
  // Where the newest incarnation serves; nothing before it logs that.
  std::optional<transport::SocketAddress> socketAddress();

  // Whether it has exited.
  bool over();
  // The exit status, or the negative number of the signal that ended it.
  int status() const;
  pid_t pid() const { return pid_; }
  unsigned incarnations() const { return incarnations_; }

 private:
  void start();
  void readLog();

  std::string program_;
  std::vector<std::string> arguments_;
  Environment environment_;
  test::TemporaryFolder folder_;
  std::string file_;
  pid_t pid_ = -1;
  transport::UniqueFd output_;
  std::string text_;
  std::string partial_;  // a line that has no end yet
  std::vector<LogEvent> events_;
  std::size_t incarnationBegin_ = 0;  // the first event of the newest incarnation
  unsigned incarnations_ = 0;
  bool exited_ = false;
  bool logUnread_ = false;
  int status_ = 0;
  transport::Clock clock_;
};

}  // namespace heathflow::emulator
