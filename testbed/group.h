// A model of one group of data servers: a primary, replicas that apply its log with a delay, and failovers
// that lose the tail of the log. Owns the log and the data of each member; has no sockets and no clock of its
// own.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::testbed {

class Group {
 public:
  struct Options {
    std::size_t members = 3;
    // From commit to applied on a replica; up to twice as much on later members.
    Duration replication_delay{8000};
    Duration failover_time{1500000};  // from the primary's failure to the promotion of its successor
  };

  Group(Options options, TimePoint now);

  std::size_t size() const { return members_.size(); }
  bool up(std::size_t member) const { return members_[member].up; }
  std::optional<std::size_t> primary() const { return primary_; }
  bool IsPrimary(std::size_t member) const { return primary_ == member; }

  // Commits on the primary and returns the commit's position; empty if the member is not the primary.
  std::optional<LogPosition> Write(std::size_t member, const std::string& object, std::int64_t version,
                                   TimePoint now);
  // Newest version of the object that the member has applied; 0 if none.
  std::int64_t Read(std::size_t member, const std::string& object, TimePoint now);
  // Position up to which the member has applied the log, rounded down to milliseconds.
  LogPosition PositionOf(std::size_t member, TimePoint now);

  void Fail(std::size_t member, TimePoint now);
  // The member comes back as a replica and rebuilds its data from the log of the current timeline.
  void Recover(std::size_t member, TimePoint now);
  void SetReplicationDelay(std::size_t member, Duration replication_delay) {
    members_[member].replication_delay = replication_delay;
  }
  // Promotes the replica with the most log entries once the failover time has passed since the primary's
  // failure. Returns true if it did. To be called every few milliseconds.
  bool CompleteFailover(TimePoint now);
  // Acknowledged commits that were lost in failovers.
  std::uint64_t lost_commits() const { return lost_commits_; }

 private:
  struct Entry {
    LogPosition at;
    std::string object;
    std::int64_t version = 0;
  };
  struct Member {
    bool up = true;
    Duration replication_delay{0};
    std::size_t applied = 0;  // number of applied log entries
    LogPosition position{};
    std::unordered_map<std::string, std::int64_t> objects;
  };

  void ApplyReplicated(Member& member, TimePoint now);
  void ApplyEntry(Member& member, const Entry& entry);

  Options options_;
  std::vector<Member> members_;
  std::vector<Entry> log_;
  std::optional<std::size_t> primary_;
  std::optional<TimePoint> primary_failed_at_;  // set until a successor is promoted
  std::uint64_t lost_commits_ = 0;
};

}  // namespace lynxgrade::testbed
