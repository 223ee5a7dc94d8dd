#include "lease/session_lease_client.h"

#include <algorithm>
#include <utility>

namespace lynxgrade::lease {

SessionLeaseClient::SessionLeaseClient(const Options& options, KnownWatermarks& watermarks, TimePoint started)
    : options_(options),
      watermarks_(watermarks),
      started_(started),
      owner_(options.owner),
      budget_(options.bytes_per_s, started) {
  tokens_ = options_.reads_per_s;
  tokens_at_ = started;
}

void SessionLeaseClient::See(TimePoint now, const ViewAgreement& standpoint) {
  const std::uint64_t declares = standpoint.declares;
  if (declares != 0) {
    if (declares != view_) {
      view_ = declares;
      incarnation_ids_ = *standpoint.incarnation_ids;
      holds_.clear();
      wants_.clear();
      whole_ = false;
      first_whole_ = TimePoint{};
    }
    declared_ = now;
  }
  const bool whole = declares != 0 && standpoint.whole.value_or(whole_);
  if (whole && !whole_) {
    whole_since_ = now;
    if (first_whole_ == TimePoint{}) first_whole_ = now;
  }
  whole_ = whole;
}

std::optional<TimePoint> SessionLeaseClient::WholeSince(std::uint64_t view) const {
  if (!whole_ || view != view_) return std::nullopt;
  return options_.owner_unbroken ? whole_since_ : first_whole_;
}

bool SessionLeaseClient::Bound(TimePoint now) const {
  if (view_ != 0) return now - declared_ <= BoundFor();
  return options_.start_waits && !options_.alone && now - started_ <= BoundFor();
}

const SessionLeaseClient::Hold* SessionLeaseClient::LiveHold(TimePoint now,
                                                             consistency::SessionKey key) const {
  const auto it = holds_.find(key);
  if (it == holds_.end() || now - it->second.leased >= options_.owner.lease) return nullptr;
  return &it->second;
}

bool SessionLeaseClient::MayAnswer(TimePoint now, consistency::SessionKey key) const {
  if (!options_.writes_wait) return true;
  if (aside_) return false;
  return !Bound(now) || LiveHold(now, key) != nullptr;
}

std::optional<LogPosition> SessionLeaseClient::Exact(TimePoint now, consistency::SessionKey key) const {
  if (!whole_) return std::nullopt;
  const Hold* hold = LiveHold(now, key);
  if (hold == nullptr || !hold->exact) return std::nullopt;
  if (options_.unbroken && hold->exact_asked < whole_since_) return std::nullopt;
  return hold->floor;
}

bool SessionLeaseClient::Token(TimePoint now) {
  const double seconds = 1e-6 * static_cast<double>((now - tokens_at_).count());
  tokens_ = std::min(std::max(1.0, options_.reads_per_s), tokens_ + seconds * options_.reads_per_s);
  tokens_at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

bool SessionLeaseClient::Admits(TimePoint now) {
  // What is out already will be answered, and none of that is spent yet.
  if (!budget_.Allows(now, kAskBytes * (wants_.size() + 1))) {
    ++counts_.capped;
    ++counts_.over_budget;
    return false;
  }
  if (Token(now)) return true;
  ++counts_.capped;
  return false;
}

bool SessionLeaseClient::Want(TimePoint now, GroupId group, consistency::SessionKey key, Use use,
                              LeaseOutbox& out) {
  if (!Bound(now) || view_ == 0) return false;  // nobody owns anything for who stands by nothing
  const TimePoint until = now + (use == Use::kWrite ? kWantWrite : kWantRead);
  if (const auto wanted = wants_.find(key); wanted != wants_.end()) {
    wanted->second.until = std::max(wanted->second.until, until);
    return true;
  }
  if (const Hold* hold = LiveHold(now, key)) {
    const bool fresh = now - hold->leased < options_.owner.lease * 2 / 3;
    // One that is good for writes alone is worth asking for again once it would be exact.
    const bool enough = use == Use::kWrite || Exact(now, key) || !whole_;
    if (fresh && enough) return false;
  }
  // Where this instance is not proven whole itself no grant helps a read.
  if (use == Use::kRead && !whole_) return false;
  if (use == Use::kRead && OwnerOf(key, incarnation_ids_) != options_.self && !Admits(now)) return false;
  Want_& want = wants_[key];
  want = {++last_id_, group, now, now, kFirstRetry, 0, until};
  // By a third there are two round trips, and each leg may wait.
  if (MayWait(now)) want.pause = kFirstRetry * 2 + options_.coalesce * kLegs;
  Ask(now, key, want, out);
  return true;
}

void SessionLeaseClient::Ask(TimePoint now, consistency::SessionKey key, Want_& want, LeaseOutbox& out) {
  want.next = now + want.pause;
  want.pause = std::min(want.pause * 2, kLastRetry);
  ++counts_.asks;
  LeaseMessage ask{LeaseMessage::Kind::kAcquire, view_, key, want.group};
  ask.id = want.id;
  const int tries = ++want.tries;
  Send(now, {OwnerOf(key, incarnation_ids_), ask, tries, tries == 1 && MayWait(now)}, out);
}

// What goes to this instance itself never leaves it.
void SessionLeaseClient::Send(TimePoint now, const OutgoingLeaseMessage& one, LeaseOutbox& out) {
  if (one.to != options_.self) return out.push_back(one);
  Handle(now, one.to, one.message, out);
}

void SessionLeaseClient::Handle(TimePoint now, IncarnationId from, const LeaseMessage& message,
                                LeaseOutbox& out) {
  LeaseOutbox said;
  switch (message.kind) {
    case LeaseMessage::Kind::kAcquire:
      owner_.Ask(now, from, message, WholeSince(message.view), said);
      break;
    case LeaseMessage::Kind::kGrant:
      TakeGrant(now, from, message);
      break;
    case LeaseMessage::Kind::kRevoke:
      TakeRecall(now, from, message, said);
      break;
    case LeaseMessage::Kind::kRelease:
      owner_.Release(now, from, message, WholeSince(message.view), said);
      break;
  }
  for (const OutgoingLeaseMessage& one : said) Send(now, one, out);
}

void SessionLeaseClient::Take(TimePoint now, IncarnationId from, const LeaseMessage& message,
                              LeaseOutbox& out) {
  Handle(now, from, message, out);
}

void SessionLeaseClient::Tick(TimePoint now, LeaseOutbox& out) {
  std::erase_if(wants_, [&](const auto& item) { return item.second.until < now; });
  std::vector<consistency::SessionKey> due;  // an ask of this instance's own may end its want
  for (const auto& [key, want] : wants_) {
    if (now >= want.next) due.push_back(key);
  }
  for (const consistency::SessionKey key : due) {
    const auto it = wants_.find(key);
    if (it != wants_.end()) Ask(now, key, it->second, out);
  }
  if (now - swept_ < kSweepEvery) return;
  swept_ = now;
  owner_.Sweep(now);
  std::erase_if(holds_, [&](const auto& item) { return now - item.second.leased >= options_.owner.lease; });
}

void SessionLeaseClient::TakeGrant(TimePoint now, IncarnationId from, const LeaseMessage& grant) {
  if (grant.watermark) watermarks_.Learn(grant.key, *grant.watermark);
  const auto wanted = wants_.find(grant.key);
  if (grant.view != view_) return;
  const bool asked = wanted != wants_.end() && wanted->second.id == grant.id;
  if (!asked && options_.serials) return;  // the ask was given up, or answered
  if (from != OwnerOf(grant.key, incarnation_ids_)) return;
  const TimePoint asked_at = wanted != wants_.end() ? wanted->second.asked : now;
  if (wanted != wants_.end()) wants_.erase(wanted);
  ++counts_.grants;
  // A hold may be forgotten at any time; who lacks one asks.
  if (holds_.size() >= options_.holds && !holds_.contains(grant.key)) holds_.erase(holds_.begin());
  const Hold* former = LiveHold(now, grant.key);
  Hold hold;
  hold.serial = grant.serial;
  hold.leased = asked_at;
  if (grant.floor_age) {
    ++counts_.exact;
    hold.exact = true;
    hold.exact_asked = asked_at;
    // It was sent before now, so the floor lies further back; by a clock that runs within a tenth of this
    // one.
    hold.floor = now - *grant.floor_age + *grant.floor_age / 10;
    if (grant.forgotten) hold.floor = std::max(hold.floor, *grant.forgotten);
  } else if (former != nullptr && former->exact) {
    // Held all the time since an exact grant, as the old lease still runs: nobody else has answered.
    hold.exact = true;
    hold.exact_asked = former->exact_asked;
    hold.floor = former->floor;
  }
  holds_[grant.key] = hold;
}

void SessionLeaseClient::TakeRecall(TimePoint now, IncarnationId from, const LeaseMessage& recall,
                                    LeaseOutbox& out) {
  if (recall.view == view_) {
    const auto held = holds_.find(recall.key);
    if (held != holds_.end()) {
      if (held->second.serial > recall.serial) return;  // of an earlier grant, and late
      holds_.erase(held);
    }
    // The grant that is recalled may still be under way: it is to find nobody.
    const auto wanted = wants_.find(recall.key);
    if (wanted != wants_.end() && options_.serials) {
      wanted->second.id = ++last_id_;
      wanted->second.asked = now;
    }
  }
  ++counts_.recalled;
  const consistency::SessionWatermarkTable::Known known = watermarks_.Newest(recall.key);
  LeaseMessage release{LeaseMessage::Kind::kRelease, recall.view, recall.key, recall.group};
  release.serial = recall.serial;
  release.watermark = known.watermark;
  if (!known.watermark) release.forgotten = known.conservative_position;
  Send(now, {from, release, 1, MayWait(now)}, out);
}

}  // namespace lynxgrade::lease
