// All known members, and the rules by which a report about a member replaces what is known of it: SWIM's
// precedence of incarnation numbers and suspicions (Das, Gupta, Motivala: SWIM, DSN 2002, section 4.2), and
// replacement of a process by one of the same name that started later.
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

// Who has sent a report about a member.
enum class ReportSource {
  kMember,  // the member itself
  kGossip,  // another member
};

// The effect of a report on this instance's own membership.
enum class ReportEffect {
  kNone,
  kSuperseded,  // another running process has this instance's name and started later
};

// The entry of this instance and those of all others. Not thread-safe.
class MemberTable {
 public:
  // `seeds`: addresses at which members of the fleet are expected. The references must outlive the table.
  MemberTable(proto::Member self, std::vector<std::string> seeds, GossipQueue& gossip,
              LocalHealth& local_health, DeathVerifier& death_verifier);

  // Applies a report about a member, which may be this instance.
  ReportEffect ApplyReport(TimePoint now, const proto::Member& reported, ReportSource source);
  // Refutes a report that this instance is not alive: raises its incarnation number above the reported one.
  void Refute(proto::Member::State reported_state, std::uint32_t reported_incarnation);

  // Sets the state of a member of `peers()` and queues it as gossip.
  void SetState(TimePoint now, Peer& peer, proto::Member::State state);
  // Suspects a running peer because this instance's own probe of it has failed.
  void Suspect(TimePoint now, Peer& peer);
  // Records the arrival of a packet that the member sent itself, and the digest of its view in it.
  void RecordPacket(TimePoint now, const proto::Member& sender, std::uint64_t view);
  // Moves the start of all suspicions forward by this duration, but not beyond `now`.
  void PostponeSuspicions(TimePoint now, Duration delay);
  // Removes the members that died or left at least `retention` ago; returns their names.
  std::vector<std::string> RemoveExpired(TimePoint now, Duration retention);
  // Marks this instance as having left the fleet.
  void MarkSelfLeft() { self_.set_state(proto::Member::LEFT); }

  const proto::Member& self() const { return self_; }
  const PeerMap& peers() const { return peers_; }
  PeerMap& peers() { return peers_; }
  // Null if there is no peer of this name.
  Peer* Find(const std::string& name);
  const Peer* Find(const std::string& name) const;
  // The number of peers that count as running.
  std::size_t RunningCount() const;
  // Seed addresses at which no member is known.
  const std::vector<std::string>& unheard_seeds() const { return unheard_seeds_; }

  // Number of reports about a running process that has the name of another running one.
  std::uint64_t duplicate_name_reports() const { return duplicate_name_reports_; }
  // Whether another running process has this instance's name and started later.
  bool superseded() const { return superseded_; }

  // Incremented by every change of `peers` or `unheard_seeds`. The arrival of a packet is no such change.
  std::uint64_t change_count() const { return change_count_; }
  // Names of peers that were added, changed or removed since the last call; may contain duplicates.
  std::vector<std::string> DrainChangedNames() { return std::exchange(changed_names_, {}); }
  // Whether the set of running members may have changed since the last call; true on the first call.
  bool DrainRunningChanged() { return std::exchange(running_changed_, false); }

 private:
  ReportEffect ApplyReportOfDuplicate(const proto::Member& reported, ReportSource source);
  void ApplyReportOfPeer(TimePoint now, const proto::Member& reported, ReportSource source);
  // Adds the report's suspector to those of the peer. Returns whether it confirms the known suspicion and its
  // suspector is a new one.
  static bool TryConfirmSuspicion(Peer& peer, const proto::Member& reported);
  void ReplaceEntry(TimePoint now, Peer& peer, const proto::Member& reported, bool is_new_process);
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
