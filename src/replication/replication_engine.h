// Replication between the instances of the pooler, as one instance runs it: membership, watermarks, primary
// timelines and session leases on one stream of packets.
//
// A facade over the classes of this folder: it creates and connects them, and passes each packet and each
// tick to them in a fixed order. Free of sockets and clocks: the caller passes the time and sends the packets
// in the outbox. Not thread-safe. Times are those of the caller's clock and must never decrease.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consistency/session_consistency_guard.h"
#include "lease/lease_message_relay.h"
#include "lease/session_lease_client.h"
#include "membership/swim.h"
#include "replication/lease_transport.h"
#include "replication/outbox.h"
#include "replication/packet_sender.h"
#include "replication/peer_links.h"
#include "replication/replication_counts.h"
#include "replication/watermark_replicator.h"

namespace lynxgrade::replication {

class ReplicationEngine {
 public:
  using Recovery = WatermarkReplicator::Recovery;
  struct Options {
    membership::Swim::Options swim;
    // If present, one instance at a time holds the lease of a session (docs/design/session-directory.md), and
    // only peers that do not use leases receive deltas of watermarks. `self`, `view_validity` and
    // `single_instance` are set by the engine.
    std::optional<lease::SessionLeaseClient::Options> leases{};
    Duration flush_interval{20000};  // between deltas to a peer that does not poll
    // Between deltas to a peer for which there is nothing new. Twice this interval must be less than eight
    // times consistency::Options::max_read_delay: the consistency guard does not delay a read for a peer that
    // has been silent for longer, and would never poll an idle peer.
    Duration idle_interval{100000};
    std::size_t retained_watermarks = 65536;  // a peer that misses more needs a snapshot
    // With many peers, the flush interval is stretched to stay below this rate.
    double packets_per_s = 2000;
    // Only membership is replicated: no watermarks are sent, and no peer's writes ever count as replicated.
    bool membership_only = false;
  };
  static constexpr Duration kMinPollInterval = WatermarkReplicator::kMinPollInterval;

  // `self` describes this incarnation; `seeds` are the addresses through which it joins the fleet.
  // `consistency_guard` must outlive the engine.
  ReplicationEngine(const Options& options, proto::Member self, std::vector<std::string> seeds,
                    Recovery recovery, consistency::SessionConsistencyGuard& consistency_guard,
                    std::uint64_t seed);

  // Records a write that this instance is about to answer, for replication.
  void RecordWrite(GroupId group, consistency::SessionKey key, const consistency::WriteWatermark& watermark);
  // Sends the packets that are due. Call every few milliseconds.
  void Tick(TimePoint now, Outbox& outbox);
  // Handles an authenticated packet that was received from `sender_address`.
  void HandlePacket(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                    Outbox& outbox);
  // Polls the peers for their watermarks. Returns false without polling if the last poll was less than
  // `kMinPollInterval` ago.
  bool PollPeers(TimePoint now, Outbox& outbox);
  // Announces that this instance leaves the fleet.
  void Leave(Outbox& outbox) { swim_.Leave(outbox); }

  // See SessionLeaseClient. Without leases, a write may be answered at any time, and there is no position
  // after which all writes of a session are known.
  std::optional<LogPosition> AllWritesKnownAfter(TimePoint now, consistency::SessionKey key);
  bool MayAnswerWrite(TimePoint now, consistency::SessionKey key);
  bool AcquireLease(TimePoint now, GroupId group, consistency::SessionKey key,
                    lease::SessionLeaseClient::Use use, Outbox& outbox);
  // Whether the leases that an earlier incarnation of this instance may hold have expired.
  bool MayServeRequests(TimePoint now);
  // Records bytes that were sent or received, including the headers of IP and UDP. They count towards the
  // bandwidth budget that limits lease requests for reads.
  void RecordTraffic(TimePoint now, std::size_t bytes);
  // Null without leases.
  const lease::SessionLeaseClient* lease_client() const;
  const lease::LeaseMessageRelay* lease_relay() const;

  // Whether all instances that are known to be alive know that this one may answer writes.
  bool IsTrackedByAllPeers() const { return links_.IsTrackedByAllPeers(); }
  // By peer name: the time before which all writes of the peer are known.
  std::map<std::string, TimePoint> ReplicatedThrough() const { return links_.ReplicatedThrough(); }
  const membership::Swim& swim() const { return swim_; }
  membership::QuorumTracker::Assessment QuorumStateAt(TimePoint now) { return swim_.QuorumStateAt(now); }
  const ReplicationCounts& counts() const { return counts_; }
  // Sets the receiver of the log lines about changes of peers.
  void OnLog(const std::function<void(std::string)>& log);

 private:
  Options options_;
  membership::Swim swim_;
  ReplicationCounts counts_;
  PeerLinks links_;
  PacketSender sender_;
  WatermarkReplicator watermarks_;
  std::unique_ptr<LeaseTransport> leases_;  // null without leases
  consistency::SessionConsistencyGuard& consistency_guard_;
};

}  // namespace lynxgrade::replication
