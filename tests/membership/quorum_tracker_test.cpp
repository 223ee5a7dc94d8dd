// Quorum tracker: the view that it acknowledges, the ages that it passes on, and the quorum state that it
// derives.
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

TEST_CASE("the state is unknown after the start, and a proven state expires with its acknowledgements") {
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
  tracker.RecordAcknowledgement(2, At(900), 0);  // older than the known acknowledgement
  CHECK(tracker.Assess(At(2000)).state == QuorumState::kNearlyComplete);
  CHECK(tracker.Assess(At(2001)).state == QuorumState::kUnknown);
  tracker.RecordAcknowledgement(2, At(2100), 78);  // an acknowledgement of another view
  CHECK(tracker.Assess(At(2150)).state == QuorumState::kUnknown);
  tracker.UpdateView(At(3000), 5, alone);
  CHECK(tracker.Assess(At(3000)).state == QuorumState::kIsolated);
  CHECK(tracker.Assess(At(3500)).since == At(3000));
  QuorumTracker only_instance({1, 1, kValidity}, At(0));
  only_instance.UpdateView(At(0), 5, alone);
  CHECK(only_instance.Assess(At(2000)).state == QuorumState::kComplete);
}

TEST_CASE("ages that another tracker passes on count from when the ping was sent") {
  const std::vector<std::uint64_t> incarnation_ids{1, 2, 3, 4, 5};
  QuorumTracker sender({1, 5, kValidity}, At(0));
  QuorumTracker receiver({2, 5, kValidity}, At(0));
  sender.UpdateView(At(0), 9, incarnation_ids);
  receiver.UpdateView(At(0), 9, incarnation_ids);
  sender.RecordAcknowledgement(3, At(1500), 9);
  sender.RecordAcknowledgement(4, At(1600), 8);  // of another view: not passed on
  CHECK(sender.AcknowledgementAges(At(2000), 8).empty());
  const std::string ages = sender.AcknowledgementAges(At(2000), 9);
  REQUIRE(ages.size() == 5);
  CHECK(static_cast<unsigned char>(ages[2]) == 125);
  for (const std::size_t i : {0, 1, 3, 4}) {
    CHECK(static_cast<unsigned char>(ages[i]) == QuorumTracker::kNoAcknowledgement);
  }
  // The age 125 is 500 ms. The ping was sent at 1,900 ms, so the acknowledgement counts from 1,400 ms,
  // whenever the answer arrives.
  receiver.RecordAcknowledgement(1, At(1900), 9);
  receiver.MergeAcknowledgementAges(At(1900), 8, ages);  // of another view, whose members are not known
  CHECK(receiver.Assess(At(2000)).state == QuorumState::kUnknown);
  receiver.MergeAcknowledgementAges(At(1900), 9, ages.substr(1));
  CHECK(receiver.Assess(At(2000)).state == QuorumState::kUnknown);
  receiver.MergeAcknowledgementAges(At(1900), 9, ages);
  CHECK(receiver.Assess(At(2000)).state == QuorumState::kMajority);
  CHECK(receiver.Assess(At(2000)).majority_until == At(2400));
  CHECK(receiver.Assess(At(2400)).state == QuorumState::kMajority);
  CHECK(receiver.Assess(At(2401)).state == QuorumState::kUnknown);
  // The age of the receiver's own acknowledgement is ignored.
  std::string own_age(5, static_cast<char>(QuorumTracker::kNoAcknowledgement));
  own_age[1] = 0;
  receiver.MergeAcknowledgementAges(At(2500), 9, own_age);
  CHECK(receiver.Assess(At(2500)).state == QuorumState::kUnknown);
}

