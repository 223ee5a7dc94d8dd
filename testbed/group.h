// A model of one group of data servers: a primary, replicas that apply its log late, and changes of primary
// that lose the log's tail. Owns the log and what each member holds; knows no sockets, and is told the time.
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
    Duration ship{8000};         // from commit to applied on a replica; each one's own is up to twice as much
    Duration failover{1500000};  // from a primary's death to its successor's first answer
  };

  Group(Options options, TimePoint now);

  std::size_t size() const { return members_.size(); }
  bool up(std::size_t member) const { return members_[member].up; }
  std::optional<std::size_t> primary() const { return primary_; }
  bool IsPrimary(std::size_t member) const { return primary_ == member; }

  // Commits on the primary; its position. Absent where the member is not primary.
  std::optional<LogPosition> Write(std::size_t member, const std::string& object, std::int64_t version,
                                   TimePoint now);
  // What the member holds: the newest version applied there, zero for none.
  std::int64_t Read(std::size_t member, const std::string& object, TimePoint now);
  // Up to where it has applied all, rounded down to milliseconds.
  LogPosition At(std::size_t member, TimePoint now);

  void Die(std::size_t member, TimePoint now);
  // Comes back as a replica of whoever reigns, rewound to that one's log.
  void Return(std::size_t member, TimePoint now);
  // A replica falls behind by so much.
  void Lag(std::size_t member, Duration ship) { members_[member].ship = ship; }
  // To be called often: completes a change of primary that is due. True where one was.
  bool Advance(TimePoint now);
  // Commits that were answered and went with a primary.
  std::uint64_t lost() const { return lost_; }

 private:
  struct Entry {
    LogPosition at;
    std::string object;
    std::int64_t version = 0;
  };
  struct Member {
    bool up = true;
    Duration ship{0};
    std::size_t applied = 0;  // entries of the log
    LogPosition reached{};
    std::unordered_map<std::string, std::int64_t> objects;
  };

  void Apply(Member& member, TimePoint now);
  void Take(Member& member, const Entry& entry);

  Options options_;
  std::vector<Member> members_;
  std::vector<Entry> log_;
  std::optional<std::size_t> primary_;
  std::optional<TimePoint> died_;  // the primary, with no successor yet
  std::uint64_t lost_ = 0;
};

}  // namespace lynxgrade::testbed
