// Which other instances there are: SWIM (Das, Gupta, Motivala: SWIM, DSN 2002) with suspicion and
// incarnations, and what Lifeguard adds (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for
// More Accurate Failure Detection", 2018): an instance that may itself be slow or cut off waits longer before
// it accuses, and an accusation that nobody confirms waits longer before it counts.
//
// Owns the table of members and what is to be told of them; free of sockets and clocks. Every period one
// member is pinged, in a shuffled round; who does not answer in time is asked for by others, then suspected,
// then held dead. Dead members and seeds that were never heard are pinged now and then as well, so that a cut
// heals by itself.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/quorum_tracker.h"
#include "replication/packet.pb.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

struct OutgoingPacket {
  std::string address;
  proto::Packet packet;
};

class Swim {
 public:
  static constexpr std::uint32_t kKnowsDedicatedLeaseManagers = 2;  // Member.understands
  static constexpr std::uint32_t kRelaysLeaseMessages = 4;          // likewise
  struct Options {
    Duration period{200000};   // one probe each
    std::uint32_t speaks = 1;  // what this life says that it understands: peers.proto
    int indirect = 3;          // members asked to ping one that does not answer
    double suspicion = 3;      // periods times log10 of the number of members, at least this many
    double unconfirmed = 6;    // times that, until others have confirmed it; 1: Lifeguard's part is off
    int confirmations = 3;     // others that say so too, after which nothing is added
    // Periods: whoever was heard that lately is asked before it is held dead. So few of a large fleet that
    // asking them is no storm; 0: off.
    int ask_lately = 15;
    bool repeat = true;    // a ping that is not answered is sent again, twice within its period
    int most_doubt = 8;    // periods and waits are longer by up to so many times; 0: off
    std::size_t size = 1;  // of the fleet, this instance included
    // What an answer proves of its sender counts for so many times as long as words take to reach all.
    int proof_spreads = 3;
    bool proven = true;          // parts are proven; false: claimed by those seen, for comparison
    Duration forget{600000000};  // dead and left members, after so long
    std::uint32_t understands =
        kKnowsDedicatedLeaseManagers | kRelaysLeaseMessages;  // bits of Member.understands
    // This life is set aside to own sessions for all. Such owners count only in a view all of whose lives
    // understand them, and its digest names them.
    bool owns = false;
    bool owners_named = true;  // that rule; taken out by tests alone: it makes stale reads possible
  };
  struct Peer {
    proto::Member member;
    TimePoint changed{};               // its state, here
    std::set<std::uint64_t> accusers;  // lives that suspect it by themselves
    TimePoint heard{};                 // by a packet of its own; zero: never
    std::uint64_t view = 0;            // of it, as it last said
    // Of pings that it answered itself and at once, smoothed; absent: there was none yet.
    std::optional<Duration> round_trip{};
  };

  // `self` names this life; `seeds` are addresses to join by.
  Swim(Options options, proto::Member self, std::vector<std::string> seeds, std::uint64_t seed);

  // To be called every few milliseconds; `out` gets what is to be sent.
  void Tick(TimePoint now, std::vector<OutgoingPacket>& out);
  // A packet that was sent by the member that it names; its sender stands in the packet.
  void HandlePacket(TimePoint now, const std::string& from, const proto::Packet& packet,
                    std::vector<OutgoingPacket>& out);
  // Tells all that this instance leaves by its own will.
  void Leave(TimePoint now, std::vector<OutgoingPacket>& out);
  // Adds the sender and the rumours that have been told least to a packet that goes out anyway.
  void AddSenderAndGossip(proto::Packet& packet);

  const proto::Member& self() const { return self_; }
  const std::map<std::string, Peer>& peers() const { return peers_; }
  // Seeds at whose address nobody has been heard.
  const std::vector<std::string>& unheard_seeds() const { return unheard_; }
  // How often two lives of one name were heard of that both run: two instances share it.
  std::uint64_t duplicate_name_reports() const { return conflicts_; }
  // Rises whenever what `peers` or `unheard_seeds` tell changes but for when a peer was heard.
  std::uint64_t changes() const { return changes_; }
  // Names of those in `peers` that came, changed or went since the last call; some perhaps more than once.
  std::vector<std::string> DrainChangedNames() { return std::exchange(changed_, {}); }
  // Whether a later-started one of its name runs, as far as this instance has heard: it stands aside.
  bool superseded() const { return aside_; }
  // How far this instance doubts itself: 0, or by how many times its periods and waits are longer.
  int local_health_multiplier() const { return doubt_; }
  // How often it found that it had stood still, and what it then took back or put off.
  std::uint64_t stalls() const { return stalls_; }
  // For how long an answer proves what its sender stood by.
  Duration acknowledgement_validity() const;
  // Whose state another instance held otherwise, in its last roll: by its name, names of members.
  const std::map<std::string, std::vector<std::string>>& differences() const { return differences_; }
  // How large a part of the fleet this instance is with, at a clock time not before the last call's.
  membership::QuorumTracker::Assessment QuorumStateAt(TimePoint now) { return quorum_tracker_.Assess(now); }
  const membership::QuorumTracker& quorum_tracker() const { return quorum_tracker_; }
  // Lives of the view as last seen that own sessions for all of it; empty: nobody is set aside in it. The
  // same for all who have that view.
  const std::vector<std::uint64_t>& dedicated_lease_managers() const { return owners_; }
  const Options& options() const { return options_; }

