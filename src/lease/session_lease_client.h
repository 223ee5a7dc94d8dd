// Session leases as one instance takes part in them.
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

// The watermarks that this instance knows, whatever their source.
class KnownWatermarks {
 public:
  virtual consistency::SessionWatermarkTable::Known Newest(consistency::SessionKey key) const = 0;
  // The group is not passed, as a key does not prove it: XXH3 only adds the seed to names of up to three
  // bytes, so names of two groups may share a key.
  virtual void Learn(consistency::SessionKey key, const consistency::WriteWatermark& watermark) = 0;

 protected:
  ~KnownWatermarks() = default;
};

// The holder's side of session leases: which leases this instance holds, whether it may answer a write, and
// whether it knows all writes of a session. Also hosts the manager's side for the keys that this instance
// manages, and applies the acknowledged view to both. docs/design/session-directory.md has the rules and why
// they are safe.
//
// Owns the leases, the pending requests and the manager. Not thread-safe; reads no clock and does no I/O.
class SessionLeaseClient {
 public:
  struct Options {
    IncarnationId self = 0;
    // How long a view acknowledgement is valid: membership::QuorumTracker::Options::proof.
    Duration view_validity{5000000};
    // The fleet is this instance alone, so nobody can rely on an earlier incarnation's acknowledgement.
    bool single_instance = false;
    SessionLeaseManager::Options manager;
    std::size_t lease_capacity = 65536;
    // Lease requests for reads. Beyond it reads use the conservative position.
    double read_requests_per_s = 50;
    // Bytes of all kinds, sent and received: leases are requested for reads only within it. Zero: no budget.
    double bytes_per_s = 0;
    // While the budget is low, for how long messages may be delayed to be batched, here and at the receivers
    // (see LeaseMessageRelay). Zero: never.
    Duration batching_delay{};
    // For tests and the testbed only: without any of these rules, reads may be stale.
    bool writes_require_lease = true;            // rule W
    bool wait_after_start = true;                // an earlier incarnation may have acknowledged a view
    bool require_unbroken_view = true;           // rule R: complete without a break since before the request
    bool manager_requires_unbroken_view = true;  // the same for what a manager grants
    bool revocation_cancels_request = true;      // a revocation invalidates the request that is pending
  };
  struct Counts {
    std::uint64_t requests = 0;
    std::uint64_t grants = 0;
    std::uint64_t complete_grants = 0;
    std::uint64_t revocations = 0;
    std::uint64_t suppressed_reads = 0;  // reads for which no lease was requested, by either limit
    std::uint64_t over_budget = 0;       // of these by the bandwidth budget
  };

  // `watermarks` is not owned. `started`: when this incarnation started.
  SessionLeaseClient(const Options& options, KnownWatermarks& watermarks, TimePoint started);

  // Applies what QuorumTracker knows at `now`. Call before and after each view acknowledgement of others is
  // counted, and before each call below: an acknowledgement that expired in between would go unnoticed. Call
  // it also whenever this instance sends its own acknowledgement; there `complete` may be absent.
  void UpdateView(TimePoint now, const ViewAgreement& agreement);

  // Rule W: whether a write of the session may be answered now.
  bool MayAnswerWrite(TimePoint now, consistency::SessionKey key) const;
  // Rule R: if all writes of the session that were answered so far are known here, except possibly those up
  // to a position: that position. Absent if later ones may be unknown too.
  std::optional<LogPosition> CompleteThrough(TimePoint now, consistency::SessionKey key) const;
  // Requests the session's lease for a write or a read, unless a request is pending, and renews a lease that
  // is about to expire. Returns whether a grant is expected that may make CompleteThrough return a position.
  using Use = consistency::LeaseUse;
  bool AcquireLease(TimePoint now, GroupId group, consistency::SessionKey key, Use use, LeaseOutbox& out);
  // Records bytes of any kind that this instance has sent or received, headers included.
  void RecordTraffic(TimePoint now, std::size_t bytes) { read_limiter_.RecordTraffic(now, bytes); }
  // Retries requests without a response and removes what has expired. Call every few milliseconds.
  void Tick(TimePoint now, LeaseOutbox& out);
  void HandleMessage(TimePoint now, IncarnationId sender, const LeaseMessage& message, LeaseOutbox& out);
  // Whether an instance of the same name that started later is running. Then this one answers no writes.
  void SetSuperseded(bool superseded) { superseded_ = superseded; }

  // Whether other instances may still rely on this one's acknowledgement of a view, so that it answers writes
  // only of sessions whose lease it holds.
  bool IsBoundByView(TimePoint now) const;
  // Whether this incarnation has acknowledged any view.
  bool HasAcknowledgedView() const { return view_.exists(); }
  // Since when `view` has been complete here without a break. Absent if it is not.
  std::optional<TimePoint> CompleteSince(std::uint64_t view) const;

  const Counts& counts() const { return counts_; }
  const SessionLeaseManager& manager() const { return manager_; }
  std::size_t lease_count() const { return leases_.size(); }

 private:
  static constexpr Duration kInitialBackoff{40000};  // more than a round trip between regions
  static constexpr Duration kMaxBackoff{640000};
  // Between two instances over a third: acquire, revoke, release, grant.
  static constexpr int kMessagesPerMove = 4;
  // How long a request is retried. A read waits for less; a write is retried since it was last requested.
  static constexpr Duration kReadRequestLifetime{200000};
  static constexpr Duration kWriteRequestLifetime{1000000};
  static constexpr Duration kExpiryInterval{1000000};

  // What a holder knows of the session's writes.
  struct Completeness {
    TimePoint requested_at{};  // when the grant was requested that told it
    LogPosition conservative_position{};
  };
  struct Lease {
    std::uint64_t grant_number = 0;
    TimePoint requested_at{};                  // the lease is counted from then
    std::optional<Completeness> completeness;  // absent: good for answering writes alone
  };
  struct PendingRequest {
    std::uint64_t request_id = 0;
    GroupId group{};
    TimePoint requested_at{};  // first, with this id
    TimePoint next_attempt{};
    Duration backoff{};
    int attempts = 0;
    TimePoint until{};  // it is given up after
  };

  const Lease* FindLease(TimePoint now, consistency::SessionKey key) const;
  // Whether a lease that is held makes a request for `use` unnecessary.
  bool IsLeaseSufficient(TimePoint now, consistency::SessionKey key, Use use) const;
  bool AdmitReadRequest(TimePoint now, consistency::SessionKey key);
  void SendRequest(TimePoint now, consistency::SessionKey key, PendingRequest& request, LeaseOutbox& out);
  // Sends a message, or handles it here if this instance is the receiver.
  void Send(TimePoint now, const OutgoingLeaseMessage& outgoing, LeaseOutbox& out);
  void HandleGrant(TimePoint now, IncarnationId sender, const LeaseMessage& grant);
  // What `grant` proves, or else the lease that it replaces.
  std::optional<Completeness> CompletenessOf(TimePoint now, const LeaseMessage& grant,
                                             TimePoint requested_at) const;
  void HandleRevoke(TimePoint now, IncarnationId sender, const LeaseMessage& revoke, LeaseOutbox& out);
  bool MayBatch(TimePoint now) {
    return options_.batching_delay > Duration{0} && read_limiter_.IsBandwidthLow(now);
  }
  // An acknowledgement binds for longer than others count it, as clocks run within a tenth of each other.
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
  TimePoint expired_at_{};
  Counts counts_;
};

}  // namespace lynxgrade::lease
