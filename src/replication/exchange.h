// The exchange of sessions' marks among the instances: deltas in sequence, a whole ledger after a gap, and up
// to when each other instance is covered.
//
// Owns what each peer has and has had; free of sockets and clocks. A flush echoes the receiver's newest
// stamp, so what "covered up to" says is in the receiver's own clock: a clock that steps elsewhere cannot
// stretch it. Whatever is lost, doubled, late or out of order costs coverage, never a mark.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "consistency/session_consistency_guard.h"
#include "lease/lease_message_relay.h"
#include "lease/session_lease_client.h"
#include "membership/swim.h"

namespace lynxgrade::replication {

class Exchange : private lease::KnownWatermarks {
 public:
  struct Options {
    membership::Swim::Options swim;
    // Sessions are held by one instance at a time (docs/design/session-directory.md), and marks go only to
    // those that do not know of it. Its `self`, `proof` and `alone` are filled in here.
    std::optional<lease::SessionLeaseClient::Options> directory{};
    Duration flush{20000};  // to each peer, where nobody asks sooner
    // To a peer for whom there is nothing new and who waits for nothing. Twice that is under the time for
    // which a held read still expects word (eight times session::Options::hold), or none would be asked for.
    Duration idle{100000};
    std::size_t kept = 65536;     // own marks kept in sequence; who misses more gets the whole ledger
    double packets_per_s = 2000;  // with many peers flushes are spread out to stay under this
    bool members_only = false;    // nothing is told of marks and reigns, and nobody is ever covered
  };
  static constexpr Duration kSolicitEvery{1000};
  struct Counts {
    std::uint64_t marks_in = 0, marks_out = 0, packets_out = 0, syncs = 0, directory_out = 0;
  };

  // `recovered`: the keeper knows all that earlier lives of this instance answered.
  Exchange(Options options, proto::Member self, std::vector<std::string> seeds, bool recovered,
           consistency::SessionConsistencyGuard& consistency_guard, std::uint64_t seed);

  // A write that this instance is about to answer.
  void Wrote(GroupId group, consistency::SessionKey key, const consistency::WriteWatermark& watermark);
  void Tick(TimePoint now, std::vector<membership::OutgoingPacket>& out);
  void Take(TimePoint now, const std::string& from, const proto::Packet& packet,
            std::vector<membership::OutgoingPacket>& out);
  // Asks those peers that are not covered up to now for their word at once. False: the last time was under
  // `kSolicitEvery` ago, and nobody was asked.
  bool Solicit(TimePoint now, std::vector<membership::OutgoingPacket>& out);
  void Leave(TimePoint, std::vector<membership::OutgoingPacket>& out) { swim_.Leave(out); }

  // With a directory: rules R and W, and what has to be asked for them (see directory::Directory). Without
  // one a write may be answered at any time and nothing is exact.
  std::optional<LogPosition> Exact(TimePoint now, consistency::SessionKey key);
  bool MayAnswer(TimePoint now, consistency::SessionKey key);
  bool Want(TimePoint now, GroupId group, consistency::SessionKey key, lease::SessionLeaseClient::Use use,
            std::vector<membership::OutgoingPacket>& out);
  // What was sent or received, as bytes of packets with all their heads: reads ask while a budget bears it.
  void Spent(TimePoint now, std::size_t bytes) {
    if (directory_ != nullptr) directory_->Spent(now, bytes);
  }
  // Whether what a former life of this instance may have promised is over.
  bool MayServe(TimePoint now);
  const lease::SessionLeaseClient* directory() const { return directory_.get(); }
  const lease::LeaseMessageRelay* courier() const { return courier_.get(); }

  // Whether all instances that are known to live count this one among those that answer writes.
  bool Joined() const;
  const membership::Swim& swim() const { return swim_; }
  membership::QuorumTracker::Assessment QuorumStateAt(TimePoint now) { return swim_.QuorumStateAt(now); }
  const Counts& counts() const { return counts_; }
  // What each peer is covered up to, by name.
  std::map<std::string, TimePoint> Covered() const;
  using Say = std::function<void(std::string)>;
  void OnLog(Say say) { say_ = std::move(say); }

