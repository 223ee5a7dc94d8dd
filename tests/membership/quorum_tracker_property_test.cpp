// Property test of quorum trackers that ping each other under generated scripts: a tracker never claims that
// all members acknowledge its view unless each of them has done so within the validity.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "membership/quorum_tracker.h"

namespace lynxgrade::membership {
namespace {

enum class Clocks { kExact, kDrifting };

// Ten trackers, which switch between three views of nine members each, and pause. The simulation records
// which view each one has acknowledged and when.
class TrackerSimulation {
 public:
  static constexpr std::size_t kNodes = 10;
  static constexpr double kValidityUs = 1e6;
  static constexpr double kStepUs = 25000;
  static constexpr double kSlowestClockRate = 0.955;

  TrackerSimulation(std::uint64_t seed, Clocks clocks)
      : random_(seed), slowest_rate_(clocks == Clocks::kDrifting ? kSlowestClockRate : 1) {
    for (const std::size_t absent : {9, 0, 4}) {
      std::vector<std::uint64_t> incarnation_ids;
      for (std::size_t i = 0; i < kNodes; ++i) {
        if (i != absent) incarnation_ids.push_back(IncarnationIdOf(i));
      }
      views_.push_back(incarnation_ids);
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      const bool drifts = clocks == Clocks::kDrifting;
      clock_rates_.push_back(drifts ? kSlowestClockRate + 0.001 * static_cast<double>(random_() % 91) : 1);
      clock_offsets_.push_back(drifts ? static_cast<double>(random_() % 1000) * 1e6 : 0);
      nodes_.emplace_back(QuorumTracker::Options{IncarnationIdOf(i), kNodes - 1, Duration(1000000)},
                          LocalTime(i));
      UpdateView(i, i == 9 ? 1 : 0);
    }
  }

  // Each node pings another one. A message arrives within twelve steps, mostly within one.
  void Step() {
    SendPings();
    for (const double end = us_ + kStepUs; us_ < end; us_ += kStepUs / 5) {
      DeliverPings();
      DeliverAnswers();
      CheckClaims();
    }
  }

  // Applies one action of a script, and runs some steps. `target` selects the node, `argument` a view or a
  // number.
  void ApplyAction(std::uint8_t kind, std::uint8_t target, std::uint8_t argument) {
    const std::size_t node = target % kNodes;
    switch (kind % 8) {
      case 0:
        UpdateView(node, argument % 3);
        break;
      case 1:  // consecutive nodes: a block or a part of it
        for (std::size_t i = node; i < node + 1 + target / 32 && i < kNodes; ++i) UpdateView(i, argument % 3);
        break;
      case 2:
        nodes_[node].ResetAfterPause(LocalTime(node));
        break;
      case 3:
        unable_to_answer_.insert(node);
        break;
      case 4:
        unable_to_receive_.insert(node);
        break;
      case 5:
        unable_to_answer_.clear();
        unable_to_receive_.clear();
        break;
      case 6:
        loss_percent_ = argument % 60;
        break;
      default:
        ChangeViewAndBack(node, argument);
    }
    // In half of the cases long enough until all acknowledge a view again.
    for (int i = argument % 2 == 0 ? 50 : argument % 16; i >= 0; --i) Step();
  }

  // Number of times that a node claimed that all members acknowledge its view.
  int claims() const { return claims_; }
  // Number of members in these claims that had not acknowledged the view within the validity.
  int false_claims() const { return false_claims_; }

 private:
  struct Ping {
    std::size_t from = 0;
    std::size_t to = 0;
    TimePoint sent{};  // by the clock of `from`
    std::uint64_t view = 0;
    double arrives_us = 0;
    bool by_block = false;
  };
  struct Answer {
    Ping ping;
    std::uint64_t acknowledged_view = 0;
    std::uint64_t view = 0;
    std::string ages;
    std::string block_ages;
    double arrives_us = 0;
  };

  static std::uint64_t IncarnationIdOf(std::size_t node) { return node + 1; }
  TimePoint LocalTime(std::size_t node) const {
    return TimePoint(Duration(static_cast<std::int64_t>(clock_offsets_[node] + clock_rates_[node] * us_)));
  }
  void UpdateView(std::size_t node, std::size_t view) {
    if (!std::ranges::binary_search(views_[view], IncarnationIdOf(node))) return;
    nodes_[node].UpdateView(LocalTime(node), view + 1, views_[view]);
  }
  // Changes the view of a node and back again, with some steps in between.
  void ChangeViewAndBack(std::size_t node, std::uint8_t argument) {
    const std::uint64_t view = nodes_[node].view();
    UpdateView(node, argument % 3);
    for (int i = argument / 3 % 4; i >= 0; --i) Step();
    if (view > 0) UpdateView(node, view - 1);
  }
  double DrawArrival() {
    return us_ + static_cast<double>(random_() % (random_() % 10 == 0 ? 300000 : 10000));
  }

