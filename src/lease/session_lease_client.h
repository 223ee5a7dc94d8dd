// The lease client of one instance: the leases that it holds and requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "consistency/session_leases.h"
#include "consistency/session_watermark_table.h"
#include "lease/acknowledged_view.h"
#include "lease/lease_message.h"
#include "lease/read_request_limiter.h"
#include "lease/session_lease_manager.h"

namespace lynxgrade::lease {

// The watermarks that this instance knows from any source.
class KnownWatermarks {
 public:
  virtual ~KnownWatermarks() = default;
  virtual consistency::SessionWatermarkTable::LookupResult FindWatermark(
      consistency::SessionKey key) const = 0;
  // The group is not passed because a key does not identify it: for names of up to three bytes XXH3 only adds
  // the seed, so names of two groups may share a key.
  virtual void RecordWatermark(consistency::SessionKey key, const consistency::WriteWatermark& watermark) = 0;
};

// The holder's side of session leases: knows which leases this instance holds, whether it may answer a write,
// and whether it knows all writes of a session. Also contains the manager's side for the keys that this
// instance manages, and applies the acknowledged view to both. docs/design/session-directory.md describes the
// rules and why they are safe.
//
// Owns the leases, the pending requests and the manager. Not thread-safe; reads no clock and does no I/O.
class SessionLeaseClient {
 public:
  struct Options {
    IncarnationId self = 0;
    // How long a view acknowledgement is valid: membership::QuorumTracker::Options::validity.
    Duration view_validity{5000000};
    // The fleet is this instance alone, so no other instance can rely on an earlier incarnation's
    // acknowledgement.
    bool single_instance = false;
    SessionLeaseManager::Options manager;
    std::size_t lease_capacity = 65536;
    // Limit on lease requests for reads. A read above it waits for the conservative position.
    double read_requests_per_s = 50;
    // Budget for control traffic of all kinds, sent and received: above it no leases are requested for reads.
    // Zero: no budget.
    double bytes_per_s = 0;
    // The longest time for which messages are delayed to be batched while the budget is low, by this instance
    // and by the receivers (see LeaseMessageRelay). Zero: messages are not batched.
    Duration batching_delay{};
    // For tests and the testbed only: if any of these rules is switched off, reads may be stale.
    bool writes_require_lease = true;            // rule W
    bool wait_after_start = true;                // an earlier incarnation may have acknowledged a view
    bool require_unbroken_view = true;           // rule R: view complete since before the lease was requested
    bool manager_requires_unbroken_view = true;  // the same for the manager's view
    bool revocation_cancels_request = true;      // a revocation invalidates the pending request
  };
  struct Counts {
    std::uint64_t requests = 0;
    std::uint64_t grants = 0;
    std::uint64_t complete_grants = 0;
    std::uint64_t revocations = 0;
    std::uint64_t suppressed_reads = 0;  // reads for which no lease was requested, because of either limit
    std::uint64_t over_budget = 0;       // those of them suppressed by the bandwidth budget
  };

  // `watermarks` is not owned. `started`: when this incarnation started.
  SessionLeaseClient(const Options& options, KnownWatermarks& watermarks, TimePoint started);

  // Applies the status of the view at `now`. Call before and after QuorumTracker records an acknowledgement,
  // and before each call below; otherwise the expiry of an acknowledgement in between would go unnoticed.
  // Call it also whenever this instance sends its own acknowledgement; `complete` may then be absent.
  void UpdateView(TimePoint now, const ViewStatus& status);

  // Rule W: whether a write of the session may be answered now.
  bool MayAnswerWrite(TimePoint now, consistency::SessionKey key) const;
  // Rule R: the position after which this instance knows every write of the session answered so far; writes
  // up to it may be unknown. Absent if there is no such position.
  std::optional<LogPosition> AllWritesKnownAfter(TimePoint now, consistency::SessionKey key) const;
  using Use = consistency::LeaseUse;
  // Requests the session's lease for a write or a read, unless a request is pending; also renews a lease that
  // is about to expire. Returns whether a grant is expected that may make AllWritesKnownAfter return a
  // position.
  bool AcquireLease(TimePoint now, GroupId group, consistency::SessionKey key, Use use, LeaseOutbox& out);
  // Records control traffic of any kind that this instance has sent or received, including headers.
  void RecordTraffic(TimePoint now, std::size_t bytes) { read_limiter_.RecordTraffic(now, bytes); }
  // Retries requests without a response and removes expired leases and requests. Call every few milliseconds.
  void Tick(TimePoint now, LeaseOutbox& out);
  void HandleMessage(TimePoint now, IncarnationId sender, const LeaseMessage& message, LeaseOutbox& out);
  // Sets whether a later instance of the same name is running. If so, this one answers no writes.
  void SetSuperseded(bool superseded) { superseded_ = superseded; }

