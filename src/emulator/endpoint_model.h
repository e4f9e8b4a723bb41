// A model of an endpoint, without I/O: costs of connections and requests, slow start, replication and role.
// Times are of any one clock.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "emulator/burst_counter.h"
#include "transport/clock.h"

namespace heathflow::emulator {

using transport::Micros;

struct EndpointCosts {
  Micros accept = 500;                    // of every connection, one after the other
  Micros service = 4'000;                 // of a request, in the mean, after the slow start
  unsigned slots = 4;                     // requests that it serves at once
  unsigned queue = 64;                    // requests that wait for a slot
  unsigned connections = 1024;            // at most
  double slowStartInitialShare = 0.2;     // of its speed right after a start
  Micros slowStartDuration = 10'000'000;  // until it has all of it
  Micros lag = 100'000;                   // of a replica behind its primary
};

class EndpointModel {
 public:
  EndpointModel(const EndpointCosts& costs, bool primary, std::uint64_t seed)
      : costs_(costs), primary_(primary), random_(seed), slotFreeAt_(costs.slots) {}

  // Starts it anew, in slow start.
  void start(Micros now);
  void stop(Micros now);
  bool alive() const { return alive_; }
  // The share of its full speed that it has now. One that was up from the beginning has all of it.
  double speedShare(Micros now) const;
  // Requests a second that it can serve now.
  double capacity(Micros now) const;

  struct ConnectResult {
    bool taken = false;  // else it is rejected
    Micros at = 0;       // when it is answered
  };
  ConnectResult connect(Micros now);
  void disconnected();
  unsigned connections() const { return connections_; }
  std::uint64_t connectionsTaken() const { return taken_; }
  std::uint64_t connectionsTurnedAway() const { return turnedAway_; }
  // When connections came in, rejected ones included.
  const BurstCounter& connects() const { return connects_; }

  struct RequestOutcome {
    enum class Kind { Served, Full, NotPrimary } kind = Kind::Served;
    Micros at = 0;        // when it is answered
    Micros position = 0;  // up to when it has applied all commits
  };
  RequestOutcome request(Micros now, bool write);
  // Whether one more request would be served at once.
  bool hasCapacity(Micros now) const;

  bool primary() const { return primary_; }
  void becomePrimary();
  // A replica stops replicating (its primary is down), or resumes.
  void stopReplication(Micros now);
  void resumeReplication();
  Micros position(Micros now) const;

 private:
  EndpointCosts costs_;
  bool primary_;
  std::mt19937_64 random_;
  std::vector<Micros> slotFreeAt_;  // of each slot
  std::deque<Micros> queuedUntil_;  // of each request that waits
  BurstCounter connects_{50'000};
  Micros startedAt_ = 0;
  Micros replicationStoppedAt_ = 0;
  Micros nextAcceptAt_ = 0;
  unsigned connections_ = 0;
  std::uint64_t taken_ = 0;
  std::uint64_t turnedAway_ = 0;
  bool alive_ = true;
};

}  // namespace heathflow::emulator
