// Another instance, as this one knows it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "replication/packet.pb.h"
#include "routing/balancer.h"

namespace lynxgrade::membership {

// An entry of the member table.
struct Peer {
  proto::Member member;
  TimePoint state_changed_at{};        // when its state changed, by this instance's clock
  std::set<std::uint64_t> suspectors;  // incarnation ids of those that suspect it on their own evidence
  TimePoint last_heard_at{};           // when a packet of its own last arrived; zero: never
  std::uint64_t view = 0;              // the digest of its view, as of that packet
  // Smoothed, of the pings that it answered itself and at the first attempt; absent: there was none yet.
  std::optional<Duration> round_trip{};
};

// By member name.
using PeerMap = std::map<std::string, Peer>;

// Whether the member counts as running: alive, or suspected and not yet declared dead.
inline bool IsRunning(const proto::Member& member) { return member.state() <= proto::Member::SUSPECT; }

}  // namespace lynxgrade::membership
