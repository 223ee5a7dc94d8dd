#include "membership/view_acknowledgements.h"

#include <algorithm>
#include <cmath>

namespace lynxgrade::membership {

bool ViewAcknowledgements::UpdateView(std::uint64_t digest,
                                      const std::vector<std::uint64_t>& incarnation_ids) {
  if (digest == view_ && incarnation_ids.size() == incarnation_ids_.size()) return false;
  for (std::size_t i = 0; i < incarnation_ids_.size(); ++i) {
    if (acknowledgements_[i].at != TimePoint{}) outside_view_[incarnation_ids_[i]] = acknowledgements_[i];
  }
  view_ = digest;
  incarnation_ids_ = incarnation_ids;
  acknowledgements_.assign(incarnation_ids_.size(), {});
  for (std::size_t i = 0; i < incarnation_ids_.size(); ++i) {
    const auto known = outside_view_.find(incarnation_ids_[i]);
    if (known == outside_view_.end()) continue;
    acknowledgements_[i] = known->second;
    outside_view_.erase(known);
  }
  DivideIntoBlocks();
  return true;
}

void ViewAcknowledgements::DivideIntoBlocks() {
  const std::size_t members = incarnation_ids_.size();
  const auto blocks = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(members))));
  block_starts_.clear();
  block_of_.assign(members, 0);
  for (std::size_t block = 0; block <= blocks; ++block) {
    block_starts_.push_back(blocks == 0 ? 0 : block * members / blocks);
    if (block == 0) continue;
    for (std::size_t i = block_starts_[block - 1]; i < block_starts_[block]; ++i) block_of_[i] = block - 1;
  }
  // Block ages of the former view are discarded, as the new blocks have other members.
  block_acknowledgements_.assign(blocks, TimePoint{});
}

void ViewAcknowledgements::Clear() {
  std::ranges::fill(acknowledgements_, Acknowledgement{});
  std::ranges::fill(block_acknowledgements_, TimePoint{});
  outside_view_.clear();
}

void ViewAcknowledgements::DiscardExpired(TimePoint now) {
  std::erase_if(outside_view_, [&](const auto& item) { return now - item.second.at > validity_; });
}

std::size_t ViewAcknowledgements::IndexOf(std::uint64_t incarnation_id) const {
  const auto found = std::ranges::lower_bound(incarnation_ids_, incarnation_id);
  return found == incarnation_ids_.end() || *found != incarnation_id
             ? incarnation_ids_.size()
             : static_cast<std::size_t>(found - incarnation_ids_.begin());
}

std::optional<TimePoint> ViewAcknowledgements::AcknowledgedAt(std::size_t index) const {
  const Acknowledgement& own = acknowledgements_[index];
  const TimePoint block_acknowledged_at = block_acknowledgements_[block_of_[index]];
  if (block_acknowledged_at > own.at) return block_acknowledged_at;
  if (own.at == TimePoint{} || own.view != view_) return std::nullopt;
  return own.at;
}

std::optional<TimePoint> ViewAcknowledgements::BlockAcknowledgedAt(
    std::size_t block, TimePoint now, std::optional<TimePoint> self_acknowledged_at) const {
  TimePoint oldest = now;
  for (std::size_t i = block_starts_[block]; i < block_starts_[block + 1]; ++i) {
    const auto acknowledged_at = incarnation_ids_[i] == self_ ? self_acknowledged_at : AcknowledgedAt(i);
    if (!acknowledged_at) return std::nullopt;
    oldest = std::min(oldest, *acknowledged_at);
  }
  return oldest;
}

unsigned char ViewAcknowledgements::EncodeAge(TimePoint now, std::optional<TimePoint> acknowledged_at) const {
  if (!acknowledged_at || now < *acknowledged_at || now - *acknowledged_at > validity_) {
    return kNoAcknowledgement;
  }
  // Rounded up, so that an age never decreases when it is passed on.
  return static_cast<unsigned char>(((now - *acknowledged_at) * kAgeUnits + validity_ - Duration(1)) /
                                    validity_);
}

void ViewAcknowledgements::RecordAcknowledgement(std::uint64_t incarnation_id, TimePoint pinged_at,
                                                 std::uint64_t acknowledged_view) {
  const std::size_t index = IndexOf(incarnation_id);
  Acknowledgement& known =
      index < incarnation_ids_.size() ? acknowledgements_[index] : outside_view_[incarnation_id];
  if (pinged_at < known.at) return;
  known = {pinged_at, acknowledged_view};
}

