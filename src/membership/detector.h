// Who of the gateways is there: failure detection by random probes, suspicion and rumours (SWIM, Das, Gupta
// and Motivala, 2002; own health after "Lifeguard", Dadgar, Phillips and Currey, 2018). A state machine that
// is fed messages and a virtual clock; no socket, no clock of its own. Clocks of gateways need not agree.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/uniform.h"

namespace heathflow::membership {

using Micros = std::int64_t;  // a clock reading or a duration, microseconds

// One life of a gateway: from its start to its end. Later lives of a name have higher numbers.
struct Life {
  std::uint64_t start = 0;  // of its own clock, and never lower than that of an earlier life it has heard of
  std::uint64_t salt = 0;   // drawn at the start: two that live with one name differ
  auto operator<=>(const Life&) const = default;
};

// What is said of a gateway. 'Failed' and 'Left' end a life for good: who is declared failed and lives begins
// a new one.
enum class State : std::uint8_t { Alive, Suspected, Failed, Left };
const char* nameOf(State state);
// Whether that life is over.
inline bool ended(State state) { return state == State::Failed || state == State::Left; }

struct Word {
  std::string name;
  std::string address;  // where it hears
  Life life;
  std::uint32_t number = 0;  // of its refutations in this life
  State state = State::Alive;
  std::string by;  // who suspects; only of a suspicion
};

struct Message {
  enum class Kind : std::uint8_t {
    Ping,      // answer with Ack
    Ack,       // to the ping of this sequence
    Ask,       // ping the target for me, and pass its ack on; if it does not come, say Nack
    Nack,      // I live, but your target did not answer me
    Exchange,  // all that I know; answer with the same
    Exchanged
  } kind = Kind::Ping;
  std::string from;
  std::uint64_t sequence = 0;
  std::string target;         // of Ask, and of an Ack or Nack that was asked for
  std::string targetAddress;  // of Ask
  std::vector<Word> words;
};

struct Sending {
  std::string address;
  Message message;
};

struct Happened {
  enum class Kind { Joined, Suspected, Refuted, Failed, Left, Cut, Healed, Twin, Unsure, Sure } kind;
  std::string name;
};

struct DetectorSettings {
  std::string name;
  std::string address;
  std::vector<std::string> seeds;     // addresses
  Micros period = 1'000'000;          // from probe to probe
  Micros ackWithin = 250'000;         // of a direct probe; the rest of the period is for indirect ones
  unsigned helpers = 3;               // that are asked to probe for us
  double suspicionLeast = 1.0;        // periods for each power of ten of gateways, confirmed by many
  double suspicionMost = 3.0;         // times that, confirmed by nobody
  double retellings = 3.0;            // of a word, for each doubling of gateways
  std::size_t wordsEach = 16;         // in a message
  Micros exchangeEvery = 15'000'000;  // all that is known, with one other
  Micros pause = 500'000;             // a turn that comes so late shows that this gateway stood still
  Micros forgetAfter = 120'000'000;   // those that have ended, and so long their lives are not believed again
  std::uint64_t seed = 1;
};

class Detector {
 public:
  Detector(const DetectorSettings& settings, Micros now);

  // Call no later than this.
  Micros due() const;
  void turn(Micros now, std::vector<Sending>& out);
  void hear(Micros now, const std::string& from, const Message& message, std::vector<Sending>& out);
  // Says that this gateway goes, to as many as a word is told to.
  void leave(Micros now, std::vector<Sending>& out);

  struct Seen {
    State state = State::Alive;
    bool cut = false;  // others reach it and we do not
    Life life;
    Micros since = 0;
  };
  // All others that are known, those that ended lately too.
  std::map<std::string, Seen> view() const;
  std::size_t living() const;  // others, the suspected too
  // Whether this gateway can't judge others: it stood still, or hears from nobody.
  bool unsure() const { return unsure_; }
  // Grows with each change of the view.
  std::uint64_t version() const { return version_; }
  // What has happened since the last call.
  std::vector<Happened> events();
  const Life& life() const { return life_; }
  unsigned health() const { return health_; }

 private:
  struct Peer {
    std::string address;
    Life life;
    std::uint32_t number = 0;
    State state = State::Alive;
    Micros since = 0;
    bool cut = false;
    std::set<std::string> suspectedBy;
    Micros suspectedAt = 0;
  };
  struct Rumour {
    Word word;
    unsigned told = 0;
  };
  struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    Micros askAt = 0;  // others, if it has not answered by then
    Micros endAt = 0;
    bool asked = false;
    unsigned nacks = 0;
    unsigned helpers = 0;
  };
  struct Errand {  // a probe for another
    std::string asker;
    std::uint64_t theirs = 0;
    std::string target;
    Micros until = 0;
  };

  void learn(Micros now, const Word& word);
  void learnOfSelf(Micros now, const Word& word);
  void spread(const Word& word);
  void change(Micros now, const std::string& name, Peer& peer, State state);
  void suspect(Micros now, const std::string& name, Peer& peer, const std::string& by);
  void endSuspicions(Micros now);
  void startProbe(Micros now, std::vector<Sending>& out);
  void exchange(Micros now, std::vector<Sending>& out);
  void ping(const std::string& name, const Peer& peer, std::uint64_t sequence, std::vector<Sending>& out);
  void askHelpers(std::vector<Sending>& out);
  void endProbe(Micros now);
  void acknowledged(Micros now, const Message& message, bool direct, std::vector<Sending>& out);
  void wake(Micros now, Micros missed);
  void sicken() { health_ = health_ < kSickest ? health_ + 1 : kSickest; }
  void recover() { health_ = health_ > 0 ? health_ - 1 : 0; }
  void setUnsure(bool unsure);
  Word ownWord() const;
  Word wordOf(const std::string& name, const Peer& peer) const;
  void send(const std::string& address, Message message, std::vector<Sending>& out);
  std::vector<Word> everything() const;
  Micros suspicionTime(const Peer& peer) const;
  unsigned retellings() const;
  bool isYoung() const;
  double random() { return uniformUnit(random_()); }
  std::vector<std::string> someOf(std::vector<std::string> names, std::size_t count);
  std::vector<std::string> others(const std::string& except) const;  // that are alive

  static constexpr unsigned kSickest = 8;

  DetectorSettings settings_;
  std::mt19937_64 random_;
  Life life_;
  std::uint32_t number_ = 0;
  std::map<std::string, Peer> peers_;
  std::deque<Rumour> rumours_;
  std::vector<std::string> round_;  // whom to probe next, from its back
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Errand> errands_;  // by our sequence
  std::vector<Happened> events_;
  std::uint64_t sequence_ = 0;
  std::uint64_t version_ = 0;
  Micros nextProbe_ = 0;
  Micros nextExchange_ = 0;
  Micros lastTurn_ = 0;
  unsigned health_ = 0;  // 0: well; up to kSickest
  unsigned exchanges_ = 0;
  unsigned unanswered_ = 0;  // probes in a row without any sign of others
  bool unsure_ = false;
  bool left_ = false;
};

}  // namespace heathflow::membership
