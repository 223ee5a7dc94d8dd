// Decides when a quiet group's primary is to be checked, so that no change of primary is missed.
//
// Without any response of a group for two failovers, a primary may have been replaced and have returned, and
// reads of writes from before would have to be rejected.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "consistency/primary_timeline.h"
#include "routing/balancer.h"

namespace lynxgrade::consistency {

// Not thread-safe; reads no clock and does no I/O.
class PrimaryConfirmation {
 public:
  struct Options {
    Duration min_failover_time{};  // see PrimaryTimeline
    Duration write_retention{};    // how long a write is guarded
    std::uint32_t fleet_size = 0;  // instances that may check the same primary; 0: unknown
    bool may_check = false;        // whether data servers accept health checks that report their role
  };
  explicit PrimaryConfirmation(const Options& options);

  // Records that a write of the group, answered at `position`, is guarded here.
  void RecordGuardedWrite(GroupId group, LogPosition position);
  // The primaries to check now: of groups with a guarded write, those that have not been heard for most of a
  // failover and were not checked meanwhile. Call every few milliseconds.
  std::vector<ServerId> DueAt(TimePoint now, const std::map<GroupId, PrimaryTimeline>& timelines);

 private:
  struct GuardedGroup {
    LogPosition newest_write{};
    TimePoint checked{};
  };

  Options options_;
  Duration interval_;
  bool enabled_;
  TimePoint next_scan_{};
  std::map<GroupId, GuardedGroup> groups_;
};

}  // namespace lynxgrade::consistency
