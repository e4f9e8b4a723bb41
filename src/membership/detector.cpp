#include "membership/detector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace heathflow::membership {
namespace {

// So many probes in a row without a sign of anybody, and this gateway doubts itself and not the others.
constexpr unsigned kAlone = 3;
// A young gateway exchanges all that is known so often, and once more for each doubling of gateways.
constexpr double kYoungExchanges = 4;
// This share of exchanges is tried with those that are thought to be gone, or a seed; of a young gateway's
// with a seed.
constexpr double kWithLost = 0.25, kWithSeedYoung = 0.5;
// Others that suspect the same shorten its time to refute, up to so many.
constexpr double kConfirmations = 3;
// Guards memory against errands, rumours and names without end.
constexpr std::size_t kErrandsMost = 1000, kRumoursMost = 20'000, kPeersMost = 20'000;

}  // namespace

const char* nameOf(State state) {
  constexpr const char* kNames[] = {"alive", "suspected", "failed", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

Detector::Detector(const DetectorSettings& settings, Micros now)
    : settings_(settings), random_(settings.seed), lastTurn_(now) {
  life_ = {static_cast<std::uint64_t>(std::max<Micros>(1, now)), random_()};
  // Hundreds that start at once neither probe nor join in the same moment.
  nextProbe_ = now + static_cast<Micros>(random() * static_cast<double>(settings_.period));
  nextExchange_ = now + static_cast<Micros>(random() * static_cast<double>(settings_.period) / 2);
}

Micros Detector::due() const {
  if (left_) return std::numeric_limits<Micros>::max();
  Micros out = std::min(nextProbe_, nextExchange_);
  if (probe_) out = std::min(out, probe_->asked ? probe_->endAt : probe_->askAt);
  for (const auto& [name, peer] : peers_) {
    if (peer.state == State::Suspected) out = std::min(out, peer.suspectedAt + suspicionTime(peer));
  }
  for (const auto& [sequence, errand] : errands_) out = std::min(out, errand.until);
  // Late turns show that this gateway stood still, so that it has to have some.
  return std::min(out, lastTurn_ + settings_.pause / 2);
}

std::size_t Detector::living() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [](const auto& entry) { return !ended(entry.second.state); }));
}

std::map<std::string, Detector::Seen> Detector::view() const {
  std::map<std::string, Seen> out;
  for (const auto& [name, peer] : peers_) out[name] = {peer.state, peer.cut, peer.life, peer.since};
  return out;
}

std::vector<Happened> Detector::events() { return std::exchange(events_, {}); }

bool Detector::isYoung() const {
  return exchanges_ < kYoungExchanges + std::log2(static_cast<double>(living()) + 1);
}

unsigned Detector::retellings() const {
  return static_cast<unsigned>(
      std::ceil(settings_.retellings * std::log2(static_cast<double>(living()) + 2)));
}

// Longer in larger fleets, for a refutation has a longer way; shorter the more others suspect the same.
Micros Detector::suspicionTime(const Peer& peer) const {
  const double powers = std::max(1.0, std::log10(static_cast<double>(living()) + 1));
  const double least = settings_.suspicionLeast * powers * static_cast<double>(settings_.period);
  const double most = settings_.suspicionMost * least;
  const double confirmed = static_cast<double>(peer.suspectedBy.size()) - 1;
  const double share = std::log(std::max(0.0, confirmed) + 1) / std::log(kConfirmations + 1);
  return static_cast<Micros>(std::max(least, most - (most - least) * share));
}

Word Detector::ownWord() const {
  return {settings_.name, settings_.address, life_, number_, left_ ? State::Left : State::Alive, ""};
}

Word Detector::wordOf(const std::string& name, const Peer& peer) const {
  Word out{name, peer.address, peer.life, peer.number, peer.state, ""};
  if (peer.state == State::Suspected && !peer.suspectedBy.empty()) out.by = *peer.suspectedBy.begin();
  return out;
}

// A newer word of a gateway takes the place of an older one.
void Detector::spread(const Word& word) {
  std::erase_if(rumours_, [&](const Rumour& rumour) {
    return rumour.word.name == word.name &&
           (word.state != State::Suspected || rumour.word.by == word.by || rumour.word.life < word.life);
  });
  if (rumours_.size() >= kRumoursMost) rumours_.pop_back();
  rumours_.push_front({word, 0});
}

// With the words that were told least so far.
void Detector::send(const std::string& address, Message message, std::vector<Sending>& out) {
  message.from = settings_.name;
  if (message.words.empty()) {
    message.words.push_back(ownWord());
    const unsigned most = retellings();
    std::stable_sort(rumours_.begin(), rumours_.end(),
                     [](const Rumour& a, const Rumour& b) { return a.told < b.told; });
    for (Rumour& rumour : rumours_) {
      if (message.words.size() >= settings_.wordsEach) break;
      message.words.push_back(rumour.word);
      ++rumour.told;
    }
    std::erase_if(rumours_, [most](const Rumour& rumour) { return rumour.told >= most; });
  }
  out.push_back({address, std::move(message)});
}

