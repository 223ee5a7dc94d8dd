#include "membership/gossip_queue.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <tuple>
#include <vector>

namespace lynxgrade::membership {
namespace {

constexpr std::size_t kMaxGossipPerPacket = 6;
// The maximum number of transmissions is this, times log2 of the number of members.
constexpr double kRetransmitMultiplier = 3;

}  // namespace

void GossipQueue::AddTo(proto::Packet& packet, const PeerMap& peers) {
  if (transmissions_.empty()) return;
  std::vector<std::map<std::string, int>::iterator> order;
  order.reserve(transmissions_.size());
  for (auto item = transmissions_.begin(); item != transmissions_.end(); ++item) order.push_back(item);
  const std::size_t count = std::min(order.size(), kMaxGossipPerPacket);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
                    [](const auto& a, const auto& b) {
                      return std::tie(a->second, a->first) < std::tie(b->second, b->first);
                    });
  const double max_transmissions = kRetransmitMultiplier * std::log2(static_cast<double>(peers.size()) + 2);
  for (std::size_t i = 0; i < count; ++i) {
    const auto peer = peers.find(order[i]->first);
    if (peer != peers.end()) *packet.add_gossip() = peer->second.member;
    if (++order[i]->second >= max_transmissions || peer == peers.end()) transmissions_.erase(order[i]);
  }
}

}  // namespace lynxgrade::membership
