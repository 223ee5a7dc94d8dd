// The succession of primaries of one group, and which answered writes a change of primary may have lost.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "consistency/write_watermark.h"

namespace lynxgrade::consistency {

// Writes in (after, through] that were answered by other servers than `successor` may be lost.
struct PossibleWriteLoss {
  // The primary that took over. Absent if it was never seen: then writes answered by any server may be lost.
  std::optional<ServerId> successor{};
  // The successor is known to have replayed the log up to here before it took over.
  LogPosition after{};
  // Where the successor was first seen as primary.
  LogPosition through{};
  bool operator==(const PossibleWriteLoss&) const = default;
};

// Follows which data server of a group is primary, from the roles and positions that servers report.
//
// Replication between data servers is asynchronous, so a primary that fails may take answered writes with it.
// Positions are commit times: those of its successor soon exceed theirs without containing them. A position
// therefore proves that a write is present only on the timeline on which the write was answered.
//
// Not thread-safe; reads no clock and does no I/O.
class PrimaryTimeline {
 public:
  // `min_failover_time`: no server takes over sooner than this after its predecessor's last answer as
  // primary.
  explicit PrimaryTimeline(Duration min_failover_time) : min_failover_time_(min_failover_time) {}

  // A server reported `position` as primary. Returns whether that starts a timeline, on which earlier writes
  // may have been lost.
  bool HandlePrimaryPosition(ServerId server, LogPosition position);
  // A server reported as a replica that it has replayed the log up to `position`.
  void HandleReplicaPosition(ServerId server, LogPosition position);

  // A replica's position up to here belongs to the present timeline; a later one may be of a successor that
  // is not known yet. Absent until a primary has been seen.
  std::optional<LogPosition> TrustedThrough() const;

  // The server has left the group: its positions as a replica prove nothing any more.
  void RemoveServer(ServerId server) { replica_positions_.erase(server); }

  bool MayBeLost(const WriteWatermark& watermark) const;
  // Whether a write that any server answered in `interval` may be lost.
  bool MayBeLost(const WriteInterval& interval) const;

  // What a peer observed, or what was recovered: `primary` was primary at `since` already, had replayed the
  // log up to `replicated_through` before, and was last seen as primary at `confirmed`. Narrows the losses of
  // a change that is known here. Returns whether it starts a timeline that was not seen here.
  bool Merge(ServerId primary, LogPosition since, LogPosition replicated_through, LogPosition confirmed);

  // Drops the losses of writes that were all answered before `position`. Returns how many.
  std::size_t ForgetLossesBefore(LogPosition position);

  std::optional<ServerId> primary() const { return primary_; }
  // First position seen on the present timeline.
  LogPosition since() const { return since_; }
  // How far its primary had replayed the log before that.
  LogPosition replicated_through() const { return replicated_through_; }
  // Newest position seen on the present timeline.
  LogPosition confirmed() const { return confirmed_; }
  const std::vector<PossibleWriteLoss>& losses() const { return losses_; }

 private:
  // Beyond this the oldest losses are merged into one, which rejects more reads than needed.
  static constexpr std::size_t kMaxLosses = 32;

  void StartTimeline(ServerId server, LogPosition position);
  void AddLoss(const PossibleWriteLoss& loss);
  // Records the newest position that the server reported as a replica.
  void RaiseReplicaPosition(ServerId server, LogPosition position);

  Duration min_failover_time_;
  std::optional<ServerId> primary_;
  bool stepped_down_ = false;  // the primary has reported as a replica, and no successor was seen yet
  LogPosition since_{};
  LogPosition replicated_through_{};
  LogPosition confirmed_{};
  std::map<ServerId, LogPosition> replica_positions_;  // newest of each server since it was last primary
  std::vector<PossibleWriteLoss> losses_;
};

}  // namespace lynxgrade::consistency
