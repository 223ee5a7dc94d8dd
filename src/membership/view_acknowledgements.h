// The times at which the members of the current view last acknowledged it, as known to this instance.
//
// A view is the set of instances that one instance reaches, identified by a digest. The answer to a ping
// names the view that its sender acknowledges, and includes the ages of the acknowledgements that the sender
// knows of. In large views ages are aggregated: the view is divided into blocks of consecutive members, with
// about as many blocks as members in each block, and one age represents a block.
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

// Not thread-safe; uses no clock.
class ViewAcknowledgements {
 public:
  // Number of age units in the validity of an acknowledgement. Ages are encoded in these units, rounded up.
  static constexpr int kAgeUnits = 250;
  // The encoded age that stands for no valid acknowledgement.
  static constexpr unsigned char kNoAcknowledgement = 255;

  // `self` is this instance's incarnation id. The validity of an acknowledgement starts when the ping that it
  // answers is sent.
  ViewAcknowledgements(std::uint64_t self, Duration validity) : self_(self), validity_(validity) {}

  // Replaces the view. `incarnation_ids` are in ascending order and include this instance's; views with the
  // same digest have the same members. Acknowledgements of single members are kept. Returns whether the view
  // has changed.
  bool UpdateView(std::uint64_t digest, const std::vector<std::uint64_t>& incarnation_ids);

  // Discards all acknowledgements.
  void Clear();
  // Discards the expired acknowledgements of instances outside the view.
  void DiscardExpired(TimePoint now);

  // Records the answer of an instance to a ping sent at `pinged_at`. `acknowledged_view` is the digest of the
  // view that it acknowledges; zero: it acknowledges none.
  void RecordAcknowledgement(std::uint64_t incarnation_id, TimePoint pinged_at,
                             std::uint64_t acknowledged_view);

  // The age of the acknowledgement of each member, one byte per member in the order of the view. Empty if
  // `view` is not the current one.
  std::string EncodeAges(TimePoint now, std::uint64_t view) const;
  // Merges the result of another instance's `EncodeAges`, received in answer to a ping sent at `pinged_at`.
  // Ignored if `view` is not the current one or the number of ages is wrong.
  void MergeAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages);

  // The age of the oldest acknowledgement of each block, one byte per block, followed by one byte for each
  // member of the block of `requester`, an incarnation id. `self_acknowledged_at`: when this instance
  // acknowledged the view. Empty if `view` is not the current one or the requester is not in it.
  std::string EncodeBlockAges(TimePoint now, std::uint64_t view, std::uint64_t requester,
                              std::optional<TimePoint> self_acknowledged_at) const;
  // Merges the result of another instance's `EncodeBlockAges`. Ignored in the same cases as in `MergeAges`.
  void MergeBlockAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages);

  // The incarnation ids of this instance's own block, in ascending order. Valid until the view changes.
  std::span<const std::uint64_t> OwnBlock() const;

  // The time at which the first acknowledgement of another member expires, which may be in the past; absent
  // if one is missing.
  std::optional<TimePoint> AllValidUntil() const;
  // For each other member the time at which the validity of its acknowledgement started; absent if it has
  // none that is valid at `now`.
  std::vector<std::optional<TimePoint>> ValidTimesOfOthers(TimePoint now) const;

  std::uint64_t view() const { return view_; }
  const std::vector<std::uint64_t>& incarnation_ids() const { return incarnation_ids_; }
  Duration validity() const { return validity_; }

 private:
  struct Acknowledgement {
    TimePoint at{};  // zero: none
    std::uint64_t view = 0;
  };

  // The index of a member in the view, or the number of members if it does not belong to the view.
  std::size_t IndexOf(std::uint64_t incarnation_id) const;
  void DivideIntoBlocks();
  // When the member at this index acknowledged the view: its own acknowledgement or that of its block,
  // whichever is later. An own acknowledgement of another view overrides an earlier one of the block.
  std::optional<TimePoint> AcknowledgedAt(std::size_t index) const;
  // The time of the oldest acknowledgement in a block; absent if one is missing.
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
  std::vector<std::uint64_t> incarnation_ids_;     // the members of the view, in ascending order
  std::vector<Acknowledgement> acknowledgements_;  // by index in the view
  std::vector<std::size_t> block_starts_;  // first index of each block, then the end of the last block
  std::vector<std::size_t> block_of_;      // by index in the view
  std::vector<TimePoint> block_acknowledgements_;                    // by block; zero: none
  std::unordered_map<std::uint64_t, Acknowledgement> outside_view_;  // by incarnation id
};

}  // namespace lynxgrade::membership
