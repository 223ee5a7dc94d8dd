#include "peers/exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lynxgrade::peers {
namespace {

Position At(std::int64_t us) { return Position(Duration(us)); }
std::int64_t Us(Position position) { return position.time_since_epoch().count(); }

session::Mark MarkOf(const wire::Mark& mark) {
  return {At(mark.position_us()),
          mark.by() == 0 ? std::nullopt : std::optional<MemberId>(MemberId(mark.by()))};
}

void Fill(wire::Mark& to, session::Key key, const session::Mark& mark) {
  to.set_key(static_cast<std::uint64_t>(key));
  to.set_position_us(Us(mark.position));
  to.set_by(mark.by ? static_cast<std::uint32_t>(*mark.by) : 0);
}

}  // namespace

Exchange::Exchange(Options options, wire::Member self, std::vector<std::string> seeds, bool recovered,
                   session::Keeper& keeper, std::uint64_t seed)
    : options_(options),
      swim_(options.swim, std::move(self), seeds, seed),
      keeper_(keeper),
      recovered_(recovered),
      turn_(seed) {
  // What was recovered is not in sequence: everybody has to take the whole ledger first.
  if (keeper.ledger().size() > 0) base_ = 2;
  // Each seed may be answering writes already.
  for (const std::string& address : swim_.unheard_seeds()) {
    placeholders_[address] = NumberOf("address " + address);
    keeper_.Covered(placeholders_[address], Time{});
  }
}

