// Intervals of log positions in which writes may have been answered that this instance does not know.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "consistency/write_watermark.h"

namespace lynxgrade::consistency {

// Tracks what this instance may have missed: writes before its own start, writes that peers have not
// replicated to it yet, and writes that were lost on the way. Not thread-safe; reads no clock and does no
// I/O.
class UnknownWrites {
 public:
  // `write_retention`: how long after its answer a write is guarded; older intervals are dropped.
  explicit UnknownWrites(Duration write_retention) : write_retention_(write_retention) {}

  // This instance started at `now` and recovered every write answered before `recovered_through` (absent:
  // none).
  void SetStart(TimePoint now, std::optional<TimePoint> recovered_through);

  // `peer` answers writes, and all that it answered up to `through` are known here. Never moves backwards.
  void SetReplicatedThrough(std::uint64_t peer, TimePoint through);
  // `peer` has stopped answering writes.
  void RemovePeer(std::uint64_t peer) { replicated_through_.erase(peer); }
  // Up to when the writes of all peers are known. Absent if there are no peers.
  std::optional<TimePoint> ReplicatedThrough() const;

  // Writes that `peer` answered in `interval` may stay unknown for good.
  void AddInterval(std::uint64_t peer, const WriteInterval& interval);
  // All writes of `peer` in its intervals have become known.
  void RemoveIntervals(std::uint64_t peer);

  // The intervals that matter to a read which arrived at `arrived`, each cut to what lies after `oldest`.
  std::vector<WriteInterval> Intervals(TimePoint oldest, TimePoint arrived) const;

 private:
  struct PeerInterval {
    WriteInterval interval;
    std::uint64_t peer = 0;
  };

  Duration write_retention_;
  std::optional<TimePoint> started_;
  std::optional<TimePoint> recovered_through_;
  std::map<std::uint64_t, TimePoint> replicated_through_;  // by peer
  std::vector<PeerInterval> intervals_;
};

}  // namespace lynxgrade::consistency
