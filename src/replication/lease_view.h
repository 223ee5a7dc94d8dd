// Passes the acknowledged view to the lease client and relay: its digest, its lease managers, and whether it
// is complete, which means that every instance that may answer writes has acknowledged it.
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
    std::size_t fleet_size = 1;  // from the settings, including this instance
    // Whether membership requires acknowledgements of views. If not, no view is ever complete.
    bool acknowledgements_required = true;
  };
  // All references must outlive the view.
  LeaseView(const Options& options, const membership::Swim& swim, const PeerLinks& links,
            lease::SessionLeaseClient& client, lease::LeaseMessageRelay& relay)
      : options_(options), swim_(swim), links_(links), client_(client), relay_(relay) {}

  enum class CompletenessCheck { kSkip, kRun };
  // Call before each use of the client, with kRun if the use depends on whether the view is complete.
  void Update(TimePoint now, CompletenessCheck check);
  // Discards the cached completeness. Call after an acknowledgement was received.
  void Invalidate() { cached_.view = 0; }

 private:
  // A manager counts as near if its round trip is at most twice the shortest one plus this tolerance, which
  // allows for one pass of the event loop at each end.
  static constexpr Duration kRoundTripTolerance{10000};
  static constexpr Duration kRelaySelectionInterval{1000000};  // round trips are not measured more often

  bool IsComplete(TimePoint now);
  bool AllMembersAgree() const;
  void SelectManagers(std::uint64_t view);
  lease::IncarnationId SelectRelay() const;

  // Result of the last evaluation of completeness, valid for one view and state of membership.
  struct CachedCompleteness {
    std::uint64_t view = 0;  // zero: not evaluated
    std::uint64_t membership_changes = 0;
    std::optional<TimePoint> until;  // when the completeness ends; absent if the view is not complete
  };

  Options options_;
  const membership::Swim& swim_;
  const PeerLinks& links_;
  lease::SessionLeaseClient& client_;
  lease::LeaseMessageRelay& relay_;
  std::vector<lease::IncarnationId> managers_;  // of `managers_view_`
  std::uint64_t managers_view_ = 0;
  TimePoint last_relay_selection_{};
  CachedCompleteness cached_;
};

}  // namespace lynxgrade::replication
