// All known members and the rules by which reports about them apply: SWIM's precedence of incarnation numbers
// and suspicions (Das, Gupta, Motivala: SWIM, DSN 2002, section 4.2), and replacement of an earlier process
// of a name by a later one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "membership/death_verifier.h"
#include "membership/gossip_queue.h"
#include "membership/local_health.h"
#include "membership/peer.h"
#include "replication/packet.pb.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// Where a report about a member comes from.
enum class ReportSource {
  kMember,  // the member itself
  kGossip,  // another member
};

// What a report means for this instance itself.
enum class ReportEffect {
  kNone,
  kSuperseded,  // a running process of its name was started later
};

// This instance's own entry, and those of all others.
class MemberTable {
 public:
  // `seeds`: addresses of members to join by. The other arguments outlive the table.
  MemberTable(proto::Member self, std::vector<std::string> seeds, GossipQueue& gossip,
              LocalHealth& local_health, DeathVerifier& death_verifier);

  // Applies what is reported of a member, which may be this instance.
  ReportEffect ApplyReport(TimePoint now, const proto::Member& reported, ReportSource source);
  // Where another member does not hold this instance alive, with the incarnation number that it knows: takes
  // a higher one, which refutes it.
  void Refute(proto::Member::State reported_state, std::uint32_t reported_incarnation);

  // Sets the state of one of `peers()` and queues it as gossip.
  void SetState(TimePoint now, Peer& peer, proto::Member::State state);
  // This instance suspects a running peer on its own evidence.
  void Suspect(TimePoint now, Peer& peer);
  // Notes that a packet of the member itself arrived, sent while it had this view.
  void RecordPacket(TimePoint now, const proto::Member& sender, std::uint64_t view);
  // Moves the start of all suspicions `by` later, to `now` at most.
  void PostponeSuspicions(TimePoint now, Duration by);
  // Removes the members that have been dead, or have left, for as long as `retention`; returns their names.
  std::vector<std::string> RemoveExpired(TimePoint now, Duration retention);
  // This instance leaves the fleet.
  void MarkSelfLeft() { self_.set_state(proto::Member::LEFT); }

  const proto::Member& self() const { return self_; }
  const PeerMap& peers() const { return peers_; }
  PeerMap& peers() { return peers_; }
  // Null where there is no such peer.
  Peer* Find(const std::string& name);
  const Peer* Find(const std::string& name) const;
  // The number of peers that count as running.
  std::size_t RunningCount() const;
  // Seeds at whose address no member has been heard of.
  const std::vector<std::string>& unheard_seeds() const { return unheard_seeds_; }

  // How often a running process with the name of another running one was heard of.
  std::uint64_t duplicate_name_reports() const { return duplicate_name_reports_; }
  // Whether a running process of this instance's name was started later.
  bool superseded() const { return superseded_; }

  // Rises with every change of `peers` or `unheard_seeds`, except that a peer was heard.
  std::uint64_t change_count() const { return change_count_; }
  // Names of peers that were added, changed or removed since the last call, some perhaps repeatedly.
  std::vector<std::string> DrainChangedNames() { return std::exchange(changed_names_, {}); }
  // Whether the members that count as running may have changed since the last call; true on the first.
  bool DrainRunningChanged() { return std::exchange(running_changed_, false); }

 private:
  ReportEffect ApplyReportOfDuplicate(const proto::Member& reported, ReportSource source);
  void ApplyReportOfPeer(TimePoint now, const proto::Member& reported, ReportSource source);
  // Whether the report adds another member that suspects the peer.
  static bool ConfirmsSuspicion(Peer& peer, const proto::Member& reported);
  void Replace(TimePoint now, Peer& peer, const proto::Member& reported, bool is_new_process);
  void RecordChange(const std::string& name);

  proto::Member self_;
  std::vector<std::string> unheard_seeds_;
  GossipQueue& gossip_;
  LocalHealth& local_health_;
  DeathVerifier& death_verifier_;
  PeerMap peers_;
  std::uint64_t duplicate_name_reports_ = 0;
  bool superseded_ = false;
  std::uint64_t change_count_ = 1;
  std::vector<std::string> changed_names_;
  bool running_changed_ = true;
};

}  // namespace lynxgrade::membership
