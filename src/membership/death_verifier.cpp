#include "membership/death_verifier.h"

#include <utility>

#include "membership/member_table.h"
#include "membership/packet_builder.h"

namespace lynxgrade::membership {
namespace {

constexpr int kTimeoutTenths = 15;  // tenths of a protocol period; a running member answers within that time

}  // namespace

bool DeathVerifier::DeferDeath(TimePoint now, const Peer& peer, const proto::Member& reported) {
  if (peer.last_heard_at == TimePoint{} || now - peer.last_heard_at >= period_ * recently_heard_periods_) {
    return false;
  }
  deferred_.try_emplace(reported.name(), DeferredDeath{reported, now});
  return true;
}

void DeathVerifier::Tick(TimePoint now, MemberTable& members, const LocalHealth& local_health,
                         PacketBuilder& packets, Outbox& outbox) {
  for (auto next = deferred_.begin(); next != deferred_.end();) {
    const auto current = next++;
    DeferredDeath& death = current->second;
    Peer* peer = members.Find(current->first);
    const bool still_running = peer != nullptr &&
                               peer->member.incarnation_id() == death.reported.incarnation_id() &&
                               IsRunning(peer->member);
    if (!still_running || peer->last_heard_at > death.deferred_at) {
      deferred_.erase(current);
      continue;
    }
    if (!std::exchange(death.pinged, true)) {
      packets.SendPing(peer->member.address(), packets.DrawNonce(), outbox, &death.reported);
    }
    if (now - death.deferred_at < local_health.Scale(period_) * kTimeoutTenths / 10) continue;
    if (death.reported.incarnation() >= peer->member.incarnation()) {
      members.SetState(now, *peer, proto::Member::DEAD);
    }
    deferred_.erase(current);
  }
}

}  // namespace lynxgrade::membership
