// Resources that a process uses, and those of the machine, from the records of the system.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

#include "transport/clock.h"

namespace heathflow::emulator {

struct Usage {
  transport::Micros processor = 0;  // of all its threads, user and system
  std::size_t resident = 0;         // bytes, now
  std::size_t residentMost = 0;     // bytes, the peak
};

// Of a running process; all 0 where there is none.
Usage usageOf(pid_t process);

// All memory of the machine, bytes.
std::size_t machineMemory();
// The mean number of runnable tasks over the last minute.
double machineLoad();
// "8 cores of MODEL, 23 GiB".
std::string machineName();

// How many more descriptors this process may open.
std::size_t descriptorsLeft();

}  // namespace heathflow::emulator
