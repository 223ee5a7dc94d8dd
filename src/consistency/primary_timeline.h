// Tracks the primaries of one group over time, and which answered writes a change of primary may have lost.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "consistency/write_watermark.h"

namespace lynxgrade::consistency {

// A time during which one server was the primary without interruption, as far as it was observed. A server
// that became primary again has a term for each time.
struct PrimaryTerm {
  ServerId primary{};
  // First position seen on the timeline of this term.
  LogPosition since{};
  // Newest position at which the primary is known to have been in office.
  LogPosition confirmed{};
  // Position up to which the primary is proven to have replayed the logs of the earlier terms before it took
  // over. Zero: nothing is proven.
  LogPosition replicated_through{};
  bool operator==(const PrimaryTerm&) const = default;
};

// A term as one instance hands it on to another, or to a later process through the disk.
struct PrimaryTermReport {
  PrimaryTerm term;
  // Whether the reporter has proven that no other server was primary between `since` and `confirmed`. If not,
  // the report only says that the server was primary at each of the two.
  bool continuous = false;
  // The term to whose log `replicated_through` refers. Absent: `replicated_through` proves nothing.
  std::optional<PrimaryTerm> predecessor{};
};

// Follows which data server of a group is primary, from the roles and positions that servers report.
//
// Replication between data servers is asynchronous, so answered writes may be lost when a primary fails.
// Positions are commit times: the positions of the successor soon exceed those of the lost writes, although
// the successor does not contain them. A position therefore proves that a write is present only on the
// timeline on which the write was answered.
//
// The history is a list of terms. Two rules decide what an observation proves, given that no successor takes
// over sooner than `min_failover_time` after the last position of its predecessor:
// - Two positions of the same primary less than two failovers apart belong to one term. Between others, terms
//   may have been missed, in which its own writes were lost too.
// - What a replica reports after the successor of the present primary may have taken over proves nothing: it
//   may follow a successor that was missed, and lack what that one lacked. Only a replica that still reports
//   the position which it had before has not followed another primary.
// - A new primary has replayed what it reported as a replica only if its last such report is less than one
//   failover older than its first position as primary; otherwise the same applies.
// Each term after that of a write must be proven to contain the write; otherwise the write may be lost.
//
// Not thread-safe; reads no clock and does no I/O.
class PrimaryTimeline {
 public:
  // `min_failover_time`: the shortest time between a primary's last response as primary and the moment at
  // which its successor takes over.
  explicit PrimaryTimeline(Duration min_failover_time) : min_failover_time_(min_failover_time) {}

  // Handles a report of `server` that it is primary at `position`, which arrived at `received`. Returns
  // whether the report shows a term that was not known, in whose beginning earlier writes may have been lost.
  bool HandlePrimaryPosition(ServerId server, LogPosition position, TimePoint received);
  // Handles a report of `server` that it is a replica and has replayed the log up to `position`. The request
  // to which it responded was sent at `requested`, and the response arrived at `received`. Returns whether
  // the report proves that the replica holds all writes up to `position` that are not lost.
  bool HandleReplicaPosition(ServerId server, LogPosition position, TimePoint requested, TimePoint received);

  // Discards the replica position of a server that has left the group.
  void RemoveServer(ServerId server) { replicas_.erase(server); }

  // Whether the write may have been lost in a change of primary.
  bool MayBeLost(const WriteWatermark& watermark) const;
  // Whether any write that was answered in `interval`, by whichever server, may have been lost.
  bool MayBeLost(const WriteInterval& interval) const;

  // Merges a term that a peer observed or that was recovered from disk, and arrived at `received`. Returns
  // the same as HandlePrimaryPosition.
  bool Merge(const PrimaryTermReport& report, TimePoint received);

  // Removes the terms whose successor took over before `position`, and ignores reports of older ones from
  // then on. Returns the number removed.
  std::size_t ForgetTermsBefore(LogPosition position);

  // The terms to hand on, in ascending order: the present one, and the newest of those that were replaced at
  // or after `oldest`.
  std::vector<PrimaryTermReport> ReportsSince(LogPosition oldest) const;

  // Whether the primary has not been heard for a failover before `position`. After a second one, terms may
  // have been missed by the time it is heard again.
  bool IsUnheardAt(LogPosition position) const;
  // Whether the server, which reports that it is primary at `position`, has been replaced before without
  // having noticed.
  bool IsReplacedAt(ServerId server, LogPosition position) const;

  std::optional<ServerId> primary() const;
  // Of the present term, or zero.
  LogPosition since() const { return terms_.empty() ? LogPosition{} : terms_.back().since; }
  LogPosition replicated_through() const;
  LogPosition confirmed() const { return terms_.empty() ? LogPosition{} : terms_.back().confirmed; }
  // In ascending order; terms do not overlap.
  const std::vector<PrimaryTerm>& terms() const { return terms_; }

 private:
  // Above this the oldest terms are dropped, which rejects more reads than necessary. A group that changes
  // its primary more often than this within the write retention has more serious problems.
  static constexpr std::size_t kMaxTerms = 32;
  // Bounds the size of a packet. A receiver that lacks an older term rejects more reads than necessary.
  static constexpr std::size_t kMaxReportedTerms = 4;
  // A data server refreshes the report on its own state at least this often.
  static constexpr Duration kMaxReportAge{250000};

  struct ReplicaReport {
    LogPosition position{};  // of the newest report that was a proof
    TimePoint requested{};   // when a report of this position was last requested
  };

  // Whether a replica that reported `position` at or before `received` follows the present primary, or one
  // of those between which and the present one no other can have been missed.
  bool FollowsKnownPrimary(LogPosition position, TimePoint received) const;
  // Adds the observation of `server` as primary from `since` to `confirmed` without interruption. Returns
  // whether it is a new term.
  bool AddObservation(ServerId server, LogPosition since, LogPosition confirmed);
  // The same for each of the two positions if the observation contradicts a known term.
  bool AddContradictingObservation(ServerId server, LogPosition since, LogPosition confirmed);
  bool IsWithinOtherTerm(ServerId server, LogPosition since, LogPosition confirmed) const;
  // Inserts a term and joins it with those that it continues. Returns whether it remains a term of its own.
  bool Insert(const PrimaryTerm& term);
  bool JoinWithSuccessors(std::size_t index);
  bool IsOneTerm(const PrimaryTerm& term, const PrimaryTerm& next) const;
  static void Extend(PrimaryTerm& term, const PrimaryTerm& continuation);
  void EraseTerm(std::size_t index);
  void EraseOldestTerm();
  // Records what the new present primary had replayed, if its last report as a replica proves it.
  void ProveReplication(LogPosition position, TimePoint received);
  void AdoptReplication(const PrimaryTermReport& report);
  std::optional<std::size_t> FindTerm(ServerId server, LogPosition position) const;

  Duration min_failover_time_;
  std::vector<PrimaryTerm> terms_;
  bool stepped_down_ = false;  // the present primary has since reported as a replica; no successor was seen
  LogPosition forgotten_before_{};
  std::map<ServerId, ReplicaReport> replicas_;
};

}  // namespace lynxgrade::consistency
