#include "consistency/primary_timeline.h"

#include <algorithm>

namespace lynxgrade::consistency {

bool PrimaryTimeline::HandlePrimaryPosition(ServerId server, LogPosition position) {
  if (primary_ == server && !stepped_down_) {
    since_ = std::min(since_, position);
    confirmed_ = std::max(confirmed_, position);
    return false;
  }
  // A delayed report from before the present timeline.
  if (primary_ && position < since_) return false;
  StartTimeline(server, position);
  return true;
}

void PrimaryTimeline::StartTimeline(ServerId server, LogPosition position) {
  const auto replica_position = replica_positions_.extract(server);
  replicated_through_ = replica_position.empty() ? LogPosition{} : replica_position.mapped();
  if (primary_ == server) {
    // In between it was a replica of a primary that was never seen. The positions that it reported as a
    // replica do not prove that it kept its own earlier writes.
    replicated_through_ = LogPosition{};
    AddLoss({std::nullopt, replicated_through_, position});
  } else {
    AddLoss({server, std::min(replicated_through_, position), position});
  }
  primary_ = server;
  stepped_down_ = false;
  since_ = confirmed_ = position;
}

void PrimaryTimeline::AddLoss(const PossibleWriteLoss& loss) {
  losses_.push_back(loss);
  if (losses_.size() <= kMaxLosses) return;
  losses_[1].successor.reset();
  losses_[1].after = std::min(losses_[0].after, losses_[1].after);
  losses_[1].through = std::max(losses_[0].through, losses_[1].through);
  losses_.erase(losses_.begin());
}

void PrimaryTimeline::HandleReplicaPosition(ServerId server, LogPosition position) {
  if (server == primary_) {
    if (position < confirmed_) return;  // older than its last report as primary
    stepped_down_ = true;
  }
  // A later position may belong to a timeline that is not known yet. Lowering it to the trusted position
  // would claim that the server has replayed writes which it may lack, so it is not recorded at all.
  const auto trusted = MaxTrustedPosition();
  if (trusted && position > *trusted) return;
  RaiseReplicaPosition(server, position);
}

void PrimaryTimeline::RaiseReplicaPosition(ServerId server, LogPosition position) {
  LogPosition& newest = replica_positions_.try_emplace(server, position).first->second;
  newest = std::max(newest, position);
}

std::optional<LogPosition> PrimaryTimeline::MaxTrustedPosition() const {
  if (!primary_) return std::nullopt;
  return confirmed_ + min_failover_time_;
}

bool PrimaryTimeline::MayBeLost(const WriteWatermark& watermark) const {
  for (auto loss = losses_.begin(); loss != losses_.end(); ++loss) {
    if (watermark.position <= loss->after || (loss->successor && watermark.server == loss->successor))
      continue;
    if (watermark.position <= loss->through) return true;
    // A write that a replaced primary answered after its successor was seen is lost, unless the replaced
    // primary became primary again later.
    const bool primary_again = std::any_of(loss + 1, losses_.end(), [&](const PossibleWriteLoss& next) {
      return next.successor == watermark.server && watermark.position > next.after;
    });
    if (watermark.server && !primary_again) return true;
  }
  return false;
}

bool PrimaryTimeline::MayBeLost(const WriteInterval& interval) const {
  return std::ranges::any_of(losses_, [&](const PossibleWriteLoss& loss) {
    return loss.after < interval.through && interval.after < loss.through;
  });
}

bool PrimaryTimeline::Merge(ServerId primary, LogPosition since, LogPosition replicated_through,
                            LogPosition confirmed) {
  if (!primary_ || (*primary_ != primary && since > confirmed_)) {
    if (replicated_through > LogPosition{}) RaiseReplicaPosition(primary, replicated_through);
    StartTimeline(primary, since);
    confirmed_ = std::max(confirmed_, confirmed);
    return true;
  }
  for (PossibleWriteLoss& loss : losses_) {
    if (loss.successor != primary || since > loss.through) continue;
    // The peer saw the same timeline begin earlier, so fewer writes of the predecessor can be lost.
    if (replicated_through > loss.through) continue;
    loss.through = std::min(loss.through, since);
    loss.after = std::max(loss.after, std::min(replicated_through, loss.through));
  }
  if (primary_ == primary) {
    since_ = std::min(since_, since);
    replicated_through_ = std::max(replicated_through_, std::min(replicated_through, since_));
    confirmed_ = std::max(confirmed_, confirmed);
  }
  return false;
}

std::size_t PrimaryTimeline::ForgetLossesBefore(LogPosition position) {
  return std::erase_if(losses_, [&](const PossibleWriteLoss& loss) { return loss.through < position; });
}

}  // namespace lynxgrade::consistency
