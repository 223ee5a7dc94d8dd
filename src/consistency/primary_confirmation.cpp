#include "consistency/primary_confirmation.h"

#include <algorithm>

#include "fleet/fleet_size.h"

namespace lynxgrade::consistency {
namespace {

// Checks of one primary by all instances together. In a larger fleet, peers report what they heard.
constexpr std::int64_t kMaxChecksPerSecond = 10;
constexpr Duration kSecond{1'000'000};
constexpr Duration kScanInterval{50'000};

}  // namespace

// Three quarters of a failover leave time for a second check within two failovers.
PrimaryConfirmation::PrimaryConfirmation(const Options& options)
    : options_(options), interval_(options.min_failover_time * 3 / 4) {
  const std::int64_t fleet_size = fleet::EffectiveFleetSize(options.fleet_size);
  enabled_ = options.may_check && kSecond * fleet_size <= interval_ * kMaxChecksPerSecond;
}

void PrimaryConfirmation::RecordGuardedWrite(GroupId group, LogPosition position) {
  if (!enabled_) return;
  LogPosition& newest = groups_[group].newest_write;
  newest = std::max(newest, position);
}

std::vector<ServerId> PrimaryConfirmation::DueAt(TimePoint now,
                                                 const std::map<GroupId, PrimaryTimeline>& timelines) {
  std::vector<ServerId> due;
  if (now < next_scan_) return due;
  next_scan_ = now + kScanInterval;
  std::erase_if(groups_,
                [&](const auto& item) { return item.second.newest_write + options_.write_retention < now; });
  for (auto& [group, guarded] : groups_) {
    const auto timeline = timelines.find(group);
    if (timeline == timelines.end() || !timeline->second.primary()) continue;
    if (now - std::max(timeline->second.confirmed(), guarded.checked) < interval_) continue;
    guarded.checked = now;
    due.push_back(*timeline->second.primary());
  }
  return due;
}

}  // namespace lynxgrade::consistency
