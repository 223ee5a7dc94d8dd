// Tracks the primaries of one group over time, and which answered writes a change of primary may have lost.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "consistency/write_watermark.h"

namespace lynxgrade::consistency {

// Writes in (after, through] that a server other than `successor` answered may be lost.
struct PossibleWriteLoss {
  // The primary that took over. Absent if it was never seen: then writes of every server may be lost.
  std::optional<ServerId> successor{};
  // Position up to which the successor is known to have replayed the log before it took over.
  LogPosition after{};
  // Position at which the successor was first seen as primary.
  LogPosition through{};
  bool operator==(const PossibleWriteLoss&) const = default;
};

// Follows which data server of a group is primary, from the roles and positions that servers report.
//
// Replication between data servers is asynchronous, so answered writes may be lost when a primary fails.
// Positions are commit times: the positions of the successor soon exceed those of the lost writes, although
// the successor does not contain them. A position therefore proves that a write is present only on the
// timeline on which the write was answered.
//
// Not thread-safe; reads no clock and does no I/O.
class PrimaryTimeline {
 public:
  // `min_failover_time`: the shortest time between a primary's last response as primary and the moment at
  // which its successor takes over.
  explicit PrimaryTimeline(Duration min_failover_time) : min_failover_time_(min_failover_time) {}

  // Handles a report of `server` that it is primary at `position`. Returns whether the report starts a new
  // timeline, on which earlier writes may be missing.
  bool HandlePrimaryPosition(ServerId server, LogPosition position);
  // Handles a report of `server` that it is a replica and has replayed the log up to `position`.
  void HandleReplicaPosition(ServerId server, LogPosition position);

  // The newest replica position that is certain to belong to the present timeline. A later one may belong to
  // the timeline of a successor that has not been seen yet. Absent until a primary has been seen.
  std::optional<LogPosition> MaxTrustedPosition() const;

  // Discards the replica position of a server that has left the group.
  void RemoveServer(ServerId server) { replica_positions_.erase(server); }

  // Whether the write may have been lost in a change of primary.
  bool MayBeLost(const WriteWatermark& watermark) const;
  // Whether any write that was answered in `interval`, by whichever server, may have been lost.
  bool MayBeLost(const WriteInterval& interval) const;

  // Merges a timeline that a peer observed or that was recovered from disk: `primary` was first seen as
  // primary at `since`, had replayed the log up to `replicated_through` before that, and was last seen as
  // primary at `confirmed`. If this instance has seen the same change of primary, narrows its possible
  // losses. Returns whether the timeline is a new one for this instance.
  bool Merge(ServerId primary, LogPosition since, LogPosition replicated_through, LogPosition confirmed);

  // Removes the losses whose writes were all answered before `position`. Returns the number removed.
  std::size_t ForgetLossesBefore(LogPosition position);

  std::optional<ServerId> primary() const { return primary_; }
  // First position seen on the present timeline.
  LogPosition since() const { return since_; }
  // Position up to which its primary had replayed the log before that.
  LogPosition replicated_through() const { return replicated_through_; }
  // Newest position seen on the present timeline.
  LogPosition confirmed() const { return confirmed_; }
  const std::vector<PossibleWriteLoss>& losses() const { return losses_; }

 private:
  // Above this the oldest losses are merged into one, which rejects more reads than necessary. A group that
  // changes its primary more often than this within the write retention has more serious problems.
  static constexpr std::size_t kMaxLosses = 32;

  void StartTimeline(ServerId server, LogPosition position);
  void AddLoss(const PossibleWriteLoss& loss);
  // Records the newest position that the server reported as a replica.
  void RaiseReplicaPosition(ServerId server, LogPosition position);

  Duration min_failover_time_;
  std::optional<ServerId> primary_;
  bool stepped_down_ = false;  // the primary has since reported as a replica; no successor was seen yet
  LogPosition since_{};
  LogPosition replicated_through_{};
  LogPosition confirmed_{};
  std::map<ServerId, LogPosition> replica_positions_;  // newest of each server since it last was primary
  std::vector<PossibleWriteLoss> losses_;
};

}  // namespace lynxgrade::consistency