  void SendPings() {
    for (std::size_t i = 0; i < kNodes; ++i) {
      const std::size_t to = random_() % kNodes;
      if (to == i) continue;
      pings_.push_back({i, to, LocalTime(i), nodes_[i].view(), DrawArrival(), random_() % 8 != 0});
    }
  }

  void DeliverPings() {
    for (const Ping& ping : std::exchange(pings_, {})) {
      if (ping.arrives_us > us_) {
        pings_.push_back(ping);
        continue;
      }
      if (static_cast<int>(random_() % 100) < loss_percent_ || unable_to_answer_.contains(ping.to)) continue;
      const QuorumTracker& node = nodes_[ping.to];
      const TimePoint now = LocalTime(ping.to);
      Answer answer{ping, node.AcknowledgedView(now), node.view(), {}, {}, DrawArrival()};
      if (ping.by_block) {
        answer.block_ages = node.BlockAcknowledgementAges(now, ping.view, IncarnationIdOf(ping.from));
      } else {
        answer.ages = node.AcknowledgementAges(now, ping.view);
      }
      if (answer.acknowledged_view != 0) acknowledged_us_[{ping.to, answer.acknowledged_view}] = us_;
      answers_.push_back(answer);
    }
  }

  void DeliverAnswers() {
    for (const Answer& answer : std::exchange(answers_, {})) {
      if (answer.arrives_us > us_) {
        answers_.push_back(answer);
        continue;
      }
      if (unable_to_receive_.contains(answer.ping.from)) continue;
      QuorumTracker& node = nodes_[answer.ping.from];
      node.RecordAcknowledgement(IncarnationIdOf(answer.ping.to), answer.ping.sent, answer.acknowledged_view);
      node.MergeAcknowledgementAges(answer.ping.sent, answer.view, answer.ages);
      node.MergeBlockAcknowledgementAges(answer.ping.sent, answer.view, answer.block_ages);
    }
  }

  void CheckClaims() {
    for (std::size_t i = 0; i < kNodes; ++i) {
      const auto until = nodes_[i].AllAcknowledgedUntil(LocalTime(i));
      const bool is_complete = nodes_[i].Assess(LocalTime(i)).state == QuorumState::kComplete;
      if (!until && !is_complete) continue;
      ++claims_;
      for (const std::uint64_t incarnation_id : nodes_[i].incarnation_ids()) {
        if (incarnation_id == IncarnationIdOf(i)) continue;
        const auto known = acknowledged_us_.find({incarnation_id - 1, nodes_[i].view()});
        // The age in real time; the check counts it by the slowest clock.
        const double age_us = known == acknowledged_us_.end() ? 1e18 : us_ - known->second;
        false_claims_ += age_us * slowest_rate_ > kValidityUs + 50 ? 1 : 0;
      }
    }
  }

  std::mt19937_64 random_;
  double slowest_rate_;
  double us_ = 5e6;
  int loss_percent_ = 0;
  std::vector<std::vector<std::uint64_t>> views_;
  std::vector<double> clock_rates_;
  std::vector<double> clock_offsets_;
  std::vector<QuorumTracker> nodes_;
  std::vector<Ping> pings_;
  std::vector<Answer> answers_;
  std::set<std::size_t> unable_to_answer_;
  std::set<std::size_t> unable_to_receive_;
  std::map<std::pair<std::size_t, std::uint64_t>, double> acknowledged_us_;  // last time, by node and view
  int claims_ = 0;
  int false_claims_ = 0;
};

TEST_CASE(
    "no tracker claims that all members acknowledge its view if one has not done so within the validity") {
  long claims = 0;
  CHECK(rc::check("generated scripts",
                  [&](const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& script,
                      std::uint64_t seed, bool drifting) {
                    TrackerSimulation simulation(seed, drifting ? Clocks::kDrifting : Clocks::kExact);
                    for (int i = 0; i < 60; ++i) simulation.Step();
                    for (const auto& [kind, target, argument] : script) {
                      simulation.ApplyAction(kind, target, argument);
                      RC_ASSERT(simulation.false_claims() == 0);
                    }
                    claims += simulation.claims();
                  }));
  MESSAGE("claims: ", claims);
  CHECK(claims > 10000);  // with fewer claims the test would show nothing
}

}  // namespace
}  // namespace lynxgrade::membership
