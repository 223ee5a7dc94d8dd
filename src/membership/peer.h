// What this instance knows of another instance of the fleet.
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
  TimePoint state_changed_at{};        // last change of the member's state, by this instance's clock
  std::set<std::uint64_t> suspectors;  // incarnation ids of members whose own probes of it failed
  TimePoint last_heard_at{};           // arrival of the last packet that it sent itself; zero: none yet
  std::uint64_t view = 0;              // digest of its view in that packet
  // Smoothed round-trip time, measured on pings that it answered itself and that were not repeated; absent
  // until there has been one.
  std::optional<Duration> round_trip{};
};

// Peers by member name.
using PeerMap = std::map<std::string, Peer>;

// Whether the member counts as running: alive, or suspected but not yet declared dead.
inline bool IsRunning(const proto::Member& member) { return member.state() <= proto::Member::SUSPECT; }

}  // namespace lynxgrade::membership
