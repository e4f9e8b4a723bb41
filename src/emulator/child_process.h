// A program as a child process, whose log lines are kept with the times at which they were read. The kernel
// kills the child when the process that started it ends.
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
  Micros at = 0;  // when the emulator read it
  std::string text;
};

// Environment variables that a child gets in addition to the emulator's own.
using Environment = std::map<std::string, std::string>;

// Returns the environment of a program whose system calls fail according to a plan (faultshim/fault_plan.h).
// @param library  the path of the heathflow_faults library.
Environment withFaults(const std::string& library, const std::string& plan);

class ChildProcess {
 public:
  // Starts a program with this configuration. Its configuration file is in a folder that is removed with the
  // object. @throws std::runtime_error  if the process can't be started.
  ChildProcess(std::string program, const std::string& config, std::vector<std::string> arguments = {},
               Environment environment = {});
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Writes the configuration file, which the program reads at its start and at SIGHUP.
  void configure(const std::string& config);
  void removeConfiguration();
  void signal(int number);
  // Send SIGSTOP and SIGCONT.
  void pause();
  void resume();
  // Sends SIGKILL and waits for the exit.
  void kill();
  // Sets the environment of the next start.
  void setEnvironment(Environment environment) { environment_ = std::move(environment); }
  // Kills the process if it runs, and starts it again with the current configuration file. Its log continues.
  void restart();

  // Returns the log of all incarnations; if it is long, only the newest part.
  const std::string& log();
  bool says(const std::string& what) { return log().find(what) != std::string::npos; }
  // Stops or resumes reading the log. While it is not read, the pipe holds as little as the system allows, so
  // that the program soon finds it full.
  void setLogUnread(bool unread);
  // Returns the lines of the log of all incarnations; of a very long log, the oldest lines.
  const std::vector<LogEvent>& events();
  // Returns the lines of all incarnations that contain a text.
  std::vector<LogEvent> linesContaining(const std::string& text);
  // Returns the latest value of each counter that the newest incarnation has logged, by "group.name".
  std::map<std::string, std::uint64_t> counters();
  // Returns the address at which the newest incarnation serves; nothing until it has logged its address.
  std::optional<transport::SocketAddress> socketAddress();

  // Returns whether the process has exited.
  bool over();
  // Returns the exit status, or the negated number of the signal that ended the process.
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
  std::string partial_;  // the start of a line whose end has not been read yet
  std::vector<LogEvent> events_;
  std::size_t incarnationBegin_ = 0;  // index of the first event of the newest incarnation
  unsigned incarnations_ = 0;
  bool exited_ = false;
  bool logUnread_ = false;
  int status_ = 0;
  transport::Clock clock_;
};

}  // namespace heathflow::emulator
