// The table of links to peers. Follows membership: which peers count for read-your-writes reads, which of
// them take watermarks, and what a peer that leaves, restarts or shares its name with another leaves unknown.
//
// Owns the links; free of sockets and clocks. Tells the consistency guard whose writes count. A dead peer
// still counts, as it may be cut off and go on answering writes; one that has left answers no more.
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

// Whether this instance takes part in session leases. Between two that do no deltas of watermarks are sent.
enum class LeaseMode { kDisabled, kEnabled };

// The version from which on a member takes part in session leases (Member.speaks).
inline constexpr std::uint32_t kLeaseProtocolVersion = 2;

class PeerLinks {
 public:
  using Links = std::map<std::string, PeerLink>;  // by name of the member

  // `swim` and `consistency_guard` must outlive the table. `seed` decides at which peer rotations begin.
  PeerLinks(membership::Swim& swim, consistency::SessionConsistencyGuard& consistency_guard,
            LeaseMode lease_mode, std::uint64_t seed);

  // Takes over what membership has changed since the last call.
  void FollowMembership(TimePoint now);
  // The link of a packet's sender, reset if a new incarnation has replaced the one it was of. Null: the
  // sender is not followed, or is an older incarnation that still runs.
  PeerLink* LinkOfSender(TimePoint now, const proto::Member& sender);
  // The writes of the peer are known up to what its link says.
  void MarkReplicated(const std::string& name, const PeerLink& link);
  // Writes that the peer's earlier incarnations answered are known after all.
  void MarkRecovered(const std::string& name);

  Links& links() { return links_; }
  // The membership entry of a peer that takes deltas of watermarks; null where the peer takes none.
  const proto::Member* WatermarkReceiver(const std::string& name) const;
  bool HasWatermarkReceivers() const { return !watermark_receivers_.empty(); }
  // Whether all peers that are alive wait for this instance's watermarks, or lease sessions from each other.
  bool CountedByAllPeers() const;
  // By name of the peer: its writes answered before this are known here.
  std::map<std::string, TimePoint> ReplicatedThrough() const;

  lease::IncarnationId self_incarnation_id() const { return swim_.self().incarnation_id(); }
  const IncarnationTable& incarnations() const { return incarnations_; }
  bool UsesLeases(const proto::Member& member) const;
  // The address of a live peer that uses leases, a different one at each call; empty where there is none but
  // `excluded`.
  std::string NextLeasePeer(lease::IncarnationId excluded);
  // A number below `size`, the next one at each call; `size` must not be zero.
  std::size_t NextInRotation(std::size_t size) { return rotation_++ % size; }
  // Until then the view of the fleet is uncertain: two running instances shared a name.
  TimePoint name_shared_until() const { return name_shared_until_; }

  void OnLog(std::function<void(std::string)> log) { log_ = std::move(log); }

 private:
  // Allowance for clocks that are set apart, for the start of a peer's incarnation.
  static constexpr Duration kMaxClockSkew{1000000};

  void FollowPeer(TimePoint now, const std::string& name);
  void ForgetPeer(const std::string& name);
  void HandleLeave(TimePoint now, const std::string& name, const proto::Member& member);
  void AddLink(TimePoint now, const std::string& name, const proto::Member& member);
  void ResetLink(TimePoint now, const std::string& name, lease::IncarnationId incarnation_id, PeerLink& link);
  void DropPlaceholders();
  void Log(const std::string& line) const {
    if (log_) log_(line);
  }

  membership::Swim& swim_;
  consistency::SessionConsistencyGuard& consistency_guard_;
  LeaseMode lease_mode_;
  std::uint64_t rotation_;
  Links links_;
  std::set<std::string> watermark_receivers_;  // names
  IncarnationTable incarnations_;
  std::uint64_t followed_changes_ = 0;  // of membership
  // Names to be followed again at the next change of membership, as their links were reset.
  std::vector<std::string> reset_names_;
  // By address, seeds that have not been heard: each may be answering writes already.
  std::map<std::string, std::uint64_t> placeholders_;
  std::size_t followed_unheard_seeds_ = 0;
  TimePoint name_shared_until_{};
  std::function<void(std::string)> log_;
};

}  // namespace lynxgrade::replication
