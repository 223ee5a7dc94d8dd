#include "replication/lease_view.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lynxgrade::replication {

void LeaseView::Update(TimePoint now, CompletenessCheck check) {
  client_.SetSuperseded(swim_.superseded());
  const std::uint64_t view = swim_.quorum_tracker().AcknowledgedView(now);
  const bool changed = view != 0 && view != managers_view_;
  if (changed) SelectManagers(view);
  if (changed || now - last_relay_selection_ >= kRelaySelectionInterval) {
    last_relay_selection_ = now;
    relay_.UpdateView(managers_view_, managers_, SelectRelay());
  }
  std::optional<bool> complete;
  if (check == CompletenessCheck::kRun) complete = IsComplete(now);
  client_.UpdateView(now, {view, complete, managers_});
}

void LeaseView::SelectManagers(std::uint64_t view) {
  managers_view_ = view;
  managers_ = swim_.dedicated_lease_managers();
  if (!managers_.empty()) return;
  // Without dedicated managers, all instances that use leases are managers. An incarnation announces in its
  // membership entry that it uses leases, so all instances of one view select the same managers.
  std::ranges::copy_if(swim_.quorum_tracker().incarnation_ids(), std::back_inserter(managers_),
                       [this](lease::IncarnationId incarnation_id) {
                         return incarnation_id == links_.self_incarnation_id() ||
                                links_.incarnations().UsesLeases(incarnation_id);
                       });
}

// Whether all instances of the fleet, as listed in the settings, have acknowledged the view and use leases,
// and no other instance is known that may answer writes.
bool LeaseView::IsComplete(TimePoint now) {
  const membership::QuorumTracker& quorum_tracker = swim_.quorum_tracker();
  const std::uint64_t view = quorum_tracker.AcknowledgedView(now);
  if (view == 0 || now < links_.duplicate_name_until() || !options_.acknowledgements_required) {
    cached_.view = 0;
    return false;
  }
  // The result is cached until the next acknowledgement or change of membership, as the evaluation visits all
  // members.
  if (cached_.view != view || cached_.membership_changes != swim_.change_count()) {
    cached_ = {view, swim_.change_count(), std::nullopt};
    if (AllMembersAgree()) cached_.until = quorum_tracker.AllAcknowledgedUntil(now);
  }
  return cached_.until && now <= *cached_.until;
}

bool LeaseView::AllMembersAgree() const {
  if (swim_.quorum_tracker().member_count() != options_.fleet_size) return false;
  if (!swim_.unheard_seeds().empty()) return false;
  return std::ranges::all_of(swim_.peers(), [this](const auto& item) {
    const proto::Member& member = item.second.member;
    const bool left = member.state() == proto::Member::LEFT;
    return left || (member.state() <= proto::Member::SUSPECT && links_.UsesLeases(member));
  });
}

// Selects the relay among the dedicated managers that answer pings about as fast as the nearest one, so that
// relayed messages do not cross more regions than necessary. Rendezvous hashing distributes the instances
// over these managers. Zero: no relay, because this instance is a dedicated manager itself, there are none,
// or some managers do not relay.
lease::IncarnationId LeaseView::SelectRelay() const {
  if (swim_.options().lease_manager.dedicated) return 0;
  std::vector<std::pair<lease::IncarnationId, std::optional<Duration>>> round_trips;
  std::optional<Duration> shortest;
  const std::vector<lease::IncarnationId>& managers = swim_.dedicated_lease_managers();
  for (const auto& [name, peer] : swim_.peers()) {
    if (std::ranges::find(managers, peer.member.incarnation_id()) == managers.end()) continue;
    if ((peer.member.capabilities() & membership::capability::kRelaysLeaseMessages) == 0) return 0;
    if (peer.member.state() != proto::Member::ALIVE) continue;
    round_trips.emplace_back(peer.member.incarnation_id(), peer.round_trip);
    if (peer.round_trip) shortest = std::min(shortest.value_or(*peer.round_trip), *peer.round_trip);
  }
  std::vector<lease::IncarnationId> near;
  for (const auto& [incarnation_id, round_trip] : round_trips) {
    const bool is_near = !shortest || (round_trip && *round_trip <= *shortest * 2 + kRoundTripTolerance);
    if (is_near) near.push_back(incarnation_id);
  }
  return lease::SelectLeaseManager(consistency::SessionKey(links_.self_incarnation_id()), near);
}

}  // namespace lynxgrade::replication