std::uint64_t Exchange::NumberOf(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

void Exchange::Wrote(GroupId group, session::Key key, const session::Mark& mark) {
  own_.push_back({group, key, mark});
  if (own_.size() <= options_.kept) return;
  own_.pop_front();
  ++base_;
}

std::map<std::string, Time> Exchange::Covered() const {
  std::map<std::string, Time> covered;
  for (const auto& [name, link] : links_) covered[name] = link.covered;
  return covered;
}

bool Exchange::Joined() const {
  return std::ranges::all_of(swim_.peers(), [this](const auto& item) {
    if (item.second.member.state() != wire::Member::ALIVE) return true;
    const auto link = links_.find(item.first);
    return link != links_.end() && link->second.counts_us;
  });
}

Duration Exchange::Interval() const {
  const double spread = static_cast<double>(links_.size()) / options_.packets_per_s;
  return std::max(options_.flush, Duration(static_cast<std::int64_t>(spread * 1e6)));
}

bool Exchange::Awaited(const Link& link) const {
  const std::uint64_t upto = base_ + own_.size() - 1;
  return link.acked < upto || link.owes || !link.counts_us || !link.had_coverage ||
         link.losses_told != keeper_.counts().losses;
}

// Takes over what membership says. Who is dead still counts: it may be cut off and go on answering. Who has
// left answers no more.
void Exchange::Follow(Time now) {
  for (const auto& [name, peer] : swim_.peers()) {
    if (peer.member.state() == wire::Member::LEFT) {
      const auto link = links_.find(name);
      if (link == links_.end() || link->second.life != peer.member.life()) continue;
      // Its last writes may not have come through: they were answered before it said that it leaves.
      if (link->second.covered < now) keeper_.AddGap(NumberOf(name), link->second.covered, now);
      keeper_.Uncount(NumberOf(name));
      links_.erase(link);
      if (say_) say_("peer " + name + " has left");
      continue;
    }
    const bool dead = peer.member.state() == wire::Member::DEAD;
    if (const auto known = links_.find(name); known != links_.end()) {
      if (std::exchange(known->second.dead, dead) != dead && say_) {
        say_("peer " + name + (dead ? " is held dead" : " is heard again"));
      }
      continue;
    }
    Link& link = links_[name];
    link.dead = dead;
    link.life = peer.member.life();
    link.began = now;
    keeper_.Covered(NumberOf(name), Time{});
    // Earlier lives of it may have answered what it does not know any more.
    const Time started = At(static_cast<std::int64_t>(peer.member.started_us()));
    keeper_.AddGap(NumberOf(name), Time{}, std::min(now, started + kSkew));
    if (say_) say_("peer " + name + " counts from now on");
  }
  std::erase_if(links_, [&](const auto& item) {
    if (swim_.peers().contains(item.first)) return false;
    keeper_.Uncount(NumberOf(item.first));
    if (say_) say_("peer " + item.first + " was dead for so long that it counts no more");
    return true;
  });
  std::erase_if(placeholders_, [&](const auto& item) {
    const auto& unheard = swim_.unheard_seeds();
    if (std::ranges::find(unheard, item.first) != unheard.end()) return false;
    keeper_.Uncount(item.second);
    return true;
  });
}

void Exchange::Send(const std::string& address, wire::Packet packet, std::vector<Out>& out) {
  swim_.Dress(packet);
  ++counts_.packets_out;
  out.push_back({address, std::move(packet)});
}

void Exchange::Tick(Time now, std::vector<Out>& out) {
  swim_.Tick(now, out);
  Follow(now);
  const Duration interval = Interval();
  // Rumours go out with the first packets of a flush. From a start that turns they reach all, not the same
  // few: with 64 instances one heard of a death 11 s after the others.
  auto next = links_.begin();
  if (!links_.empty()) std::advance(next, static_cast<std::ptrdiff_t>(turn_++ % links_.size()));
  for (std::size_t i = 0; i < links_.size(); ++i, ++next) {
    if (next == links_.end()) next = links_.begin();
    auto& [name, link] = *next;
    const auto peer = swim_.peers().find(name);
    if (peer == swim_.peers().end()) continue;
    // One that is held dead is spoken to now and then: it may have been cut off, and is to know what it
    // missed.
    const bool dead = peer->second.member.state() == wire::Member::DEAD;
    const Duration pause = dead            ? options_.swim.period * 5
                           : Awaited(link) ? interval
                                           : std::max(interval, options_.idle);
    if (now - link.flushed < pause) continue;
    Flush(now, name, link, false, out);
  }
}

bool Exchange::Solicit(Time now, std::vector<Out>& out) {
  if (now - solicited_ < kSolicitEvery) return false;
  solicited_ = now;
  for (auto& [name, link] : links_) {
    const auto peer = swim_.peers().find(name);
    if (peer != swim_.peers().end() && peer->second.member.state() <= wire::Member::SUSPECT) {
      Flush(now, name, link, true, out);
    }
  }
  return true;
}

void Exchange::Flush(Time now, const std::string& name, Link& link, bool solicit, std::vector<Out>& out) {
  const std::string& address = swim_.peers().at(name).member.address();
  link.flushed = now;
  link.owes = false;
  const std::uint64_t upto = base_ + own_.size() - 1;
  if (link.acked + 1 < base_) {
    SendChunks(now, name, link, out);
  } else {
    link.sync_out = 0;
  }
  // What was sent and not acknowledged for a while is sent again.
  if (link.sent > link.acked && now - link.moved >= kResend) link.sent = link.acked;
  link.sent = std::max(link.sent, link.acked);
  if (link.sent == link.acked) link.moved = now;
  std::uint64_t next = std::max(link.sent + 1, base_);
  for (int i = 0; i < kPacketsAFlush; ++i) {
    wire::Packet packet;
    wire::Delta& delta = *packet.mutable_delta();
    delta.set_first(next);
    while (next <= upto && static_cast<std::size_t>(delta.marks_size()) < kMarksAPacket) {
      const Own& own = own_[next - base_];
      wire::Mark& mark = *delta.add_marks();
      Fill(mark, own.key, own.mark);
      mark.set_group(static_cast<std::int64_t>(own.group));
      ++next;
      ++counts_.marks_out;
    }
    delta.set_upto(upto);
    delta.set_stamp_us(static_cast<std::uint64_t>(Us(now)));
    delta.set_echo_life(link.life);
    delta.set_echo_stamp_us(link.echo_stamp);
    delta.set_have_life(link.life);
    delta.set_have(link.have);
    delta.set_solicit(solicit);
    delta.set_recovered(recovered_);
    if (i == 0) AddReigns(now, link, packet);
    Send(address, std::move(packet), out);
    if (next > upto) break;
  }
  link.sent = std::max(link.sent, next - 1);
}

// The present reigns that have changed since they were told, and now and then all of them.
void Exchange::AddReigns(Time now, Link& link, wire::Packet& packet) {
  link.losses_told = keeper_.counts().losses;
  if (now - link.reigns_told >= kReignsEvery) {
    link.reigns.clear();
    link.reigns_told = now;
  }
  for (const auto& [group, reigns] : keeper_.reigns()) {
    if (static_cast<std::size_t>(packet.reigns_size()) >= kReignsAPacket) return;
    if (!reigns.primary()) continue;
    const auto told = link.reigns.find(group);
    if (told != link.reigns.end() && told->second == reigns.since()) continue;
    link.reigns[group] = reigns.since();
    wire::Reign& reign = *packet.add_reigns();
    reign.set_group(static_cast<std::int64_t>(group));
    reign.set_primary(static_cast<std::uint32_t>(*reigns.primary()));
    reign.set_since_us(Us(reigns.since()));
    reign.set_held_us(Us(reigns.held()));
    reign.set_confirmed_us(Us(reigns.confirmed()));
  }
}

void Exchange::Take(Time now, const std::string& from, const wire::Packet& packet, std::vector<Out>& out) {
  swim_.Take(now, from, packet, out);
  Follow(now);
  const std::string& name = packet.sender().name();
  const auto it = links_.find(name);
  if (it == links_.end()) return;
  Link& link = it->second;
  if (link.life != packet.sender().life()) {
    // An older life that still speaks is a second instance of the name: its writes are nobody's to vouch for.
    const auto peer = swim_.peers().find(name);
    if (peer == swim_.peers().end() || peer->second.member.life() != packet.sender().life()) {
      keeper_.AddGap(~NumberOf(name), link.began, now);
      link.began = now;
      return;
    }
    NewLife(now, name, link, packet);
  }
  for (const wire::Reign& reign : packet.reigns()) {
    keeper_.LearnReign(GroupId(reign.group()), MemberId(reign.primary()), At(reign.since_us()),
                       At(reign.held_us()), At(reign.confirmed_us()));
  }
  if (packet.has_chunk()) TakeChunk(name, link, from, packet.chunk(), out);
  if (packet.has_chunk_ack() && packet.chunk_ack().sync() == link.sync_out) {
    link.sync_next = std::max(link.sync_next, packet.chunk_ack().next());
    if (link.sync_next >= keeper_.ledger().buckets()) {
      link.acked = std::max(link.acked, link.sync_upto);
      link.sent = std::max(link.sent, link.acked);
    }
  }
  if (packet.has_delta()) {
    TakeDelta(now, name, link, packet.delta());
    if (packet.delta().solicit()) Flush(now, name, link, false, out);
  }
}

// It began anew: what its last life answered after its last word is not known, unless it knows that itself.
void Exchange::NewLife(Time now, const std::string& name, Link& link, const wire::Packet& packet) {
  if (say_) say_("peer " + name + " has started anew");
  const Time covered = link.covered;
  const Time earlier = link.had_coverage ? covered : Time{};
  link = Link{};
  link.life = packet.sender().life();
  link.began = now;
  keeper_.AddGap(NumberOf(name), earlier, now);
  keeper_.Uncount(NumberOf(name));
  keeper_.Covered(NumberOf(name), Time{});
}

void Exchange::TakeDelta(Time now, const std::string& name, Link& link, const wire::Delta& delta) {
  link.echo_stamp = std::max(link.echo_stamp, delta.stamp_us());
  const bool of_this_life = delta.have_life() == swim_.self().life();
  if (of_this_life) {
    link.counts_us = true;
    const std::uint64_t acked = std::min(delta.have(), base_ + own_.size() - 1);
    if (acked > link.acked) {
      link.acked = acked;
      link.moved = now;
    }
  }
  // In sequence, or not at all: what is missing comes again.
  if (delta.first() <= link.have + 1) {
    std::uint64_t sequence = delta.first();
    for (const wire::Mark& mark : delta.marks()) {
      if (sequence++ <= link.have) continue;
      ++link.have;
      link.owes = true;
      ++counts_.marks_in;
      keeper_.Learn(GroupId(mark.group()), session::Key(mark.key()), MarkOf(mark));
    }
  }
  if (delta.echo_life() != swim_.self().life() || delta.echo_stamp_us() == 0) return;
  if (link.have < delta.upto()) return;
  const Time covered = std::min(now, At(static_cast<std::int64_t>(delta.echo_stamp_us())));
  link.covered = std::max(link.covered, covered);
  link.had_coverage = true;
  keeper_.Covered(NumberOf(name), link.covered);
  if (delta.recovered()) keeper_.CloseGaps(NumberOf(name));
}

void Exchange::SendChunks(Time, const std::string& name, Link& link, std::vector<Out>& out) {
  const session::Ledger& ledger = keeper_.ledger();
  if (link.sync_out == 0) {
    link.sync_out = ++syncs_;
    link.sync_next = 0;
    link.sync_upto = base_ + own_.size() - 1;
    ++counts_.syncs;
    if (say_) say_("peer " + name + " has missed too much and gets the whole ledger");
  }
  std::uint64_t from = link.sync_next;
  for (int i = 0; i < kChunksAFlush && from < ledger.buckets(); ++i) {
    wire::Packet packet;
    wire::Chunk& chunk = *packet.mutable_chunk();
    chunk.set_sync(link.sync_out);
    chunk.set_from(from);
    while (from < ledger.buckets() && static_cast<std::size_t>(chunk.marks_size()) < kMarksAPacket) {
      ledger.Visit(from++,
                   [&](session::Key key, const session::Mark& mark) { Fill(*chunk.add_marks(), key, mark); });
    }
    chunk.set_to(from);
    chunk.set_whole(ledger.buckets());
    chunk.set_upto(link.sync_upto);
    if (ledger.newest_forgotten()) chunk.set_forgotten_us(Us(*ledger.newest_forgotten()));
    Send(swim_.peers().at(name).member.address(), std::move(packet), out);
  }
}

void Exchange::TakeChunk(const std::string&, Link& link, const std::string& from, const wire::Chunk& chunk,
                         std::vector<Out>& out) {
  if (chunk.sync() != link.sync_in) {
    if (chunk.sync() < link.sync_in || chunk.from() != 0) return;
    link.sync_in = chunk.sync();
    link.sync_expected = 0;
  }
  if (chunk.from() == link.sync_expected && chunk.to() > chunk.from()) {
    for (const wire::Mark& mark : chunk.marks()) {
      ++counts_.marks_in;
      keeper_.Learn(std::nullopt, session::Key(mark.key()), MarkOf(mark));
    }
    link.sync_expected = chunk.to();
    if (chunk.to() >= chunk.whole()) {
      link.have = std::max(link.have, chunk.upto());
      if (chunk.forgotten_us() > 0) keeper_.LearnForgotten(At(chunk.forgotten_us()));
    }
  }
  wire::Packet ack;
  ack.mutable_chunk_ack()->set_sync(chunk.sync());
  ack.mutable_chunk_ack()->set_next(link.sync_expected);
  Send(from, std::move(ack), out);
}

}  // namespace lynxgrade::peers
