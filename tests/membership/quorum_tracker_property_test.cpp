// Trackers that ping each other under drawn scripts: none claims that all acknowledge its view unless each
// has done so within the validity.
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

// Ten trackers, which hold three views of nine of them and pause. The simulation knows what each has truly
// acknowledged.
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

  // Each node pings one other. A message takes up to twelve steps, mostly less than one.
  void Step() {
    SendPings();
    for (const double end = us_ + kStepUs; us_ < end; us_ += kStepUs / 5) {
      DeliverPings();
      DeliverAnswers();
      CheckClaims();
    }
  }

  // One action of a script, and some steps.
  void Act(std::uint8_t kind, std::uint8_t a, std::uint8_t b) {
    const std::size_t node = a % kNodes;
    switch (kind % 8) {
      case 0:
        UpdateView(node, b % 3);
        break;
      case 1:  // neighbours at once: a block, or some of it
        for (std::size_t i = node; i < node + 1 + a / 32 && i < kNodes; ++i) UpdateView(i, b % 3);
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
        loss_percent_ = b % 60;
        break;
      default:
        VisitView(node, b);
    }
    // Now and then until all acknowledge a view again.
    for (int i = b % 2 == 0 ? 50 : b % 16; i >= 0; --i) Step();
  }

  // Moments at which a node claimed that all acknowledge its view, and of these members for which it was not
  // so.
  int claims() const { return claims_; }
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
    Ping to;
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
  // Changes the view of a node and back again, with what it received in between.
  void VisitView(std::size_t node, std::uint8_t b) {
    const std::uint64_t view = nodes_[node].view();
    UpdateView(node, b % 3);
    for (int i = b / 3 % 4; i >= 0; --i) Step();
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
      if (unable_to_receive_.contains(answer.to.from)) continue;
      QuorumTracker& node = nodes_[answer.to.from];
      node.RecordAcknowledgement(IncarnationIdOf(answer.to.to), answer.to.sent, answer.acknowledged_view);
      node.MergeAcknowledgementAges(answer.to.sent, answer.view, answer.ages);
      node.MergeBlockAcknowledgementAges(answer.to.sent, answer.view, answer.block_ages);
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
        // Its age, if each part of it was counted by the slowest clock.
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
  std::map<std::pair<std::size_t, std::uint64_t>, double> acknowledged_us_;  // last, by node and view
  int claims_ = 0;
  int false_claims_ = 0;
};

TEST_CASE("nobody claims that all acknowledge its view when one has not within the validity") {
  long claims = 0;
  CHECK(rc::check("drawn scripts",
                  [&](const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& script,
                      std::uint64_t seed, bool drifting) {
                    TrackerSimulation simulation(seed, drifting ? Clocks::kDrifting : Clocks::kExact);
                    for (int i = 0; i < 60; ++i) simulation.Step();
                    for (const auto& [kind, a, b] : script) {
                      simulation.Act(kind, a, b);
                      RC_ASSERT(simulation.false_claims() == 0);
                    }
                    claims += simulation.claims();
                  }));
  MESSAGE("moments at which one claimed so: ", claims);
  CHECK(claims > 10000);  // otherwise it shows nothing
}

}  // namespace
}  // namespace lynxgrade::membership
