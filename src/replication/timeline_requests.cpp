#include "replication/timeline_requests.h"

#include <algorithm>
#include <utility>

#include "replication/packet_codec.h"
#include "replication/packet_limits.h"

namespace lynxgrade::replication {
namespace {

bool IsFull(const proto::Packet& packet) {
  return static_cast<std::size_t>(packet.timelines_size()) >= kTimelinesPerPacket ||
         TimelineBytes(packet) >= kTimelineBytesPerPacket;
}

}  // namespace

void TimelineRequests::Tick(TimePoint now, Outbox& outbox) {
  if (requests_left_ > 0 && now >= next_request_) RequestAllTimelines(now, outbox);
  if (now >= next_unheard_request_) RequestUnheardTimelines(now, outbox);
}

void TimelineRequests::RequestAllTimelines(TimePoint now, Outbox& outbox) {
  const std::string address = links_.NextLeasePeer(0);
  if (address.empty()) return;
  next_request_ = now + kRequestInterval;
  --requests_left_;
  membership::OutgoingPacket request = LeasePacketTo(address, links_.self_incarnation_id());
  request.packet.mutable_lease_batch()->set_timelines_requested(true);
  outbox.push_back(std::move(request));
}

void TimelineRequests::RequestUnheardTimelines(TimePoint now, Outbox& outbox) {
  const std::set<GroupId> groups = consistency_guard_.DrainUnheardGroups();
  if (groups.empty()) return;
  next_unheard_request_ = now + kRequestInterval;
  std::set<std::string> addresses;
  for (int peer = 0; peer < kPeersPerUnheardRequest; ++peer) addresses.insert(links_.NextLeasePeer(0));
  addresses.erase(std::string());
  for (const std::string& address : addresses) {
    membership::OutgoingPacket request = LeasePacketTo(address, links_.self_incarnation_id());
    proto::LeaseBatch& batch = *request.packet.mutable_lease_batch();
    for (const GroupId group : groups) {
      if (batch.unheard_groups_size() >= kUnheardGroupsPerRequest) break;
      batch.add_unheard_groups(static_cast<std::int64_t>(group));
    }
    outbox.push_back(std::move(request));
  }
}

void TimelineRequests::SendAllTimelines(TimePoint now, const std::string& address, Outbox& outbox) const {
  membership::OutgoingPacket response = LeasePacketTo(address, links_.self_incarnation_id());
  for (const auto& [group, timeline] : consistency_guard_.timelines()) {
    timelines_.Append(now, group, response.packet);
    if (!IsFull(response.packet)) continue;
    outbox.push_back(std::exchange(response, LeasePacketTo(address, links_.self_incarnation_id())));
  }
  if (response.packet.timelines_size() > 0) outbox.push_back(std::move(response));
}

void TimelineRequests::SendTimelinesOf(TimePoint now, const GroupIds& groups, const std::string& address,
                                       Outbox& outbox) const {
  membership::OutgoingPacket response = LeasePacketTo(address, links_.self_incarnation_id());
  const int count = std::min(groups.size(), kUnheardGroupsPerRequest);
  for (int i = 0; i < count && !IsFull(response.packet); ++i) {
    timelines_.Append(now, GroupId(groups.Get(i)), response.packet);
  }
  if (response.packet.timelines_size() > 0) outbox.push_back(std::move(response));
}

}  // namespace lynxgrade::replication
