#include "membership/quorum_tracker.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace lynxgrade::membership {
namespace {

// The rates of two clocks may differ by up to a tenth, so the hold-off after a change of view is a tenth
// longer than the validity of the acknowledgements that have to expire.
constexpr int kClockDriftDivisor = 10;
// A view is nearly complete if at most a tenth of the fleet is missing, or one instance.
constexpr std::size_t kNearlyCompleteDivisor = 10;
// Up to this size of the view the ages of all members take fewer bytes than the rest of a packet (about 80),
// and acknowledgements reach all members without probing those of the own block more often than others.
constexpr std::size_t kMaxMembersWithoutBlocks = 64;
// If less than this share of the validity is left, an instance requests the ages of all members instead of
// ages by block. The validity is three times as long as they take to reach all members, so they arrive before
// it ends.
constexpr int kMinValidityLeftPercent = 33;

}  // namespace

QuorumTracker::QuorumTracker(Options options, TimePoint now)
    : options_(options),
      acknowledgements_(options.self, options.validity),
      acknowledges_from_(now),
      discovery_ends_(now),
      state_since_(now) {
  ResetAfterPause(now);
}

Duration QuorumTracker::HoldOff() const { return options_.validity + options_.validity / kClockDriftDivisor; }

void QuorumTracker::ResetAfterPause(TimePoint now) {
  acknowledges_from_ = discovery_ends_ = now + HoldOff();
  acknowledgements_.Clear();
}

void QuorumTracker::UpdateView(TimePoint now, std::uint64_t digest,
                               const std::vector<std::uint64_t>& incarnation_ids) {
  if (!acknowledgements_.UpdateView(digest, incarnation_ids)) return;
  acknowledges_from_ = std::max(acknowledges_from_, now + HoldOff());
}

void QuorumTracker::RecordAcknowledgement(std::uint64_t incarnation_id, TimePoint pinged_at,
                                          std::uint64_t acknowledged_view) {
  acknowledgements_.RecordAcknowledgement(incarnation_id, pinged_at, acknowledged_view);
}

void QuorumTracker::MergeAcknowledgementAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages) {
  acknowledgements_.MergeAges(pinged_at, view, ages);
}

void QuorumTracker::MergeBlockAcknowledgementAges(TimePoint pinged_at, std::uint64_t view,
                                                  std::string_view ages) {
  acknowledgements_.MergeBlockAges(pinged_at, view, ages);
}

std::string QuorumTracker::AcknowledgementAges(TimePoint now, std::uint64_t view) const {
  return acknowledgements_.EncodeAges(now, view);
}

std::string QuorumTracker::BlockAcknowledgementAges(TimePoint now, std::uint64_t view,
                                                    std::uint64_t requester) const {
  // The answer that contains the ages is an acknowledgement of this instance itself.
  const auto self_acknowledged_at = AcknowledgedView(now) != 0 ? std::optional(now) : std::nullopt;
  return acknowledgements_.EncodeBlockAges(now, view, requester, self_acknowledged_at);
}

bool QuorumTracker::BlockAcknowledgementsSuffice(TimePoint now) const {
  if (member_count() <= kMaxMembersWithoutBlocks) return false;
  const std::optional<TimePoint> until = AllAcknowledgedUntil(now);
  return until && *until - now >= options_.validity * kMinValidityLeftPercent / 100;
}

std::uint64_t QuorumTracker::AcknowledgedView(TimePoint now) const {
  return now >= acknowledges_from_ ? view() : 0;
}

std::optional<TimePoint> QuorumTracker::AllAcknowledgedUntil(TimePoint now) const {
  if (now < acknowledges_from_) return std::nullopt;
  const std::optional<TimePoint> until = acknowledgements_.AllValidUntil();
  return until && *until >= now ? until : std::nullopt;
}

QuorumTracker::Assessment QuorumTracker::Assess(TimePoint now) {
  acknowledgements_.DiscardExpired(now);
  std::vector<TimePoint> counted;  // start of the validity of each acknowledgement of another member
  for (const std::optional<TimePoint> time : acknowledgements_.ValidTimesOfOthers(now)) {
    if (time || !options_.acknowledgements_required) counted.push_back(time.value_or(now));
  }
  const bool acknowledges = now >= acknowledges_from_ || !options_.acknowledgements_required;
  const std::size_t agreeing = acknowledges ? counted.size() + 1 : 0;
  const std::size_t half = options_.fleet_size / 2;
  Assessment assessment;
  if (agreeing > half) {
    const std::size_t missing = options_.fleet_size - std::min(options_.fleet_size, agreeing);
    const std::size_t max_missing = std::max<std::size_t>(1, options_.fleet_size / kNearlyCompleteDivisor);
    assessment.state = missing == 0             ? QuorumState::kComplete
                       : missing <= max_missing ? QuorumState::kNearlyComplete
                                                : QuorumState::kMajority;
    // With this instance itself the newest `half` acknowledgements make a majority, so it lasts until the
    // oldest of these expires.
    if (half > 0) {
      const auto nth = counted.begin() + static_cast<std::ptrdiff_t>(half) - 1;
      std::ranges::nth_element(counted, nth, std::greater<>());
      assessment.majority_until = *nth + options_.validity;
    }
  } else if (now >= discovery_ends_ && member_count() <= half) {
    assessment.state = member_count() <= 1 ? QuorumState::kIsolated : QuorumState::kMinority;
  }
  if (assessment.state != state_) {
    state_ = assessment.state;
    state_since_ = now;
  }
  assessment.since = state_since_;
  assessment.view = view();
  return assessment;
}

}  // namespace lynxgrade::membership
