// Simulated databases: groups of a primary and replicas whose state is computed from the time, without
// sockets. Log positions are times, as with the simulated data servers. The coordinator announces each
// failure and promotion ahead of its time, so that all host processes compute the same state.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::testbed {

// The data of a member: all commits up to a position on a timeline.
struct DataState {
  LogPosition position{};
  std::size_t timeline = 0;  // number of promotions in the group so far
};

class SimulatedDatabases {
 public:
  // The number of members of each group.
  explicit SimulatedDatabases(const std::vector<int>& groups);

  struct Member {
    std::size_t group = 0, member = 0;
  };
  // The member that the i-th database is, counted in the order of groups.
  Member MemberAt(std::size_t database) const { return members_[database]; }
  std::size_t size() const { return members_.size(); }
  std::size_t groups() const { return groups_.size(); }

  // These take effect at the time `at`. After a primary's failure its group has no primary until a promotion.
  void Fail(std::size_t group, std::size_t member, TimePoint at);
  void Recover(std::size_t group, std::size_t member, TimePoint at);
  void Promote(std::size_t group, std::size_t member, TimePoint at);

  bool IsUp(Member member, TimePoint now) const;
  bool IsPrimary(Member member, TimePoint now) const;
  // The log position that the member reports, in whole milliseconds.
  LogPosition ReportedPosition(Member member, TimePoint now) const;
  DataState StateOf(Member member, TimePoint now) const;
  // Commits on the member; empty if it is not the primary.
  std::optional<DataState> Commit(Member member, TimePoint now) const;
  // Whether the data contains the write that was acknowledged as `write`.
  bool Contains(std::size_t group, const DataState& state, const DataState& write) const;

 private:
  struct Outage {
    TimePoint from{}, to = TimePoint::max();
  };
  struct Timeline {
    std::size_t member = 0;  // the primary
    TimePoint since{};
    TimePoint until = TimePoint::max();
    LogPosition inherited_up_to{};  // commits of the former timeline after this position are lost
  };
  struct Group {
    std::vector<std::vector<Outage>> down;  // by member
    std::vector<Timeline> timelines;
  };

  Duration ReplicationDelay(const Group& group, std::size_t member) const;
  // Index of the newest timeline that has started by `now`; its primary may have failed since.
  std::size_t TimelineAt(const Group& group, TimePoint now) const;

  std::vector<Group> groups_;
  std::vector<Member> members_;
};

}  // namespace lynxgrade::testbed
