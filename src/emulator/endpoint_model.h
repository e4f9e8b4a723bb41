// A model of an endpoint, without I/O: costs of connections and requests, slow start, replication and role.
// All times are of one clock, whichever it is.
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
  Micros accept = 500;                    // time to accept a connection, one after the other
  Micros service = 4'000;                 // mean time to serve a request at full speed
  unsigned slots = 4;                     // requests served at the same time
  unsigned queue = 64;                    // most requests that wait for a slot
  unsigned connections = 1024;            // most open connections
  double slowStartInitialShare = 0.2;     // share of the full speed right after a start
  Micros slowStartDuration = 10'000'000;  // time from a start until full speed
  Micros lag = 100'000;                   // of a replica behind its primary
};

class EndpointModel {
 public:
  EndpointModel(const EndpointCosts& costs, bool primary, std::uint64_t seed)
      : costs_(costs), primary_(primary), random_(seed), slotFreeAt_(costs.slots) {}

  // Starts the endpoint without connections and queued requests, in slow start.
  void start(Micros now);
  void stop(Micros now);
  bool alive() const { return alive_; }
  // Returns the current share of the full speed; 1 if the endpoint has been up from the beginning.
  double speedShare(Micros now) const;
  // Returns how many requests per second the endpoint can serve now.
  double capacity(Micros now) const;

  struct ConnectResult {
    bool accepted = false;  // otherwise it is rejected
    Micros at = 0;          // when it is answered
  };
  ConnectResult connect(Micros now);
  void disconnected();
  unsigned connections() const { return connections_; }
  std::uint64_t connectionsAccepted() const { return accepted_; }
  std::uint64_t connectionsRejected() const { return rejected_; }
  // The times at which connections came in, rejected ones included.
  const BurstCounter& connects() const { return connects_; }

  struct RequestOutcome {
    enum class Kind { Served, Full, NotPrimary } kind = Kind::Served;
    Micros at = 0;        // when it is answered
    Micros position = 0;  // the endpoint has applied all commits up to this time
  };
  RequestOutcome request(Micros now, bool write);
  // Returns whether one more request would be served at once.
  bool hasCapacity(Micros now) const;

  bool primary() const { return primary_; }
  void becomePrimary();
  // A replica stops replicating because its primary is down, or resumes.
  void stopReplication(Micros now);
  void resumeReplication();
  // Returns the time up to which the endpoint has applied all commits.
  Micros position(Micros now) const;

 private:
  EndpointCosts costs_;
  bool primary_;
  std::mt19937_64 random_;
  std::vector<Micros> slotFreeAt_;  // by slot
  std::deque<Micros> queuedUntil_;  // by waiting request: when a slot is free for it
  BurstCounter connects_{50'000};
  Micros startedAt_ = 0;
  Micros replicationStoppedAt_ = 0;
  Micros nextAcceptAt_ = 0;
  unsigned connections_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t rejected_ = 0;
  bool alive_ = true;
};

}  // namespace heathflow::emulator
