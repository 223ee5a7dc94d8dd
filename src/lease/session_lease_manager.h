// The owner's side of the directory of sessions: who holds which session of those that this instance owns,
// and with which mark it is handed on.
//
// Owns the table of entries, in bounded memory; no clock, no I/O. At most one lease of a key runs at a time
// under one view, and an entry is kept for as long as its lease may run, also while this instance stands by
// another view. docs/design/session-directory.md has the argument.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "lease/lease_message.h"

namespace lynxgrade::lease {

class SessionLeaseManager {
 public:
  struct Options {
    Duration lease{30000000};   // as the holder counts it
    Duration recall{30000000};  // how long after its answer a write is guarded
    std::size_t entries = 65536;
    // Taken out by tests and the laboratory alone: each makes stale reads possible.
    bool recalls = true;      // a holder is recalled before another is granted
    bool lease_floor = true;  // the end of a lease that ran out is a floor
    bool records = true;      // grants that are not exact are recorded
  };
  struct Counts {
    std::uint64_t grants = 0, exact = 0, recalls = 0, lapsed = 0, denied = 0, evicted = 0;
  };

  explicit SessionLeaseManager(const Options& options) : options_(options) {}

  // `whole_since`: since when this instance has been proven whole under the view that the ask names, without
  // a break; absent if it is not.
  void Ask(TimePoint now, IncarnationId from, const LeaseMessage& ask, std::optional<TimePoint> whole_since,
           LeaseOutbox& out);
  // `whole_since` likewise, for the grant to who waits for it.
  void Release(TimePoint now, IncarnationId from, const LeaseMessage& release,
               std::optional<TimePoint> whole_since, LeaseOutbox& out);
  // Forgets what is no longer guarded. To be called now and then.
  void Sweep(TimePoint now);

  const Counts& counts() const { return counts_; }
  std::size_t size() const { return table_.size(); }

 private:
  struct Place {
    std::uint64_t view = 0;
    consistency::SessionKey key{};
    bool operator==(const Place&) const = default;
  };
  struct Hash {  // views and keys are hashes already
    std::size_t operator()(const Place& place) const {
      return static_cast<std::size_t>(place.view * 31 + static_cast<std::uint64_t>(place.key));
    }
  };
  struct Entry {
    IncarnationId holder = 0;  // zero: released
    std::uint64_t serial = 0;
    TimePoint expires{};             // of the lease, as late as the holder's clock may make it
    std::optional<TimePoint> floor;  // others may have answered up to then what nobody handed on
    std::optional<consistency::WriteWatermark> watermark;
    std::optional<LogPosition> forgotten;
    IncarnationId waiter = 0;
    std::uint64_t waiter_id = 0;
    int recalls = 0;  // of this grant
  };

  void Grant(TimePoint now, IncarnationId to, std::uint64_t id, GroupId group, const Place& place,
             Entry& entry, std::optional<TimePoint> whole_since, LeaseOutbox& out);
  static void Merge(Entry& entry, const LeaseMessage& release);
  // Makes room where the table is full; false if all leases run.
  bool Room(TimePoint now);
  Duration Lease() const { return options_.lease + options_.lease / 10; }  // clocks run within a tenth

  Options options_;
  std::unordered_map<Place, Entry, Hash> table_;
  std::optional<TimePoint> evicted_floor_;  // of what had to be forgotten for want of room
  TimePoint made_room_{};
  std::uint64_t serial_ = 0;
  Counts counts_;
};

}  // namespace lynxgrade::lease
