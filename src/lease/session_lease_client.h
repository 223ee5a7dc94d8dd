// The directory of sessions as one instance takes part in it: which sessions it holds, whether it may answer
// a write, whether it knows all writes of a session, and what it says to owners and holders.
//
// Owns the holder's side, the owner's, and what follows from the view by which the instance stands; free of
// sockets and clocks. docs/design/session-directory.md has the rules and the argument.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "consistency/session_leases.h"
#include "consistency/session_watermark_table.h"
#include "lease/bandwidth_budget.h"
#include "lease/lease_message.h"
#include "lease/session_lease_manager.h"

namespace lynxgrade::lease {

// The marks that this instance knows, wherever they came from.
class KnownWatermarks {
 public:
  virtual consistency::SessionWatermarkTable::Known Newest(consistency::SessionKey key) const = 0;
  // It says nothing of who is primary in which group: names of up to three bytes in two groups may share a
  // key (XXH3 only adds the seed to so few, and other bytes make up for it).
  virtual void Learn(consistency::SessionKey key, const consistency::WriteWatermark& watermark) = 0;

 protected:
  ~KnownWatermarks() = default;
};

// Where this instance stands, by members::QuorumTracker.
struct ViewAgreement {
  std::uint64_t declares = 0;  // the view that it says it stands by; zero: none
  // It has a live word for that view from every instance that may answer writes, and the view has all of
  // them. Absent: not looked at.
  std::optional<bool> whole{};
  const std::vector<IncarnationId>* incarnation_ids =
      nullptr;  // of that view those that may own, its own included
};

class SessionLeaseClient {
 public:
  struct Options {
    IncarnationId self = 0;
    Duration proof{5000000};  // how long a word counts: members::QuorumTracker::Options::proof
    bool alone = false;       // the fleet is this instance: no former life's word counts with anybody
    SessionLeaseManager::Options owner;
    std::size_t holds = 65536;
    double reads_per_s = 50;  // asks for reads; beyond it they take the conservative target
    // Of all kinds, sent and received: reads ask only while it holds. Zero: there is no such budget.
    double bytes_per_s = 0;
    // While that is short, what this instance says may wait so long for company, and what it is told likewise
    // (see LeaseMessageRelay). Zero: never.
    Duration coalesce{};
    // Taken out by tests and the laboratory alone: each makes stale reads possible.
    bool writes_wait = true;     // rule W
    bool start_waits = true;     // a new life is bound to what its last may have declared
    bool unbroken = true;        // rule R: whole without a break since before the asking
    bool owner_unbroken = true;  // the owner's floor is the beginning of its unbroken chain
    bool serials = true;         // a recall undoes the ask that is out
  };
  struct Counts {
    std::uint64_t asks = 0, grants = 0, exact = 0, recalled = 0;
    std::uint64_t capped = 0;       // reads that were not to ask, by whichever bound
    std::uint64_t over_budget = 0;  // of these by that of bytes
  };

  SessionLeaseClient(const Options& options, KnownWatermarks& watermarks, TimePoint started);

  // To be called before each word from others is counted, after it, and before each call below, with what
  // then is so: of a word that lapsed in between nothing would be known. Whenever something is sent that says
  // by which view this instance stands it is to be called too; there `whole` may be absent.
  void See(TimePoint now, const ViewAgreement& standpoint);

  // Rule W: whether a write of the session may be answered now.
  bool MayAnswer(TimePoint now, consistency::SessionKey key) const;
  // Rule R: all writes of the session that were answered up to now are known here, but for those up to the
  // position that is returned. Absent: they may not be.
  std::optional<LogPosition> Exact(TimePoint now, consistency::SessionKey key) const;
  // The session is to be held, for a write or for a read; asks its owner unless that has been asked. Where it
  // is held, renews a lease that comes to its end. Whether an answer is expected that may make it so.
  using Use = consistency::LeaseUse;
  bool Want(TimePoint now, GroupId group, consistency::SessionKey key, Use use, LeaseOutbox& out);
  // What this instance has sent or received, of whichever kind, heads included.
  void Spent(TimePoint now, std::size_t bytes) { budget_.Spend(now, bytes); }
  // Asks again where no answer has come.
  void Tick(TimePoint now, LeaseOutbox& out);
  void Take(TimePoint now, IncarnationId from, const LeaseMessage& message, LeaseOutbox& out);
  // Whether an instance of the same name, started later, runs: this one answers no writes, free or not.
  void StandAside(bool aside) { aside_ = aside; }

  bool Bound(TimePoint now) const;
  // Whether it has stood by any view in its life.
  bool Declared() const { return view_ != 0; }
  // Since when it has been whole under `view`, without a break.
  std::optional<TimePoint> WholeSince(std::uint64_t view) const;
  const Counts& counts() const { return counts_; }
  const SessionLeaseManager& owner() const { return owner_; }
  std::size_t holds() const { return holds_.size(); }

 private:
  static constexpr Duration kFirstRetry{40000};  // more than a round trip between regions
  static constexpr int kLegs = 4;                // of a move: ask, recall, release, grant
  static constexpr Duration kLastRetry{640000};
  static constexpr Duration kWantRead{200000};    // without an answer; a read waits less
  static constexpr Duration kWantWrite{1000000};  // since it was last wanted
  static constexpr Duration kSweepEvery{1000000};
  // An ask and its grant, heads included: 92 and 107 bytes measured.
  static constexpr std::size_t kAskBytes = 200;

  struct Hold {
    std::uint64_t serial = 0;
    TimePoint leased{};  // when it was asked for: the lease is counted from then
    bool exact = false;
    TimePoint exact_asked{};
    LogPosition floor{};
  };
  struct Want_ {
    std::uint64_t id = 0;
    GroupId group{};
    TimePoint asked{};  // first, under this id
    TimePoint next{};
    Duration pause{};
    int tries = 0;
    TimePoint until{};
  };

  const Hold* LiveHold(TimePoint now, consistency::SessionKey key) const;
  void Ask(TimePoint now, consistency::SessionKey key, Want_& want, LeaseOutbox& out);
  void Send(TimePoint now, const OutgoingLeaseMessage& one, LeaseOutbox& out);
  void Handle(TimePoint now, IncarnationId from, const LeaseMessage& message, LeaseOutbox& out);
  void TakeGrant(TimePoint now, IncarnationId from, const LeaseMessage& grant);
  void TakeRecall(TimePoint now, IncarnationId from, const LeaseMessage& recall, LeaseOutbox& out);
  bool Token(TimePoint now);
  bool MayWait(TimePoint now) { return options_.coalesce > Duration{0} && budget_.Short(now); }
  // Whether a read may ask another instance.
  bool Admits(TimePoint now);
  Duration BoundFor() const { return options_.proof + options_.proof / 10; }

  Options options_;
  KnownWatermarks& watermarks_;
  TimePoint started_;
  SessionLeaseManager owner_;
  std::uint64_t view_ = 0;                      // that was last declared
  std::vector<IncarnationId> incarnation_ids_;  // of it
  TimePoint declared_{};                        // when it last was
  bool whole_ = false;
  TimePoint whole_since_{};
  TimePoint first_whole_{};  // under this view
  bool aside_ = false;
  std::unordered_map<consistency::SessionKey, Hold> holds_;   // under `view_`
  std::unordered_map<consistency::SessionKey, Want_> wants_;  // likewise
  std::uint64_t last_id_ = 0;
  BandwidthBudget budget_;
  double tokens_ = 0;
  TimePoint tokens_at_{};
  TimePoint swept_{};
  Counts counts_;
};

}  // namespace lynxgrade::lease
