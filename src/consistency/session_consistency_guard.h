// Keeps the sessions' guarantee round the decision module: gives each read its target, learns from answers,
// and turns away what cannot be kept. Hosted by the pooler and by the simulator's adapter alike.
//
// Owns the ledger, the reigns of all groups and what is known to be unknown; it chooses no server, reads no
// clock and does no I/O. The events that it sees are those that the module is to be fed, in their order.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "consistency/primary_timeline.h"
#include "consistency/session_watermark_table.h"
#include "routing/balancer.h"

namespace lynxgrade::consistency {

// Which writes an own-read must see.
enum class Scope {
  kInstance,    // those that this instance has answered since its start
  kEverywhere,  // those that any instance has answered, also before a restart
};

struct Options {
  Scope scope = Scope::kInstance;
  std::size_t sessions = 8192;  // marks held at about half load: 256 KB
  Duration recall{120000000};   // how long after its answer a write is still guarded
  // kEverywhere alone, from here on:
  Duration least_failover{1000000};  // see PrimaryTimeline
  bool refuse_doubt = true;          // a write that may be lost turns reads away; else they are served
  Duration hold{30000};              // how long a read may wait for word from the other instances
};

// Why a read was turned away.
enum class Reason {
  kLost,     // its session's write may have been lost with a primary
  kUnknown,  // writes that are not known here may have been lost with a primary
};
const char* NameOf(Reason reason);

struct RejectedRead {
  RequestId id{};
  Reason reason = Reason::kLost;
};

struct SessionConsistencyCounts {
  std::uint64_t reads = 0;    // session reads seen
  std::uint64_t marked = 0;   // whose session's write was known
  std::uint64_t floored = 0;  // which got a target for what is not known
  std::uint64_t exact = 0;    // for which all writes of the session were known, by Holding
  std::uint64_t lost = 0;     // turned away, by reason
  std::uint64_t unknown = 0;
  std::uint64_t too_old = 0;  // answers from data older than the target, not handed on
  std::uint64_t losses = 0;   // changes of primary that may have lost writes
};

// Who may answer a session's writes, where one instance holds a session at a time (src/lease). Without it
// every instance may, and what the others answered is told by coverage.
class SessionLeases {
 public:
  // All writes of the session that any instance has answered up to now are known here, but for those up to
  // the position that is returned. Absent: they may not be.
  virtual std::optional<LogPosition> Exact(SessionKey key) = 0;
  // The session has come with a write, or else a read. Whether an answer is expected that may make it exact.
  virtual bool Want(GroupId group, SessionKey key, bool write) = 0;

 protected:
  ~SessionLeases() = default;
};

class SessionConsistencyGuard {
 public:
  SessionConsistencyGuard(const Settings& settings, Options options);

  // To be called with each event before the module sees it, at a clock that never falls. Fills in a read's
  // target; takes away a position that proves nothing; makes a miss of an answer that is too old.
  void Before(TimePoint now, Event& event);
  // The reads that can no longer be kept, each named once: the host answers them refused, does not serve
  // them, and tells the module, if it has them, that they are gone. To be asked for after Before and Learn.
  std::vector<RejectedRead> TakeTurned() { return std::exchange(turned_, {}); }
  // The request has had its final answer by one of these.
  void After(const Actions& actions);
  void Over(RequestId id) { open_.erase(id); }

  // A write that was answered here: for the other instances and the disk.
  using Wrote = std::function<void(GroupId, SessionKey, const WriteWatermark&)>;
  void OnWrite(Wrote wrote) { wrote_ = std::move(wrote); }
  // The reigns have changed.
  void OnReign(std::function<void()> changed) { reign_changed_ = std::move(changed); }
  // A change of primary, as one line for the log.
  using Say = std::function<void(std::string)>;
  void OnLog(Say say) { say_ = std::move(say); }

  // ---- What comes from elsewhere: the other instances, and an earlier life of this one ----