TEST_CASE(
    "an acknowledgement that is passed on repeatedly expires before its sender may acknowledge another "
    "view") {
  // An acknowledgement by instance 1 is passed on at random between three trackers with clocks of different
  // rates.
  std::mt19937_64 random(7);
  const std::vector<std::uint64_t> incarnation_ids{1, 2, 3, 4};
  int counted = 0;
  for (int run = 0; run < 200; ++run) {
    std::vector<double> clock_rates;
    std::vector<QuorumTracker> holders;
    for (std::uint64_t incarnation_id = 2; incarnation_id <= 4; ++incarnation_id) {
      clock_rates.push_back(0.955 + 0.001 * static_cast<double>(random() % 95));
      holders.emplace_back(QuorumTracker::Options{incarnation_id, 4, kValidity}, TimePoint{});
      holders.back().UpdateView(TimePoint{}, 9, incarnation_ids);
    }
    const auto local_time = [&](std::size_t holder, double us) {
      return TimePoint(Duration(static_cast<std::int64_t>(clock_rates[holder] * us)));
    };
    double us = 5e6;
    const double acknowledged_us = us;  // by instance 1, in answer to a ping of the first holder
    holders[0].RecordAcknowledgement(1, local_time(0, us), 9);
    for (; us < acknowledged_us + 3e6; us += static_cast<double>(random() % 60000)) {
      const std::size_t from = random() % 3;
      const std::size_t to = random() % 3;
      const double pinged_us = us;
      us += static_cast<double>(random() % 30000);  // network delay
      if (from != to)
        holders[to].MergeAcknowledgementAges(local_time(to, pinged_us), 9,
                                             holders[from].AcknowledgementAges(local_time(from, us), 9));
      for (std::size_t i = 0; i < 3; ++i) {
        const std::string ages = holders[i].AcknowledgementAges(local_time(i, us), 9);
        if (static_cast<unsigned char>(ages[0]) == QuorumTracker::kNoAcknowledgement) continue;
        ++counted;
        // Even with the fastest clock instance 1 acknowledges no other view for 1.1 times the validity.
        REQUIRE((us - acknowledged_us) * 1.0505 <= 1.1 * 1e6 + 1e6 / QuorumTracker::kAgeUnits);
      }
    }
  }
  CHECK(counted > 1000);
}

TEST_CASE("ages by block are followed by the ages of the requester's own block") {
  const std::vector<std::uint64_t> incarnation_ids{10, 20, 30, 40, 50, 60, 70};  // blocks of 2, 2 and 3
  QuorumTracker tracker({10, 7, kValidity}, At(0));
  tracker.UpdateView(At(0), 9, incarnation_ids);
  for (const auto &[incarnation_id, ms] :
       {std::pair{20, 1900}, {30, 1500}, {40, 1700}, {50, 1900}, {60, 1900}, {70, 1200}}) {
    tracker.RecordAcknowledgement(static_cast<std::uint64_t>(incarnation_id), At(ms), 9);
  }
  // The age of a block is that of its oldest acknowledgement. The answer itself acknowledges for its sender.
  CHECK(tracker.BlockAcknowledgementAges(At(2000), 9, 30) == Bytes({25, 125, 200, 125, 75}));
  CHECK(tracker.BlockAcknowledgementAges(At(2000), 9, 20) == Bytes({25, 125, 200, 255, 25}));
  CHECK(tracker.BlockAcknowledgementAges(At(2000), 9, 60) == Bytes({25, 125, 200, 25, 25, 200}));
  // Ages are rounded up.
  CHECK(tracker.BlockAcknowledgementAges(At(2001), 9, 60) == Bytes({26, 126, 201, 26, 26, 201}));
  CHECK(tracker.BlockAcknowledgementAges(At(2000), 8, 20).empty());
  CHECK(tracker.BlockAcknowledgementAges(At(2000), 9, 21).empty());
  // A block with an expired acknowledgement, or one of another view, has no age.
  CHECK(tracker.BlockAcknowledgementAges(At(2201), 9, 20) == Bytes({76, 176, 255, 255, 76}));
  tracker.RecordAcknowledgement(40, At(1950), 8);
  CHECK(tracker.BlockAcknowledgementAges(At(2000), 9, 30) == Bytes({25, 255, 200, 125, 255}));
  // The own block of an instance that acknowledges no view has no age either.
  QuorumTracker holding_off({10, 7, kValidity}, At(1500));
  holding_off.UpdateView(At(1500), 9, incarnation_ids);
  for (const std::uint64_t incarnation_id : incarnation_ids)
    holding_off.RecordAcknowledgement(incarnation_id, At(1900), 9);
  CHECK(holding_off.BlockAcknowledgementAges(At(2000), 9, 20) == Bytes({255, 25, 25, 255, 25}));
  CHECK(holding_off.BlockAcknowledgementAges(At(2600), 9, 20) == Bytes({175, 175, 175, 255, 175}));
}

