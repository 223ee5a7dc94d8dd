// A simulated fleet for the lease tests, in virtual time, that checks each read against all answered writes.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "lease/simulated_lease_node.h"

namespace lynxgrade::lease {

inline constexpr Duration kTick = kMs * 5;
inline constexpr Duration kMaxReadDelay = kMs * 30;
inline constexpr int kSessions = 3;

// Instances on links that lose, duplicate and delay packets and can be cut in either direction, with
// restarts, pauses and clocks that run at different rates. A read is stale if its required position lies
// before a write of its session that was answered earlier.
class SimulatedLeaseFleet {
 public:
  // The last `dedicated_managers` instances manage the leases of all instances. They answer client requests
  // too.
  SimulatedLeaseFleet(std::size_t size, std::uint64_t seed, const Variant& variant,
                      std::size_t dedicated_managers = 0)
      : random_(seed), variant_(variant), size_(size), dedicated_managers_(dedicated_managers) {
    nodes.resize(size);
    clocks_.resize(size);
    paused_until_.resize(size);
    for (std::size_t at = 0; at < size; ++at) Restart(at);
  }
  ~SimulatedLeaseFleet() = default;
  // The nodes refer to the fleet.
  SimulatedLeaseFleet(const SimulatedLeaseFleet&) = delete;
  SimulatedLeaseFleet& operator=(const SimulatedLeaseFleet&) = delete;

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }

  // Starts a new incarnation of the instance, with nothing recovered.
  void Restart(std::size_t at) {
    // Each incarnation has its own clock, with an offset of up to hours and a rate error of up to 4 %.
    clocks_[at] = {kMs * 1000 * (static_cast<std::int64_t>(Draw(20000)) - 10000),
                   static_cast<int>(Draw(81)) - 40, now_};
    if (at + dedicated_managers_ >= size_) dedicated_incarnations_.insert(last_incarnation_id_ + 1);
    nodes[at] = std::make_unique<SimulatedLeaseNode>(at, ++last_incarnation_id_, clocks_[at].Local(now_),
                                                     size_, variant_, dedicated_incarnations_);
    started_at_[last_incarnation_id_] = now_;
    paused_until_[at] = now_;
    std::erase_if(writes_, [at](const Write& write) { return write.at == at; });
    std::erase_if(reads_, [at](const Read& read) { return read.at == at; });
  }

  TimePoint LocalTime(std::size_t at) const { return clocks_[at].Local(now_); }

  // A write arrives now, is executed within about 20 ms, and is answered once that is allowed.
  void StartWrite(std::size_t at, int session) {
    if (now_ < paused_until_[at]) return;
    AcquireLease(at, session, SessionLeaseClient::Use::kWrite);
    writes_.push_back(
        {at, session, now_ + Duration(1000 + static_cast<std::int64_t>(Draw(20000))), {}, now_ + kMs * 900});
  }
  void StartRead(std::size_t at, int session) {
    if (now_ < paused_until_[at]) return;
    AcquireLease(at, session, SessionLeaseClient::Use::kRead);
    reads_.push_back({at, session, now_});
  }

  void CutLink(std::size_t from, std::size_t to) { cut_links_.insert({from, to}); }
  void CutBothWays(std::size_t one, std::size_t other) { cut_links_.insert({{one, other}, {other, one}}); }
  void RepairLinks() { cut_links_.clear(); }

