#include "replication/timeline_bootstrap.h"

#include <utility>

#include "replication/packet_codec.h"
#include "replication/packet_limits.h"

namespace lynxgrade::replication {

void TimelineBootstrap::Tick(TimePoint now, Outbox& outbox) {
  if (requests_left_ == 0 || now < next_request_) return;
  const std::string address = links_.NextLeasePeer(0);
  if (address.empty()) return;
  next_request_ = now + kRequestInterval;
  --requests_left_;
  membership::OutgoingPacket request = LeasePacketTo(address, links_.self_incarnation_id());
  request.packet.mutable_lease_batch()->set_timelines_requested(true);
  outbox.push_back(std::move(request));
}

void TimelineBootstrap::SendAllTimelines(const std::string& address, Outbox& outbox) const {
  membership::OutgoingPacket response = LeasePacketTo(address, links_.self_incarnation_id());
  for (const auto& [group, timeline] : consistency_guard_.timelines()) {
    if (!timeline.primary()) continue;
    EncodeTimeline(group, timeline, *response.packet.add_timelines());
    if (static_cast<std::size_t>(response.packet.timelines_size()) < kTimelinesPerPacket) continue;
    outbox.push_back(std::exchange(response, LeasePacketTo(address, links_.self_incarnation_id())));
  }
  if (response.packet.timelines_size() > 0) outbox.push_back(std::move(response));
}

}  // namespace lynxgrade::replication
