// What gateways send each other to detect failures (SWIM), and what a gateway learns from it.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace heathflow::membership {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// One run of a gateway's process, from its start to its end. A later one of the same name compares higher.
struct Incarnation {
  std::uint64_t start =
      0;  // by the gateway's own clock, and above that of any earlier incarnation it knows of
  std::uint64_t salt = 0;  // random, so that two running gateways of one name differ
  auto operator<=>(const Incarnation&) const = default;
};

// 'Failed' and 'Left' end an incarnation for good: a gateway that was declared failed by mistake begins a new
// one.
enum class State : std::uint8_t { Alive, Suspected, Failed, Left };
const char* nameOf(State state);
inline bool hasEnded(State state) { return state == State::Failed || state == State::Left; }

// What one gateway says about another, or about itself.
struct StateUpdate {
  std::string name;
  std::string address;  // where it receives messages
  Incarnation incarnation;
  std::uint32_t refutations = 0;  // of suspicions in this incarnation
  State state = State::Alive;
  std::string suspectedBy;  // only of a suspicion
};

struct Message {
  enum class Kind : std::uint8_t {
    Ping,         // answered with Ack
    Ack,          // to the ping of this sequence number
    PingRequest,  // the receiver pings the target and passes its Ack on, or answers with Nack
    Nack,         // the target did not answer the receiver of a PingRequest
    SyncRequest,  // everything the sender knows; answered with the same
    SyncResponse
  } kind = Kind::Ping;
  std::string from;
  std::uint64_t sequence = 0;
  std::string target;         // of PingRequest, and of the Ack or Nack that answers it
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
    DirectPathLost,  // others reach the gateway, and this one does not
    DirectPathRestored,
    DuplicateName,  // another running gateway has this one's name
    ContactLost,    // this gateway can't judge others
    ContactRestored
  } kind;
  std::string name;
};

}  // namespace heathflow::membership
