// Tests of the estimators against seeded simulations whose true values are known.
#include <doctest/doctest.h>

#include <cmath>
#include <random>
#include <vector>

#include "estimation/client_patience_estimator.h"
#include "estimation/clock_lead.h"
#include "estimation/first_attempt_estimator.h"
#include "estimation/replica_position.h"

namespace lynxgrade::estimation {
namespace {

Duration Ms(double ms) { return Duration(static_cast<std::int64_t>(ms * 1000)); }

// Clients of one class. They give each attempt a fixed fraction of the deadline, limited to what is left of
// it.
struct Clients {
  double fraction = 0.6;  // of the deadline, per attempt; 0: drawn for each attempt
  bool marks_retries = true;
  double wait_ms = 20;          // mean time until an attempt is rejected
  double rejected_share = 0.7;  // fraction of attempts that are rejected
  std::uint64_t seed = 1;
};

// Mean absolute error of the estimated age of an attempt, in seconds.
struct Errors {
  double estimated = 0;           // for retries
  double without_estimation = 0;  // for retries, if all were treated as first attempts
  double first = 0;               // for first attempts
};

Errors RunClients(const Clients& clients) {
  constexpr Duration kDeadline{3000000};
  std::mt19937_64 random(clients.seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::exponential_distribution<double> until_rejected(1 / clients.wait_ms);
  std::exponential_distribution<double> until_retry(1.0 / 150);
  FirstAttemptEstimator estimate;
  Errors sum;
  double later = 0, first = 0;
  for (int i = 0; i < 3000; ++i) {
    double age = 0;  // milliseconds
    for (int attempt = 0; attempt < 4; ++attempt) {
      const double fraction = clients.fraction > 0 ? clients.fraction : 0.3 + 0.7 * uniform(random);
      const double left = std::min(fraction * 3000, 3000 - age) - uniform(random);
      if (left <= 0) break;
      const auto kind = clients.marks_retries && attempt > 0 ? AttemptKind::kRetry : AttemptKind::kFirst;
      const Duration estimated = estimate.EstimateAge(kDeadline, Ms(left), kind);
      if (i >= 100) {
        (attempt == 0 ? sum.first : sum.estimated) += std::abs(ToSeconds(estimated) - age * 1e-3);
        if (attempt > 0) sum.without_estimation += age * 1e-3;
        (attempt == 0 ? first : later) += 1;
      }
      if (uniform(random) >= clients.rejected_share) break;
      const double wait = std::min(until_rejected(random), left);
      estimate.RecordUnserved(estimated + Ms(wait));
      age += wait + until_retry(random);
    }
  }
  return {sum.estimated / later, sum.without_estimation / later, sum.first / first};
}

TEST_CASE("the age of a client's first attempt is estimated from the time that it gives an attempt") {
  for (std::uint64_t seed : {1, 2, 3}) {
    // The longer a rejection takes, the more often the remaining deadline limits the time of a retry.
    for (double wait_ms : {20.0, 400.0, 1000.0}) {
      const Errors marked = RunClients({.wait_ms = wait_ms, .seed = seed});
      // If attempts are rejected fast, most of a retry's age is the client's backoff, which is not
      // observable.
      CHECK(marked.estimated < (wait_ms < 100 ? 1 : 0.6) * marked.without_estimation);
      CHECK(marked.first < 0.03);
      const Errors unmarked =
          RunClients({.fraction = 0.9, .marks_retries = false, .wait_ms = wait_ms, .seed = seed});
      CHECK(unmarked.estimated < 0.6 * unmarked.without_estimation);
      CHECK(unmarked.first < 0.03);
      MESSAGE("seed ", seed, ", wait ", wait_ms, " ms: mean error ", marked.estimated, " s for ",
              marked.without_estimation, " s without; unmarked ", unmarked.estimated, " s for ",
              unmarked.without_estimation, " s");
    }
  }
}

TEST_CASE("first attempts with random fractions of the deadline are not mistaken for retries") {
  for (std::uint64_t seed : {1, 2, 3}) {
    CHECK(RunClients({.fraction = 0, .marks_retries = true, .seed = seed}).first == 0);
    CHECK(RunClients({.fraction = 0, .marks_retries = false, .seed = seed}).first == 0);
  }
}

TEST_CASE("the estimated age never exceeds the elapsed part of the deadline") {
  FirstAttemptEstimator estimate;
  CHECK(estimate.EstimateAge(Duration{0}, Ms(100), AttemptKind::kRetry) == Duration{0});
  for (int i = 0; i < 40; ++i) estimate.EstimateAge(Ms(1000), Ms(600), AttemptKind::kFirst);
  for (int i = 0; i < 100; ++i) estimate.RecordUnserved(Ms(900));
  CHECK(estimate.EstimateAge(Ms(1000), Ms(600), AttemptKind::kRetry) == Ms(400));
  CHECK(estimate.EstimateAge(Ms(1000), Ms(250), AttemptKind::kFirst) == Ms(750));
  CHECK(estimate.EstimateAge(Ms(1000), Ms(1400), AttemptKind::kRetry) == Duration{0});
  CHECK(estimate.EstimateAge(Ms(1000), Ms(600), AttemptKind::kFirst) == Duration{0});
}

// A replica that receives the log with a delay and applies it in one thread.
struct Replica {
  // Advances by 1 ms at clock time `now`, applying the log at `apply_rate` relative to the primary's writes.
  void Step(double now, double apply_rate) {
    position = std::min(now - 8, position + std::max(0.0, apply_rate));
  }

  double position = 0;  // milliseconds
};

struct Verdicts {
  // Reads that were given up (MayReach was false) or waited for (true), by whether that was right.
  int rightly_given_up = 0, wrongly_given_up = 0;
  int rightly_waited = 0, wrongly_waited = 0;
  int checked = 0;  // times that a health check was worthwhile (MayHaveReached)
  int reached = 0;  // times that the replica had reached the target
  int missed = 0;   // those of them without a health check
};

// Reads that wait up to 1 s for a recent position. For half of them the position advances with the clock.
Verdicts EstimateReads(std::uint64_t seed, double slow_apply_rate) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  Replica replica;
  ReplicaPosition estimate;
  struct WaitingRead {
    double since, target;
    bool target_moves, given_up;
  };
  std::vector<WaitingRead> waiting;
  Verdicts verdicts;
  const double start = 100'000;
  replica.position = start;
  double reported = start, reported_at = start, due = start;
  for (double now = start; now < start + 60'000; now += 1) {
    const double phase = std::fmod(now - start, 30'000);
    // In each 30 s the replica is up to date for 10 s, slow for 8 s, and then catches up.
    replica.Step(now, phase < 10'000 ? 2.0 : phase < 18'000 ? slow_apply_rate : 2.0);
    if (now >= due) {
      reported = replica.position;
      reported_at = now;
      due = now + 73 + 157 * uniform(random);
    }
    // A report arrives about every 60 ms, at least 40 ms late.
    if (uniform(random) < 1.0 / 60 && now > reported_at + 40) estimate.RecordPosition(Ms(now), Ms(reported));
    if (uniform(random) < 0.02) {
      const bool target_moves = uniform(random) < 0.5;
      const double target = now - (target_moves ? 500 : 200);
      const auto motion = target_moves ? TargetMotion::kWithClock : TargetMotion::kFixed;
      const bool given_up = !estimate.MayReach(Ms(now), Ms(1000), Ms(target), motion);
      if (!estimate.IsProven(Ms(target))) waiting.push_back({now, target, target_moves, given_up});
      const bool reached = replica.position >= target;
      const bool check = estimate.MayHaveReached(Ms(now), Ms(target));
      verdicts.checked += check;
      verdicts.reached += reached;
      verdicts.missed += reached && !check;
    }
    std::erase_if(waiting, [&](const WaitingRead& read) {
      const bool reached = replica.position >= read.target + (read.target_moves ? now - read.since : 0);
      if (!reached && now < read.since + 1000) return false;
      ++(read.given_up ? (reached ? verdicts.wrongly_given_up : verdicts.rightly_given_up)
                       : (reached ? verdicts.rightly_waited : verdicts.wrongly_waited));
      return true;
    });
  }
  return verdicts;
}

TEST_CASE("reads that no replica can serve in time are given up, and few others are") {
  for (std::uint64_t seed : {1, 2, 3}) {
    for (double apply_rate : {0.0, 0.2, 0.6}) {
      const Verdicts verdicts = EstimateReads(seed, apply_rate);
      MESSAGE("apply rate ", apply_rate, ", seed ", seed, ": given up rightly ", verdicts.rightly_given_up,
              ", wrongly ", verdicts.wrongly_given_up, "; waited rightly ", verdicts.rightly_waited,
              ", wrongly ", verdicts.wrongly_waited, "; checked ", verdicts.checked);
      CHECK(verdicts.rightly_given_up > 4 * verdicts.wrongly_waited);
      CHECK(verdicts.wrongly_given_up * 20 < verdicts.rightly_given_up);
      // A replica that has reached the target is rarely ruled out although reports are old.
      CHECK(verdicts.missed * 100 < verdicts.reached);
    }
  }
}

TEST_CASE("a position never decreases, and an old one does not rule out any target") {
  ReplicaPosition position;
  CHECK_FALSE(position.IsProven(Ms(1)));
  CHECK(position.MayHaveReached(Ms(5000), Ms(4900)));
  CHECK(position.MayReach(Ms(5000), Ms(100), Ms(4900), TargetMotion::kFixed));
  CHECK(position.RecordPosition(Ms(5000), Ms(1000)));
  CHECK_FALSE(position.RecordPosition(Ms(5010), Ms(900)));
  CHECK(position.MayReach(Ms(5010), Ms(100), Ms(4900),
                          TargetMotion::kFixed));  // the apply rate is not known yet
  CHECK(position.RecordPosition(Ms(5100), Ms(900)));
  CHECK(position.RecordPosition(Ms(5500), Ms(1000)));
  CHECK(position.IsProven(Ms(1000)));
  CHECK_FALSE(position.IsProven(Ms(1001)));
  CHECK_FALSE(position.MayHaveReached(Ms(5510), Ms(4900)));
  CHECK_FALSE(position.MayReach(Ms(5510), Ms(1000), Ms(4900), TargetMotion::kFixed));
  CHECK(position.MayReach(Ms(6600), Ms(1000), Ms(4900), TargetMotion::kFixed));
  CHECK(position.MayHaveReached(Ms(5900), Ms(4900)));
}

TEST_CASE("a stall of the instance does not count as replication lag") {
  ReplicaPosition with, without;
  for (double now = 1000; now <= 2000; now += 100) {
    with.RecordPosition(Ms(now), Ms(now - 10));
    without.RecordPosition(Ms(now), Ms(now - 10));
  }
  // After a stall of 3 s, the reports of that time are processed.
  with.ExcludeStall(Ms(5000), Ms(3000));
  for (ReplicaPosition* p : {&with, &without})
    p->RecordPosition(Ms(5000), Ms(2050)), p->RecordPosition(Ms(5400), Ms(2100));
  CHECK(with.ExpectedPosition(Ms(5500)) >= without.ExpectedPosition(Ms(5500)));
  CHECK_FALSE(with.IsProven(Ms(2101)));
}

// Clients of whom the fraction `early` abandons requests after `at` latency objectives, and the others never.
// Requests are answered after `mean` latency objectives on average.
ClientPatienceEstimator EstimatePatience(double early, double at, double mean, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::exponential_distribution<double> taken(1 / mean);
  ClientPatienceEstimator patience;
  for (int i = 0; i < 3000; ++i) {
    const double answer = taken(random);
    const bool left = uniform(random) < early && answer > at;
    patience.RecordWait(left ? at : answer, left ? WaitEnd::kAbandoned : WaitEnd::kAnswered);
  }
  return patience;
}

TEST_CASE("the median patience follows the majority of clients, not a few that leave early") {
  CHECK(ClientPatienceEstimator().MedianPatience() == 1);
  for (std::uint64_t seed : {1, 2, 3}) {
    for (double mean : {0.1, 0.3, 1.0}) {
      CHECK(EstimatePatience(0.01, 0.25, mean, seed).MedianPatience() == 1);
      CHECK(EstimatePatience(0.2, 0.25, mean, seed).MedianPatience() == 1);
      if (mean < 0.3) continue;  // hardly any client has to wait until `at`
      CHECK(EstimatePatience(0.9, 0.25, mean, seed).MedianPatience() == doctest::Approx(0.3));
      CHECK(EstimatePatience(1, 0.75, mean, seed).MedianPatience() == doctest::Approx(0.8));
    }
    CHECK(EstimatePatience(1, 1.5, 0.3, seed).MedianPatience() == 1);
  }
  // Requests are given up at the estimated patience, so that no longer waits are observed.
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  ClientPatienceEstimator fed_back;
  for (int i = 0; i < 3000; ++i) {
    const bool left = uniform(random) < 0.02;
    fed_back.RecordWait(
        left ? 0.1 * uniform(random) : std::min(fed_back.MedianPatience(), 1.5 * uniform(random)),
        left ? WaitEnd::kAbandoned : WaitEnd::kAnswered);
  }
  CHECK(fed_back.MedianPatience() == 1);
  ClientPatienceEstimator answered_late = EstimatePatience(1, 0.25, 0.3, 1);
  for (int i = 0; i < 3000; ++i) answered_late.RecordWait(0.6, WaitEnd::kAnswered);
  CHECK(answered_late.MedianPatience() == 1);
  ClientPatienceEstimator first;
  first.RecordWait(0.1, WaitEnd::kAbandoned);
  CHECK(first.MedianPatience() == 1);
}

// Guards against positions that look recent since the instance's own clock is behind, and against a single
// spoilt one that makes all others look old.
TEST_CASE("the lead of the positions' clock is the second largest of the last ten to twenty seconds") {
  ClockLead lead;
  const auto at = [](int seconds) { return Duration(seconds * 1000000); };
  CHECK(lead.At(at(100)) == Duration{0});
  lead.Record(at(100), at(99));  // behind: says nothing
  lead.Record(at(100), at(1000));
  CHECK(lead.At(at(100)) == Duration{0});
  lead.Record(at(100), at(107));
  CHECK(lead.At(at(100)) == at(7));
  lead.Record(at(101), at(104));
  CHECK(lead.At(at(109)) == at(7));
  lead.Record(at(110), at(112));  // the next period
  lead.Record(at(110), at(113));
  CHECK(lead.At(at(119)) == at(7));
  CHECK(lead.At(at(120)) == at(2));
  CHECK(lead.At(at(130)) == Duration{0});
  lead.Record(at(200), at(201));  // what was seen long ago does not come back
  lead.Record(at(200), at(201));
  CHECK(lead.At(at(200)) == at(1));
}

// Guards against a position from the future that proves any age.
TEST_CASE(
    "a position counts for its time on the instance's clock, and not if that is later than its receipt") {
  ReplicaPosition position;
  CHECK_FALSE(position.ProvenTime(Duration{0}).has_value());
  position.RecordPosition(Duration(1000), Duration(5000), {Duration(1050)});
  CHECK_FALSE(position.ProvenTime(Duration{0}).has_value());
  position.RecordPosition(Duration(1000), Duration(900), {Duration(1050)});
  CHECK(position.ProvenTime(Duration{0}) == Duration(900));
  position.RecordPosition(Duration(200000), Duration(900000), {Duration(210000), Duration(700000)});
  CHECK(position.ProvenTime(Duration(700000)) == Duration(200000));
  CHECK(position.ProvenTime(Duration(750000)) == Duration(150000));
  position.RecordPosition(Duration(300000), Duration(9000000), {Duration(310000), Duration(700000)});
  CHECK(position.ProvenTime(Duration(700000)) == Duration(200000));
}

}  // namespace
}  // namespace lynxgrade::estimation