  // This instance began at `now`, and knows of all writes answered before `recovered_to` (absent: of none).
  // Those answered after that, until `now`, are not known.
  void Started(TimePoint now, std::optional<TimePoint> recovered_to);
  // A mark whose group is not told says nothing of who is primary.
  void Learn(std::optional<GroupId> group, SessionKey key, const WriteWatermark& watermark);
  void LearnReign(GroupId group, ServerId primary, LogPosition since, LogPosition held,
                  LogPosition confirmed);
  // What was forgotten there: any session may have written up to here.
  void LearnForgotten(LogPosition position) { watermark_table_.RaiseFloor(position); }
  // Instance `peer` answers writes too, and all that it answered before `upto` is known here.
  void Covered(std::uint64_t peer, TimePoint upto);
  // It answers no more, or its writes no longer count.
  void Uncount(std::uint64_t peer) { covered_.erase(peer); }
  // Writes that `peer` may have answered in (from, to] are not known, and may never be.
  void AddGap(std::uint64_t peer, TimePoint from, TimePoint to);
  // They are known after all.
  void CloseGaps(std::uint64_t peer);
  // Up to when the writes of all other instances are known; absent where there are none.
  std::optional<TimePoint> CoveredUpTo() const;
  // Whether a session read that arrived at `arrived` gains by waiting for word from the other instances; asks
  // for it where sessions are held by one instance at a time.
  bool WorthHolding(const RequestEvent& event, TimePoint arrived);
  // Whether that word has come, to one that has waited.
  bool WordCame(const RequestEvent& event) const;
  // From now on sessions are held by one instance at a time, as this one knows.
  void SetHolding(SessionLeases* holding) { holding_ = holding; }
  Duration hold() const { return options_.hold; }

  const SessionWatermarkTable& watermark_table() const { return watermark_table_; }
  const std::map<GroupId, PrimaryTimeline>& timelines() const { return timelines_; }
  const SessionConsistencyCounts& counts() const { return counts_; }
  Scope scope() const { return options_.scope; }
  Duration recall() const { return options_.recall; }

 private:
  struct Open {
    GroupId group{};
    SessionKey key{};
    TimePoint arrived{};
    bool write = false;
    std::optional<WriteWatermark> watermark;
    std::optional<LogPosition> target;
    std::optional<LogPosition> exact;  // see Holding
  };
  struct Gap {
    LogPosition from, to;
    std::uint64_t peer = 0;
  };

  bool Everywhere() const { return options_.scope == Scope::kEverywhere; }
  void Take(TimePoint now, ListEvent& event);
  void Drop(ServerId server);
  void Take(TimePoint now, RequestEvent& event);
  void Take(TimePoint now, AttemptEndedEvent& event);
  void Take(TimePoint now, HealthCheckEvent& event);
  void TakeRole(GroupId group, ServerId server, std::optional<bool> primary,
                std::optional<LogPosition>& position, TimePoint now);
  PrimaryTimeline& ReignsOf(GroupId group);
  // Times in which writes may have been answered that are not known here, for a read that arrived at `at`.
  // Those before its session's newest known write do not matter to it.
  std::vector<Gap> Gaps(TimePoint at, const std::optional<WriteWatermark>& watermark) const;
  std::vector<Gap> GapsOf(const Open& read) const;
  std::optional<Reason> Doubt(const Open& read, TimePoint now) const;
  void NewReign(GroupId group, TimePoint now);
  void Turn(RequestId id, Reason reason);

  std::vector<RequestClass> classes_;
  bool carried_;
  Options options_;
  SessionWatermarkTable watermark_table_;
  std::map<GroupId, PrimaryTimeline> timelines_;
  std::unordered_map<ServerId, GroupId> groups_;
  std::unordered_map<RequestId, Open> open_;
  std::map<std::uint64_t, TimePoint> covered_;
  std::vector<Gap> gaps_;
  SessionLeases* holding_ = nullptr;
  std::optional<TimePoint> started_;
  std::optional<TimePoint> recovered_to_;
  TimePoint now_{};
  Wrote wrote_;
  std::function<void()> reign_changed_;
  Say say_;
  std::vector<RejectedRead> turned_;
  SessionConsistencyCounts counts_;
};

}  // namespace lynxgrade::consistency
