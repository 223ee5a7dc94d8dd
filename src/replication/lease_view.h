// Tells the session lease client and relay under which view of the fleet leases are held, who may manage
// them, and whether the view is complete: every instance that may answer writes has acknowledged it.
//
// Owns the managers of the current view and the cached completeness; free of sockets and clocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "lease/lease_message_relay.h"
#include "lease/session_lease_client.h"
#include "membership/swim.h"
#include "replication/peer_links.h"

namespace lynxgrade::replication {

class LeaseView {
 public:
  struct Options {
    std::size_t fleet_size = 1;  // by the settings, this instance included
    bool proven = true;          // whether views are proven by acknowledgements; false: none is ever complete
  };
  // All references must outlive the view.
  LeaseView(const Options& options, const membership::Swim& swim, const PeerLinks& links,
            lease::SessionLeaseClient& client, lease::LeaseMessageRelay& relay)
      : options_(options), swim_(swim), links_(links), client_(client), relay_(relay) {}

  // To be called before each use of the client; kCheck: the use depends on whether the view is complete.
  enum class Completeness { kSkip, kCheck };
  void Update(TimePoint now, Completeness completeness);
  // An acknowledgement has come: completeness has to be evaluated again.
  void Invalidate() { cached_.view = 0; }

 private:
  // A manager whose round trip is at most twice that of the nearest one and this much, a turn of the event
  // loop at either end, counts as equally near.
  static constexpr Duration kRoundTripTolerance{10000};
  static constexpr Duration kRelaySelectionInterval{1000000};  // round trips are measured no more often

  bool IsComplete(TimePoint now);
  bool AllMembersAgree() const;
  void SelectManagers(std::uint64_t view);
  lease::IncarnationId SelectRelay() const;

  // Until when the view is complete, by the acknowledgements and members that there were.
  struct CachedCompleteness {
    std::uint64_t view = 0;  // zero: to be evaluated again
    std::uint64_t membership_changes = 0;
    std::optional<TimePoint> until;
  };

  Options options_;
  const membership::Swim& swim_;
  const PeerLinks& links_;
  lease::SessionLeaseClient& client_;
  lease::LeaseMessageRelay& relay_;
  std::vector<lease::IncarnationId> managers_;  // of `managers_view_`
  std::uint64_t managers_view_ = 0;
  TimePoint relay_selected_{};
  CachedCompleteness cached_;
};

}  // namespace lynxgrade::replication
