// Read-your-writes consistency for sessions. Wraps the decision module that routes requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "consistency/primary_change_log.h"
#include "consistency/primary_confirmation.h"
#include "consistency/primary_timeline.h"
#include "consistency/session_leases.h"
#include "consistency/session_watermark_table.h"
#include "consistency/unknown_writes.h"
#include "consistency/write_watermark.h"
#include "routing/balancer.h"

namespace lynxgrade::consistency {

// The writes that a read-your-writes read must see.
enum class Scope {
  kInstance,    // those that this instance has answered since its start
  kEverywhere,  // those that any instance has answered, including before a restart
};

struct Options {
  Scope scope = Scope::kInstance;
  // Number of sessions whose watermark is kept when the table is about half full: 256 KB by default.
  std::size_t session_capacity = 8192;
  // How long after its answer a write is guaranteed to be visible to its session.
  Duration write_retention{120000000};

  // The following options apply to Scope::kEverywhere only.

  // See PrimaryTimeline.
  Duration min_failover_time{1000000};
  // Whether reads of a session whose write may be lost are rejected instead of served.
  bool reject_uncertain_reads = true;
  // The longest time for which a read is delayed until the writes of the other instances are known.
  Duration max_read_delay{30000};
};

enum class RejectionReason {
  kLostWrite,     // a known write of the session may have been lost with a primary
  kUnknownWrite,  // a write unknown to this instance may have been lost with a primary
};
// The reason as a phrase in the error message to the client.
const char* NameOf(RejectionReason reason);

struct RejectedRead {
  RequestId id{};
  RejectionReason reason = RejectionReason::kLostWrite;
};

struct SessionConsistencyCounts {
  std::uint64_t reads = 0;                   // session reads seen
  std::uint64_t reads_with_watermark = 0;    // reads whose session has a known write
  std::uint64_t conservative_reads = 0;      // reads with a conservative position, due to unknown writes
  std::uint64_t complete_reads = 0;          // reads for which the lease proved that all writes are known
  std::uint64_t rejected_lost_write = 0;     // reads rejected with RejectionReason::kLostWrite
  std::uint64_t rejected_unknown_write = 0;  // reads rejected with RejectionReason::kUnknownWrite
  std::uint64_t stale_answers = 0;           // answers discarded as older than the required position
  std::uint64_t possible_losses = 0;         // changes of primary that may have lost writes
};

// Sets for each read the log position that a server must have replayed, learns from responses which writes
// were answered and which server is primary, and rejects reads whose guarantee cannot be kept. The pooler and
// the simulator's adapter pass each event through the guard before the decision module, which selects the
// server.
//
// Owns the watermark table, the timelines of all groups and the intervals of unknown writes. Not thread-safe;
// reads no clock and does no I/O. It must see the same events as the decision module, in the same order.
class SessionConsistencyGuard {
 public:
  SessionConsistencyGuard(const Settings& settings, Options options);

  // Call with each event before the decision module handles it, with times that never decrease. Sets the
  // required position of a read, removes positions of servers that are not trusted from the event, and turns
  // an answer that is older than the required position into Outcome::kMisrouted. `now`: the time that the
  // decision module receives. `received`: the latest time at which a response can have been sent, which is
  // later than `now` where the caller was held up between reading its clock and its sockets.
  void PrepareEvent(TimePoint now, TimePoint received, Event& event);
  void PrepareEvent(TimePoint now, Event& event) { PrepareEvent(now, now, event); }
  // Returns the reads whose guarantee can no longer be kept, each of them once. The caller answers them with
  // an error instead of serving them, and cancels those that the decision module has already received. Call
  // after PrepareEvent and after each call that learns something from other instances.
  std::vector<RejectedRead> DrainRejectedReads() { return std::exchange(rejected_reads_, {}); }
  // Call with the decision module's actions. Stops tracking the requests that they finish.
  void HandleActions(const Actions& actions);
  // Stops tracking a request that was finished by other means.
  void FinishRequest(RequestId id) { pending_requests_.erase(id); }

  // Sets the callback for each write that this instance answers; the callback replicates and stores it.
  using WriteCallback = std::function<void(GroupId, SessionKey, const WriteWatermark&)>;
  void OnWrite(WriteCallback on_write) { on_write_ = std::move(on_write); }
  // Sets the callback for a term that was added to the timeline of a group.
  using TimelineCallback = std::function<void(GroupId)>;
  void OnTimelineChange(TimelineCallback on_change) { on_timeline_change_ = std::move(on_change); }
  // Sets the receiver of the log lines about changes of primary.
  void OnLog(PrimaryChangeLog::Sink sink) { change_log_.SetSink(std::move(sink)); }

  // The following calls record what other instances report, or what an earlier incarnation has stored.

