// The estimators against the truth of seeded models, and against doing without them.
#include <doctest/doctest.h>

#include <cmath>
#include <random>
#include <vector>

#include "estimation/client_patience_estimator.h"
#include "estimation/first_attempt_estimator.h"
#include "estimation/replica_position.h"

namespace lynxgrade::estimation {
namespace {

Duration Ms(double ms) { return Duration(static_cast<std::int64_t>(ms * 1000)); }

// Clients of one class: a first attempt gets a fixed fraction of the deadline, later ones that or what is
// left.
struct Clients {
  double fraction = 0.6;  // of the deadline, for one attempt; 0: drawn anew for each
  bool marks_retries = true;
  double wait_ms = 20;          // mean time in which an attempt is rejected
  double rejected_share = 0.7;  // of attempts
  std::uint64_t seed = 1;
};

// Mean seconds between the estimated age of an attempt and the true one.
struct Errors {
  double estimated = 0;  // of retries
  double without = 0;    // of retries, if all were taken for first attempts
  double first = 0;      // of first attempts
};

Errors RunClients(const Clients& clients) {
  constexpr Duration kDeadline{3000000};
  std::mt19937_64 random(clients.seed);
  std::uniform_real_distribution<double> even(0, 1);
  std::exponential_distribution<double> until_rejected(1 / clients.wait_ms);
  std::exponential_distribution<double> until_retry(1.0 / 150);
  FirstAttemptEstimator estimate;
  Errors sum;
  double later = 0, first = 0;
  for (int i = 0; i < 3000; ++i) {
    double age = 0;  // milliseconds
    for (int attempt = 0; attempt < 4; ++attempt) {
      const double fraction = clients.fraction > 0 ? clients.fraction : 0.3 + 0.7 * even(random);
      const double left = std::min(fraction * 3000, 3000 - age) - even(random);
      if (left <= 0) break;
      const auto kind = clients.marks_retries && attempt > 0 ? AttemptKind::kRetry : AttemptKind::kFirst;
      const Duration estimated = estimate.EstimateAge(kDeadline, Ms(left), kind);
      if (i >= 100) {
        (attempt == 0 ? sum.first : sum.estimated) += std::abs(ToSeconds(estimated) - age * 1e-3);
        if (attempt > 0) sum.without += age * 1e-3;
        (attempt == 0 ? first : later) += 1;
      }
      if (even(random) >= clients.rejected_share) break;
      const double wait = std::min(until_rejected(random), left);
      estimate.RecordUnserved(estimated + Ms(wait));
      age += wait + until_retry(random);
    }
  }
  return {sum.estimated / later, sum.without / later, sum.first / first};
}

TEST_CASE("how long ago a client first asked is estimated from the time that it gives an attempt") {
  for (std::uint64_t seed : {1, 2, 3}) {
    // Rejected at once, or after a second: what is left of the deadline limits retries ever more.
    for (double wait_ms : {20.0, 400.0, 1000.0}) {
      const Errors marked = RunClients({.wait_ms = wait_ms, .seed = seed});
      // Where they are rejected at once, most of a retry's age is the client's own wait, unseen here.
      CHECK(marked.estimated < (wait_ms < 100 ? 1 : 0.6) * marked.without);
      CHECK(marked.first < 0.03);
      const Errors unmarked =
          RunClients({.fraction = 0.9, .marks_retries = false, .wait_ms = wait_ms, .seed = seed});
      CHECK(unmarked.estimated < 0.6 * unmarked.without);
      CHECK(unmarked.first < 0.03);
      MESSAGE("seed ", seed, ", wait ", wait_ms, " ms: mean error ", marked.estimated, " s for ",
              marked.without, " s without; unmarked ", unmarked.estimated, " s for ", unmarked.without, " s");
    }
  }
}

TEST_CASE("where clients draw an attempt's fraction anew, no first attempt is taken for a retry") {
  for (std::uint64_t seed : {1, 2, 3}) {
    CHECK(RunClients({.fraction = 0, .marks_retries = true, .seed = seed}).first == 0);
    CHECK(RunClients({.fraction = 0, .marks_retries = false, .seed = seed}).first == 0);
  }
}

TEST_CASE("the age of an attempt is bounded by what the deadline leaves, whatever was recorded") {
  FirstAttemptEstimator estimate;
  CHECK(estimate.EstimateAge(Duration{0}, Ms(100), AttemptKind::kRetry) == Duration{0});
  for (int i = 0; i < 40; ++i) estimate.EstimateAge(Ms(1000), Ms(600), AttemptKind::kFirst);
  for (int i = 0; i < 100; ++i) estimate.RecordUnserved(Ms(900));
  CHECK(estimate.EstimateAge(Ms(1000), Ms(600), AttemptKind::kRetry) == Ms(400));
  CHECK(estimate.EstimateAge(Ms(1000), Ms(250), AttemptKind::kFirst) == Ms(750));
  CHECK(estimate.EstimateAge(Ms(1000), Ms(1400), AttemptKind::kRetry) == Duration{0});
  CHECK(estimate.EstimateAge(Ms(1000), Ms(600), AttemptKind::kFirst) == Duration{0});
}

// A replica that gets the log late and applies it by one thread, heard by reports that are some time old.
struct Replica {
  // Moves on by a millisecond at clock time `now`; `pace`: how fast its thread applies, against the writing.
  void Step(double now, double pace) { at = std::min(now - 8, at + std::max(0.0, pace)); }

