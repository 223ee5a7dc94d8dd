// How much of the fleet shares this instance's view, as far as that is proven.
//
// A network partition cannot be distinguished from crashes, so a view is compared with the configured size of
// the fleet, never with the number of instances seen. An instance acknowledges one view at a time, on each
// answer to a ping, and none for a while after its view changed: for as long as its former acknowledgements
// may still count. So each instance counts for one view at a time whatever links are cut, and two views
// cannot both have a majority.
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

// Not thread-safe; free of sockets and clocks. Times are those of one clock, ascending. May be copied, to
// assess it without a change to the original.
class QuorumTracker {
 public:
  struct Options {
    std::uint64_t self = 0;                       // this instance's incarnation id
    std::size_t fleet_size = 1;                   // this instance included
    Duration validity = std::chrono::seconds(5);  // of an acknowledgement, from when its ping was sent
    bool acknowledgements_required = true;        // false: members of the view count without one
  };
  static constexpr int kAgeUnits = ViewAcknowledgements::kAgeUnits;
  static constexpr unsigned char kNoAcknowledgement = ViewAcknowledgements::kNoAcknowledgement;

  // The result of an assessment.
  struct Assessment {
    QuorumState state = QuorumState::kUnknown;
    TimePoint since{};                          // when the state was first assessed
    std::optional<TimePoint> majority_until{};  // until when a majority is proven; absent: it needs no proof
    std::uint64_t view = 0;                     // the digest of the assessed view
  };

  // The state is unknown from `now` until the acknowledgements of an earlier process have expired.
  QuorumTracker(Options options, TimePoint now);

  // The current view: `incarnation_ids` are ascending and include this instance's; views of one digest have
  // the same members.
  void UpdateView(TimePoint now, std::uint64_t digest, const std::vector<std::uint64_t>& incarnation_ids);
  // To be called after a pause of the process that ended at `now`: others may have agreed on another view
  // meanwhile, and what this instance had acknowledged may still count.
  void ResetAfterPause(TimePoint now);

  // The answer of an instance to a ping sent at `pinged_at`: it acknowledges the view of this digest; zero:
  // none.
  void RecordAcknowledgement(std::uint64_t incarnation_id, TimePoint pinged_at,
                             std::uint64_t acknowledged_view);
  // Acknowledgements of others that such an answer passes on: ViewAcknowledgements::MergeAges,
  // MergeBlockAges.
  void MergeAcknowledgementAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages);
  void MergeBlockAcknowledgementAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages);
  // What an answer at `now` passes on to an instance of the view `view`: ViewAcknowledgements::Ages,
  // BlockAges.
  std::string AcknowledgementAges(TimePoint now, std::uint64_t view) const;
  std::string BlockAcknowledgementAges(TimePoint now, std::uint64_t view, std::uint64_t requester) const;
  // Whether ages aggregated by block are enough for this instance at `now`: the view is large, and all of it
  // is proven for long enough.
  bool BlockAcknowledgementsSuffice(TimePoint now) const;
  // The incarnation ids of this instance's own block, ascending. Valid until the view changes.
  std::span<const std::uint64_t> OwnBlock() const { return acknowledgements_.OwnBlock(); }

  // The digest of the current view.
  std::uint64_t view() const { return acknowledgements_.view(); }
  // The number of members of the current view.
  std::size_t member_count() const { return acknowledgements_.incarnation_ids().size(); }
  // The members of the current view, ascending.
  const std::vector<std::uint64_t>& incarnation_ids() const { return acknowledgements_.incarnation_ids(); }
  // The view that this instance acknowledges at `now`; zero: none, as its acknowledgement of another may
  // count.
  std::uint64_t AcknowledgedView(TimePoint now) const;

  // Until when every other member of the view is known to acknowledge it. Absent where one does not, or this
  // instance acknowledges none at `now`.
  std::optional<TimePoint> AllAcknowledgedUntil(TimePoint now) const;

  // The state at `now`. No acknowledgement counts for longer than its validity, also if the process was
  // paused.
  Assessment Assess(TimePoint now);

 private:
  // How long after a change of view this instance acknowledges none.
  Duration HoldOff() const;

  Options options_;
  ViewAcknowledgements acknowledgements_;
  TimePoint acknowledges_from_;  // before that this instance acknowledges no view
  TimePoint discovery_ends_;     // before that some instances in reach may not have been heard yet
  QuorumState state_ = QuorumState::kUnknown;
  TimePoint state_since_;
};

}  // namespace lynxgrade::membership
