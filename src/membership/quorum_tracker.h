// Proves how much of the fleet shares this instance's view.
//
// A network partition cannot be distinguished from crashes, so a view is compared with the configured size of
// the fleet, never with the number of instances seen. In each answer to a ping an instance acknowledges one
// view or none. After a change of its view it acknowledges none until its former acknowledgements have
// expired. So each instance counts for at most one view at a time, whichever links are cut, and two views
// never have a majority at the same time.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "membership/quorum_state.h"
#include "membership/view_acknowledgements.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// Not thread-safe; uses no sockets and no clock. Times passed to it are those of one clock and never
// decrease. May be copied, for an assessment that leaves the original unchanged.
class QuorumTracker {
 public:
  struct Options {
    std::uint64_t self = 0;                       // incarnation id of this instance
    std::size_t fleet_size = 1;                   // configured number of instances, this one included
    Duration validity = std::chrono::seconds(5);  // of an acknowledgement, from when its ping was sent
    bool acknowledgements_required = true;        // false: members of the view count without one
  };
  static constexpr int kAgeUnits = ViewAcknowledgements::kAgeUnits;
  static constexpr unsigned char kNoAcknowledgement = ViewAcknowledgements::kNoAcknowledgement;

  // The result of an assessment.
  struct Assessment {
    QuorumState state = QuorumState::kUnknown;
    TimePoint since{};  // time of the first assessment that had this state
    // When the proof of the majority expires. Absent without a majority, and in a fleet of one.
    std::optional<TimePoint> majority_until{};
    std::uint64_t view = 0;  // digest of the assessed view
  };

  // The state is unknown from `now` until the acknowledgements of an earlier process of this instance have
  // expired.
  QuorumTracker(Options options, TimePoint now);

  // Sets the current view. `incarnation_ids` are in ascending order and include this instance's; views with
  // the same digest have the same members.
  void UpdateView(TimePoint now, std::uint64_t digest, const std::vector<std::uint64_t>& incarnation_ids);
  // To be called when the process resumes at `now` after a pause. Discards all acknowledgements, as the
  // others may have agreed on another view meanwhile, and acknowledges none until its own former ones have
  // expired.
  void ResetAfterPause(TimePoint now);

  // Records the answer of an instance to a ping sent at `pinged_at`. `acknowledged_view` is the digest of the
  // view that it acknowledges; zero: it acknowledges none.
  void RecordAcknowledgement(std::uint64_t incarnation_id, TimePoint pinged_at,
                             std::uint64_t acknowledged_view);
  // Merges the ages of acknowledgements that are in such an answer: ViewAcknowledgements::MergeAges,
  // MergeBlockAges.
  void MergeAcknowledgementAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages);
  void MergeBlockAcknowledgementAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages);
  // The ages of acknowledgements for an answer at `now` to an instance with the view `view`:
  // ViewAcknowledgements::EncodeAges, EncodeBlockAges.
  std::string AcknowledgementAges(TimePoint now, std::uint64_t view) const;
  std::string BlockAcknowledgementAges(TimePoint now, std::uint64_t view, std::uint64_t requester) const;
  // Whether this instance may request ages by block at `now`: its view is large, and the acknowledgements of
  // all members are valid for long enough.
  bool BlockAcknowledgementsSuffice(TimePoint now) const;
  // The incarnation ids of this instance's own block, in ascending order. Valid until the view changes.
  std::span<const std::uint64_t> OwnBlock() const { return acknowledgements_.OwnBlock(); }

  // The digest of the current view.
  std::uint64_t view() const { return acknowledgements_.view(); }
  // The number of members of the current view.
  std::size_t member_count() const { return acknowledgements_.incarnation_ids().size(); }
  // The incarnation ids of the members of the current view, in ascending order.
  const std::vector<std::uint64_t>& incarnation_ids() const { return acknowledgements_.incarnation_ids(); }
  // The digest of the view that this instance acknowledges at `now`; zero: none, as its acknowledgement of
  // another view may still count.
  std::uint64_t AcknowledgedView(TimePoint now) const;

  // The time until which all other members of the view are known to acknowledge it. Absent if one does not,
  // or this instance itself acknowledges no view at `now`.
  std::optional<TimePoint> AllAcknowledgedUntil(TimePoint now) const;

  // Assesses the state at `now`. Expired acknowledgements never count, not even before a pause of the process
  // is detected.
  Assessment Assess(TimePoint now);

 private:
  // The time after a change of view during which this instance acknowledges no view.
  Duration HoldOff() const;

  Options options_;
  ViewAcknowledgements acknowledgements_;
  TimePoint acknowledges_from_;  // this instance acknowledges no view before this time
  TimePoint discovery_ends_;     // instances in reach may not have been heard yet before this time
  QuorumState state_ = QuorumState::kUnknown;
  TimePoint state_since_;
};

}  // namespace lynxgrade::membership