 private:
  static constexpr std::size_t kMarksAPacket = 30;  // some 1,000 bytes: one datagram on any path
  static constexpr int kPacketsAFlush = 16;         // to one peer
  static constexpr int kChunksAFlush = 8;
  static constexpr std::size_t kReignsAPacket = 8;
  static constexpr Duration kResend{30000};        // without an acknowledgement
  static constexpr Duration kReignsEvery{500000};  // a round of all, at the most often
  static constexpr Duration kSkew{1000000};  // clocks are one, or nearly: for the start of a peer's life

  struct Link {
    std::uint64_t incarnation_id = 0;
    // What it has of ours.
    std::uint64_t acked = 0, sent = 0;
    TimePoint moved{};  // `acked`, or the first sending of what is not acknowledged
    bool counts_us = false;
    // What we have of its.
    std::uint64_t have = 0;
    std::uint64_t echo_stamp = 0;
    TimePoint covered{};
    bool had_coverage = false;
    TimePoint began{};  // since when it is followed; later, until when an older life was heard beside it
    // A whole ledger to it, and from it.
    std::uint64_t sync_out = 0, sync_next = 0, sync_upto = 0;
    std::uint64_t sync_in = 0, sync_expected = 0;
    TimePoint flushed{};
    bool owes = false;                         // it is to hear that its marks have come
    std::uint64_t losses_told = 0;             // changes of primary when it was last told of reigns
    bool dead = false;                         // as last said
    std::map<GroupId, LogPosition> timelines;  // as last told
    // All are told anew, one after the other over many packets: how many are left of this round, when it
    // began, and the last one that was told.
    std::size_t reigns_left = 0;
    TimePoint reigns_round{};
    GroupId reigns_at{};
  };

  consistency::SessionWatermarkTable::Known Newest(consistency::SessionKey key) const override {
    return consistency_guard_.watermark_table().Find(key);
  }
  void Learn(consistency::SessionKey key, const consistency::WriteWatermark& watermark) override {
    consistency_guard_.Learn(std::nullopt, key, watermark);
  }
  // Tells the directory where this instance stands; `whole`: also whether with all of the fleet.
  void Stand(TimePoint now, bool whole);
  bool Whole(TimePoint now);
  // Whether it goes by the directory, as this instance does.
  bool Directed(const proto::Member& member) const {
    return directory_ != nullptr && member.protocol_version() >= kDirected;
  }
  void TakeDirectory(TimePoint now, const std::string& from, const proto::Packet& packet,
                     std::vector<membership::OutgoingPacket>& out);
  void Post(TimePoint now, const lease::LeaseOutbox& box, std::vector<membership::OutgoingPacket>& out);
  // Puts messages into packets, one for each receiver and view, and what goes by way of an owner apart.
  void Pack(TimePoint now, const lease::LeaseMessageRelay::Legs& legs,
            std::vector<membership::OutgoingPacket>& out);
  // The owner by way of which this instance speaks while bytes are short; zero: none.
  lease::IncarnationId NearOwner() const;
  // A packet that names of this instance its life alone.
  membership::OutgoingPacket Bare(const std::string& address) const;
  static void FillReign(proto::TimelineRecord& to, GroupId group,
                        const consistency::PrimaryTimeline& timelines);
  void AddReign(TimePoint now, GroupId group, proto::Packet& packet) const;
  std::string SomeOther(std::uint64_t than);
  void AskReigns(TimePoint now, std::vector<membership::OutgoingPacket>& out);
  void SendReigns(const std::string& address, std::vector<membership::OutgoingPacket>& out) const;
  static membership::Swim::Options SwimOptions(const Options& options);
  static std::uint64_t NumberOf(const std::string& name);
  // Takes over what membership says, where that has changed.
  void Follow(TimePoint now);
  void FollowOne(TimePoint now, const std::string& name);
  void NewLife(TimePoint now, const std::string& name, Link& link, const proto::Packet& packet);
  void Flush(TimePoint now, const std::string& name, Link& link, bool solicit,
             std::vector<membership::OutgoingPacket>& out);
  void AddReigns(TimePoint now, Link& link, proto::Packet& packet);
  void TakeDelta(TimePoint now, const std::string& name, Link& link, const proto::Delta& delta);
  void TakeChunk(const std::string& name, Link& link, const std::string& from, const proto::Chunk& chunk,
                 std::vector<membership::OutgoingPacket>& out);
  void SendChunks(TimePoint now, const std::string& name, Link& link,
                  std::vector<membership::OutgoingPacket>& out);
  void Send(const std::string& address, proto::Packet packet, std::vector<membership::OutgoingPacket>& out);
  Duration Interval() const;
  // Whether there is news for it, or it waits for something.
  bool Awaited(const Link& link) const;