std::vector<Word> Detector::everything() const {
  std::vector<Word> out = {ownWord()};
  for (const auto& [name, peer] : peers_) out.push_back(wordOf(name, peer));
  return out;
}

std::vector<std::string> Detector::someOf(std::vector<std::string> names, std::size_t count) {
  std::shuffle(names.begin(), names.end(), random_);
  names.resize(std::min(count, names.size()));
  return names;
}

std::vector<std::string> Detector::others(const std::string& except) const {
  std::vector<std::string> out;
  for (const auto& [name, peer] : peers_) {
    if (peer.state == State::Alive && name != except) out.push_back(name);
  }
  return out;
}

void Detector::setUnsure(bool unsure) {
  if (unsure == unsure_) return;
  unsure_ = unsure;
  events_.push_back({unsure ? Happened::Kind::Unsure : Happened::Kind::Sure, settings_.name});
}

void Detector::change(Micros now, const std::string& name, Peer& peer, State state) {
  if (peer.state == state) return;
  using Kind = Happened::Kind;
  const Kind kind = state == State::Suspected        ? Kind::Suspected
                    : state == State::Failed         ? Kind::Failed
                    : state == State::Left           ? Kind::Left
                    : peer.state == State::Suspected ? Kind::Refuted
                                                     : Kind::Joined;
  peer.state = state;
  peer.since = now;
  if (state != State::Suspected) peer.suspectedBy.clear();
  if (ended(state)) peer.cut = false;
  ++version_;
  events_.push_back({kind, name});
}

// One that stood still accuses nobody of what it missed.
void Detector::wake(Micros now, Micros missed) {
  sicken();
  setUnsure(true);
  probe_.reset();
  errands_.clear();
  for (auto& [name, peer] : peers_) {
    if (peer.state == State::Suspected) peer.suspectedAt += missed;
  }
  nextProbe_ = now;
  nextExchange_ = now;  // and learns what was said meanwhile
}

void Detector::turn(Micros now, std::vector<Sending>& out) {
  if (left_) return;
  const Micros missed = now - lastTurn_;
  lastTurn_ = now;
  if (missed > settings_.pause) wake(now, missed);
  std::erase_if(errands_, [&](const auto& entry) {
    if (entry.second.until > now) return false;
    Message nack;
    nack.kind = Message::Kind::Nack;
    nack.sequence = entry.second.theirs;
    nack.target = entry.second.target;
    const auto asker = peers_.find(entry.second.asker);
    if (asker != peers_.end()) send(asker->second.address, std::move(nack), out);
    return true;
  });
  if (probe_ && !probe_->asked && now >= probe_->askAt) askHelpers(out);
  if (probe_ && now >= probe_->endAt) endProbe(now);
  if (!probe_ && now >= nextProbe_) startProbe(now, out);
  endSuspicions(now);
  if (now >= nextExchange_) exchange(now, out);
  std::erase_if(peers_, [&](const auto& entry) {
    return ended(entry.second.state) && now - entry.second.since > settings_.forgetAfter;
  });
}

// With one that is alive, now and then with one that is thought to be gone, which heals halves that grew
// apart, and with a seed: seeds join what would else be as many islands as there are seeds.
void Detector::exchange(Micros now, std::vector<Sending>& out) {
  const bool alone = living() == 0;
  const bool withLost = random() < kWithLost;
  const bool withSeed = alone || random() < (isYoung() ? kWithSeedYoung : kWithLost);
  std::vector<std::string> addresses;
  if (withSeed) {
    for (const std::string& seed : settings_.seeds) {
      if (seed != settings_.address) addresses.push_back(seed);
    }
  } else {
    const auto gather = [&](auto&& wanted) {
      for (const auto& [name, peer] : peers_) {
        if (peer.state != State::Left && wanted(peer)) addresses.push_back(peer.address);
      }
    };
    gather([&](const Peer& peer) { return (peer.state == State::Failed) == withLost; });
    if (addresses.empty()) gather([](const Peer&) { return true; });
  }
  for (const std::string& address : someOf(addresses, 1)) {
    Message all;
    all.kind = Message::Kind::Exchange;
    all.words = everything();
    send(address, std::move(all), out);
  }
  // Hundreds that join at once learn of each other by halves of all, and not from one seed.
  ++exchanges_;
  const Micros every = alone || isYoung() ? settings_.period : settings_.exchangeEvery;
  nextExchange_ = now + static_cast<Micros>((0.5 + random()) * static_cast<double>(every));
}

