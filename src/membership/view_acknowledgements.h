// When each member of the current view last acknowledged it, as far as this instance has proof.
//
// A view is the set of instances that one instance reaches, named by a digest. Whoever answers a ping says
// which view it acknowledges, and passes on the ages of the acknowledgements that it has itself. In large
// views ages are aggregated: the view is divided into blocks of neighbouring members, about as many blocks as
// each has members, and one age stands for a block.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::membership {

// Not thread-safe; free of clocks.
class ViewAcknowledgements {
 public:
  // Encoded ages are multiples of the validity divided by this, rounded up.
  static constexpr int kAgeUnits = 250;
  // An encoded age: there is no valid acknowledgement.
  static constexpr unsigned char kNoAcknowledgement = 255;

  // `self` is this instance's incarnation id. An acknowledgement is valid for `validity`, counted from when
  // the ping that it answers was sent.
  ViewAcknowledgements(std::uint64_t self, Duration validity) : self_(self), validity_(validity) {}

  // Replaces the view. `incarnation_ids` are ascending and include this instance's; views of one digest have
  // the same members. Acknowledgements of single members are kept. Returns whether the view differs from the
  // former.
  bool UpdateView(std::uint64_t digest, const std::vector<std::uint64_t>& incarnation_ids);

  // Discards all acknowledgements.
  void Clear();
  // Discards the expired ones of instances outside the view.
  void DiscardExpired(TimePoint now);

  // The answer of an instance to a ping sent at `pinged_at`: it acknowledges the view of this digest; zero:
  // none.
  void Record(std::uint64_t incarnation_id, TimePoint pinged_at, std::uint64_t acknowledged_view);

  // The age of each member's acknowledgement, one byte a member in the view's order. Empty where `view` is
  // not the current one.
  std::string Ages(TimePoint now, std::uint64_t view) const;
  // Merges the result of another instance's `Ages`, received in answer to a ping sent at `pinged_at`. Ignored
  // where the views differ or the length does not fit.
  void MergeAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages);

  // The age of the oldest acknowledgement of each block, one byte a block, followed by one byte for each
  // member of the block of `requester`, an incarnation id. `self_acknowledged_at`: when this instance
  // acknowledged the view. Empty where `view` is not the current one, or the requester is not in it.
  std::string BlockAges(TimePoint now, std::uint64_t view, std::uint64_t requester,
                        std::optional<TimePoint> self_acknowledged_at) const;
  // Merges the result of another instance's `BlockAges`, under the conditions of `MergeAges`.
  void MergeBlockAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages);

  // The incarnation ids of this instance's own block, ascending. Valid until the view changes.
  std::span<const std::uint64_t> OwnBlock() const;

  // Until when the acknowledgements of all other members are valid; absent where one is missing. May be past.
  std::optional<TimePoint> AllValidUntil() const;
  // For each other member the time from which its acknowledgement counts; absent where none is valid at
  // `now`.
  std::vector<std::optional<TimePoint>> ValidTimesOfOthers(TimePoint now) const;

  std::uint64_t view() const { return view_; }
  const std::vector<std::uint64_t>& incarnation_ids() const { return incarnation_ids_; }
  Duration validity() const { return validity_; }

 private:
  struct Acknowledgement {
    TimePoint at{};  // zero: none
    std::uint64_t view = 0;
  };

  // The index in the view, or the number of members where the id is not in it.
  std::size_t IndexOf(std::uint64_t incarnation_id) const;
  void DivideIntoBlocks();
  // When the member at this index acknowledged the view, by its own acknowledgement or its block's. A later
  // acknowledgement of another view overrides its block's.
  std::optional<TimePoint> AcknowledgedAt(std::size_t index) const;
  // The oldest acknowledgement of a block; absent where one is missing.
  std::optional<TimePoint> BlockAcknowledgedAt(std::size_t block, TimePoint now,
                                               std::optional<TimePoint> self_acknowledged_at) const;
  unsigned char EncodeAge(TimePoint now, std::optional<TimePoint> acknowledged_at) const;
  TimePoint DecodeAge(TimePoint pinged_at, unsigned char age) const {
    return pinged_at - validity_ * age / kAgeUnits;
  }
  void MergeAge(std::size_t index, TimePoint pinged_at, unsigned char age);

  std::uint64_t self_;
  Duration validity_;
  std::uint64_t view_ = 0;
  std::vector<std::uint64_t> incarnation_ids_;     // of the view, ascending
  std::vector<Acknowledgement> acknowledgements_;  // by index
  std::vector<std::size_t> block_starts_;          // the first index of each block, and the end of the last
  std::vector<std::size_t> block_of_;              // by index
  std::vector<TimePoint> block_acknowledgements_;  // by block; zero: none
  std::unordered_map<std::uint64_t, Acknowledgement> outside_view_;  // by incarnation id
};

}  // namespace lynxgrade::membership
