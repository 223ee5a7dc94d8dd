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
#include <string>
#include <vector>

#include "peers/swim.h"
#include "session/keeper.h"

namespace lynxgrade::peers {

class Exchange {
 public:
  struct Options {
    Swim::Options swim;
    Duration flush{20000};  // to each peer, where nobody asks sooner
    // To a peer for whom there is nothing new and who waits for nothing. Twice that is under the time for
    // which a held read still expects word (eight times session::Options::hold), or none would be asked for.
    Duration idle{100000};
    std::size_t kept = 65536;     // own marks kept in sequence; who misses more gets the whole ledger
    double packets_per_s = 2000;  // with many peers flushes are spread out to stay under this
  };
  static constexpr Duration kSolicitEvery{1000};
  struct Counts {
    std::uint64_t marks_in = 0, marks_out = 0, packets_out = 0, syncs = 0;
  };

  // `recovered`: the keeper knows all that earlier lives of this instance answered.
  Exchange(Options options, wire::Member self, std::vector<std::string> seeds, bool recovered,
           session::Keeper& keeper, std::uint64_t seed);

  // A write that this instance is about to answer.
  void Wrote(GroupId group, session::Key key, const session::Mark& mark);
  void Tick(Time now, std::vector<Out>& out);
  void Take(Time now, const std::string& from, const wire::Packet& packet, std::vector<Out>& out);
  // Asks those peers that are not covered up to now for their word at once. False: the last time was under
  // `kSolicitEvery` ago, and nobody was asked.
  bool Solicit(Time now, std::vector<Out>& out);
  void Leave(Time now, std::vector<Out>& out) { swim_.Leave(now, out); }

  // Whether all instances that are known to live count this one among those that answer writes.
  bool Joined() const;
  const Swim& swim() const { return swim_; }
  members::Standing::Value StandingAt(Time now) { return swim_.StandingAt(now); }
  const Counts& counts() const { return counts_; }
  // What each peer is covered up to, by name.
  std::map<std::string, Time> Covered() const;
  using Say = std::function<void(std::string)>;
  void OnLog(Say say) { say_ = std::move(say); }

 private:
  static constexpr std::size_t kMarksAPacket = 30;  // some 1,000 bytes: one datagram on any path
  static constexpr int kPacketsAFlush = 16;         // to one peer
  static constexpr int kChunksAFlush = 8;
  static constexpr std::size_t kReignsAPacket = 8;
  static constexpr Duration kResend{30000};  // without an acknowledgement
  static constexpr Duration kReignsEvery{500000};
  static constexpr Duration kSkew{1000000};  // clocks are one, or nearly: for the start of a peer's life

  struct Link {
    std::uint64_t life = 0;
    // What it has of ours.
    std::uint64_t acked = 0, sent = 0;
    Time moved{};  // `acked`, or the first sending of what is not acknowledged
    bool counts_us = false;
    // What we have of its.
    std::uint64_t have = 0;
    std::uint64_t echo_stamp = 0;
    Time covered{};
    bool had_coverage = false;
    Time began{};  // since when it is followed; later, until when an older life was heard beside it
    // A whole ledger to it, and from it.
    std::uint64_t sync_out = 0, sync_next = 0, sync_upto = 0;
    std::uint64_t sync_in = 0, sync_expected = 0;
    Time flushed{};
    bool owes = false;                   // it is to hear that its marks have come
    std::uint64_t losses_told = 0;       // changes of primary when it was last told of reigns
    bool dead = false;                   // as last said
    std::map<GroupId, Position> reigns;  // as last told
    Time reigns_told{};
  };

  static std::uint64_t NumberOf(const std::string& name);
  void Follow(Time now);
  void NewLife(Time now, const std::string& name, Link& link, const wire::Packet& packet);
  void Flush(Time now, const std::string& name, Link& link, bool solicit, std::vector<Out>& out);
  void AddReigns(Time now, Link& link, wire::Packet& packet);
  void TakeDelta(Time now, const std::string& name, Link& link, const wire::Delta& delta);
  void TakeChunk(const std::string& name, Link& link, const std::string& from, const wire::Chunk& chunk,
                 std::vector<Out>& out);
  void SendChunks(Time now, const std::string& name, Link& link, std::vector<Out>& out);
  void Send(const std::string& address, wire::Packet packet, std::vector<Out>& out);
  Duration Interval() const;
  // Whether there is news for it, or it waits for something.
  bool Awaited(const Link& link) const;

  Options options_;
  Swim swim_;
  session::Keeper& keeper_;
  bool recovered_;
  std::uint64_t turn_;
  std::map<std::string, Link> links_;
  std::map<std::string, std::uint64_t> placeholders_;  // seeds that were never heard, by address
  struct Own {
    GroupId group;
    session::Key key;
    session::Mark mark;
  };
  std::deque<Own> own_;
  std::uint64_t base_ = 1;  // sequence of the first of `own_`
  std::uint64_t syncs_ = 0;
  Time solicited_{};
  Counts counts_;
  Say say_;
};

}  // namespace lynxgrade::peers