void ViewAcknowledgements::MergeAge(std::size_t index, TimePoint pinged_at, unsigned char age) {
  if (age > kAgeUnits || incarnation_ids_[index] == self_) return;
  const TimePoint acknowledged_at = DecodeAge(pinged_at, age);
  if (acknowledged_at > acknowledgements_[index].at) acknowledgements_[index] = {acknowledged_at, view_};
}

std::string ViewAcknowledgements::EncodeAges(TimePoint now, std::uint64_t view) const {
  if (view != view_) return {};
  std::string ages(incarnation_ids_.size(), static_cast<char>(kNoAcknowledgement));
  for (std::size_t i = 0; i < incarnation_ids_.size(); ++i) {
    if (incarnation_ids_[i] != self_) ages[i] = static_cast<char>(EncodeAge(now, AcknowledgedAt(i)));
  }
  return ages;
}

void ViewAcknowledgements::MergeAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages) {
  if (view != view_ || ages.size() != incarnation_ids_.size()) return;
  for (std::size_t i = 0; i < ages.size(); ++i) MergeAge(i, pinged_at, static_cast<unsigned char>(ages[i]));
}

std::string ViewAcknowledgements::EncodeBlockAges(TimePoint now, std::uint64_t view, std::uint64_t requester,
                                                  std::optional<TimePoint> self_acknowledged_at) const {
  const std::size_t requester_index = IndexOf(requester);
  if (view != view_ || requester_index == incarnation_ids_.size()) return {};
  std::string ages;
  for (std::size_t block = 0; block < block_acknowledgements_.size(); ++block) {
    ages += static_cast<char>(EncodeAge(now, BlockAcknowledgedAt(block, now, self_acknowledged_at)));
  }
  const std::size_t block = block_of_[requester_index];
  for (std::size_t i = block_starts_[block]; i < block_starts_[block + 1]; ++i) {
    ages += static_cast<char>(incarnation_ids_[i] == self_ ? kNoAcknowledgement
                                                           : EncodeAge(now, AcknowledgedAt(i)));
  }
  return ages;
}

void ViewAcknowledgements::MergeBlockAges(TimePoint pinged_at, std::uint64_t view, std::string_view ages) {
  const std::span<const std::uint64_t> own = OwnBlock();
  const std::size_t blocks = block_acknowledgements_.size();
  if (view != view_ || own.empty() || ages.size() != blocks + own.size()) return;
  for (std::size_t block = 0; block < blocks; ++block) {
    const auto age = static_cast<unsigned char>(ages[block]);
    if (age > kAgeUnits) continue;
    block_acknowledgements_[block] = std::max(block_acknowledgements_[block], DecodeAge(pinged_at, age));
  }
  const auto first = static_cast<std::size_t>(own.data() - incarnation_ids_.data());
  for (std::size_t i = 0; i < own.size(); ++i) {
    MergeAge(first + i, pinged_at, static_cast<unsigned char>(ages[blocks + i]));
  }
}

std::span<const std::uint64_t> ViewAcknowledgements::OwnBlock() const {
  const std::size_t index = IndexOf(self_);
  if (index == incarnation_ids_.size()) return {};
  const std::size_t block = block_of_[index];
  return std::span(incarnation_ids_)
      .subspan(block_starts_[block], block_starts_[block + 1] - block_starts_[block]);
}

std::optional<TimePoint> ViewAcknowledgements::AllValidUntil() const {
  TimePoint until = TimePoint::max();
  for (std::size_t i = 0; i < incarnation_ids_.size(); ++i) {
    if (incarnation_ids_[i] == self_) continue;
    const std::optional<TimePoint> acknowledged_at = AcknowledgedAt(i);
    if (!acknowledged_at) return std::nullopt;
    until = std::min(until, *acknowledged_at + validity_);
  }
  return until;
}

std::vector<std::optional<TimePoint>> ViewAcknowledgements::ValidTimesOfOthers(TimePoint now) const {
  std::vector<std::optional<TimePoint>> times;
  times.reserve(incarnation_ids_.size());
  for (std::size_t i = 0; i < incarnation_ids_.size(); ++i) {
    if (incarnation_ids_[i] == self_) continue;
    const std::optional<TimePoint> acknowledged_at = AcknowledgedAt(i);
    const bool valid = acknowledged_at && now - *acknowledged_at <= validity_;
    times.push_back(valid ? acknowledged_at : std::nullopt);
  }
  return times;
}

}  // namespace lynxgrade::membership
