#include "membership/quorum_tracker.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

namespace lynxgrade::membership {
namespace {

constexpr std::size_t kFewParts = 10;  // of the fleet may be missing and it is not called cut; one always may

}  // namespace

const char* NameOf(QuorumState part) {
  switch (part) {
    case QuorumState::kUnknown:
      return "in doubt";
    case QuorumState::kIsolated:
      return "alone";
    case QuorumState::kMinority:
      return "smaller part";
    case QuorumState::kMajority:
      return "larger part";
    case QuorumState::kNearlyComplete:
      return "some missing";
    case QuorumState::kComplete:
      return "whole";
  }
  return "";
}

QuorumTracker::QuorumTracker(Options options, TimePoint now)
    : options_(options), settled_(now), heard_out_(now), since_(now) {
  ResetAfterPause(now);
}

void QuorumTracker::ResetAfterPause(TimePoint now) {
  // An earlier life, or this one before it stopped, may have stood by another view just now.
  settled_ = heard_out_ = now + options_.proof + options_.proof / kDriftParts;
  std::ranges::fill(words_, Word{});
  std::ranges::fill(claims_, TimePoint{});
  strangers_.clear();
}

void QuorumTracker::UpdateView(TimePoint now, std::uint64_t digest,
                               const std::vector<std::uint64_t>& incarnation_ids) {
  if (digest == digest_ && incarnation_ids.size() == incarnation_ids_.size()) return;
  for (std::size_t i = 0; i < incarnation_ids_.size(); ++i) {
    if (words_[i].asked != TimePoint{}) strangers_[incarnation_ids_[i]] = words_[i];
  }
  digest_ = digest;
  incarnation_ids_ = incarnation_ids;
  words_.assign(incarnation_ids_.size(), {});
  for (std::size_t i = 0; i < incarnation_ids_.size(); ++i) {
    const auto known = strangers_.find(incarnation_ids_[i]);
    if (known == strangers_.end()) continue;
    words_[i] = known->second;
    strangers_.erase(known);
  }
  const auto count =
      static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(incarnation_ids_.size()))));
  blocks_.clear();
  block_of_.assign(incarnation_ids_.size(), 0);
  for (std::size_t block = 0; block <= count; ++block) {
    blocks_.push_back(count == 0 ? 0 : block * incarnation_ids_.size() / count);
    if (block == 0) continue;
    for (std::size_t i = blocks_[block - 1]; i < blocks_[block]; ++i) block_of_[i] = block - 1;
  }
  // Of the former view: a claim says nothing of single members.
  claims_.assign(count, TimePoint{});
  settled_ = std::max(settled_, now + options_.proof + options_.proof / kDriftParts);
}

std::size_t QuorumTracker::PlaceOf(std::uint64_t incarnation_id) const {
  const auto at = std::ranges::lower_bound(incarnation_ids_, incarnation_id);
  return at == incarnation_ids_.end() || *at != incarnation_id
             ? incarnation_ids_.size()
             : static_cast<std::size_t>(at - incarnation_ids_.begin());
}

std::optional<TimePoint> QuorumTracker::StoodAt(std::size_t place) const {
  const Word& word = words_[place];
  const TimePoint claim = claims_[block_of_[place]];
  if (claim > word.asked) return claim;
  if (word.asked == TimePoint{} || word.declares != digest_) return std::nullopt;
  return word.asked;
}

unsigned char QuorumTracker::AgeOf(TimePoint now, std::optional<TimePoint> stood) const {
  if (!stood || now < *stood || now - *stood > options_.proof) return kNoAcknowledgement;
  return static_cast<unsigned char>(((now - *stood) * kAgeUnits + options_.proof - Duration(1)) /
                                    options_.proof);
}

void QuorumTracker::RecordAcknowledgement(std::uint64_t who, TimePoint asked, std::uint64_t declares) {
  const std::size_t place = PlaceOf(who);
  Word& word = place < incarnation_ids_.size() ? words_[place] : strangers_[who];
  if (asked < word.asked) return;
  word = {asked, declares};
}

void QuorumTracker::MergeAcknowledgementAges(TimePoint asked, std::uint64_t view, std::string_view ages) {
  if (view != digest_ || ages.size() != incarnation_ids_.size()) return;
  for (std::size_t i = 0; i < ages.size(); ++i) {
    const auto age = static_cast<unsigned char>(ages[i]);
    if (age > kAgeUnits || incarnation_ids_[i] == options_.self) continue;
    const TimePoint said = SaidAt(asked, age);
    if (said > words_[i].asked) words_[i] = {said, view};
  }
}

std::string QuorumTracker::AcknowledgementAges(TimePoint now, std::uint64_t view) const {
  if (view != digest_) return {};
  std::string ages(incarnation_ids_.size(), static_cast<char>(kNoAcknowledgement));
  for (std::size_t i = 0; i < incarnation_ids_.size(); ++i) {
    if (incarnation_ids_[i] != options_.self) ages[i] = static_cast<char>(AgeOf(now, StoodAt(i)));
  }
  return ages;
}