  // Whether other instances may still rely on this one's acknowledgement of a view, so that it answers writes
  // only of sessions whose lease it holds.
  bool IsBoundByView(TimePoint now) const;
  // Whether this incarnation has acknowledged any view.
  bool HasAcknowledgedView() const { return view_.exists(); }
  // Since when `view` has been complete for this instance without interruption. Absent if it is not complete.
  std::optional<TimePoint> ViewCompleteSince(std::uint64_t view) const;

  const Counts& counts() const { return counts_; }
  const SessionLeaseManager& manager() const { return manager_; }
  std::size_t lease_count() const { return leases_.size(); }

 private:
  static constexpr Duration kInitialBackoff{40000};  // more than a round trip between regions
  static constexpr Duration kMaxBackoff{640000};
  // The transfer of a lease between two instances through the manager: acquire, revoke, release, grant.
  static constexpr int kMessagesPerTransfer = 4;
  // How long a request is retried after the lease was last requested. Reads are delayed for less.
  static constexpr Duration kReadRequestLifetime{200000};
  static constexpr Duration kWriteRequestLifetime{1000000};
  static constexpr Duration kExpiryInterval{1000000};

  // Proves that the holder knows all writes of the session after a position.
  struct CompletenessProof {
    TimePoint requested_at{};             // when the grant that proves it was requested
    LogPosition conservative_position{};  // writes up to here may be unknown
  };
  struct Lease {
    std::uint64_t grant_number = 0;
    TimePoint requested_at{};                // start of the lease duration
    std::optional<CompletenessProof> proof;  // absent: the lease only allows answering writes
  };
  struct PendingRequest {
    std::uint64_t request_id = 0;
    GroupId group{};
    TimePoint requested_at{};  // when it was first sent with this id
    TimePoint next_attempt{};
    Duration backoff{};
    int attempts = 0;
    TimePoint expires{};  // not retried after this time
  };

  const Lease* FindLease(TimePoint now, consistency::SessionKey key) const;
  // Whether a held lease makes a request for `use` unnecessary.
  bool IsLeaseSufficient(TimePoint now, consistency::SessionKey key, Use use) const;
  bool AdmitReadRequest(TimePoint now, consistency::SessionKey key);
  void SendRequest(TimePoint now, consistency::SessionKey key, PendingRequest& request, LeaseOutbox& out);
  // Sends a message, or handles it here if this instance is the receiver.
  void Send(TimePoint now, const OutgoingLeaseMessage& outgoing, LeaseOutbox& out);
  void HandleGrant(TimePoint now, IncarnationId sender, const LeaseMessage& grant);
  // The proof in `grant`, or else the proof of the lease that it replaces.
  std::optional<CompletenessProof> ProofFrom(TimePoint now, const LeaseMessage& grant,
                                             TimePoint requested_at) const;
  void HandleRevoke(TimePoint now, IncarnationId sender, const LeaseMessage& revoke, LeaseOutbox& out);
  bool MayBatch(TimePoint now) {
    return options_.batching_delay > Duration{0} && read_limiter_.IsBandwidthLow(now);
  }
  // This instance stays bound for longer than others count its acknowledgement as valid, because clocks are
  // assumed to run within a tenth of each other.
  Duration BindingDuration() const { return options_.view_validity + options_.view_validity / 10; }

  Options options_;
  KnownWatermarks& watermarks_;
  TimePoint started_;
  SessionLeaseManager manager_;
  AcknowledgedView view_;
  bool superseded_ = false;
  std::unordered_map<consistency::SessionKey, Lease> leases_;             // under `view_`
  std::unordered_map<consistency::SessionKey, PendingRequest> requests_;  // likewise
  std::uint64_t last_request_id_ = 0;
  ReadRequestLimiter read_limiter_;
  TimePoint last_expiry_{};
  Counts counts_;
};

}  // namespace lynxgrade::lease
