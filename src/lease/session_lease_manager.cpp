#include "lease/session_lease_manager.h"

#include <algorithm>

namespace lynxgrade::lease {
namespace {

constexpr Duration kEvictionInterval{100000};  // avoids a scan of a full table for every request

}  // namespace

void SessionLeaseManager::HandleAcquire(TimePoint now, IncarnationId requester, const LeaseMessage& acquire,
                                        std::optional<TimePoint> complete_since, LeaseOutbox& out) {
  const Request request{requester, acquire.request_id, acquire.group, {acquire.view, acquire.key}};
  if (!options_.record_incomplete_grants && !complete_since && !table_.contains(request.entry_key)) {
    Entry unrecorded;
    return Grant(now, request, unrecorded, complete_since, out);
  }
  Entry* entry = FindOrAddEntry(now, request.entry_key);
  if (entry == nullptr) {
    ++counts_.denied;
    return;
  }
  if (entry->holder != 0 && entry->holder != requester) {
    if (now < entry->expires && options_.revoke_before_grant) return Revoke(request, *entry, out);
    // The holder has not released the lease and may have answered writes until it expired.
    ++counts_.expired;
    if (options_.expiry_is_conservative) {
      entry->conservative_position =
          std::max(entry->conservative_position.value_or(entry->expires), entry->expires);
    }
  }
  Grant(now, request, *entry, complete_since, out);
}

SessionLeaseManager::Entry* SessionLeaseManager::FindOrAddEntry(TimePoint now, const EntryKey& entry_key) {
  const auto found = table_.find(entry_key);
  if (found != table_.end()) return &found->second;
  if (table_.size() >= options_.entry_capacity && !EvictExpired(now)) return nullptr;
  Entry& entry = table_[entry_key];
  entry.conservative_position = evicted_conservative_position_;
  return &entry;
}

void SessionLeaseManager::Revoke(const Request& request, Entry& entry, LeaseOutbox& out) {
  entry.waiter = request.requester;
  entry.waiter_request_id = request.request_id;
  ++counts_.revocations;
  LeaseMessage revoke{LeaseMessage::Kind::kRevoke, request.entry_key.view, request.entry_key.key,
                      request.group};
  revoke.grant_number = entry.grant_number;
  out.push_back({entry.holder, revoke, ++entry.revocations});
}

void SessionLeaseManager::Grant(TimePoint now, const Request& request, Entry& entry,
                                std::optional<TimePoint> complete_since, LeaseOutbox& out) {
  entry.holder = request.requester;
  entry.grant_number = ++last_grant_number_;
  entry.expires = now + MaxLeaseDuration();
  entry.waiter = 0;
  entry.revocations = 0;
  ++counts_.grants;
  LeaseMessage grant{LeaseMessage::Kind::kGrant, request.entry_key.view, request.entry_key.key,
                     request.group};
  grant.request_id = request.request_id;
  grant.grant_number = entry.grant_number;
  grant.watermark = entry.watermark;
  grant.evicted_through = entry.evicted_through;
  if (complete_since) {
    ++counts_.complete_grants;
    const TimePoint conservative_position =
        std::max(*complete_since, entry.conservative_position.value_or(*complete_since));
    grant.conservative_age = std::max(Duration{0}, now - conservative_position);
  }
  out.push_back({request.requester, grant, 1});
}

void SessionLeaseManager::MergeRelease(Entry& entry, const LeaseMessage& release) {
  if (release.watermark && (!entry.watermark || release.watermark->position > entry.watermark->position)) {
    entry.watermark = release.watermark;
  }
  if (release.evicted_through) {
    entry.evicted_through =
        std::max(entry.evicted_through.value_or(*release.evicted_through), *release.evicted_through);
  }
}

void SessionLeaseManager::HandleRelease(TimePoint now, IncarnationId holder, const LeaseMessage& release,
                                        std::optional<TimePoint> complete_since, LeaseOutbox& out) {
  const EntryKey entry_key{release.view, release.key};
  const auto it = table_.find(entry_key);
  if (it == table_.end()) return;
  Entry& entry = it->second;
  MergeRelease(entry, release);  // a known write is valid whichever grant is released
  if (entry.holder != holder || entry.grant_number != release.grant_number) return;
  entry.holder = 0;
  entry.expires = now;
  if (entry.waiter == 0) return;
  const Request waiting{entry.waiter, entry.waiter_request_id, release.group, entry_key};
  Grant(now, waiting, entry, complete_since, out);
}

void SessionLeaseManager::RemoveExpired(TimePoint now) {
  std::erase_if(table_,
                [&](const auto& item) { return item.second.expires + options_.write_retention < now; });
}

bool SessionLeaseManager::EvictExpired(TimePoint now) {
  if (now - last_eviction_ < kEvictionInterval) return false;
  last_eviction_ = now;
  std::erase_if(table_, [&](const auto& item) {
    const Entry& entry = item.second;
    if (now < entry.expires) return false;
    // New entries, for this key and any other, start with the end of the evicted lease as their conservative
    // position.
    const TimePoint through = std::max(entry.expires, entry.conservative_position.value_or(entry.expires));
    evicted_conservative_position_ = std::max(evicted_conservative_position_.value_or(through), through);
    ++counts_.evicted;
    return true;
  });
  return table_.size() < options_.entry_capacity;
}

}  // namespace lynxgrade::lease