  // This instance started at `now` and recovered every write answered before `recovered_through` (absent:
  // none).
  void HandleStart(TimePoint now, std::optional<TimePoint> recovered_through) {
    unknown_writes_.SetStart(now, recovered_through);
  }
  // Records a write of a session. Without the group, nothing is learned about the group's primary.
  void LearnWatermark(std::optional<GroupId> group, SessionKey key, const WriteWatermark& watermark);
  // See PrimaryTimeline::Merge. `source`: kPeer or kDisk.
  void LearnTerm(GroupId group, const PrimaryTermReport& report, TimelineSource source);
  // The groups in which reads met a primary that has not been heard for long, and for which the reports of a
  // peer may prove that it was not replaced meanwhile. Each is returned once.
  std::set<GroupId> DrainUnheardGroups() { return std::exchange(unheard_groups_, {}); }
  // The primaries to which health checks are to be sent now, see PrimaryConfirmation.
  std::vector<ServerId> PrimariesToCheck(TimePoint now) { return confirmation_.DueAt(now, timelines_); }
  // The reporting instance has evicted watermarks up to `position`: any session may have written up to it.
  void LearnEviction(LogPosition position) { watermark_table_.RaiseConservativePosition(position); }

  // Records that `peer` answers writes and that this instance knows those answered before `through`.
  void SetReplicatedThrough(std::uint64_t peer, TimePoint through) {
    unknown_writes_.SetReplicatedThrough(peer, through);
  }
  // Records that `peer` has stopped answering writes.
  void RemovePeer(std::uint64_t peer) { unknown_writes_.RemovePeer(peer); }
  // Records that writes which `peer` answered in (after, through] are unknown and may remain so.
  void AddUnknownWriteInterval(std::uint64_t peer, TimePoint after, TimePoint through) {
    unknown_writes_.AddInterval(peer, {after, through});
  }
  // Removes the intervals of `peer`, whose writes have all become known.
  void RemoveUnknownWriteIntervals(std::uint64_t peer) { unknown_writes_.RemoveIntervals(peer); }
  // The time up to which the writes of all other instances are known. Absent if there are no others.
  std::optional<TimePoint> ReplicatedThrough() const { return unknown_writes_.ReplicatedThrough(); }

  // Whether a session read that arrived at `arrived` should be delayed until the writes of other instances
  // are known. Where sessions have leases, requests the session's lease.
  bool ShouldDelayRead(const RequestEvent& event, TimePoint arrived);
  // Whether a delayed read can proceed because the writes that it waited for are known.
  bool IsDelayOver(const RequestEvent& event) const;
  // Enables session leases; null disables them. Not owned.
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
    std::optional<LogPosition> all_writes_known_after;  // see SessionLeases
  };

  // When a request was sent to a data server, or earlier, and when its response was read, or later.
  struct ResponseTimes {
    TimePoint requested{};
    TimePoint received{};
  };

  bool CoversAllInstances() const { return options_.scope == Scope::kEverywhere; }
  // Positions are commit times: no log can have reached one that is a whole retention in the future.
  bool IsPossible(TimePoint now, LogPosition position) const {
    return position <= now + options_.write_retention;
  }
  bool UsesLeases() const { return leases_ != nullptr && !sessions_carry_positions_; }

  void HandleEndpointList(const EndpointListEvent& event);
  void HandleRequest(TimePoint now, RequestEvent& event);
  void HandleAttemptEnd(const ResponseTimes& times, AttemptEndedEvent& event);
  void HandleHealthCheck(const ResponseTimes& times, HealthCheckEvent& event);
  void HandleWrite(TimePoint now, const RequestEvent& event);
  void HandleSessionRead(TimePoint now, RequestEvent& event);
  void RemoveServer(ServerId server);

  // Applies the required position that the client's request carries, or removes it if clients carry none.
  void ApplyCarriedPosition(TimePoint now, RequestEvent& event) const;
  enum class PositionTrust { kTrusted, kUntrusted };
  // Learns from the roles that a response reports, and removes untrusted positions from the response. Returns
  // whether it removed one.
  PositionTrust HandleReportedRoles(const ResponseTimes& times, AttemptEndedEvent& event);
  // Learns from the role that a server reports. Returns its position if it is trusted as a proof of what the
  // server has replayed.
  std::optional<LogPosition> HandleRole(const ResponseTimes& times, GroupId group, ServerId server,
                                        std::optional<bool> primary, std::optional<LogPosition> position);
  PrimaryTimeline& TimelineOf(GroupId group);
  // Handles a term that was added to the group's timeline.
  void HandleNewTerm(GroupId group, TimePoint now, const FormerPrimary& former, TimelineSource source);

  // Whether the response to the read is not proven to contain the read's required position.
  static bool IsStale(const PendingRequest& read, const AttemptEndedEvent& event, PositionTrust trust);

  std::vector<WriteInterval> UnknownIntervalsOf(const PendingRequest& read) const;
  std::optional<RejectionReason> FindRejectionReason(const PendingRequest& read, TimePoint now) const;
  void RejectRead(RequestId id, RejectionReason reason);

  std::vector<RequestClass> classes_;
  bool sessions_carry_positions_;
  Options options_;
  SessionWatermarkTable watermark_table_;
  std::map<GroupId, PrimaryTimeline> timelines_;
  PrimaryConfirmation confirmation_;
  UnknownWrites unknown_writes_;
  std::unordered_map<ServerId, GroupId> groups_;
  std::unordered_map<RequestId, PendingRequest> pending_requests_;
  SessionLeases* leases_ = nullptr;
  TimePoint now_{};
  WriteCallback on_write_;
  TimelineCallback on_timeline_change_;
  PrimaryChangeLog change_log_;
  std::set<GroupId> unheard_groups_;
  std::vector<RejectedRead> rejected_reads_;
  SessionConsistencyCounts counts_;
};

}  // namespace lynxgrade::consistency
