// Hollow databases: groups of a primary and replicas that answer from a table, without sockets. Positions are
// times, as the stand-ins tell them; who is primary, and from when on, is told by the coordinator ahead of
// the time, so that all hosts hold the same.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::testbed {

// What data some member holds: all up to a position, on one line of reigns.
struct Held {
  LogPosition position{};
  std::size_t reign = 0;  // 0: the first
};

class Databases {
 public:
  // How long each group has, in members.
  explicit Databases(const std::vector<int>& groups);

  struct Where {
    std::size_t group = 0, member = 0;
  };
  // Of the i-th database, in the order of groups.
  Where At(std::size_t database) const { return where_[database]; }
  std::size_t size() const { return where_.size(); }
  std::size_t groups() const { return groups_.size(); }

  // From `at` on. A primary's end leaves its group without one until the next reign.
  void Die(std::size_t group, std::size_t member, TimePoint at);
  void Return(std::size_t group, std::size_t member, TimePoint at);
  void Promote(std::size_t group, std::size_t member, TimePoint at);

  bool Up(Where where, TimePoint now) const;
  bool IsPrimary(Where where, TimePoint now) const;
  // The position that it tells, in whole milliseconds.
  LogPosition Tells(Where where, TimePoint now) const;
  Held Holds(Where where, TimePoint now) const;
  // A commit there; absent where it is not primary.
  std::optional<Held> Commit(Where where, TimePoint now) const;
  // Whether what is held has a write that was answered as `wrote`.
  bool Has(std::size_t group, const Held& held, const Held& wrote) const;

 private:
  struct Outage {
    TimePoint from{}, to = TimePoint::max();
  };
  struct Reigning {
    std::size_t member = 0;
    TimePoint since{};
    TimePoint until = TimePoint::max();
    LogPosition had{};  // of the reign before, all up to here
  };
  struct Group {
    std::vector<std::vector<Outage>> down;  // by member
    std::vector<Reigning> timelines;
  };

  Duration DelayOf(const Group& group, std::size_t member) const;
  // The reign at a time, or the last before it; whether it is over.
  std::size_t ReignAt(const Group& group, TimePoint now) const;

  std::vector<Group> groups_;
  std::vector<Where> where_;
};

}  // namespace lynxgrade::testbed
