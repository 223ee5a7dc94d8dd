#include "lease/session_lease_client.h"

#include <algorithm>
#include <vector>

namespace lynxgrade::lease {

SessionLeaseClient::SessionLeaseClient(const Options& options, KnownWatermarks& watermarks, TimePoint started)
    : options_(options),
      watermarks_(watermarks),
      started_(started),
      manager_(options.manager),
      read_limiter_(options.read_requests_per_s, options.bytes_per_s, started) {}

// ---- The acknowledged view ----------------------------------------------------------------------------

void SessionLeaseClient::UpdateView(TimePoint now, const ViewAgreement& agreement) {
  if (!view_.Update(now, agreement)) return;
  leases_.clear();
  requests_.clear();
}

std::optional<TimePoint> SessionLeaseClient::CompleteSince(std::uint64_t view) const {
  if (!view_.complete() || view != view_.view()) return std::nullopt;
  return options_.manager_requires_unbroken_view ? view_.complete_since() : view_.first_complete();
}

bool SessionLeaseClient::IsBoundByView(TimePoint now) const {
  if (view_.exists()) return now - view_.acknowledged_at() <= BindingDuration();
  return options_.wait_after_start && !options_.single_instance && now - started_ <= BindingDuration();
}

// ---- The leases held ----------------------------------------------------------------------------------

const SessionLeaseClient::Lease* SessionLeaseClient::FindLease(TimePoint now,
                                                               consistency::SessionKey key) const {
  const auto it = leases_.find(key);
  if (it == leases_.end()) return nullptr;
  const bool expired = now - it->second.requested_at >= options_.manager.lease_duration;
  return expired ? nullptr : &it->second;
}

bool SessionLeaseClient::MayAnswerWrite(TimePoint now, consistency::SessionKey key) const {
  if (!options_.writes_require_lease) return true;
  if (superseded_) return false;
  return !IsBoundByView(now) || FindLease(now, key) != nullptr;
}

std::optional<LogPosition> SessionLeaseClient::CompleteThrough(TimePoint now,
                                                               consistency::SessionKey key) const {
  if (!view_.complete()) return std::nullopt;
  const Lease* lease = FindLease(now, key);
  if (lease == nullptr || !lease->completeness) return std::nullopt;
  if (options_.require_unbroken_view && lease->completeness->requested_at < view_.complete_since()) {
    return std::nullopt;
  }
  return lease->completeness->conservative_position;
}

bool SessionLeaseClient::IsLeaseSufficient(TimePoint now, consistency::SessionKey key, Use use) const {
  const Lease* lease = FindLease(now, key);
  if (lease == nullptr) return false;
  const bool recent = now - lease->requested_at < options_.manager.lease_duration * 2 / 3;
  // A lease that is good for writes alone is requested again once a grant could tell more.
  return recent && (use == Use::kWrite || CompleteThrough(now, key) || !view_.complete());
}

// ---- Requests -----------------------------------------------------------------------------------------

bool SessionLeaseClient::AcquireLease(TimePoint now, GroupId group, consistency::SessionKey key, Use use,
                                      LeaseOutbox& out) {
  if (!IsBoundByView(now) || !view_.exists()) return false;  // without a view there is no manager
  const TimePoint until = now + (use == Use::kWrite ? kWriteRequestLifetime : kReadRequestLifetime);
  if (const auto pending = requests_.find(key); pending != requests_.end()) {
    pending->second.until = std::max(pending->second.until, until);
    return true;
  }
  if (IsLeaseSufficient(now, key, use)) return false;
  if (use == Use::kRead && !AdmitReadRequest(now, key)) return false;
  PendingRequest& request = requests_[key];
  request = {++last_request_id_, group, now, now, kInitialBackoff, 0, until};
  // Over a third instance there are two round trips, and each message may be delayed.
  if (MayBatch(now)) request.backoff = kInitialBackoff * 2 + options_.batching_delay * kMessagesPerMove;
  SendRequest(now, key, request, out);
  return true;
}

bool SessionLeaseClient::AdmitReadRequest(TimePoint now, consistency::SessionKey key) {
  // While this instance's own view is incomplete, no grant helps a read.
  if (!view_.complete()) return false;
  if (SelectLeaseManager(key, view_.managers()) == options_.self) return true;
  const ReadRequestLimiter::Decision decision = read_limiter_.Admit(now, requests_.size());
  if (decision == ReadRequestLimiter::Decision::kAdmitted) return true;
  ++counts_.suppressed_reads;
  if (decision == ReadRequestLimiter::Decision::kOverBudget) ++counts_.over_budget;
  return false;
}

void SessionLeaseClient::SendRequest(TimePoint now, consistency::SessionKey key, PendingRequest& request,
                                     LeaseOutbox& out) {
  request.next_attempt = now + request.backoff;
  request.backoff = std::min(request.backoff * 2, kMaxBackoff);
  ++counts_.requests;
  LeaseMessage acquire{LeaseMessage::Kind::kAcquire, view_.view(), key, request.group};
  acquire.request_id = request.request_id;
  const int attempts = ++request.attempts;
  const bool may_batch = attempts == 1 && MayBatch(now);
  Send(now, {SelectLeaseManager(key, view_.managers()), acquire, attempts, may_batch}, out);
}

void SessionLeaseClient::Tick(TimePoint now, LeaseOutbox& out) {
  std::erase_if(requests_, [&](const auto& item) { return item.second.until < now; });
  // Collected first: a request to this instance itself may be granted at once, which removes it.
  std::vector<consistency::SessionKey> due;
  for (const auto& [key, request] : requests_) {
    if (now >= request.next_attempt) due.push_back(key);
  }
  for (const consistency::SessionKey key : due) {
    const auto it = requests_.find(key);
    if (it != requests_.end()) SendRequest(now, key, it->second, out);
  }
  if (now - expired_at_ < kExpiryInterval) return;
  expired_at_ = now;
  manager_.RemoveExpired(now);
  std::erase_if(leases_, [&](const auto& item) {
    return now - item.second.requested_at >= options_.manager.lease_duration;
  });
}

// ---- Messages -----------------------------------------------------------------------------------------

void SessionLeaseClient::Send(TimePoint now, const OutgoingLeaseMessage& outgoing, LeaseOutbox& out) {
  if (outgoing.receiver != options_.self) return out.push_back(outgoing);
  HandleMessage(now, outgoing.receiver, outgoing.message, out);
}

void SessionLeaseClient::HandleMessage(TimePoint now, IncarnationId sender, const LeaseMessage& message,
                                       LeaseOutbox& out) {
  LeaseOutbox responses;
  switch (message.kind) {
    case LeaseMessage::Kind::kAcquire:
      manager_.HandleAcquire(now, sender, message, CompleteSince(message.view), responses);
      break;
    case LeaseMessage::Kind::kGrant:
      HandleGrant(now, sender, message);
      break;
    case LeaseMessage::Kind::kRevoke:
      HandleRevoke(now, sender, message, responses);
      break;
    case LeaseMessage::Kind::kRelease:
      manager_.HandleRelease(now, sender, message, CompleteSince(message.view), responses);
      break;
  }
  for (const OutgoingLeaseMessage& response : responses) Send(now, response, out);
}

void SessionLeaseClient::HandleGrant(TimePoint now, IncarnationId sender, const LeaseMessage& grant) {
  if (grant.watermark) watermarks_.Learn(grant.key, *grant.watermark);
  if (grant.view != view_.view()) return;
  const auto pending = requests_.find(grant.key);
  const bool requested = pending != requests_.end() && pending->second.request_id == grant.request_id;
  // Otherwise the request was given up, cancelled by a revocation, or has been granted.
  if (!requested && options_.revocation_cancels_request) return;
  if (sender != SelectLeaseManager(grant.key, view_.managers())) return;
  const TimePoint requested_at = pending != requests_.end() ? pending->second.requested_at : now;
  if (pending != requests_.end()) requests_.erase(pending);
  ++counts_.grants;
  if (grant.conservative_age) ++counts_.complete_grants;
  // Any lease may be dropped at any time; an instance that lacks one requests it.
  if (leases_.size() >= options_.lease_capacity && !leases_.contains(grant.key))
    leases_.erase(leases_.begin());
  const Lease lease{grant.grant_number, requested_at, CompletenessOf(now, grant, requested_at)};
  leases_[grant.key] = lease;
}

std::optional<SessionLeaseClient::Completeness> SessionLeaseClient::CompletenessOf(
    TimePoint now, const LeaseMessage& grant, TimePoint requested_at) const {
  if (grant.conservative_age) {
    // The grant was sent before now, so its conservative position lies further back, by a clock that runs
    // within a tenth of this one.
    LogPosition position = now - *grant.conservative_age + *grant.conservative_age / 10;
    if (grant.evicted_through) position = std::max(position, *grant.evicted_through);
    return Completeness{requested_at, position};
  }
  // If the former lease still runs, nobody else has answered writes since the grant that told it.
  const Lease* former = FindLease(now, grant.key);
  return former != nullptr ? former->completeness : std::nullopt;
}

void SessionLeaseClient::HandleRevoke(TimePoint now, IncarnationId sender, const LeaseMessage& revoke,
                                      LeaseOutbox& out) {
  if (revoke.view == view_.view()) {
    const auto lease = leases_.find(revoke.key);
    if (lease != leases_.end()) {
      if (lease->second.grant_number > revoke.grant_number) return;  // of an earlier grant, received late
      leases_.erase(lease);
    }
    // The revoked grant may still be on its way; it must not match the pending request.
    const auto pending = requests_.find(revoke.key);
    if (pending != requests_.end() && options_.revocation_cancels_request) {
      pending->second.request_id = ++last_request_id_;
      pending->second.requested_at = now;
    }
  }
  ++counts_.revocations;
  const consistency::SessionWatermarkTable::Known known = watermarks_.Newest(revoke.key);
  LeaseMessage release{LeaseMessage::Kind::kRelease, revoke.view, revoke.key, revoke.group};
  release.grant_number = revoke.grant_number;
  release.watermark = known.watermark;
  if (!known.watermark) release.evicted_through = known.conservative_position;
  Send(now, {sender, release, 1, MayBatch(now)}, out);
}

}  // namespace lynxgrade::lease