 private:
  static constexpr int kRumoursAPacket = 6;
  static constexpr double kTellings = 3;  // times log2 of the number of members, for each rumour
  struct Probe {
    std::string name;
    std::uint64_t nonce = 0;
    TimePoint sent{};
    bool asked = false;
    bool repeated = false;
    int helpers = 0;  // asked, of those that say when they had no answer either
    int nacks = 0;
  };
  struct Relay {
    std::string address;
    std::uint64_t nonce = 0;
    TimePoint until{};
    TimePoint nack_at{};
    std::uint64_t view = 0;            // of the one that asks
    std::uint64_t incarnation_id = 0;  // and its own
    bool claims_suffice = false;
    bool nacked = false;
  };

  void Heard(TimePoint now, const proto::Member& member, bool directly);
  void MetNamesake(TimePoint now, const proto::Member& member, bool directly);
  void Set(TimePoint now, Peer& peer, proto::Member::State state);
  void Tell(const std::string& name);
  void CondemnSuspects(TimePoint now);  // the suspects whose time has run out
  void ForgetGone(TimePoint now);
  // Asks others for the one that does not answer, and asks it again.
  void PressProbe(TimePoint now, std::vector<OutgoingPacket>& out);
  void EndProbe(TimePoint now);
  // Nothing that fell due while the process stood still is held against anybody.
  void StoodStill(TimePoint now, Duration stall);
  void Doubt(int by);
  // How long a suspicion waits before it counts.
  Duration Patience(const Peer& peer) const;
  // Whether a member that is to be held dead is asked before that.
  bool AskFirst(TimePoint now, const Peer& peer, const proto::Member& told);
  // Asks those of whom a death was told though they were heard here not long ago; who is silent is dead.
  void AskAccused(TimePoint now, std::vector<OutgoingPacket>& out);
  void NackRelays(TimePoint now, std::vector<OutgoingPacket>& out);
  void BeginProbe(TimePoint now, std::vector<OutgoingPacket>& out);
  // The next of this round who is not held dead, if any is left.
  bool ProbeNext(TimePoint now, std::vector<std::string>& round, std::vector<OutgoingPacket>& out);
  // `about`: a member whose news goes with it in any case; the pinged one, where it is thought ill of.
  void Ping(const std::string& address, std::uint64_t nonce, std::vector<OutgoingPacket>& out,
            const Peer* about = nullptr);
  std::size_t Living() const;
  void Look(TimePoint now);
  void LookForOwners();
  // What an answer tells of others' words to the life `asker`, whose view is `view`.
  void AddWords(TimePoint now, std::uint64_t asker, std::uint64_t view, bool claims_suffice,
                proto::Packet& packet) const;
  // The word of an answer to the ping that is out, and what it tells of others.
  void TakeWords(const proto::Packet& packet);
  // What the answer to the ping that is out tells of the way to its sender.
  void TimeAnswer(TimePoint now, const proto::Packet& packet);
  // The sender has another view: tells it what is held here, once in a while.
  void CompareViews(TimePoint now, const std::string& from, const proto::Packet& packet,
                    std::vector<OutgoingPacket>& out);
  void TakeRoll(TimePoint now, const std::string& from, const proto::Packet& packet,
                std::vector<OutgoingPacket>& out);
  void PingDead(TimePoint now, std::vector<OutgoingPacket>& out);

  Options options_;
  proto::Member self_;
  std::vector<std::string> unheard_;
  std::mt19937_64 random_;
  std::map<std::string, Peer> peers_;
  std::map<std::string, int> rumours_;  // by member, how often told
  std::vector<std::string> round_, block_round_;
  bool block_next_ = false;  // whose turn it is, of the two
  // Of those that are known, as of the last look: without any of a kind nobody walks over all for them.
  std::size_t suspects_ = 0, gone_ = 0;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Relay> relays_;
  TimePoint next_{};
  std::size_t next_seed_ = 0;
  TimePoint next_dead_{};
  std::uint64_t conflicts_ = 0;
  bool aside_ = false;
  std::uint64_t changes_ = 1;
  std::vector<std::string> changed_;
  int doubt_ = 0;
  TimePoint now_{};
  TimePoint ticked_{};
  membership::QuorumTracker quorum_tracker_;
  std::vector<std::uint64_t> owners_;
  bool moved_ = true;  // who is in reach may have changed since the view was last taken
  std::uint64_t stalls_ = 0;
  std::map<std::string, std::vector<std::string>> differences_;
  // One part of what is held is told a period, whoever differs: after a cut all differ from all.
  TimePoint next_roll_{};
  std::uint64_t roll_from_ = 0;  // life at which the next part begins
  struct Accusation {
    proto::Member told;
    TimePoint at{};
    bool asked = false;
  };
  std::map<std::string, Accusation> accused_;  // dead by hearsay, but heard here not long ago
  int asked_ = 0;                              // in this period, of those held dead here and alive elsewhere
};

}  // namespace lynxgrade::membership
