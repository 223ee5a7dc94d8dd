// The proof of quorum states: what single trackers acknowledge, pass on and conclude, without a network.
#include "membership/quorum_tracker.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lynxgrade::membership {
namespace {

constexpr Duration kValidity{1000000};

TimePoint At(int ms) { return TimePoint(Duration(std::int64_t{ms} * 1000)); }

std::string Bytes(const std::vector<int> &bytes) {
  std::string text;
  for (const int byte : bytes) text += static_cast<char>(byte);
  return text;
}

TEST_CASE("nothing is proven at first, and what was proven expires by itself") {
  const std::vector<std::uint64_t> both{1, 2};
  const std::vector<std::uint64_t> alone{1};
  QuorumTracker tracker({1, 3, kValidity}, At(0));
  tracker.UpdateView(At(0), 77, both);
  CHECK(tracker.Assess(At(10)).state == QuorumState::kUnknown);
  CHECK(tracker.AcknowledgedView(At(1099)) == 0);
  tracker.RecordAcknowledgement(2, At(1000), 77);
  CHECK(tracker.Assess(At(1050)).state == QuorumState::kUnknown);
  CHECK(tracker.AcknowledgedView(At(1100)) == 77);
  CHECK(tracker.Assess(At(1100)).state == QuorumState::kNearlyComplete);
  CHECK(tracker.Assess(At(1100)).majority_until == At(2000));
  tracker.RecordAcknowledgement(2, At(900), 0);  // older than what is known
  CHECK(tracker.Assess(At(2000)).state == QuorumState::kNearlyComplete);
  CHECK(tracker.Assess(At(2001)).state == QuorumState::kUnknown);
  tracker.RecordAcknowledgement(2, At(2100),
                                78);  // it acknowledges another view
  CHECK(tracker.Assess(At(2150)).state == QuorumState::kUnknown);
  tracker.UpdateView(At(3000), 5, alone);
  CHECK(tracker.Assess(At(3000)).state == QuorumState::kIsolated);
  CHECK(tracker.Assess(At(3500)).since == At(3000));
  QuorumTracker one({1, 1, kValidity}, At(0));
  one.UpdateView(At(0), 5, alone);
  CHECK(one.Assess(At(2000)).state == QuorumState::kComplete);
}

TEST_CASE("acknowledgements that are passed on count by their age, and never get younger") {
  const std::vector<std::uint64_t> incarnation_ids{1, 2, 3, 4, 5};
  QuorumTracker a({1, 5, kValidity}, At(0));
  QuorumTracker b({2, 5, kValidity}, At(0));
  a.UpdateView(At(0), 9, incarnation_ids);
  b.UpdateView(At(0), 9, incarnation_ids);
  a.RecordAcknowledgement(3, At(1500), 9);
  a.RecordAcknowledgement(4, At(1600), 8);  // another view: not passed on
  CHECK(a.AcknowledgementAges(At(2000), 8).empty());
  const std::string ages = a.AcknowledgementAges(At(2000), 9);
  REQUIRE(ages.size() == 5);
  CHECK(static_cast<unsigned char>(ages[2]) == 125);
  for (const std::size_t i : {0, 1, 3, 4}) {
    CHECK(static_cast<unsigned char>(ages[i]) == QuorumTracker::kNoAcknowledgement);
  }
  // Pinged at 1,900 by its own clock, whenever the answer came: acknowledged at 1,400 at the latest.
  b.RecordAcknowledgement(1, At(1900), 9);
  b.MergeAcknowledgementAges(At(1900), 8, ages);  // of another view, whose members are not known
  CHECK(b.Assess(At(2000)).state == QuorumState::kUnknown);
  b.MergeAcknowledgementAges(At(1900), 9, ages.substr(1));
  CHECK(b.Assess(At(2000)).state == QuorumState::kUnknown);
  b.MergeAcknowledgementAges(At(1900), 9, ages);
  CHECK(b.Assess(At(2000)).state == QuorumState::kMajority);
  CHECK(b.Assess(At(2000)).majority_until == At(2400));
  CHECK(b.Assess(At(2400)).state == QuorumState::kMajority);
  CHECK(b.Assess(At(2401)).state == QuorumState::kUnknown);
  // The age of its own acknowledgement adds nothing.
  std::string own_age(5, static_cast<char>(QuorumTracker::kNoAcknowledgement));
  own_age[1] = 0;
  b.MergeAcknowledgementAges(At(2500), 9, own_age);
  CHECK(b.Assess(At(2500)).state == QuorumState::kUnknown);
}

TEST_CASE(
    "an acknowledgement passed on any number of times expires before its sender may acknowledge another "
    "view") {
  // An acknowledgement of instance 1 is passed on at random between three whose clocks differ by up to 5 %.
  std::mt19937_64 random(7);
  const std::vector<std::uint64_t> incarnation_ids{1, 2, 3, 4};
  int counted = 0;
  for (int run = 0; run < 200; ++run) {
    std::vector<double> rate;
    std::vector<QuorumTracker> holders;
    for (std::uint64_t incarnation_id = 2; incarnation_id <= 4; ++incarnation_id) {
      rate.push_back(0.955 + 0.001 * static_cast<double>(random() % 95));
      holders.emplace_back(QuorumTracker::Options{incarnation_id, 4, kValidity}, TimePoint{});
      holders.back().UpdateView(TimePoint{}, 9, incarnation_ids);
    }
    const auto clock = [&](std::size_t of, double us) {
      return TimePoint(Duration(static_cast<std::int64_t>(rate[of] * us)));
    };
    double us = 5e6;
    const double acknowledged = us;  // by instance 1, in answer to a ping of the first
    holders[0].RecordAcknowledgement(1, clock(0, us), 9);
    for (; us < acknowledged + 3e6; us += static_cast<double>(random() % 60000)) {
      const std::size_t from = random() % 3;
      const std::size_t to = random() % 3;
      const double pinged = us;
      us += static_cast<double>(random() % 30000);  // on its way
      if (from != to)
        holders[to].MergeAcknowledgementAges(clock(to, pinged), 9,
                                             holders[from].AcknowledgementAges(clock(from, us), 9));
      for (std::size_t i = 0; i < 3; ++i) {
        const std::string ages = holders[i].AcknowledgementAges(clock(i, us), 9);
        if (static_cast<unsigned char>(ages[0]) == QuorumTracker::kNoAcknowledgement) continue;
        ++counted;
        // By the fastest clock instance 1 acknowledges no other view for 1.1 times the validity.
        REQUIRE((us - acknowledged) * 1.0505 <= 1.1 * 1e6 + 1e6 / QuorumTracker::kAgeUnits);
      }
    }
  }
  CHECK(counted > 1000);
}

TEST_CASE("ages by block are followed by the ages of the requester's own block") {
  const std::vector<std::uint64_t> incarnation_ids{10, 20, 30, 40, 50, 60, 70};  // blocks of 2, 2 and 3
  QuorumTracker a({10, 7, kValidity}, At(0));
  a.UpdateView(At(0), 9, incarnation_ids);
  for (const auto &[incarnation_id, ms] :
       {std::pair{20, 1900}, {30, 1500}, {40, 1700}, {50, 1900}, {60, 1900}, {70, 1200}}) {
    a.RecordAcknowledgement(static_cast<std::uint64_t>(incarnation_id), At(ms), 9);
  }
  // The age of a block is that of its oldest acknowledgement; the answer itself is its sender's.
  CHECK(a.BlockAcknowledgementAges(At(2000), 9, 30) == Bytes({25, 125, 200, 125, 75}));
  CHECK(a.BlockAcknowledgementAges(At(2000), 9, 20) == Bytes({25, 125, 200, 255, 25}));
  CHECK(a.BlockAcknowledgementAges(At(2000), 9, 60) == Bytes({25, 125, 200, 25, 25, 200}));
  CHECK(a.BlockAcknowledgementAges(At(2001), 9, 60) == Bytes({26, 126, 201, 26, 26, 201}));  // rounded up
  CHECK(a.BlockAcknowledgementAges(At(2000), 8, 20).empty());
  CHECK(a.BlockAcknowledgementAges(At(2000), 9, 21).empty());
  // A block with an expired acknowledgement, or one of another view, has no age.
  CHECK(a.BlockAcknowledgementAges(At(2201), 9, 20) == Bytes({76, 176, 255, 255, 76}));
  a.RecordAcknowledgement(40, At(1950), 8);
  CHECK(a.BlockAcknowledgementAges(At(2000), 9, 30) == Bytes({25, 255, 200, 125, 255}));
  // Nor has the own block of an instance that acknowledges no view.
  QuorumTracker holding_off({10, 7, kValidity}, At(1500));
  holding_off.UpdateView(At(1500), 9, incarnation_ids);
  for (const std::uint64_t incarnation_id : incarnation_ids)
    holding_off.RecordAcknowledgement(incarnation_id, At(1900), 9);
  CHECK(holding_off.BlockAcknowledgementAges(At(2000), 9, 20) == Bytes({255, 25, 25, 255, 25}));
  CHECK(holding_off.BlockAcknowledgementAges(At(2600), 9, 20) == Bytes({175, 175, 175, 255, 175}));
}

TEST_CASE("ages by block count from when the ping was sent, and only in full and of the same view") {
  const std::vector<std::uint64_t> incarnation_ids{10, 20, 30, 40, 50, 60, 70};
  struct Case {
    std::string what;
    std::uint64_t view;
    std::string ages;
    int until_ms;  // until when all are proven; 0: they are not
  };
  for (const Case &c : {
           Case{"all", 9, Bytes({25, 50, 75, 255, 0}), 2600},
           Case{"the oldest of them decides", 9, Bytes({25, 250, 75, 255, 0}), 1900},
           Case{"block ages and no single age", 9, Bytes({25, 50, 75, 255, 255}), 2600},
           Case{"of another view", 8, Bytes({25, 50, 75, 255, 0}), 0},
           Case{"of another view, block ages and no single age", 8, Bytes({25, 50, 75, 255, 255}), 0},
           Case{"nothing", 9, "", 0},
           Case{"one byte", 9, Bytes({0}), 0},
           Case{"block ages alone", 9, Bytes({25, 50, 75}), 0},
           Case{"one too few", 9, Bytes({25, 50, 75, 255}), 0},
           Case{"one too many", 9, Bytes({25, 50, 75, 255, 0, 0}), 0},
           Case{"as many as there are members", 9, Bytes({0, 0, 0, 0, 0, 0, 0}), 0},
           Case{"one block without an age", 9, Bytes({25, 255, 75, 255, 0}), 0},
           Case{"an age beyond the validity", 9, Bytes({25, 251, 75, 255, 0}), 0},
           Case{"no age of its own block, but single ages", 9, Bytes({255, 50, 75, 255, 125}), 2400},
           Case{"no age of its own block, and a missing single age", 9, Bytes({255, 50, 75, 0, 255}), 0},
       }) {
    CAPTURE(c.what);
    QuorumTracker b({10, 7, kValidity}, At(0));
    b.UpdateView(At(0), 9, incarnation_ids);
    b.MergeBlockAcknowledgementAges(At(1900), c.view, c.ages);
    const auto until = b.AllAcknowledgedUntil(At(1900));
    CHECK(until == (c.until_ms == 0 ? std::nullopt : std::optional(At(c.until_ms))));
    CHECK((b.Assess(At(1900)).state == QuorumState::kComplete) == (c.until_ms != 0));
    // It holds up to then, and no longer.
    if (c.until_ms != 0) {
      CHECK(b.Assess(At(c.until_ms)).state == QuorumState::kComplete);
      CHECK(b.Assess(At(c.until_ms + 1)).state != QuorumState::kComplete);
      CHECK_FALSE(b.AllAcknowledgedUntil(At(c.until_ms + 1)));
    }
  }
}

TEST_CASE("the later age of a block counts, until a member contradicts it or the view changes") {
  const std::vector<std::uint64_t> incarnation_ids{10, 20, 30, 40, 50, 60, 70};
  const auto fresh = [&] {
    QuorumTracker b({10, 7, kValidity}, At(0));
    b.UpdateView(At(0), 9, incarnation_ids);
    b.MergeBlockAcknowledgementAges(At(1900), 9, Bytes({25, 50, 75, 255, 0}));
    return b;
  };
  auto b = fresh();
  b.MergeBlockAcknowledgementAges(At(1950), 9, Bytes({25, 200, 0, 255, 0}));  // 1,850; 1,150; 1,950
  CHECK(b.AllAcknowledgedUntil(At(1950)) == At(2700));
  b.RecordAcknowledgement(30, At(1600), 0);  // before the age of its block
  CHECK(b.AllAcknowledgedUntil(At(1950)) == At(2700));
  b.RecordAcknowledgement(30, At(1960), 0);
  CHECK_FALSE(b.AllAcknowledgedUntil(At(1960)));
  CHECK(b.AcknowledgementAges(At(1960), 9)[2] == static_cast<char>(QuorumTracker::kNoAcknowledgement));
  CHECK(b.BlockAcknowledgementAges(At(1960), 9, 10)[1] ==
        static_cast<char>(QuorumTracker::kNoAcknowledgement));
  b.MergeBlockAcknowledgementAges(At(1980), 9, Bytes({255, 2, 255, 255, 255}));
  CHECK(b.AllAcknowledgedUntil(At(1980)));
  // What a block age proves is passed on as single ages to instances of the former version.
  CHECK(fresh().AcknowledgementAges(At(2000), 9) == Bytes({255, 25, 75, 75, 100, 100, 100}));
  auto changed = fresh();
  changed.UpdateView(At(1950), 8, {10, 20, 30, 40, 50, 60, 71});
  CHECK(changed.BlockAcknowledgementAges(At(1950), 8, 10) == Bytes({255, 255, 255, 255, 255}));
  auto paused = fresh();
  paused.ResetAfterPause(At(1950));
  CHECK(paused.BlockAcknowledgementAges(At(1950), 9, 10) == Bytes({255, 255, 255, 255, 255}));
  CHECK_FALSE(paused.AllAcknowledgedUntil(At(3100)));
}

}  // namespace
}  // namespace lynxgrade::membership
