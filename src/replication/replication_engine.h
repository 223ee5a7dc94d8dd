// One instance's part in replication among the instances: membership, watermarks, primary timelines and
// session leases on one stream of packets.
//
// A facade over the classes of this folder: it creates and joins them, and hands each packet and each tick to
// them in a fixed order. Free of sockets and clocks: the caller passes the time, sends what the outbox holds,
// and calls from one thread. Times are of the caller's clock and must not fall.
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
    // Present: one instance at a time holds the lease of a session (docs/design/session-directory.md), and
    // deltas of watermarks go only to peers that do not use leases. `self`, `proof` and `alone` are filled in
    // here.
    std::optional<lease::SessionLeaseClient::Options> leases{};
    Duration flush_interval{20000};  // of deltas to each peer, unless it polls
    // To a peer for which there is nothing new and that waits for nothing. Twice that is below the time for
    // which a held read still expects an answer (eight times consistency::Options::hold), or none would be
    // polled for.
    Duration idle_interval{100000};
    std::size_t retained_watermarks = 65536;  // a peer that misses more takes a snapshot
    double packets_per_s = 2000;              // with many peers flushes are spread out to stay below this
    // No watermarks are sent, and no peer is ever replicated through any time.
    bool membership_only = false;
  };
  static constexpr Duration kMinPollInterval = WatermarkReplicator::kMinPollInterval;

  // `self` names this incarnation; `seeds` are addresses to join by. `consistency_guard` must outlive the
  // engine.
  ReplicationEngine(const Options& options, proto::Member self, std::vector<std::string> seeds,
                    Recovery recovery, consistency::SessionConsistencyGuard& consistency_guard,
                    std::uint64_t seed);

  // A write that this instance is about to answer.
  void RecordWrite(GroupId group, consistency::SessionKey key, const consistency::WriteWatermark& watermark);
  // Sends what is due. To be called every few milliseconds.
  void Tick(TimePoint now, Outbox& outbox);
  // An authenticated packet, which came from `sender_address`.
  void HandlePacket(TimePoint now, const std::string& sender_address, const proto::Packet& packet,
                    Outbox& outbox);
  // Polls the peers for their watermarks. False: the last poll was less than `kMinPollInterval` ago, and
  // nobody was asked.
  bool PollPeers(TimePoint now, Outbox& outbox);
  // Announces that this instance leaves.
  void Leave(TimePoint now, Outbox& outbox) { swim_.Leave(now, outbox); }

  // With leases as SessionLeaseClient has it; without, a write may be answered at any time and no session is
  // known completely.
  std::optional<LogPosition> CompleteThrough(TimePoint now, consistency::SessionKey key);
  bool MayAnswerWrite(TimePoint now, consistency::SessionKey key);
  bool AcquireLease(TimePoint now, GroupId group, consistency::SessionKey key,
                    lease::SessionLeaseClient::Use use, Outbox& outbox);
  // Whether the leases that a former incarnation of this instance may hold have expired.
  bool MayServe(TimePoint now);
  // `bytes` were sent or received, including the headers of IP and UDP: reads acquire leases while the
  // bandwidth budget allows it.
  void ChargeBandwidth(TimePoint now, std::size_t bytes);
  // Null without leases.
  const lease::SessionLeaseClient* lease_client() const;
  const lease::LeaseMessageRelay* lease_relay() const;

  // Whether all instances that are known to be alive count this one among those that answer writes.
  bool CountedByAllPeers() const { return links_.CountedByAllPeers(); }
  // By name of the peer: its writes answered before this are known here.
  std::map<std::string, TimePoint> ReplicatedThrough() const { return links_.ReplicatedThrough(); }
  const membership::Swim& swim() const { return swim_; }
  membership::QuorumTracker::Assessment QuorumStateAt(TimePoint now) { return swim_.QuorumStateAt(now); }
  const ReplicationCounts& counts() const { return counts_; }
  // `log` gets one line for each change of a peer.
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
