#include "replication/lease_view.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lynxgrade::replication {

void LeaseView::Update(TimePoint now, Completeness completeness) {
  client_.SetSuperseded(swim_.superseded());
  const std::uint64_t view = swim_.quorum_tracker().AcknowledgedView(now);
  const bool changed = view != 0 && view != managers_view_;
  if (changed) SelectManagers(view);
  if (changed || now - relay_selected_ >= kRelaySelectionInterval) {
    relay_selected_ = now;
    relay_.UpdateView(managers_view_, managers_, SelectRelay());
  }
  std::optional<bool> complete;
  if (completeness == Completeness::kCheck) complete = IsComplete(now);
  client_.UpdateView(now, {view, complete, managers_});
}

void LeaseView::SelectManagers(std::uint64_t view) {
  managers_view_ = view;
  managers_ = swim_.dedicated_lease_managers();
  if (!managers_.empty()) return;
  // No dedicated managers: all that use leases. An incarnation announces this with its membership entry, so
  // all instances of one view select the same ones.
  std::ranges::copy_if(swim_.quorum_tracker().incarnation_ids(), std::back_inserter(managers_),
                       [this](lease::IncarnationId incarnation_id) {
                         return incarnation_id == links_.self_incarnation_id() ||
                                links_.incarnations().UsesLeases(incarnation_id);
                       });
}

// All of the fleet, by its settings, agree on the view and use leases, and nobody else is known who may
// answer writes.
bool LeaseView::IsComplete(TimePoint now) {
  const membership::QuorumTracker& quorum_tracker = swim_.quorum_tracker();
  const std::uint64_t view = quorum_tracker.AcknowledgedView(now);
  if (view == 0 || now < links_.name_shared_until() || !options_.proven) {
    cached_.view = 0;
    return false;
  }
  // Evaluated once for all requests between two acknowledgements or changes of members: it walks over all
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

// One of the dedicated managers that answer pings about as fast as the nearest, so that relayed messages
// cross no more regions than they have to. Each instance selects its own, by rendezvous hashing, so that all
// get a share. Zero: none, as this instance is a manager itself or some managers do not relay.
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
