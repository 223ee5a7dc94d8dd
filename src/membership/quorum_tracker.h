// How large a part of the fleet this instance is with, as far as it can prove it. Owns one value for all who
// depend on it; free of sockets and clocks.
//
// A cut cannot be told from deaths, so a part is measured against the agreed size of the fleet, never against
// those who are seen. An instance stands by one view at a time: those that it reaches both ways. It says on
// each answer which one, and says none for a while after a change: for as long as what it said before may
// still count. So each instance counts for one view at a time, whatever links are cut, and two views cannot
// both have more than half of the fleet.
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

enum class QuorumState {
  kUnknown,         // nothing is proven: just started, stopped for a while, or the view has just changed
  kIsolated,        // nobody else is in reach
  kMinority,        // half of the fleet or less is
  kMajority,        // more than half is, and stands by the same view
  kNearlyComplete,  // all but a tenth, or one
  kComplete,        // all
};
const char* NameOf(QuorumState part);

// Whether more than half of the fleet is proven to stand together: of two instances that are not of one view
// at most one has this at any moment.
constexpr bool IsMajority(QuorumState part) { return part >= QuorumState::kMajority; }

class QuorumTracker {
 public:
  struct Options {
    std::uint64_t self = 0;   // this instance's life
    std::size_t size = 1;     // of the fleet, this instance included
    Duration proof{5000000};  // how long an answer proves that its sender stood by its view
    bool proven = true;       // false: those in the view count without a word, as they are seen
  };
  // Clocks may run apart by so much of the time; a view is settled that much later.
  static constexpr int kDriftParts = 10;
  static constexpr int kAgeUnits = 250;  // of the proof, in what is told of a word's age
  static constexpr unsigned char kNoAcknowledgement = 255;
  // Members above which claims for blocks are worth having. Up to here the ages of all are fewer bytes than
  // the rest of a packet (some 80), and words go round without anybody being asked more often than others.
  static constexpr std::size_t kLargestWithoutBlocks = 64;
  // Of the proof that is left: with less an instance wants the ages of all. The proof is three times as long
  // as those take to reach all, so what claims were late with is made good by them before it lapses.
  static constexpr int kLeastLeftPercent = 33;

  // In doubt from `now` on.
  QuorumTracker(Options options, TimePoint now);

  // The view as it is now: a digest of those in reach, and their lives in ascending order, this instance's
  // included. Those of one digest have the same lives in the same order.
  void UpdateView(TimePoint now, std::uint64_t digest, const std::vector<std::uint64_t>& incarnation_ids);
  // An answer to what was asked at `asked`: the life `who` then stood by the view `declares`; zero: by none.
  void RecordAcknowledgement(std::uint64_t who, TimePoint asked, std::uint64_t declares);
  // What that answer told of the words of others, if its sender has the same view.
  void MergeAcknowledgementAges(TimePoint asked, std::uint64_t view, std::string_view ages);
  // What an answer at `now` tells one who has the view `view`: a byte a member, in units of the proof's 250th
  // part, rounded up; kNoWord: no word of it counts. Empty where views differ.
  std::string AcknowledgementAges(TimePoint now, std::uint64_t view) const;
  // The same in fewer bytes. The view is cut into blocks of neighbours, as many as each has members or one
  // more. A *claim* for a block says since when at the latest all of it are known to have stood by the view:
  // a byte for each block. Behind them the ages of the members of the block of `asker`, who is of the view
  // (else empty): there single words meet, and become claims. Also empty where views differ.
  std::string BlockAcknowledgementAges(TimePoint now, std::uint64_t view, std::uint64_t asker) const;
  void MergeBlockAcknowledgementAges(TimePoint asked, std::uint64_t view, std::string_view ages);
  // Whether claims are enough for this instance at `now`, as it wants nothing in a hurry: all of a large view
  // are proven, and for long enough.
  bool BlockAcknowledgementsSuffice(TimePoint now) const;
  // The lives of this instance's own block, ascending.
  std::span<const std::uint64_t> OwnBlock() const;
  // The process stood still until `now`: others may have settled on what it knows nothing of.
  void ResetAfterPause(TimePoint now);
  // The view as last seen, and what goes out with each answer at `now`: the same, or zero while not settled.
  std::uint64_t view() const { return digest_; }
  std::size_t count() const { return incarnation_ids_.size(); }
  const std::vector<std::uint64_t>& incarnation_ids() const {
    return incarnation_ids_;
  }  // of the view as last seen, ascending
  std::uint64_t AcknowledgedView(TimePoint now) const;

  // Up to when every other of the view is known to stand by it, as words are now. Absent where one is not, or
  // this instance stands by none.
  std::optional<TimePoint> AllAcknowledgedUntil(TimePoint now) const;

  struct Assessment {
    QuorumState state = QuorumState::kUnknown;
    TimePoint since{};
    std::optional<TimePoint> until{};  // up to when it is proven; absent: it needs no proof
    std::uint64_t view = 0;            // of which view
  };
  // Never older than the options' `proof`, also in a process that has just gone on: what lapsed has lapsed.
  Assessment Assess(TimePoint now);

 private:
  struct Word {
    TimePoint asked{};
    std::uint64_t declares = 0;
  };
  std::size_t PlaceOf(
      std::uint64_t incarnation_id) const;  // in the view; how many there are, where it is not in it
  // When the life at this place is known to have stood by the view, by its own word or by its block's claim.
  // A word that it stands by another, or none, undoes older claims.
  std::optional<TimePoint> StoodAt(std::size_t place) const;
  unsigned char AgeOf(TimePoint now, std::optional<TimePoint> stood) const;
  TimePoint SaidAt(TimePoint asked, unsigned char age) const {
    return asked - options_.proof * age / kAgeUnits;
  }

  Options options_;
  std::uint64_t digest_ = 0;
  std::vector<std::uint64_t> incarnation_ids_;
  std::vector<Word> words_;                            // of these, in their order
  std::vector<std::size_t> blocks_;                    // where each begins, and the end of the last
  std::vector<std::size_t> block_of_;                  // by place
  std::vector<TimePoint> claims_;                      // by block; zero: none
  std::unordered_map<std::uint64_t, Word> strangers_;  // words of lives that are not of the view, yet
  TimePoint settled_;
  TimePoint heard_out_;  // until then those in reach may not all have been heard yet
  QuorumState part_ = QuorumState::kUnknown;
  TimePoint since_;
};

}  // namespace lynxgrade::membership