TEST_CASE(
    "ages by block count from when the ping was sent; incomplete ones and those of other views are ignored") {
  const std::vector<std::uint64_t> incarnation_ids{10, 20, 30, 40, 50, 60, 70};
  struct Case {
    std::string name;
    std::uint64_t view;
    std::string ages;
    int until_ms;  // time until which all members are known to acknowledge the view; 0: they are not
  };
  for (const Case &c : {
           Case{"all", 9, Bytes({25, 50, 75, 255, 0}), 2600},
           Case{"the oldest age decides", 9, Bytes({25, 250, 75, 255, 0}), 1900},
           Case{"block ages and no single age", 9, Bytes({25, 50, 75, 255, 255}), 2600},
           Case{"ages of another view", 8, Bytes({25, 50, 75, 255, 0}), 0},
           Case{"ages of another view, block ages and no single age", 8, Bytes({25, 50, 75, 255, 255}), 0},
           Case{"no ages", 9, "", 0},
           Case{"one byte", 9, Bytes({0}), 0},
           Case{"block ages alone", 9, Bytes({25, 50, 75}), 0},
           Case{"one age too few", 9, Bytes({25, 50, 75, 255}), 0},
           Case{"one age too many", 9, Bytes({25, 50, 75, 255, 0, 0}), 0},
           Case{"as many ages as members", 9, Bytes({0, 0, 0, 0, 0, 0, 0}), 0},
           Case{"one block without an age", 9, Bytes({25, 255, 75, 255, 0}), 0},
           Case{"an age beyond the validity", 9, Bytes({25, 251, 75, 255, 0}), 0},
           Case{"no age of its own block, but single ages", 9, Bytes({255, 50, 75, 255, 125}), 2400},
           Case{"no age of its own block, and a missing single age", 9, Bytes({255, 50, 75, 0, 255}), 0},
       }) {
    CAPTURE(c.name);
    QuorumTracker tracker({10, 7, kValidity}, At(0));
    tracker.UpdateView(At(0), 9, incarnation_ids);
    tracker.MergeBlockAcknowledgementAges(At(1900), c.view, c.ages);
    const auto until = tracker.AllAcknowledgedUntil(At(1900));
    CHECK(until == (c.until_ms == 0 ? std::nullopt : std::optional(At(c.until_ms))));
    CHECK((tracker.Assess(At(1900)).state == QuorumState::kComplete) == (c.until_ms != 0));
    // The proof expires after that time.
    if (c.until_ms != 0) {
      CHECK(tracker.Assess(At(c.until_ms)).state == QuorumState::kComplete);
      CHECK(tracker.Assess(At(c.until_ms + 1)).state != QuorumState::kComplete);
      CHECK_FALSE(tracker.AllAcknowledgedUntil(At(c.until_ms + 1)));
    }
  }
}

TEST_CASE("the newest age of a block counts until a member acknowledges another view or the view changes") {
  const std::vector<std::uint64_t> incarnation_ids{10, 20, 30, 40, 50, 60, 70};
  const auto make_tracker = [&] {
    QuorumTracker tracker({10, 7, kValidity}, At(0));
    tracker.UpdateView(At(0), 9, incarnation_ids);
    tracker.MergeBlockAcknowledgementAges(At(1900), 9, Bytes({25, 50, 75, 255, 0}));
    return tracker;
  };
  auto tracker = make_tracker();
  // The blocks acknowledged at 1,850, 1,150 and 1,950 ms.
  tracker.MergeBlockAcknowledgementAges(At(1950), 9, Bytes({25, 200, 0, 255, 0}));
  CHECK(tracker.AllAcknowledgedUntil(At(1950)) == At(2700));
  tracker.RecordAcknowledgement(30, At(1600), 0);  // earlier than the age of its block
  CHECK(tracker.AllAcknowledgedUntil(At(1950)) == At(2700));
  tracker.RecordAcknowledgement(30, At(1960), 0);
  CHECK_FALSE(tracker.AllAcknowledgedUntil(At(1960)));
  CHECK(tracker.AcknowledgementAges(At(1960), 9)[2] == static_cast<char>(QuorumTracker::kNoAcknowledgement));
  CHECK(tracker.BlockAcknowledgementAges(At(1960), 9, 10)[1] ==
        static_cast<char>(QuorumTracker::kNoAcknowledgement));
  tracker.MergeBlockAcknowledgementAges(At(1980), 9, Bytes({255, 2, 255, 255, 255}));
  CHECK(tracker.AllAcknowledgedUntil(At(1980)));
  // Instances of a version without ages by block get the age of a block as the age of each of its members.
  CHECK(make_tracker().AcknowledgementAges(At(2000), 9) == Bytes({255, 25, 75, 75, 100, 100, 100}));
  auto changed = make_tracker();
  changed.UpdateView(At(1950), 8, {10, 20, 30, 40, 50, 60, 71});
  CHECK(changed.BlockAcknowledgementAges(At(1950), 8, 10) == Bytes({255, 255, 255, 255, 255}));
  auto paused = make_tracker();
  paused.ResetAfterPause(At(1950));
  CHECK(paused.BlockAcknowledgementAges(At(1950), 9, 10) == Bytes({255, 255, 255, 255, 255}));
  CHECK_FALSE(paused.AllAcknowledgedUntil(At(3100)));
}

}  // namespace
}  // namespace lynxgrade::membership