  // Lets virtual time pass.
  void RunFor(Duration time) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += kTick) {
      DeliverPackets();
      if (Draw(2) == 0) ProgressRequests();  // in half of the ticks also before the instances' own tick
      for (std::size_t at = 0; at < size_; ++at) {
        if (now_ >= paused_until_[at]) TickNode(at);
      }
      ProgressRequests();
    }
  }

  // Runs one step of a script: a request or a fault at instance `a`; `b` selects the session or details.
  void RunStep(std::uint8_t kind, std::uint8_t a, std::uint8_t b) {
    const std::size_t at = a % size_;
    const int session = b % kSessions;
    const std::size_t other = (at + 1 + b % std::max<std::size_t>(1, size_ - 1)) % size_;
    const int action = kind % 16;
    if (action < 5) {
      StartWrite(at, session);
    } else if (action < 10) {
      StartRead(at, session);
    } else if (action == 10) {
      if (other != at) CutLink(at, other);
    } else if (action == 11) {
      if (other != at && b % 4 != 3) CutBothWays(at, other);
      if (b % 4 == 3) LetLeaseExpire(at, other, session);
    } else if (action == 12) {
      RepairLinks();
    } else if (action == 13) {
      if (b % 4 == 0) Restart(at);
      if (b % 4 == 1) RestartUnheard(at, other, session);
    } else if (action == 14) {
      paused_until_[at] = now_ + PauseOf(b);
    } else if (other != at) {
      nodes[at]->excluded_until[other] = LocalTime(at) + kMs * (20 + 4 * b);
    }
    constexpr std::array<int, 3> kMsBetweenSteps{5, 20, 60};
    RunFor(kMs * kMsBetweenSteps[b % kMsBetweenSteps.size()]);
  }

  // Runs a random script: periods without faults, in which views become complete, with faults in between.
  void RunScript(int steps) {
    loss_percent_ = static_cast<int>(Draw(3) * 8);
    late_percent_ = static_cast<int>(Draw(3) * 10);
    RunFor(kMs * 600);
    for (int i = 0; i < steps; ++i) {
      const auto kind = Draw(10) < 8 ? Draw(10) : 10 + Draw(6);
      RunStep(static_cast<std::uint8_t>(kind), static_cast<std::uint8_t>(Draw(256)),
              static_cast<std::uint8_t>(Draw(256)));
      if (Draw(25) == 0) {
        RepairLinks();
        RunFor(kMs * 400);
      }
    }
  }

  struct Results {
    int stale_reads = 0;
    int complete_reads = 0;      // reads with a position from AllWritesKnownAfter
    int early_reads = 0;         // those of them whose required position is well before their arrival
    int conservative_reads = 0;  // all other reads
    int answered_writes = 0;
    int failed_writes = 0;
    std::uint64_t batched = 0;
  };

  Results results;
  std::vector<std::unique_ptr<SimulatedLeaseNode>> nodes;

 private:
  static constexpr Duration kWriteRetention{30'000'000};
  static constexpr ServerId kPrimary{7};

  struct Read {
    std::size_t at = 0;
    int session = 0;
    TimePoint arrived;
  };
  struct Write {
    std::size_t at = 0;
    int session = 0;
    TimePoint done;  // at the data server
    std::optional<consistency::WriteWatermark> watermark;
    TimePoint until;
  };
  struct AnsweredWrite {
    std::size_t at = 0;
    int session = 0;
    LogPosition position;
    TimePoint answered;
  };
  struct Datagram {
    TimePoint arrives{};
    std::uint64_t order = 0;
    std::size_t to = 0;
    Packet packet;
    bool operator>(const Datagram& other) const {
      return std::tie(arrives, order) > std::tie(other.arrives, other.order);
    }
  };
  using Link = std::pair<std::size_t, std::size_t>;  // from, to

  // ---- The network ----

  void Send(std::size_t from, std::size_t to, const Packet& packet) {
    if (cut_links_.contains({from, to}) || (packet.hop && muted_links_.contains({from, to}))) return;
    for (int copy = Draw(8) == 0 ? 2 : 1; copy > 0; --copy) {
      if (Draw(100) < static_cast<std::uint64_t>(loss_percent_)) continue;
      Duration delay(300 + static_cast<std::int64_t>(Draw(4000)));
      if (Draw(100) < static_cast<std::uint64_t>(late_percent_)) {
        delay += kMs * static_cast<std::int64_t>(Draw(250));
      }
      datagrams_.push({now_ + delay, ++last_order_, to, packet});
    }
  }

  void DeliverPackets() {
    std::vector<Datagram> held_datagrams;  // for paused instances
    while (!datagrams_.empty() && datagrams_.top().arrives <= now_) {
      const Datagram next = datagrams_.top();
      datagrams_.pop();
      if (now_ < paused_until_[next.to]) {
        held_datagrams.push_back({paused_until_[next.to], next.order, next.to, next.packet});
      } else {
        Receive(next.to, next.packet);
      }
    }
    for (const Datagram& waiting : held_datagrams) datagrams_.push(waiting);
  }

  Packet MakePacket(std::size_t at) {
    SimulatedLeaseNode& node = *nodes[at];
    Packet packet;
    packet.from = at;
    packet.sender = node.incarnation_id;
    packet.sender_started = started_at_[node.incarnation_id];
    packet.view = node.quorum_tracker.view();
    packet.acknowledged_view = node.quorum_tracker.AcknowledgedView(LocalTime(at));
    return packet;
  }

  void SendMessages(std::size_t at, const LeaseOutbox& messages) {
    LeaseMessageRelay::Hops hops;
    for (const OutgoingLeaseMessage& message : messages) {
      nodes[at]->relay.Send(LocalTime(at), message, hops);
    }
    SendHops(at, hops);
  }

  void SendHops(std::size_t at, const LeaseMessageRelay::Hops& hops) {
    for (const LeaseMessageRelay::Hop& hop : hops) {
      for (const auto& [to, peer] : nodes[at]->peers) {
        if (peer.incarnation_id != hop.receiver) continue;
        Packet packet = MakePacket(at);
        packet.receiver = hop.receiver;
        packet.hop = hop;
        Send(at, to, packet);
      }
    }
  }

  // ---- The instances ----

  void Receive(std::size_t at, const Packet& packet) {
    SimulatedLeaseNode& node = *nodes[at];
    const TimePoint local = LocalTime(at);
    node.UpdateView(local);
    node.RecordPeerPacket(local, packet);
    node.RefreshView(local);
    if (packet.ack != 0) node.HandleAck(local, packet);
    node.UpdateView(local);
    if (packet.ping != 0) {
      Packet answer = MakePacket(at);
      answer.ack = packet.ping;
      answer.acknowledgement_ages = node.quorum_tracker.AcknowledgementAges(local, packet.view);
      Send(at, packet.from, answer);
    }
    if (!packet.hop || packet.receiver != node.incarnation_id) return;
    LeaseOutbox responses;
    LeaseMessageRelay::Hops hops;
    const IncarnationId sender = node.relay.Receive(local, packet.sender, *packet.hop, hops);
    if (sender != 0) node.client->HandleMessage(local, sender, packet.hop->message, responses);
    SendHops(at, hops);
    SendMessages(at, responses);
  }

  void TickNode(std::size_t at) {
    SimulatedLeaseNode& node = *nodes[at];
    const TimePoint local = LocalTime(at);
    node.UpdateView(local);
    const bool ticked = node.ticked_at != TimePoint{};
    if (ticked && local - node.ticked_at > kPingInterval * 2) node.quorum_tracker.ResetAfterPause(local);
    // The budget is spent at the rate at which it is refilled.
    if (ticked && local > node.ticked_at) {
      const auto microseconds = static_cast<std::size_t>((local - node.ticked_at).count());
      node.client->RecordTraffic(local, microseconds * (kBytesPerS / 1'000'000));
    }
    node.ticked_at = local;
    node.RefreshView(local);
    node.UpdateView(local);
    if (local >= node.next_ping) PingAll(at);
    LeaseOutbox messages;
    node.client->Tick(local, messages);
    SendMessages(at, messages);
    LeaseMessageRelay::Hops due;
    node.relay.FlushDue(local, due);
    SendHops(at, due);
    results.batched += due.size();
  }

  void PingAll(std::size_t at) {
    SimulatedLeaseNode& node = *nodes[at];
    const TimePoint local = LocalTime(at);
    node.next_ping = local + kPingInterval;
    for (std::size_t to = 0; to < size_; ++to) {
      if (to == at) continue;
      Packet ping = MakePacket(at);
      ping.ping = ++last_ping_;
      node.ping_sent_at[ping.ping] = local;
      Send(at, to, ping);
    }
    std::erase_if(node.ping_sent_at,
                  [&](const auto& item) { return local - item.second > kViewValidity * 2; });
  }

  // ---- Requests ----

  void AcquireLease(std::size_t at, int session, SessionLeaseClient::Use use) {
    LeaseOutbox messages;
    nodes[at]->UpdateView(LocalTime(at));
    nodes[at]->client->AcquireLease(LocalTime(at), kGroup, SessionKeyOf(session), use, messages);
    SendMessages(at, messages);
  }

  void ProgressRequests() {
    for (std::size_t i = 0; i < writes_.size();) {
      if (IsWriteOver(i)) {
        writes_.erase(writes_.begin() + static_cast<std::ptrdiff_t>(i));
      } else {
        ++i;
      }
    }
    std::erase_if(reads_, [this](const Read& read) { return IsReadOver(read); });
  }

  // Answers the write if that is allowed. Returns whether the write is answered or has failed. A lease
  // request that it sends only adds packets, so `writes_` does not change meanwhile.
  bool IsWriteOver(std::size_t index) {
    Write& write = writes_[index];
    if (now_ < paused_until_[write.at] || now_ < write.done) return false;
    SimulatedLeaseNode& node = *nodes[write.at];
    const TimePoint local = LocalTime(write.at);
    if (!write.watermark) {
      // The commit happened up to a millisecond ago. The clocks of data servers show the true time.
      const LogPosition commit = now_ - Duration(static_cast<std::int64_t>(Draw(1000)));
      write.watermark = consistency::WriteWatermark{commit, kPrimary};
      node.watermark_table.Record(SessionKeyOf(write.session), *write.watermark);
    }
    node.UpdateView(local);
    if (node.client->MayAnswerWrite(local, SessionKeyOf(write.session))) {
      answered_writes_.push_back({write.at, write.session, write.watermark->position, now_});
      ++results.answered_writes;
      return true;
    }
    if (now_ >= write.until) {
      ++results.failed_writes;
      return true;
    }
    AcquireLease(write.at, write.session, SessionLeaseClient::Use::kWrite);
    return false;
  }

  bool IsReadOver(const Read& read) {
    if (now_ < paused_until_[read.at]) return false;
    SimulatedLeaseNode& node = *nodes[read.at];
    const TimePoint local = LocalTime(read.at);
    node.UpdateView(local);
    const auto all_writes_known_after = node.client->AllWritesKnownAfter(local, SessionKeyOf(read.session));
    if (!all_writes_known_after && now_ - read.arrived < kMaxReadDelay) return false;
    ++(all_writes_known_after ? results.complete_reads : results.conservative_reads);
    if (all_writes_known_after) CheckRead(read, node, *all_writes_known_after);
    return true;
  }

  // Checks a read whose required position covers all writes that the node knows.
  void CheckRead(const Read& read, const SimulatedLeaseNode& node, LogPosition all_writes_known_after) {
    const auto known = node.watermark_table.Find(SessionKeyOf(read.session));
    // The position is a time of the reader's clock, watermarks are times of the data servers' clocks.
    LogPosition required = clocks_[read.at].True(all_writes_known_after);
    if (known.watermark) required = std::max(required, known.watermark->position);
    if (!known.watermark && known.conservative_position) {
      required = std::max(required, *known.conservative_position);
    }
    const bool stale = std::ranges::any_of(answered_writes_, [&](const AnsweredWrite& write) {
      return write.session == read.session && now_ - write.answered <= kWriteRetention &&
             write.position > required;
    });
    if (stale) {
      ++results.stale_reads;
    } else if (required + kMs * 50 < read.arrived) {
      ++results.early_reads;
    }
  }

  // ---- Faults ----

  // How long an instance is paused: usually briefly, sometimes for longer than a view is valid.
  static Duration PauseOf(std::uint8_t b) {
    if (b % 8 == 0) return kMs * 2000;
    return kMs * (b % 4 == 0 ? 400 : 30);
  }

  // Lease messages cannot reach the holder `at`, so that its lease is not revoked; it continues to write
  // until the lease expires.
  void LetLeaseExpire(std::size_t at, std::size_t other, int session) {
    StartWrite(at, session);
    RunFor(kMs * 60);
    for (std::size_t to = 0; to < size_; ++to) {
      if (to != at) muted_links_.insert({{at, to}, {to, at}});
    }
    StartWrite(at, session);
    RunFor(kMs * 40);
    for (int i = 0; i < 15; ++i) {
      StartRead(other, session);
      RunFor(kLeaseDuration / 10);
    }
    muted_links_.clear();
  }

  // `at` restarts while its packets are lost, and another instance, which may hold the lease, reads.
  void RestartUnheard(std::size_t at, std::size_t other, int session) {
    for (std::size_t to = 0; to < size_; ++to) {
      if (to != at) CutLink(at, to);
    }
    Restart(at);
    StartWrite(at, session);
    RunFor(kMs * 40);
    StartRead(other, session);
    RunFor(kMs * 60);
    RepairLinks();
  }

  std::mt19937_64 random_;
  Variant variant_;
  std::size_t size_;
  std::size_t dedicated_managers_;
  std::set<IncarnationId> dedicated_incarnations_;  // former ones included
  TimePoint now_{Duration(1'700'000'000'000'000)};
  std::vector<SkewedClock> clocks_;
  std::vector<TimePoint> paused_until_;
  std::map<IncarnationId, TimePoint> started_at_;
  std::set<Link> cut_links_;
  std::set<Link> muted_links_;  // links that only lose lease messages
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> datagrams_;
  std::vector<Write> writes_;
  std::vector<Read> reads_;
  std::vector<AnsweredWrite> answered_writes_;
  int loss_percent_ = 0;
  int late_percent_ = 0;
  std::uint64_t last_order_ = 0;
  IncarnationId last_incarnation_id_ = 100;
  std::uint64_t last_ping_ = 0;
};

}  // namespace lynxgrade::lease
