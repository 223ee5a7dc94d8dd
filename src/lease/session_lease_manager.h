// The manager's side of session leases.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "lease/lease_message.h"

namespace lynxgrade::lease {

// Grants and revokes the leases of the session keys that this instance manages, and passes the newest known
// write of a session from one holder to the next. Under one view, at most one lease of a key is valid at a
// time. An entry is kept at least until its lease expires, even after this instance has acknowledged another
// view. docs/design/session-directory.md describes the rules and why they are safe.
//
// Owns the table of leases, in bounded memory. Not thread-safe; reads no clock and does no I/O.
class SessionLeaseManager {
 public:
  struct Options {
    // By the holder's clock, from when it sent the request.
    Duration lease_duration{30000000};
    // How long after its answer a write is guaranteed to be visible to its session.
    Duration write_retention{30000000};
    std::size_t entry_capacity = 65536;
    // For tests and the testbed only: if any of these rules is switched off, reads may be stale.
    bool revoke_before_grant = true;       // another holder's lease is revoked before a grant
    bool expiry_is_conservative = true;    // writes up to the end of an expired lease may be unknown
    bool record_incomplete_grants = true;  // grants under an incomplete view have an entry too
  };
  struct Counts {
    std::uint64_t grants = 0;
    std::uint64_t complete_grants = 0;
    std::uint64_t revocations = 0;
    std::uint64_t expired = 0;  // leases that expired without a release
    std::uint64_t denied = 0;   // requests ignored because the table was full
    std::uint64_t evicted = 0;
  };

  explicit SessionLeaseManager(const Options& options) : options_(options) {}

  // Handles a kAcquire from `requester`. `complete_since`: since when the view of the message has been
  // complete for this instance without interruption; absent if it is not.
  void HandleAcquire(TimePoint now, IncarnationId requester, const LeaseMessage& acquire,
                     std::optional<TimePoint> complete_since, LeaseOutbox& out);
  // Handles a kRelease from `holder`. Grants the lease to the instance that waits for it, if there is one.
  void HandleRelease(TimePoint now, IncarnationId holder, const LeaseMessage& release,
                     std::optional<TimePoint> complete_since, LeaseOutbox& out);
  // Removes the entries whose write retention has expired. Call about once a second.
  void RemoveExpired(TimePoint now);

  const Counts& counts() const { return counts_; }
  // Number of entries in the table.
  std::size_t size() const { return table_.size(); }

 private:
  struct EntryKey {
    std::uint64_t view = 0;
    consistency::SessionKey key{};
    bool operator==(const EntryKey&) const = default;
  };
  struct EntryKeyHash {  // views and keys are hashes already
    std::size_t operator()(const EntryKey& entry) const {
      return static_cast<std::size_t>(entry.view * 31 + static_cast<std::uint64_t>(entry.key));
    }
  };
  struct Entry {
    IncarnationId holder = 0;  // zero: released
    std::uint64_t grant_number = 0;
    TimePoint expires{};  // latest time at which the lease expires by the holder's clock
    // Holders may have answered writes up to this position whose watermarks the manager did not receive.
    std::optional<TimePoint> conservative_position;
    std::optional<consistency::WriteWatermark> watermark;
    std::optional<LogPosition> evicted_through;
    IncarnationId waiter = 0;
    std::uint64_t waiter_request_id = 0;
    int revocations = 0;  // revocations sent for this grant
  };
  struct Request {
    IncarnationId requester = 0;
    std::uint64_t request_id = 0;
    GroupId group{};
    EntryKey entry_key;
  };

  // Returns the entry of the key, adding one if there is none. Null if the table is full.
  Entry* FindOrAddEntry(TimePoint now, const EntryKey& entry_key);
  // Revokes the lease of the entry's holder. The requester of `request` waits for the release.
  void Revoke(const Request& request, Entry& entry, LeaseOutbox& out);
  void Grant(TimePoint now, const Request& request, Entry& entry, std::optional<TimePoint> complete_since,
             LeaseOutbox& out);
  static void MergeRelease(Entry& entry, const LeaseMessage& release);
  // Evicts the entries whose lease has expired. Returns whether the table has capacity now.
  bool EvictExpired(TimePoint now);
  // Clocks of two instances are assumed to run within a tenth of each other.
  Duration MaxLeaseDuration() const { return options_.lease_duration + options_.lease_duration / 10; }

  Options options_;
  std::unordered_map<EntryKey, Entry, EntryKeyHash> table_;
  std::optional<TimePoint> evicted_conservative_position_;  // of all evicted entries
  TimePoint last_eviction_{};
  std::uint64_t last_grant_number_ = 0;
  Counts counts_;
};

}  // namespace lynxgrade::lease
