// The messages that gateways exchange to detect failures (SWIM), and the resulting events.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace heathflow::membership {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// Identifies one run of a gateway: a new incarnation begins when the process starts, and when the gateway
// learns that it was declared failed by mistake. A later incarnation of the same name compares higher.
struct Incarnation {
  // The start by the gateway's own clock, and later than that of any earlier incarnation it knows of.
  std::uint64_t start = 0;
  std::uint64_t salt = 0;  // random, to distinguish two running gateways of the same name
  auto operator<=>(const Incarnation&) const = default;
};

// 'Failed' and 'Left' end an incarnation for good: a gateway that was declared failed by mistake begins a new
// one.
enum class State : std::uint8_t { Alive, Suspected, Failed, Left };
const char* nameOf(State state);
inline bool hasEnded(State state) { return state == State::Failed || state == State::Left; }

// A gateway's claim about another gateway or about itself.
struct StateUpdate {
  std::string name;
  std::string address;  // at which the gateway receives messages
  Incarnation incarnation;
  std::uint32_t refutations = 0;  // the number of suspicions refuted in this incarnation
  State state = State::Alive;
  std::string suspectedBy;  // only for suspicions
};

struct Message {
  enum class Kind : std::uint8_t {
    Ping,         // answered with Ack
    Ack,          // to the ping of this sequence number
    PingRequest,  // the receiver pings the target and passes its Ack on, or answers with Nack
    Nack,         // the target did not answer the receiver of a PingRequest
    SyncRequest,  // the sender's full state; answered with the receiver's
    SyncResponse
  } kind = Kind::Ping;
  std::string from;
  std::uint64_t sequence = 0;
  std::string target;         // of PingRequest, and of the Ack or Nack in response
  std::string targetAddress;  // of PingRequest
  std::vector<StateUpdate> updates;
};

struct OutgoingMessage {
  std::string address;
  Message message;
};

struct MembershipEvent {
  enum class Kind {
    Joined,
    Suspected,
    Refuted,
    Failed,
    Left,
    DirectPathLost,  // others reach the gateway, but this one does not
    DirectPathRestored,
    DuplicateName,  // another running gateway has this one's name
    ContactLost,    // this gateway can't judge others
    ContactRestored
  } kind;
  std::string name;
};

}  // namespace heathflow::membership
