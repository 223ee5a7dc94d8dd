// Read-your-writes consistency for sessions, around the decision module.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "consistency/primary_timeline.h"
#include "consistency/session_leases.h"
#include "consistency/session_watermark_table.h"
#include "consistency/unknown_writes.h"
#include "consistency/write_watermark.h"
#include "routing/balancer.h"

namespace lynxgrade::consistency {

// Which writes a read-your-writes read must see.
enum class Scope {
  kInstance,    // those that this instance has answered since its start
  kEverywhere,  // those that any instance has answered, also before a restart
};

struct Options {
  Scope scope = Scope::kInstance;
  // Sessions whose watermark is kept, at about half load of the table: 256 KB by default.
  std::size_t session_capacity = 8192;
  // How long after its answer a write is guarded.
  Duration write_retention{120000000};

  // The rest applies to Scope::kEverywhere only.

  // See PrimaryTimeline.
  Duration min_failover_time{1000000};
  // Whether reads of a session whose write may be lost are rejected. Otherwise they are served.
  bool reject_uncertain_reads = true;
  // How long a read may be delayed until the writes of the other instances are known.
  Duration max_read_delay{30000};
};

enum class RejectionReason {
  kLostWrite,     // a known write of the session may have been lost with a primary
  kUnknownWrite,  // a write that is not known here may have been lost with a primary
};
// The reason as a phrase for the client.
const char* NameOf(RejectionReason reason);

struct RejectedRead {
  RequestId id{};
  RejectionReason reason = RejectionReason::kLostWrite;
};

struct SessionConsistencyCounts {
  std::uint64_t reads = 0;                // session reads seen
  std::uint64_t with_watermark = 0;       // those whose session has a known write
  std::uint64_t conservative = 0;         // those with a conservative required position, for unknown writes
  std::uint64_t complete = 0;             // those for which all writes were known, by the session's lease
  std::uint64_t rejected_lost_write = 0;  // by RejectionReason
  std::uint64_t rejected_unknown_write = 0;  // likewise
  std::uint64_t stale_answers = 0;           // answers older than the required position, not passed on
  std::uint64_t possible_losses = 0;         // changes of primary that may have lost writes
};

// Gives each read the position that its data must contain, learns from responses which writes were answered
// and who is primary, and rejects reads whose guarantee cannot be kept. The pooler and the simulator's
// adapter host it around the decision module, which chooses the server.
//
// Owns the watermark table, the timelines of all groups and the intervals of unknown writes. Not thread-safe;
// reads no clock and does no I/O. It must see the same events as the decision module, in the same order.
class SessionConsistencyGuard {
 public:
  SessionConsistencyGuard(const Settings& settings, Options options);

  // Call with each event before the decision module handles it, with times that never decrease. Sets a read's
  // required position, removes positions from the event that prove nothing, and turns an answer that is older
  // than the required position into Outcome::kMiss.
  void PrepareEvent(TimePoint now, Event& event);
  // Reads whose guarantee can no longer be kept, each returned once. The host answers them with an error,
  // does not serve them, and reports them to the decision module as cancelled if that has them. Call after
  // PrepareEvent and after anything has been learned from other instances.
  std::vector<RejectedRead> DrainRejectedReads() { return std::exchange(rejected_reads_, {}); }
  // Call with the decision module's actions: ends the tracking of the requests that they finish.
  void HandleActions(const Actions& actions);
  // The request has had its final answer in another way.
  void FinishRequest(RequestId id) { pending_requests_.erase(id); }

  // Called with each write that is answered here, to replicate and store it.
  using WriteCallback = std::function<void(GroupId, SessionKey, const WriteWatermark&)>;
  void OnWrite(WriteCallback on_write) { on_write_ = std::move(on_write); }
  // Called when a group has a new primary.
  void OnTimelineChange(std::function<void()> on_change) { on_timeline_change_ = std::move(on_change); }
  // Called with a line for the log when a group has a new primary.
  using LogSink = std::function<void(std::string)>;
  void OnLog(LogSink log_sink) { log_sink_ = std::move(log_sink); }

  // What follows is learned from other instances, or from what an earlier incarnation of this one stored.

  // This instance started at `now` and recovered every write answered before `recovered_through` (absent:
  // none).
  void HandleStart(TimePoint now, std::optional<TimePoint> recovered_through) {
    unknown_writes_.SetStart(now, recovered_through);
  }
  // A write of a session. Without its group it proves nothing about who is primary.
  void LearnWatermark(std::optional<GroupId> group, SessionKey key, const WriteWatermark& watermark);
  // See PrimaryTimeline::Merge.
  void LearnTimeline(GroupId group, ServerId primary, LogPosition since, LogPosition replicated_through,
                     LogPosition confirmed);
  // Watermarks up to `position` were evicted there: any session may have written up to it.
  void LearnEviction(LogPosition position) { watermark_table_.RaiseConservativePosition(position); }

