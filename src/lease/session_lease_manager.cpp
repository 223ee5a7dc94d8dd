#include "lease/session_lease_manager.h"

#include <algorithm>

namespace lynxgrade::lease {
namespace {

constexpr Duration kRoomEvery{100000};  // a full table is not looked through for each ask

}  // namespace

void SessionLeaseManager::Ask(TimePoint now, IncarnationId from, const LeaseMessage& ask,
                              std::optional<TimePoint> whole_since, LeaseOutbox& out) {
  const Place place{ask.view, ask.key};
  auto it = table_.find(place);
  if (it == table_.end()) {
    if (!options_.records && !whole_since) {
      Entry passing;
      return Grant(now, from, ask.id, ask.group, place, passing, whole_since, out);
    }
    if (table_.size() >= options_.entries && !Room(now)) {
      ++counts_.denied;
      return;
    }
    it = table_.try_emplace(place).first;
    it->second.floor = evicted_floor_;
  }
  Entry& entry = it->second;
  if (entry.holder != 0 && entry.holder != from) {
    if (now < entry.expires && options_.recalls) {
      entry.waiter = from;
      entry.waiter_id = ask.id;
      ++counts_.recalls;
      LeaseMessage recall{LeaseMessage::Kind::kRevoke, ask.view, ask.key, ask.group};
      recall.serial = entry.serial;
      out.push_back({entry.holder, recall, ++entry.recalls});
      return;
    }
    // Its lease ran out: it may have answered up to the end of it, and what it knows never came.
    ++counts_.lapsed;
    if (options_.lease_floor) entry.floor = std::max(entry.floor.value_or(entry.expires), entry.expires);
  }
  Grant(now, from, ask.id, ask.group, place, entry, whole_since, out);
}

void SessionLeaseManager::Grant(TimePoint now, IncarnationId to, std::uint64_t id, GroupId group,
                                const Place& place, Entry& entry, std::optional<TimePoint> whole_since,
                                LeaseOutbox& out) {
  entry.holder = to;
  entry.serial = ++serial_;
  entry.expires = now + Lease();
  entry.waiter = 0;
  entry.recalls = 0;
  ++counts_.grants;
  LeaseMessage grant{LeaseMessage::Kind::kGrant, place.view, place.key, group};
  grant.id = id;
  grant.serial = entry.serial;
  grant.watermark = entry.watermark;
  grant.forgotten = entry.forgotten;
  if (whole_since) {
    ++counts_.exact;
    const TimePoint floor = std::max(*whole_since, entry.floor.value_or(*whole_since));
    grant.floor_age = std::max(Duration{0}, now - floor);
  }
  out.push_back({to, grant, 1});
}

void SessionLeaseManager::Merge(Entry& entry, const LeaseMessage& release) {
  if (release.watermark && (!entry.watermark || release.watermark->position > entry.watermark->position)) {
    entry.watermark = release.watermark;
  }
  if (release.forgotten) {
    entry.forgotten = std::max(entry.forgotten.value_or(*release.forgotten), *release.forgotten);
  }
}

void SessionLeaseManager::Release(TimePoint now, IncarnationId from, const LeaseMessage& release,
                                  std::optional<TimePoint> whole_since, LeaseOutbox& out) {
  const Place place{release.view, release.key};
  const auto it = table_.find(place);
  if (it == table_.end()) return;
  Entry& entry = it->second;
  Merge(entry, release);  // knowing more does no harm, whichever grant it speaks of
  if (entry.holder != from || entry.serial != release.serial) return;
  entry.holder = 0;
  entry.expires = now;
  if (entry.waiter == 0) return;
  Grant(now, entry.waiter, entry.waiter_id, release.group, place, entry, whole_since, out);
}

void SessionLeaseManager::Sweep(TimePoint now) {
  std::erase_if(table_, [&](const auto& item) { return item.second.expires + options_.recall < now; });
}

bool SessionLeaseManager::Room(TimePoint now) {
  if (now - made_room_ < kRoomEvery) return false;
  made_room_ = now;
  std::erase_if(table_, [&](const auto& item) {
    const Entry& entry = item.second;
    if (now < entry.expires) return false;
    // What was known of it is forgotten: the next who asks takes the end of its lease for a floor, and so
    // does everybody else whose key is not recorded.
    const TimePoint until = std::max(entry.expires, entry.floor.value_or(entry.expires));
    evicted_floor_ = std::max(evicted_floor_.value_or(until), until);
    ++counts_.evicted;
    return true;
  });
  return table_.size() < options_.entries;
}

}  // namespace lynxgrade::lease