std::string QuorumTracker::BlockAcknowledgementAges(TimePoint now, std::uint64_t view,
                                                    std::uint64_t asker) const {
  const std::size_t place = PlaceOf(asker);
  if (view != digest_ || place == incarnation_ids_.size()) return {};
  const bool stands = AcknowledgedView(now) != 0;
  std::string ages;
  for (std::size_t block = 0; block < claims_.size(); ++block) {
    std::optional<TimePoint> all = now;
    for (std::size_t i = blocks_[block]; all && i < blocks_[block + 1]; ++i) {
      // This answer is its own word.
      const std::optional<TimePoint> stood =
          incarnation_ids_[i] == options_.self ? (stands ? std::optional(now) : std::nullopt) : StoodAt(i);
      all = stood ? std::optional(std::min(*all, *stood)) : std::nullopt;
    }
    ages += static_cast<char>(AgeOf(now, all));
  }
  const std::size_t own = block_of_[place];
  for (std::size_t i = blocks_[own]; i < blocks_[own + 1]; ++i) {
    ages +=
        static_cast<char>(incarnation_ids_[i] == options_.self ? kNoAcknowledgement : AgeOf(now, StoodAt(i)));
  }
  return ages;
}

void QuorumTracker::MergeBlockAcknowledgementAges(TimePoint asked, std::uint64_t view,
                                                  std::string_view ages) {
  const std::span<const std::uint64_t> own = OwnBlock();
  if (view != digest_ || own.empty() || ages.size() != claims_.size() + own.size()) return;
  for (std::size_t block = 0; block < claims_.size(); ++block) {
    const auto age = static_cast<unsigned char>(ages[block]);
    if (age <= kAgeUnits) claims_[block] = std::max(claims_[block], SaidAt(asked, age));
  }
  const auto first = static_cast<std::size_t>(own.data() - incarnation_ids_.data());
  for (std::size_t i = 0; i < own.size(); ++i) {
    const auto age = static_cast<unsigned char>(ages[claims_.size() + i]);
    if (age > kAgeUnits || own[i] == options_.self) continue;
    const TimePoint said = SaidAt(asked, age);
    if (said > words_[first + i].asked) words_[first + i] = {said, view};
  }
}

std::span<const std::uint64_t> QuorumTracker::OwnBlock() const {
  const std::size_t place = PlaceOf(options_.self);
  if (place == incarnation_ids_.size()) return {};
  const std::size_t block = block_of_[place];
  return std::span(incarnation_ids_).subspan(blocks_[block], blocks_[block + 1] - blocks_[block]);
}

bool QuorumTracker::BlockAcknowledgementsSuffice(TimePoint now) const {
  if (incarnation_ids_.size() <= kLargestWithoutBlocks) return false;
  const std::optional<TimePoint> until = AllAcknowledgedUntil(now);
  return until && *until - now >= options_.proof * kLeastLeftPercent / 100;
}

std::uint64_t QuorumTracker::AcknowledgedView(TimePoint now) const { return now >= settled_ ? digest_ : 0; }

std::optional<TimePoint> QuorumTracker::AllAcknowledgedUntil(TimePoint now) const {
  if (now < settled_) return std::nullopt;
  TimePoint until = TimePoint::max();
  for (std::size_t i = 0; i < incarnation_ids_.size(); ++i) {
    if (incarnation_ids_[i] == options_.self) continue;
    const std::optional<TimePoint> stood = StoodAt(i);
    if (!stood) return std::nullopt;
    until = std::min(until, *stood + options_.proof);
  }
  if (until < now) return std::nullopt;
  return until;
}

QuorumTracker::Assessment QuorumTracker::Assess(TimePoint now) {
  std::erase_if(strangers_, [&](const auto& item) { return now - item.second.asked > options_.proof; });
  std::vector<TimePoint> with;  // when those that stand by the same view were asked
  for (std::size_t i = 0; i < incarnation_ids_.size(); ++i) {
    const std::optional<TimePoint> stood = StoodAt(i);
    const bool stands = stood && now - *stood <= options_.proof;
    if (incarnation_ids_[i] == options_.self || (!stands && options_.proven)) continue;
    with.push_back(stands ? *stood : now);
  }
  const bool settled = now >= settled_ || !options_.proven;
  const std::size_t quorum_tracker = settled ? with.size() + 1 : 0;
  const std::size_t half = options_.size / 2;
  Assessment value;
  if (quorum_tracker > half) {
    const std::size_t missing = options_.size - std::min(options_.size, quorum_tracker);
    const std::size_t few = std::max<std::size_t>(1, options_.size / kFewParts);
    value.state = missing == 0     ? QuorumState::kComplete
                  : missing <= few ? QuorumState::kNearlyComplete
                                   : QuorumState::kMajority;
    // It holds as long as more than half do: for as long as the word of the half-th newest counts.
    if (half > 0) {
      std::ranges::nth_element(with, with.begin() + static_cast<std::ptrdiff_t>(half) - 1, std::greater<>());
      value.until = with[half - 1] + options_.proof;
    }
  } else if (now >= heard_out_ && incarnation_ids_.size() <= half) {
    value.state = incarnation_ids_.size() <= 1 ? QuorumState::kIsolated : QuorumState::kMinority;
  }
  if (value.state != part_) {
    part_ = value.state;
    since_ = now;
  }
  value.since = since_;
  value.view = digest_;
  return value;
}

}  // namespace lynxgrade::membership
