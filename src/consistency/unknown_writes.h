// Intervals of log positions in which writes unknown to this instance may have been answered.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "consistency/write_watermark.h"

namespace lynxgrade::consistency {

// Tracks the writes that this instance may not know: those before its own start, those that peers have not
// replicated to it yet, and those whose watermarks were lost in transit. Not thread-safe; reads no clock and
// does no I/O.
class UnknownWrites {
 public:
  // `write_retention`: how long after its answer a write is guaranteed to be visible; older intervals are
  // dropped.
  explicit UnknownWrites(Duration write_retention) : write_retention_(write_retention) {}

  // This instance started at `now` and recovered every write answered before `recovered_through` (absent:
  // none).
  void SetStart(TimePoint now, std::optional<TimePoint> recovered_through);

  // Records that `peer` answers writes and that this instance knows those answered up to `through`. An
  // earlier time than the recorded one has no effect.
  void SetReplicatedThrough(std::uint64_t peer, TimePoint through);
  // Records that `peer` has stopped answering writes.
  void RemovePeer(std::uint64_t peer) { replicated_through_.erase(peer); }
  // The time up to which the writes of all peers are known. Absent if there are no peers.
  std::optional<TimePoint> ReplicatedThrough() const;

  // Records that writes which `peer` answered in `interval` may never become known.
  void AddInterval(std::uint64_t peer, const WriteInterval& interval);
  // Removes the intervals of `peer`, whose writes have all become known.
  void RemoveIntervals(std::uint64_t peer);

  // The intervals that are relevant to a read which arrived at `arrived`, restricted to positions after
  // `oldest`.
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
