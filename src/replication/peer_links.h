// The table of links to peers. Updates it as membership changes: determines which peers may answer writes,
// which of them receive watermarks, and which writes become unknown when a peer leaves, restarts or shares
// its name with another instance.
//
// Owns the links; free of sockets and clocks. Reports to the consistency guard which peers may answer writes.
// These include dead peers, which may be partitioned from this instance and still answer writes, but not
// peers that have left.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "consistency/session_consistency_guard.h"
#include "membership/swim.h"
#include "replication/incarnation_table.h"
#include "replication/peer_link.h"

namespace lynxgrade::replication {

// Whether this instance uses session leases. Two instances that do send each other no deltas of watermarks.
enum class LeaseMode { kDisabled, kEnabled };

// Members with this protocol version (Member.protocol_version) or a later one use session leases.
inline constexpr std::uint32_t kLeaseProtocolVersion = 2;

class PeerLinks {
 public:
  using Links = std::map<std::string, PeerLink>;  // by member name

  // `swim` and `consistency_guard` must outlive the table. `seed` determines the peer at which rotations
  // begin.
  PeerLinks(membership::Swim& swim, consistency::SessionConsistencyGuard& consistency_guard,
            LeaseMode lease_mode, std::uint64_t seed);

  // Applies the changes of membership since the last call.
  void ApplyMembershipChanges(TimePoint now);
  // Returns the link of a packet's sender, resetting it first if the sender is a new incarnation of the peer.
  // Null if the sender has no link or is an older incarnation that is still running.
  PeerLink* FindSenderLink(TimePoint now, const proto::Member& sender);
  // Reports the `replicated_through` of the peer's link to the consistency guard.
  void MarkReplicated(const std::string& name, const PeerLink& link);
  // Reports that the writes of the peer's earlier incarnations have become known.
  void MarkRecovered(const std::string& name);

  Links& links() { return links_; }
  // The membership entry of a peer that receives deltas of watermarks. Null if the peer does not.
  const proto::Member* WatermarkReceiver(const std::string& name) const;
  bool HasWatermarkReceivers() const { return !watermark_receivers_.empty(); }
  // Whether each peer that is alive either waits for this instance's watermarks or uses session leases, like
  // this instance.
  bool IsTrackedByAllPeers() const;
  // By peer name: the time before which all writes of the peer are known.
  std::map<std::string, TimePoint> ReplicatedThrough() const;

  lease::IncarnationId self_incarnation_id() const { return swim_.self().incarnation_id(); }
  const IncarnationTable& incarnations() const { return incarnations_; }
  bool UsesLeases(const proto::Member& member) const;
  // The address of a live peer other than `excluded` that uses leases, rotating through them. Empty if there
  // is none.
  std::string NextLeasePeer(lease::IncarnationId excluded);
  // A rotating index below `size`, which must not be zero.
  std::size_t NextInRotation(std::size_t size) { return rotation_++ % size; }
  // The time until which no view counts as complete, because two running instances shared a name.
  TimePoint duplicate_name_until() const { return duplicate_name_until_; }

  void OnLog(std::function<void(std::string)> log) { log_ = std::move(log); }

 private:
  // Allowance for the difference between two clocks when a peer reports the start of its incarnation.
  static constexpr Duration kMaxClockSkew{1000000};

  void ApplyMemberChange(TimePoint now, const std::string& name);
  void RemovePeer(const std::string& name);
  void HandleLeave(TimePoint now, const std::string& name, const proto::Member& member);
  void AddLink(TimePoint now, const std::string& name, const proto::Member& member);
  void ResetLink(TimePoint now, const std::string& name, lease::IncarnationId incarnation_id, PeerLink& link);
  void RemoveHeardSeeds();
  void Log(const std::string& line) const {
    if (log_) log_(line);
  }

  membership::Swim& swim_;
  consistency::SessionConsistencyGuard& consistency_guard_;
  LeaseMode lease_mode_;
  std::uint64_t rotation_;
  Links links_;
  std::set<std::string> watermark_receivers_;  // member names
  IncarnationTable incarnations_;
  std::uint64_t applied_changes_ = 0;  // membership's count of changes at the last call
  // Members whose links were reset; they are processed again at the next change of membership.
  std::vector<std::string> reset_names_;
  // By address: peer ids of the seeds from which nothing was received yet. Each may be answering writes.
  std::map<std::string, std::uint64_t> unheard_seed_ids_;
  std::size_t last_unheard_seed_count_ = 0;
  TimePoint duplicate_name_until_{};
  std::function<void(std::string)> log_;
};

}  // namespace lynxgrade::replication
