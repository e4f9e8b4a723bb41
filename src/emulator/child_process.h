// The built program as a child process: started, told, paused, killed, started again; its log as events with
// times. Nothing of it stays behind: the kernel ends it with the process that started it, however that ends.
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

// Variables of a child beside those of the emulator.
using Environment = std::map<std::string, std::string>;

// So that a program's system calls fail by a plan (faultshim/fault_plan.h): what it needs in its environment.
// 'library': the file of heathflow_faults.
Environment withFaults(const std::string& library, const std::string& plan);

class ChildProcess {
 public:
  // Starts a program with this configuration; its folder is the child's own and ends with it.
  ChildProcess(std::string program, const std::string& config, std::vector<std::string> arguments = {},
               Environment environment = {});
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // What the configuration's file holds from now on; it is read at a start and at SIGHUP.
  void configure(const std::string& config);
  void removeConfiguration();
  void signal(int number);
  // Stops it where it stands, and lets it go on.
  void pause();
  void resume();
  // Ends it without a word, and waits until it has gone.
  void kill();
  // What its environment holds beside the emulator's from the next start on.
  void setEnvironment(Environment environment) { environment_ = std::move(environment); }
  // Starts it again with the file as it is; its log goes on behind what was there.
  void restart();

  // Everything that it has logged so far, of all its lives. Bounded: of a longer log the newest part.
  const std::string& log();
  bool says(const std::string& what) { return log().find(what) != std::string::npos; }
  // For as long as it is deaf nothing of the log is read, and the pipe holds as little as the system allows.
  void setLogUnread(bool deaf);
  // Its lines, each with the time at which it was read here.
  const std::vector<LogEvent>& events();
  // The newest life's lines and those before it that hold this text.
  std::vector<LogEvent> linesContaining(const std::string& text);
  // The newest word of each counter, by "group.name".
  std::map<std::string, std::uint64_t> counters();
  // Where its newest life serves; nothing before it says so.
  std::optional<transport::SocketAddress> socketAddress();

  bool over();
  // The exit status once it is over; below 0: of the signal that ended it.
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
  std::size_t incarnationBegin_ = 0;  // the first event of the newest life
  unsigned incarnations_ = 0;
  bool exited_ = false;
  bool logUnread_ = false;
  int status_ = 0;
  transport::Clock clock_;
};

}  // namespace heathflow::emulator