  static constexpr std::uint32_t kDirected = 2;  // Member.speaks
  static constexpr std::size_t kMostDirected = 8192;
  static constexpr int kEntriesAPacket = 30;  // some 1,000 bytes: one datagram on any path
  // What was said so often without an answer goes through a third as well: the link may be cut.
  static constexpr int kTriesAlone = 3;
  static constexpr Duration kViaFor{2000000};  // one that came through a third is answered through it
  // An owner whose answers take up to twice as long as the nearest one's, and this much more, is as near: a
  // loop's turn at either end.
  static constexpr Duration kAsNear{10000};
  static constexpr Duration kLookForNearEvery{1000000};  // answers to pings come no more often
  // A new life asks some others, one after the other, for the reigns that they know.
  static constexpr int kReignAsks = 3;
  static constexpr Duration kReignAskEvery{300000};
  static constexpr int kReignsAtOnce = 25;

  Options options_;
  membership::Swim swim_;
  std::unique_ptr<lease::SessionLeaseClient> directory_;
  std::unique_ptr<lease::LeaseMessageRelay> courier_;  // of the directory
  TimePoint looked_for_near_{};
  std::uint64_t changes_ = 0;  // of members, as last followed
  // Who is to be followed at the next change of members, as something of its link has changed here.
  std::vector<std::string> again_;
  std::set<std::string> flushed_to_;  // names of those with a link that take marks
  // Lives that go by the directory, also those that were replaced: a view may still name them.
  std::set<std::uint64_t> directed_;
  std::unordered_map<std::uint64_t, std::string> addresses_;  // by life, of all members as last followed
  std::unordered_map<std::string, std::uint64_t> incarnation_ids_;  // by name, likewise
  std::vector<lease::IncarnationId> owners_;                        // those of the view `owners_of_`
  std::uint64_t owners_of_ = 0;
  TimePoint doubted_until_{};  // an older life of somebody's name was heard beside the one that counts
  // Up to when all of the view are known to stand by it, by the words and members that there were.
  struct Looked {
    std::uint64_t view = 0;  // zero: it has to be looked at again
    std::uint64_t changes = 0;
    std::optional<TimePoint> until;
  };
  Looked looked_;
  struct Via {
    std::string address;
    TimePoint until{};
  };
  std::map<std::uint64_t, Via> via_;  // by life
  int reign_asks_ = 0;
  TimePoint next_reign_ask_{};
  consistency::SessionConsistencyGuard& consistency_guard_;
  bool recovered_;
  std::uint64_t turn_;
  std::map<std::string, Link> links_;
  std::map<std::string, std::uint64_t> placeholders_;  // seeds that were never heard, by address
  std::size_t unheard_ = 0;                            // how many there were, as last followed
  struct Own {
    GroupId group;
    consistency::SessionKey key;
    consistency::WriteWatermark watermark;
  };
  std::deque<Own> own_;
  std::uint64_t base_ = 1;  // sequence of the first of `own_`
  std::uint64_t syncs_ = 0;
  TimePoint solicited_{};
  Counts counts_;
  Say say_;
};

}  // namespace lynxgrade::replication