  // `peer` answers writes too, and all that it answered before `through` are known here.
  void SetReplicatedThrough(std::uint64_t peer, TimePoint through) {
    unknown_writes_.SetReplicatedThrough(peer, through);
  }
  // `peer` has stopped answering writes.
  void RemovePeer(std::uint64_t peer) { unknown_writes_.RemovePeer(peer); }
  // Writes that `peer` answered in (after, through] are not known, and may never be.
  void AddUnknownWriteInterval(std::uint64_t peer, TimePoint after, TimePoint through) {
    unknown_writes_.AddInterval(peer, {after, through});
  }
  // All writes in the intervals of `peer` have become known.
  void RemoveUnknownWriteIntervals(std::uint64_t peer) { unknown_writes_.RemoveIntervals(peer); }
  // Up to when the writes of all other instances are known. Absent if there are none.
  std::optional<TimePoint> ReplicatedThrough() const { return unknown_writes_.ReplicatedThrough(); }

  // Whether a session read that arrived at `arrived` benefits from waiting until the writes of other
  // instances are known. Where sessions have leases, requests the lease.
  bool ShouldDelayRead(const RequestEvent& event, TimePoint arrived);
  // Whether a delayed read has nothing more to wait for.
  bool IsDelayOver(const RequestEvent& event) const;
  // From now on sessions have leases. Not owned; null ends that.
  void SetSessionLeases(SessionLeases* leases) { leases_ = leases; }

  const SessionWatermarkTable& watermark_table() const { return watermark_table_; }
  const std::map<GroupId, PrimaryTimeline>& timelines() const { return timelines_; }
  const SessionConsistencyCounts& counts() const { return counts_; }
  Scope scope() const { return options_.scope; }
  Duration write_retention() const { return options_.write_retention; }
  Duration max_read_delay() const { return options_.max_read_delay; }

 private:
  struct PendingRequest {
    GroupId group{};
    SessionKey key{};
    TimePoint arrived{};
    bool write = false;
    std::optional<WriteWatermark> watermark;
    std::optional<LogPosition> required_position;
    std::optional<LogPosition> complete_through;  // see SessionLeases
  };

  bool CoversAllInstances() const { return options_.scope == Scope::kEverywhere; }
  bool UsesLeases() const { return leases_ != nullptr && !sessions_carry_positions_; }

  void Handle(const EndpointListEvent& event);
  void Handle(TimePoint now, RequestEvent& event);
  void Handle(TimePoint now, AttemptEndedEvent& event);
  void Handle(TimePoint now, HealthCheckEvent& event);
  void HandleWrite(TimePoint now, const RequestEvent& event);
  void HandleSessionRead(TimePoint now, RequestEvent& event);
  void RemoveServer(ServerId server);

  // Sets or removes the required position that the session itself carries.
  void ApplyCarriedPosition(TimePoint now, RequestEvent& event) const;
  // Learns from the roles that a response reports, and removes positions from it that prove nothing.
  void HandleReportedRoles(TimePoint now, AttemptEndedEvent& event);
  // Learns from the role that a server reports. Returns its position if that proves what the server has.
  std::optional<LogPosition> HandleRole(TimePoint now, GroupId group, ServerId server,
                                        std::optional<bool> primary, std::optional<LogPosition> position);
  PrimaryTimeline& TimelineOf(GroupId group);
  void HandleNewPrimary(GroupId group, TimePoint now);
  void LogNewPrimary(GroupId group, const PrimaryTimeline& timeline) const;

  std::vector<WriteInterval> UnknownIntervalsOf(const PendingRequest& read) const;
  std::optional<RejectionReason> FindRejectionReason(const PendingRequest& read, TimePoint now) const;
  void RejectRead(RequestId id, RejectionReason reason);

  std::vector<RequestClass> classes_;
  bool sessions_carry_positions_;
  Options options_;
  SessionWatermarkTable watermark_table_;
  std::map<GroupId, PrimaryTimeline> timelines_;
  UnknownWrites unknown_writes_;
  std::unordered_map<ServerId, GroupId> groups_;
  std::unordered_map<RequestId, PendingRequest> pending_requests_;
  SessionLeases* leases_ = nullptr;
  TimePoint now_{};
  WriteCallback on_write_;
  std::function<void()> on_timeline_change_;
  LogSink log_sink_;
  std::vector<RejectedRead> rejected_reads_;
  SessionConsistencyCounts counts_;
};

}  // namespace lynxgrade::consistency