// With what is said of it, so that it can refute.
void Detector::ping(const std::string& name, const Peer& peer, std::uint64_t sequence,
                    std::vector<Sending>& out) {
  Message message;
  message.sequence = sequence;
  send(peer.address, std::move(message), out);
  if (peer.state == State::Suspected) out.back().message.words.push_back(wordOf(name, peer));
}

// The next of a round in which each comes once, in an order drawn anew for each.
void Detector::startProbe(Micros now, std::vector<Sending>& out) {
  const Micros period = settings_.period * (1 + health_);
  nextProbe_ = now + period;
  // Each of the suspected hears of it from us until it has refuted or its time is up.
  for (const auto& [name, peer] : peers_) {
    if (peer.state == State::Suspected) ping(name, peer, ++sequence_, out);
  }
  for (unsigned looked = 0; looked < 2; ++looked) {
    while (!round_.empty()) {
      const std::string name = round_.back();
      round_.pop_back();
      const auto found = peers_.find(name);
      if (found == peers_.end() || ended(found->second.state)) continue;
      probe_ = Probe{};
      probe_->target = name;
      probe_->sequence = ++sequence_;
      probe_->askAt = now + settings_.ackWithin * (1 + health_);
      probe_->endAt = now + period - 1;
      return ping(name, found->second, probe_->sequence, out);
    }
    for (const auto& [name, peer] : peers_) {
      if (!ended(peer.state)) round_.push_back(name);
    }
    std::shuffle(round_.begin(), round_.end(), random_);
  }
}

void Detector::askHelpers(std::vector<Sending>& out) {
  probe_->asked = true;
  const auto target = peers_.find(probe_->target);
  if (target == peers_.end()) return;
  ping(probe_->target, target->second, probe_->sequence, out);  // one message alone may have got lost
  for (const std::string& helper : someOf(others(probe_->target), settings_.helpers)) {
    Message ask;
    ask.kind = Message::Kind::Ask;
    ask.sequence = probe_->sequence;
    ask.target = probe_->target;
    ask.targetAddress = target->second.address;
    send(peers_.at(helper).address, std::move(ask), out);
    ++probe_->helpers;
  }
}

void Detector::endProbe(Micros now) {
  const Probe probe = *probe_;
  probe_.reset();
  // Helpers that say nothing either show that it is we who are not heard.
  const bool silence = probe.helpers > 0 && probe.nacks == 0;
  if (silence || probe.nacks < probe.helpers) sicken();
  if (probe.nacks == 0) ++unanswered_;
  if (unanswered_ >= kAlone && (silence || living() > 1)) setUnsure(true);
  const auto found = peers_.find(probe.target);
  if (found == peers_.end() || unsure_) return;
  suspect(now, probe.target, found->second, settings_.name);
}

void Detector::suspect(Micros now, const std::string& name, Peer& peer, const std::string& by) {
  if (ended(peer.state)) return;
  if (peer.state == State::Alive) {
    change(now, name, peer, State::Suspected);
    peer.suspectedAt = now;
  }
  if (peer.suspectedBy.size() > static_cast<std::size_t>(kConfirmations) ||
      !peer.suspectedBy.insert(by).second)
    return;
  Word word = wordOf(name, peer);
  word.by = by;
  spread(word);
}

void Detector::endSuspicions(Micros now) {
  if (unsure_) return;
  for (auto& [name, peer] : peers_) {
    if (peer.state != State::Suspected || now < peer.suspectedAt + suspicionTime(peer)) continue;
    change(now, name, peer, State::Failed);
    spread(wordOf(name, peer));
  }
}

// What is said of this gateway itself: a suspicion is refuted, and after a death that was none a new life
// begins.
void Detector::learnOfSelf(Micros now, const Word& word) {
  if (word.life.salt != life_.salt) {
    // Another life of our name. An earlier one of ours ends by our higher start; one that is told as alive is
    // a twin, unless the word is old.
    if (word.life > life_) {
      if (word.state == State::Alive) events_.push_back({Happened::Kind::Twin, settings_.name});
      life_.start = word.life.start + 1;
      number_ = 0;
      spread(ownWord());
    }
    return;
  }
  if (word.state == State::Alive || left_ || word.life < life_) return;
  if (word.state == State::Suspected) {
    if (word.number < number_) return;
    number_ = word.number + 1;
    sicken();
  } else {
    life_.start =
        std::max<std::uint64_t>(word.life.start + 1, static_cast<std::uint64_t>(std::max<Micros>(0, now)));
    number_ = 0;
  }
  spread(ownWord());
}

