// What an old list of endpoints is still worth before the list service has spoken, and what a gateway does
// that dies young again and again. Decisions only.
#pragma once

#include <cstdint>

namespace heathflow::discovery {

using Micros = std::int64_t;

struct BeliefSettings {
  Micros maxPollInterval = 0;  // how long a gateway may go on with a list without asking, by the contract
  Micros listFor = 0;  // beyond this age a list is not used at all: its addresses may be others' by now
  bool healthChecksAllowed = false;  // endpoints can be asked who leads
};

struct Belief {
  bool endpoints = false;  // they may be sent to
  bool roles = false;      // the list's word on who leads counts; else endpoints have to say so themselves
  bool drains = false;     // who drained is left alone
};

// Of a list that was true so long ago. A list from the future (a clock that was set back) is not used.
Belief believe(Micros age, const BeliefSettings& settings);

// A life is young until it has lasted so long.
inline constexpr Micros kYoung = 10'000'000;

// How long the next life waits before it asks others for anything, after so many that died young in a row.
// Nothing after the first: one crash is no loop.
Micros restAfter(unsigned youngDeaths, Micros maxPollInterval);

}  // namespace heathflow::discovery
