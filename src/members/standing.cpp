#include "members/standing.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace lynxgrade::members {
namespace {

constexpr std::size_t kFewParts = 10;  // of the fleet may be missing and it is not called cut; one always may

}  // namespace

const char* NameOf(Part part) {
  switch (part) {
    case Part::kInDoubt:
      return "in doubt";
    case Part::kAlone:
      return "alone";
    case Part::kSmaller:
      return "smaller part";
    case Part::kLarger:
      return "larger part";
    case Part::kSomeMissing:
      return "some missing";
    case Part::kWhole:
      return "whole";
  }
  return "";
}

Standing::Standing(Options options, Time now)
    : options_(options), settled_(now), heard_out_(now), since_(now) {
  StoodStill(now);
}

void Standing::StoodStill(Time now) {
  // An earlier life, or this one before it stopped, may have stood by another view just now.
  settled_ = heard_out_ = now + options_.proof + options_.proof / kDriftParts;
  words_.clear();
}

void Standing::Saw(Time now, std::uint64_t digest, const std::vector<std::uint64_t>& lives) {
  if (digest == digest_ && lives.size() == lives_.size()) return;
  digest_ = digest;
  lives_ = lives;
  settled_ = std::max(settled_, now + options_.proof + options_.proof / kDriftParts);
}

void Standing::Answered(std::uint64_t who, Time asked, std::uint64_t declares) {
  Word& word = words_[who];
  if (asked < word.asked) return;
  word = {asked, declares};
}

void Standing::Told(Time asked, std::uint64_t view, std::string_view ages) {
  if (view != digest_ || ages.size() != lives_.size()) return;
  for (std::size_t i = 0; i < ages.size(); ++i) {
    const auto age = static_cast<unsigned char>(ages[i]);
    if (age > kAgeUnits || lives_[i] == options_.self) continue;
    const Time said = asked - options_.proof * age / kAgeUnits;
    Word& word = words_[lives_[i]];
    if (said > word.asked) word = {said, view};
  }
}

std::string Standing::Ages(Time now, std::uint64_t view) const {
  if (view != digest_) return {};
  std::string ages(lives_.size(), static_cast<char>(kNoWord));
  for (std::size_t i = 0; i < lives_.size(); ++i) {
    const auto word = words_.find(lives_[i]);
    if (word == words_.end() || word->second.declares != view || now < word->second.asked) continue;
    const auto age = ((now - word->second.asked) * kAgeUnits + options_.proof - Duration(1)) / options_.proof;
    if (age <= kAgeUnits) ages[i] = static_cast<char>(age);
  }
  return ages;
}

std::uint64_t Standing::Declares(Time now) const { return now >= settled_ ? digest_ : 0; }

std::optional<Time> Standing::AllUntil(Time now) const {
  if (now < settled_) return std::nullopt;
  Time until = Time::max();
  for (const std::uint64_t life : lives_) {
    if (life == options_.self) continue;
    const auto word = words_.find(life);
    if (word == words_.end() || word->second.declares != digest_) return std::nullopt;
    until = std::min(until, word->second.asked + options_.proof);
  }
  if (until < now) return std::nullopt;
  return until;
}

Standing::Value Standing::At(Time now) {
  std::erase_if(words_, [&](const auto& item) { return now - item.second.asked > options_.proof; });
  std::vector<Time> with;  // when those that stand by the same view were asked
  for (const std::uint64_t life : lives_) {
    const auto word = words_.find(life);
    const bool stands = word != words_.end() && word->second.declares == digest_;
    if (life == options_.self || (!stands && options_.proven)) continue;
    with.push_back(stands ? word->second.asked : now);
  }
  const bool settled = now >= settled_ || !options_.proven;
  const std::size_t standing = settled ? with.size() + 1 : 0;
  const std::size_t half = options_.size / 2;
  Value value;
  if (standing > half) {
    const std::size_t missing = options_.size - std::min(options_.size, standing);
    const std::size_t few = std::max<std::size_t>(1, options_.size / kFewParts);
    value.part = missing == 0 ? Part::kWhole : missing <= few ? Part::kSomeMissing : Part::kLarger;
    // It holds as long as more than half do: for as long as the word of the half-th newest counts.
    if (half > 0) {
      std::ranges::nth_element(with, with.begin() + static_cast<std::ptrdiff_t>(half) - 1, std::greater<>());
      value.until = with[half - 1] + options_.proof;
    }
  } else if (now >= heard_out_ && lives_.size() <= half) {
    value.part = lives_.size() <= 1 ? Part::kAlone : Part::kSmaller;
  }
  if (value.part != part_) {
    part_ = value.part;
    since_ = now;
  }
  value.since = since_;
  value.view = digest_;
  return value;
}

}  // namespace lynxgrade::members
