#include "consistency/primary_timeline.h"

#include <algorithm>

namespace lynxgrade::consistency {

bool PrimaryTimeline::HandlePrimaryPosition(ServerId server, LogPosition position) {
  if (primary_ == server && !stepped_down_) {
    since_ = std::min(since_, position);
    confirmed_ = std::max(confirmed_, position);
    return false;
  }
  // An old claim that is heard late changes nothing: the present reign is known to have begun after it.
  if (primary_ && position < since_) return false;
  StartTimeline(server, position);
  return true;
}

void PrimaryTimeline::StartTimeline(ServerId server, LogPosition position) {
  const auto standby = replica_positions_.extract(server);
  held_ = standby.empty() ? LogPosition{} : standby.mapped();
  if (primary_ == server) {
    // It was a replica in between, of a primary that was never heard: what it said of its log as such proves
    // nothing of its own writes.
    held_ = LogPosition{};
    AddLoss({std::nullopt, held_, position});
  } else {
    AddLoss({server, std::min(held_, position), position});
  }
  primary_ = server;
  stepped_down_ = false;
  since_ = confirmed_ = position;
}

void PrimaryTimeline::AddLoss(const PossibleWriteLoss& loss) {
  losses_.push_back(loss);
  if (losses_.size() <= kMaxLosses) return;
  losses_[1].successor.reset();
  losses_[1].held = std::min(losses_[0].held, losses_[1].held);
  losses_[1].until = std::max(losses_[0].until, losses_[1].until);
  losses_.erase(losses_.begin());
}

void PrimaryTimeline::HandleReplicaPosition(ServerId server, LogPosition position) {
  if (server == primary_) {
    if (position < confirmed_) return;  // older than its last word as primary
    stepped_down_ = true;
  }
  // Past what is believed it may stand on the timeline of a reign that is not known yet, and proves nothing
  // of the one that is: cut down to what is believed it would vouch for a tail that it may not hold.
  const auto most = TrustedThrough();
  if (most && position > *most) return;
  LogPosition& newest = replica_positions_.try_emplace(server, position).first->second;
  newest = std::max(newest, position);
}

std::optional<LogPosition> PrimaryTimeline::TrustedThrough() const {
  if (!primary_) return std::nullopt;
  return confirmed_ + min_failover_time_;
}

// What a primary answered after its successor was heard is on no timeline that goes on, unless it came to
// reign again later.
bool PrimaryTimeline::MayBeLost(const WriteWatermark& watermark) const {
  for (auto loss = losses_.begin(); loss != losses_.end(); ++loss) {
    if (watermark.position <= loss->held || (loss->successor && watermark.by == loss->successor)) continue;
    if (watermark.position <= loss->until) return true;
    const bool later = std::any_of(loss + 1, losses_.end(), [&](const PossibleWriteLoss& next) {
      return next.successor == watermark.by && watermark.position > next.held;
    });
    if (watermark.by && !later) return true;
  }
  return false;
}

bool PrimaryTimeline::MayBeLost(LogPosition from, LogPosition to) const {
  return std::ranges::any_of(
      losses_, [&](const PossibleWriteLoss& loss) { return loss.held < to && from < loss.until; });
}

bool PrimaryTimeline::Learn(ServerId primary, LogPosition since, LogPosition held, LogPosition confirmed) {
  if (!primary_ || (*primary_ != primary && since > confirmed_)) {
    if (held > LogPosition{}) {
      LogPosition& newest = replica_positions_.try_emplace(primary, held).first->second;
      newest = std::max(newest, held);
    }
    StartTimeline(primary, since);
    confirmed_ = std::max(confirmed_, confirmed);
    return true;
  }
  for (PossibleWriteLoss& loss : losses_) {
    if (loss.successor != primary || since > loss.until) continue;
    // The same reign, heard earlier: fewer writes of its predecessor can have been answered after it began.
    if (held > loss.until) continue;
    loss.until = std::min(loss.until, since);
    loss.held = std::max(loss.held, std::min(held, loss.until));
  }
  if (primary_ == primary) {
    since_ = std::min(since_, since);
    held_ = std::max(held_, std::min(held, since_));
    confirmed_ = std::max(confirmed_, confirmed);
  }
  return false;
}

std::size_t PrimaryTimeline::ForgetLossesBefore(LogPosition position) {
  return std::erase_if(losses_, [&](const PossibleWriteLoss& loss) { return loss.until < position; });
}

}  // namespace lynxgrade::consistency
