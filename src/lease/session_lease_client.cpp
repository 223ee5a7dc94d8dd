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

void SessionLeaseClient::UpdateView(TimePoint now, const ViewStatus& status) {
  if (!view_.Update(now, status)) return;
  leases_.clear();
  requests_.clear();
}

std::optional<TimePoint> SessionLeaseClient::ViewCompleteSince(std::uint64_t view) const {
  if (!view_.complete() || view != view_.view()) return std::nullopt;
  return options_.manager_requires_unbroken_view ? view_.complete_since() : view_.first_complete();
}

bool SessionLeaseClient::IsBoundByView(TimePoint now) const {
  if (view_.exists()) return now - view_.acknowledged_at() <= BindingDuration();
  return options_.wait_after_start && !options_.single_instance && now - started_ <= BindingDuration();
}

// ---- Held leases --------------------------------------------------------------------------------------

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

std::optional<LogPosition> SessionLeaseClient::AllWritesKnownAfter(TimePoint now,
                                                                   consistency::SessionKey key) const {
  if (!view_.complete()) return std::nullopt;
  const Lease* lease = FindLease(now, key);
  if (lease == nullptr || !lease->proof) return std::nullopt;
  if (options_.require_unbroken_view && lease->proof->requested_at < view_.complete_since()) {
    return std::nullopt;
  }
  return lease->proof->conservative_position;
}

bool SessionLeaseClient::IsLeaseSufficient(TimePoint now, consistency::SessionKey key, Use use) const {
  const Lease* lease = FindLease(now, key);
  if (lease == nullptr) return false;
  const bool recent = now - lease->requested_at < options_.manager.lease_duration * 2 / 3;
  // A lease without a proof of completeness is requested again once the view is complete, when a grant can
  // contain one.
  return recent && (use == Use::kWrite || AllWritesKnownAfter(now, key) || !view_.complete());
}

// ---- Requests -----------------------------------------------------------------------------------------

bool SessionLeaseClient::AcquireLease(TimePoint now, GroupId group, consistency::SessionKey key, Use use,
                                      LeaseOutbox& out) {
  if (!IsBoundByView(now) || !view_.exists()) return false;  // without a view there is no manager
  const TimePoint expires = now + (use == Use::kWrite ? kWriteRequestLifetime : kReadRequestLifetime);
  if (const auto pending = requests_.find(key); pending != requests_.end()) {
    pending->second.expires = std::max(pending->second.expires, expires);
    return true;
  }
  if (IsLeaseSufficient(now, key, use)) return false;
  if (use == Use::kRead && !AdmitReadRequest(now, key)) return false;
  PendingRequest& request = requests_[key];
  request = {++last_request_id_, group, now, now, kInitialBackoff, 0, expires};
  // A transfer from another holder takes two round trips, and each message may be delayed by batching.
  if (MayBatch(now)) request.backoff = kInitialBackoff * 2 + options_.batching_delay * kMessagesPerTransfer;
  SendRequest(now, key, request, out);
  return true;
}

bool SessionLeaseClient::AdmitReadRequest(TimePoint now, consistency::SessionKey key) {
  // While this instance's own view is not complete, a grant is of no use to a read.
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
  std::erase_if(requests_, [&](const auto& item) { return item.second.expires < now; });
  // Collected before sending: if this instance is the manager, the request may be granted and removed at
  // once.
  std::vector<consistency::SessionKey> due;
  for (const auto& [key, request] : requests_) {
    if (now >= request.next_attempt) due.push_back(key);
  }
  for (const consistency::SessionKey key : due) {
    const auto it = requests_.find(key);
    if (it != requests_.end()) SendRequest(now, key, it->second, out);
  }
  if (now - last_expiry_ < kExpiryInterval) return;
  last_expiry_ = now;
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
      manager_.HandleAcquire(now, sender, message, ViewCompleteSince(message.view), responses);
      break;
    case LeaseMessage::Kind::kGrant:
      HandleGrant(now, sender, message);
      break;
    case LeaseMessage::Kind::kRevoke:
      HandleRevoke(now, sender, message, responses);
      break;
    case LeaseMessage::Kind::kRelease:
      manager_.HandleRelease(now, sender, message, ViewCompleteSince(message.view), responses);
      break;
  }
  for (const OutgoingLeaseMessage& response : responses) Send(now, response, out);
}

void SessionLeaseClient::HandleGrant(TimePoint now, IncarnationId sender, const LeaseMessage& grant) {
  if (grant.watermark) watermarks_.RecordWatermark(grant.key, *grant.watermark);
  if (grant.view != view_.view()) return;
  const auto pending = requests_.find(grant.key);
  const bool requested = pending != requests_.end() && pending->second.request_id == grant.request_id;
  // Otherwise the request has expired, was cancelled by a revocation, or has been granted before.
  if (!requested && options_.revocation_cancels_request) return;
  if (sender != SelectLeaseManager(grant.key, view_.managers())) return;
  const TimePoint requested_at = pending != requests_.end() ? pending->second.requested_at : now;
  if (pending != requests_.end()) requests_.erase(pending);
  ++counts_.grants;
  if (grant.conservative_age) ++counts_.complete_grants;
  // Any lease may be dropped at any time: it is requested again when it is needed.
  if (leases_.size() >= options_.lease_capacity && !leases_.contains(grant.key))
    leases_.erase(leases_.begin());
  const Lease lease{grant.grant_number, requested_at, ProofFrom(now, grant, requested_at)};
  leases_[grant.key] = lease;
}

std::optional<SessionLeaseClient::CompletenessProof> SessionLeaseClient::ProofFrom(
    TimePoint now, const LeaseMessage& grant, TimePoint requested_at) const {
  if (grant.conservative_age) {
    // The age was measured when the grant was sent, by a clock that runs within a tenth of this one. Counting
    // nine tenths of it back from now yields the manager's position or a later one, which is conservative.
    LogPosition position = now - *grant.conservative_age + *grant.conservative_age / 10;
    if (grant.evicted_through) position = std::max(position, *grant.evicted_through);
    return CompletenessProof{requested_at, position};
  }
  // If the former lease has not expired, no other instance has answered writes since the grant that proved
  // it.
  const Lease* former = FindLease(now, grant.key);
  return former != nullptr ? former->proof : std::nullopt;
}

void SessionLeaseClient::HandleRevoke(TimePoint now, IncarnationId sender, const LeaseMessage& revoke,
                                      LeaseOutbox& out) {
  if (revoke.view == view_.view()) {
    const auto lease = leases_.find(revoke.key);
    if (lease != leases_.end()) {
      if (lease->second.grant_number > revoke.grant_number) return;  // delayed, for an earlier grant
      leases_.erase(lease);
    }
    // The revoked grant may still be in transit; it must not match the pending request.
    const auto pending = requests_.find(revoke.key);
    if (pending != requests_.end() && options_.revocation_cancels_request) {
      pending->second.request_id = ++last_request_id_;
      pending->second.requested_at = now;
    }
  }
  ++counts_.revocations;
  const consistency::SessionWatermarkTable::LookupResult known = watermarks_.FindWatermark(revoke.key);
  LeaseMessage release{LeaseMessage::Kind::kRelease, revoke.view, revoke.key, revoke.group};
  release.grant_number = revoke.grant_number;
  release.watermark = known.watermark;
  if (!known.watermark) release.evicted_through = known.conservative_position;
  Send(now, {sender, release, 1, MayBatch(now)}, out);
}

}  // namespace lynxgrade::lease
