// The reigns of one group's primaries, as far as roles and positions tell, and which answered writes a change
// of primary may have lost.
//
// Replication is asynchronous: a primary that dies may take answered writes with it, and as positions are
// times its successor's soon pass theirs without holding them. So a position proves a write only on the
// timeline on which the write was answered. Owns that judgement for one group; no clock, no I/O.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "consistency/session_watermark_table.h"

namespace lynxgrade::consistency {

// Writes answered by members other than `successor` in (held, until] may be lost: the successor is known to
// have held all up to `held`, and was first heard as primary at `until`. Without a successor, one that was
// never heard may have lost anybody's.
struct PossibleWriteLoss {
  std::optional<ServerId> successor{};
  LogPosition held{};
  LogPosition until{};
  bool operator==(const PossibleWriteLoss&) const = default;
};

class PrimaryTimeline {
 public:
  // `least_failover`: no successor takes over sooner than this after its predecessor's last answer as
  // primary.
  explicit PrimaryTimeline(Duration min_failover_time) : min_failover_time_(min_failover_time) {}

  // A member answered as primary at `position`, or a write of this position. True where that begins a reign
  // that may have lost writes.
  bool HandlePrimaryPosition(ServerId server, LogPosition position);
  // A member answered as a replica that has applied all up to `position`.
  void HandleReplicaPosition(ServerId server, LogPosition position);

  // How far a replica's word counts: up to here it belongs to the reign that is known. Absent: no primary has
  // been heard yet.
  std::optional<LogPosition> TrustedThrough() const;

  // The member is gone; what it said as a replica proves nothing any more.
  void Drop(ServerId server) { replica_positions_.erase(server); }

  bool MayBeLost(const WriteWatermark& watermark) const;
  // Whether a write answered in (from, to], by whomever, may be lost.
  bool MayBeLost(LogPosition from, LogPosition to) const;

  // What others heard, or was recovered: the reign of `primary` was known at `since` already, with `held`
  // heard before. Narrows a loss of the same successor; otherwise it tells of a reign that was missed
  // here, and returns true.
  bool Learn(ServerId primary, LogPosition since, LogPosition held, LogPosition confirmed);

  // Losses whose writes were answered before `position` are no longer guarded against. How many went.
  std::size_t ForgetLossesBefore(LogPosition position);

  std::optional<ServerId> primary() const { return primary_; }
  LogPosition since() const { return since_; }
  LogPosition held() const { return held_; }
  LogPosition confirmed() const { return confirmed_; }
  const std::vector<PossibleWriteLoss>& losses() const { return losses_; }

 private:
  // A group whose primary changes more often than this within the time of recall has worse troubles; the
  // oldest are merged, which doubts more.
  static constexpr std::size_t kMaxLosses = 32;

  void StartTimeline(ServerId server, LogPosition position);
  void AddLoss(const PossibleWriteLoss& loss);

  Duration min_failover_time_;
  std::optional<ServerId> primary_;
  bool stepped_down_ = false;  // it said that it is none now, and no other was heard yet
  LogPosition since_{};        // first word of the present reign
  LogPosition held_{};         // of its primary, before that
  LogPosition confirmed_{};    // newest word of the present reign
  std::map<ServerId, LogPosition>
      replica_positions_;  // newest word of each as a replica, since it last was primary
  std::vector<PossibleWriteLoss> losses_;
};

}  // namespace lynxgrade::consistency