  double at = 0;  // milliseconds
};

struct Verdicts {
  int rightly_up = 0, wrongly_up = 0;    // given up, and it did not, or did, come in time
  int rightly_on = 0, wrongly_on = 0;    // waited for, likewise
  int asked = 0, could = 0, missed = 0;  // ask now? of those that had reached; ruled out though reached
};

// Reads that want data of the present, half of them with a target that moves on, for one second each.
Verdicts EstimateReads(std::uint64_t seed, double slow_pace) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> even(0, 1);
  Replica replica;
  ReplicaPosition estimate;
  struct Open {
    double since, target;
    bool moves, up;
  };
  std::vector<Open> open;
  Verdicts verdicts;
  const double start = 100'000;
  replica.at = start;
  double reported = start, reported_at = start, due = start;
  for (double now = start; now < start + 60'000; now += 1) {
    const double into = std::fmod(now - start, 30'000);
    // 10 s in step, 8 s slow, then it catches up.
    replica.Step(now, into < 10'000 ? 2.0 : into < 18'000 ? slow_pace : 2.0);
    if (now >= due) {
      reported = replica.at;
      reported_at = now;
      due = now + 73 + 157 * even(random);
    }
    // Heard about every 60 ms, a report's delay late.
    if (even(random) < 1.0 / 60 && now > reported_at + 40) estimate.RecordPosition(Ms(now), Ms(reported));
    if (even(random) < 0.02) {
      const bool moves = even(random) < 0.5;
      const double target = now - (moves ? 500 : 200);
      const auto motion = moves ? TargetMotion::kWithClock : TargetMotion::kFixed;
      const bool up = !estimate.MayReach(Ms(now), Ms(1000), Ms(target), motion);
      if (!estimate.IsProven(Ms(target))) open.push_back({now, target, moves, up});
      const bool has = replica.at >= target;
      const bool ask = estimate.MayHaveReached(Ms(now), Ms(target));
      verdicts.asked += ask;
      verdicts.could += has;
      verdicts.missed += has && !ask;
    }
    std::erase_if(open, [&](const Open& read) {
      const bool came = replica.at >= read.target + (read.moves ? now - read.since : 0);
      if (!came && now < read.since + 1000) return false;
      ++(read.up ? (came ? verdicts.wrongly_up : verdicts.rightly_up)
                 : (came ? verdicts.rightly_on : verdicts.wrongly_on));
      return true;
    });
  }
  return verdicts;
}

TEST_CASE("reads that no replica can serve in time are found early, and few others are") {
  for (std::uint64_t seed : {1, 2, 3}) {
    for (double pace : {0.0, 0.2, 0.6}) {
      const Verdicts verdicts = EstimateReads(seed, pace);
      MESSAGE("pace ", pace, ", seed ", seed, ": given up rightly ", verdicts.rightly_up, ", wrongly ",
              verdicts.wrongly_up, "; waited rightly ", verdicts.rightly_on, ", in vain ",
              verdicts.wrongly_on, "; asked ", verdicts.asked);
      CHECK(verdicts.rightly_up > 4 * verdicts.wrongly_on);
      CHECK(verdicts.wrongly_up * 20 < verdicts.rightly_up);
      // Hardly any that has reached the target is ruled out when one is to be asked: reports are old.
      CHECK(verdicts.missed * 100 < verdicts.could);
    }
  }
}

TEST_CASE("a position never decreases, and one that was not heard for long rules nothing out") {
  ReplicaPosition position;
  CHECK_FALSE(position.IsProven(Ms(1)));
  CHECK(position.MayHaveReached(Ms(5000), Ms(4900)));
  CHECK(position.MayReach(Ms(5000), Ms(100), Ms(4900), TargetMotion::kFixed));
  CHECK(position.RecordPosition(Ms(5000), Ms(1000)));
  CHECK_FALSE(position.RecordPosition(Ms(5010), Ms(900)));
  CHECK(position.MayReach(Ms(5010), Ms(100), Ms(4900),
                          TargetMotion::kFixed));  // how fast it moves is not known yet
  CHECK(position.RecordPosition(Ms(5100), Ms(900)));
  CHECK(position.RecordPosition(Ms(5500), Ms(1000)));
  CHECK(position.IsProven(Ms(1000)));
  CHECK_FALSE(position.IsProven(Ms(1001)));
  CHECK_FALSE(position.MayHaveReached(Ms(5510), Ms(4900)));
  CHECK_FALSE(position.MayReach(Ms(5510), Ms(1000), Ms(4900), TargetMotion::kFixed));
  CHECK(position.MayReach(Ms(6600), Ms(1000), Ms(4900), TargetMotion::kFixed));
  CHECK(position.MayHaveReached(Ms(5900), Ms(4900)));
}

TEST_CASE("a stall of the instance is not taken for the server's delay") {
  ReplicaPosition with, without;
  for (double now = 1000; now <= 2000; now += 100) {
    with.RecordPosition(Ms(now), Ms(now - 10));
    without.RecordPosition(Ms(now), Ms(now - 10));
  }
  // Three seconds of stall: what was reported meanwhile is read now.
  with.ExcludeStall(Ms(5000), Ms(3000));
  for (ReplicaPosition* p : {&with, &without})
    p->RecordPosition(Ms(5000), Ms(2050)), p->RecordPosition(Ms(5400), Ms(2100));
  CHECK(with.ExpectedPosition(Ms(5500)) >= without.ExpectedPosition(Ms(5500)));
  CHECK_FALSE(with.IsProven(Ms(2101)));
}

// Clients of whom the share `early` leaves after `at` objectives, the others never; answered after a mean of
// `mean`.
ClientPatienceEstimator EstimateStays(double early, double at, double mean, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> even(0, 1);
  std::exponential_distribution<double> taken(1 / mean);
  ClientPatienceEstimator patience;
  for (int i = 0; i < 3000; ++i) {
    const double answer = taken(random);
    const bool left = even(random) < early && answer > at;
    patience.RecordStay(left ? at : answer, left ? StayEnd::kLeft : StayEnd::kAnswered);
  }
  return patience;
}

TEST_CASE("few clients that leave early do not stand for all, and where most leave it shows") {
  CHECK(ClientPatienceEstimator().MedianStay() == 1);
  for (std::uint64_t seed : {1, 2, 3}) {
    for (double mean : {0.1, 0.3, 1.0}) {
      CHECK(EstimateStays(0.01, 0.25, mean, seed).MedianStay() == 1);
      CHECK(EstimateStays(0.2, 0.25, mean, seed).MedianStay() == 1);
      if (mean < 0.3) continue;  // hardly any client waits for so long
      CHECK(EstimateStays(0.9, 0.25, mean, seed).MedianStay() == doctest::Approx(0.3));
      CHECK(EstimateStays(1, 0.75, mean, seed).MedianStay() == doctest::Approx(0.8));
    }
    CHECK(EstimateStays(1, 1.5, 0.3, seed).MedianStay() == 1);
  }
  // Responses later than the estimate are given up, so that none shows a client that stayed for it.
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> even(0, 1);
  ClientPatienceEstimator fed_back;
  for (int i = 0; i < 3000; ++i) {
    const bool left = even(random) < 0.02;
    fed_back.RecordStay(left ? 0.1 * even(random) : std::min(fed_back.MedianStay(), 1.5 * even(random)),
                        left ? StayEnd::kLeft : StayEnd::kAnswered);
  }
  CHECK(fed_back.MedianStay() == 1);
  ClientPatienceEstimator answered_late = EstimateStays(1, 0.25, 0.3, 1);
  for (int i = 0; i < 3000; ++i) answered_late.RecordStay(0.6, StayEnd::kAnswered);
  CHECK(answered_late.MedianStay() == 1);
  ClientPatienceEstimator first;
  first.RecordStay(0.1, StayEnd::kLeft);
  CHECK(first.MedianStay() == 1);
}

}  // namespace
}  // namespace lynxgrade::estimation