// A later life counts above an earlier one, an end above all else in a life, a higher number above a lower
// one, and a suspicion above an equal number.
void Detector::learn(Micros now, const Word& word) {
  if (word.name == settings_.name) return learnOfSelf(now, word);
  const auto known = peers_.find(word.name);
  if (known == peers_.end()) {
    if (peers_.size() >= kPeersMost) return;
    // Of one that is not known an end is no news, but its life must not come back.
    Peer peer;
    peer.address = word.address;
    peer.life = word.life;
    peer.number = word.number;
    peer.since = now;
    peer.state = word.state == State::Suspected ? State::Alive : word.state;
    const auto entry = peers_.emplace(word.name, peer).first;
    ++version_;
    if (peer.state == State::Alive) {
      events_.push_back({Happened::Kind::Joined, word.name});
      round_.insert(
          round_.begin() + static_cast<std::ptrdiff_t>(random() * static_cast<double>(round_.size() + 1)),
          word.name);
    }
    spread(word);
    if (word.state == State::Suspected) suspect(now, word.name, entry->second, word.by);
    return;
  }
  Peer& peer = known->second;
  if (word.life < peer.life) return;
  if (word.life > peer.life) {
    // A new life: whatever was said of the one before is over.
    peer.life = word.life;
    peer.number = word.number;
    peer.address = word.address;
    peer.cut = false;
    peer.suspectedBy.clear();
    const bool wasOver = ended(peer.state);
    if (word.state == State::Suspected) {
      peer.state = State::Alive;
      suspect(now, word.name, peer, word.by);
    } else {
      change(now, word.name, peer, word.state);
    }
    if (wasOver) round_.push_back(word.name);
    ++version_;
    spread(word);
    return;
  }
  if (ended(peer.state)) return;
  switch (word.state) {
    case State::Alive:
      if (word.number <= peer.number) return;
      peer.number = word.number;
      peer.address = word.address;
      change(now, word.name, peer, State::Alive);
      return spread(word);
    case State::Suspected:
      if (word.number < peer.number) return;
      peer.number = word.number;
      return suspect(now, word.name, peer, word.by);
    case State::Failed:
      if (word.number < peer.number) return;  // it has refuted since
      [[fallthrough]];
    case State::Left:
      peer.number = std::max(peer.number, word.number);
      change(now, word.name, peer, word.state);
      return spread(word);
  }
}

void Detector::acknowledged(Micros now, const Message& message, bool direct, std::vector<Sending>& out) {
  if (const auto errand = errands_.find(message.sequence); direct && errand != errands_.end()) {
    Message ack;
    ack.kind = Message::Kind::Ack;
    ack.sequence = errand->second.theirs;
    ack.target = errand->second.target;
    const auto asker = peers_.find(errand->second.asker);
    if (asker != peers_.end()) send(asker->second.address, std::move(ack), out);
    errands_.erase(errand);
    return;
  }
  if (!probe_ || probe_->sequence != message.sequence) return;
  const auto found = peers_.find(probe_->target);
  if (found != peers_.end()) {
    if (direct == found->second.cut) {
      found->second.cut = !direct;
      found->second.since = now;
      ++version_;
      events_.push_back({direct ? Happened::Kind::Healed : Happened::Kind::Cut, probe_->target});
    }
  }
  recover();
  probe_.reset();
}

void Detector::hear(Micros now, const std::string& from, const Message& message, std::vector<Sending>& out) {
  if (left_ || message.from == settings_.name) return;
  // Who is heard from shows that this gateway is not alone.
  unanswered_ = 0;
  setUnsure(false);
  for (const Word& word : message.words) learn(now, word);
  switch (message.kind) {
    case Message::Kind::Ping: {
      Message ack;
      ack.kind = Message::Kind::Ack;
      ack.sequence = message.sequence;
      return send(from, std::move(ack), out);
    }
    case Message::Kind::Ack:
      return acknowledged(now, message, message.target.empty(), out);
    case Message::Kind::Nack:
      if (probe_ && probe_->sequence == message.sequence) ++probe_->nacks;
      return;
    case Message::Kind::Ask: {
      if (errands_.size() >= kErrandsMost) return;
      Message ping;
      ping.sequence = ++sequence_;
      errands_[ping.sequence] = {message.from, message.sequence, message.target, now + settings_.ackWithin};
      return send(message.targetAddress, std::move(ping), out);
    }
    case Message::Kind::Exchange: {
      Message all;
      all.kind = Message::Kind::Exchanged;
      all.words = everything();
      return send(from, std::move(all), out);
    }
    case Message::Kind::Exchanged:
      return;
  }
}

void Detector::leave(Micros, std::vector<Sending>& out) {
  left_ = true;
  for (const std::string& name : someOf(others(""), retellings())) {
    Message bye;
    bye.kind = Message::Kind::Exchanged;
    bye.words = {ownWord()};
    send(peers_.at(name).address, std::move(bye), out);
  }
}

}  // namespace heathflow::membership
