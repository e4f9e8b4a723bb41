// Resource usage of processes and resources of the machine, mostly from /proc.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

#include "transport/clock.h"

namespace heathflow::emulator {

struct Usage {
  transport::Micros cpuTime = 0;  // user and system time of all running threads
  std::size_t resident = 0;       // current resident memory, bytes
  std::size_t residentMost = 0;   // peak resident memory, bytes
};

// Returns the usage of a running process; all values are 0 if there is none.
Usage usageOf(pid_t process);

// Returns the machine's memory in bytes; 0 if it is not known.
std::size_t machineMemory();
// Returns the load average of the last minute.
double machineLoad();
// Returns a description such as "8 cores of MODEL, 23 GiB".
std::string machineName();

// Returns how many more descriptors this process may open.
std::size_t descriptorsLeft();

}  // namespace heathflow::emulator
