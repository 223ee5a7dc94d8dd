#include "replication/exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lynxgrade::replication {
namespace {

LogPosition At(std::int64_t us) { return LogPosition(Duration(us)); }
// Ages are told up to a day: what is older is told as that, which is later and so safe.
constexpr std::uint64_t kOldestMs = 86'400'000;

std::int64_t Us(LogPosition position) { return position.time_since_epoch().count(); }

// A position in whole milliseconds, later rather than earlier; one before 1970 is none.
std::uint64_t MsUp(LogPosition position) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, Us(position) + 999) / 1000);
}
LogPosition AtMs(std::uint64_t ms) {
  constexpr std::uint64_t kMost = 9'000'000'000'000'000;  // as microseconds it still is a time
  return At(static_cast<std::int64_t>(std::min(ms, kMost)) * 1000);
}

std::uint64_t Mixed(std::uint64_t x) {  // the finalizer of splitmix64 (Steele, Lea, Flood, 2014)
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ull;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBull;
  return x ^ (x >> 31);
}

consistency::WriteWatermark WatermarkOf(const proto::WriteWatermark& watermark) {
  return {At(watermark.position_us()),
          watermark.by() == 0 ? std::nullopt : std::optional<ServerId>(ServerId(watermark.by()))};
}

void Fill(proto::WriteWatermark& to, consistency::SessionKey key,
          const consistency::WriteWatermark& watermark) {
  to.set_key(static_cast<std::uint64_t>(key));
  to.set_position_us(Us(watermark.position));
  to.set_by(watermark.by ? static_cast<std::uint32_t>(*watermark.by) : 0);
}

}  // namespace

membership::Swim::Options Exchange::SwimOptions(const Options& options) {
  membership::Swim::Options swim = options.swim;
  if (options.directory) swim.protocol_version = kDirected;
  swim.lease_manager.dedicated =
      swim.lease_manager.dedicated && options.directory;  // who knows nothing of a directory owns nothing
  return swim;
}

Exchange::Exchange(Options options, proto::Member self, std::vector<std::string> seeds, bool recovered,
                   consistency::SessionConsistencyGuard& consistency_guard, std::uint64_t seed)
    : options_(options),
      swim_(SwimOptions(options), std::move(self), seeds, seed),
      consistency_guard_(consistency_guard),
      recovered_(recovered),
      turn_(seed) {
  if (options_.directory) {
    lease::SessionLeaseClient::Options& directory = *options_.directory;
    directory.self = swim_.self().incarnation_id();
    directory.proof = swim_.acknowledgement_validity();
    directory.alone = options_.swim.fleet_size == 1;
    const TimePoint started = At(static_cast<std::int64_t>(swim_.self().started_us()));
    lease::KnownWatermarks& watermarks = *this;
    directory_ = std::make_unique<lease::SessionLeaseClient>(directory, watermarks, started);
    lease::LeaseMessageRelay::Options courier;
    courier.self = directory.self;
    courier.coalesce = directory.coalesce;
    courier_ = std::make_unique<lease::LeaseMessageRelay>(courier);
    reign_asks_ = kReignAsks;
  }
  // What was recovered is not in sequence: everybody has to take the whole ledger first.
  if (consistency_guard.watermark_table().size() > 0) base_ = 2;
  // Each seed may be answering writes already.
  for (const std::string& address : swim_.unheard_seeds()) {
    placeholders_[address] = NumberOf("address " + address);
    consistency_guard_.Covered(placeholders_[address], TimePoint{});
  }
}

std::uint64_t Exchange::NumberOf(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

void Exchange::Wrote(GroupId group, consistency::SessionKey key,
                     const consistency::WriteWatermark& watermark) {
  if (directory_ != nullptr && flushed_to_.empty()) {
    // Nobody takes marks in sequence: who comes that does gets the whole ledger.
    base_ += own_.size() + 1;
    own_.clear();
    return;
  }
  own_.push_back({group, key, watermark});
  if (own_.size() <= options_.kept) return;
  own_.pop_front();
  ++base_;
}

std::map<std::string, TimePoint> Exchange::Covered() const {
  std::map<std::string, TimePoint> covered;
  for (const auto& [name, link] : links_) covered[name] = link.covered;
  return covered;
}

bool Exchange::Joined() const {
  return std::ranges::all_of(swim_.peers(), [this](const auto& item) {
    if (item.second.member.state() != proto::Member::ALIVE || Directed(item.second.member)) return true;
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
         link.losses_told != consistency_guard_.counts().losses;
}

// Takes over what membership says. Who is dead still counts: it may be cut off and go on answering. Who has
// left answers no more.
void Exchange::Follow(TimePoint now) {
  if (std::exchange(changes_, swim_.changes()) == swim_.changes()) return;
  if (directed_.size() > kMostDirected) {
    std::erase_if(directed_, [this](std::uint64_t incarnation_id) {
      return !std::ranges::binary_search(swim_.quorum_tracker().incarnation_ids(), incarnation_id);
    });
  }
  // Only those that have changed: while hundreds meet each packet brings some, and a walk over all for each
  // was half of what a start cost.
  std::vector<std::string> names = swim_.DrainChangedNames();
  for (std::string& name : std::exchange(again_, {})) names.push_back(std::move(name));
  for (const std::string& name : names) FollowOne(now, name);
  if (std::exchange(unheard_, swim_.unheard_seeds().size()) == swim_.unheard_seeds().size()) return;
  const std::set<std::string> unheard(swim_.unheard_seeds().begin(), swim_.unheard_seeds().end());
  std::erase_if(placeholders_, [&](const auto& item) {
    if (unheard.contains(item.first)) return false;
    consistency_guard_.Uncount(item.second);
    return true;
  });
}

void Exchange::FollowOne(TimePoint now, const std::string& name) {
  const auto peer = swim_.peers().find(name);
  const auto known = links_.find(name);
  if (peer == swim_.peers().end()) {
    if (const auto incarnation_id = incarnation_ids_.find(name); incarnation_id != incarnation_ids_.end()) {
      addresses_.erase(incarnation_id->second);
      incarnation_ids_.erase(incarnation_id);
    }
    flushed_to_.erase(name);
    if (known == links_.end()) return;
    consistency_guard_.Uncount(NumberOf(name));
    if (say_) say_("peer " + name + " was dead for so long that it counts no more");
    links_.erase(known);
    return;
  }
  const proto::Member& member = peer->second.member;
  if (Directed(member)) directed_.insert(member.incarnation_id());
  if (const std::uint64_t former = std::exchange(incarnation_ids_[name], member.incarnation_id());
      former != member.incarnation_id()) {
    addresses_.erase(former);
  }
  addresses_[member.incarnation_id()] = member.address();
  if (member.state() == proto::Member::LEFT) {
    if (known == links_.end() || known->second.incarnation_id != member.incarnation_id()) return;
    // Its last writes may not have come through: they were answered before it said that it leaves.
    if (known->second.covered < now) consistency_guard_.AddGap(NumberOf(name), known->second.covered, now);
    consistency_guard_.Uncount(NumberOf(name));
    links_.erase(known);
    flushed_to_.erase(name);
    if (say_) say_("peer " + name + " has left");
    return;
  }
  if (Directed(member)) {
    flushed_to_.erase(name);
  } else {
    flushed_to_.insert(name);
  }
  const bool dead = member.state() == proto::Member::DEAD;
  if (known != links_.end()) {
    if (std::exchange(known->second.dead, dead) != dead && say_) {
      say_("peer " + name + (dead ? " is held dead" : " is heard again"));
    }
    return;
  }
  Link& link = links_[name];
  link.dead = dead;
  link.incarnation_id = member.incarnation_id();
  link.began = now;
  consistency_guard_.Covered(NumberOf(name), TimePoint{});
  // Earlier lives of it may have answered what it does not know any more.
  const TimePoint started = At(static_cast<std::int64_t>(member.started_us()));
  consistency_guard_.AddGap(NumberOf(name), TimePoint{}, std::min(now, started + kSkew));
  if (say_) say_("peer " + name + " counts from now on");
}

void Exchange::Send(const std::string& address, proto::Packet packet,
                    std::vector<membership::OutgoingPacket>& out) {
  swim_.AddSenderAndGossip(packet);
  ++counts_.packets_out;
  out.push_back({address, std::move(packet)});
}

void Exchange::Tick(TimePoint now, std::vector<membership::OutgoingPacket>& out) {
  swim_.Tick(now, out);
  Follow(now);
  if (directory_ != nullptr) {
    Stand(now, false);
    lease::LeaseOutbox box;
    directory_->Tick(now, box);
    Post(now, box, out);
    lease::LeaseMessageRelay::Legs due;
    courier_->Due(now, due);
    Pack(now, due, out);
    AskReigns(now, out);
  }
  if (options_.members_only || flushed_to_.empty()) return;
  const Duration interval = Interval();
  // Rumours go out with the first packets of a flush. From a start that turns they reach all, not the same
  // few: with 64 instances one heard of a death 11 s after the others.
  auto next = links_.begin();
  if (!links_.empty()) std::advance(next, static_cast<std::ptrdiff_t>(turn_++ % links_.size()));
  for (std::size_t i = 0; i < links_.size(); ++i, ++next) {
    if (next == links_.end()) next = links_.begin();
    auto& [name, link] = *next;
    const auto peer = swim_.peers().find(name);
    if (peer == swim_.peers().end() || Directed(peer->second.member)) continue;
    // One that is held dead is spoken to now and then: it may have been cut off, and is to know what it
    // missed.
    const bool dead = peer->second.member.state() == proto::Member::DEAD;
    const Duration pause = dead            ? options_.swim.period * 5
                           : Awaited(link) ? interval
                                           : std::max(interval, options_.idle);
    if (now - link.flushed < pause) continue;
    Flush(now, name, link, false, out);
  }
}

bool Exchange::Solicit(TimePoint now, std::vector<membership::OutgoingPacket>& out) {
  if (options_.members_only) return true;
  if (now - solicited_ < kSolicitEvery) return false;
  solicited_ = now;
  for (auto& [name, link] : links_) {
    const auto peer = swim_.peers().find(name);
    if (peer == swim_.peers().end() || Directed(peer->second.member)) continue;
    if (peer->second.member.state() <= proto::Member::SUSPECT) {
      Flush(now, name, link, true, out);
    }
  }
  return true;
}

void Exchange::Flush(TimePoint now, const std::string& name, Link& link, bool solicit,
                     std::vector<membership::OutgoingPacket>& out) {
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
    proto::Packet packet;
    proto::Delta& delta = *packet.mutable_delta();
    delta.set_first(next);
    while (next <= upto && static_cast<std::size_t>(delta.watermarks_size()) < kMarksAPacket) {
      const Own& own = own_[next - base_];
      proto::WriteWatermark& watermark = *delta.add_watermarks();
      Fill(watermark, own.key, own.watermark);
      watermark.set_group(static_cast<std::int64_t>(own.group));
      ++next;
      ++counts_.marks_out;
    }
    delta.set_upto(upto);
    delta.set_stamp_us(static_cast<std::uint64_t>(Us(now)));
    delta.set_echo_incarnation_id(link.incarnation_id);
    delta.set_echo_stamp_us(link.echo_stamp);
    delta.set_have_incarnation_id(link.incarnation_id);
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
void Exchange::AddReigns(TimePoint now, Link& link, proto::Packet& packet) {
  link.losses_told = consistency_guard_.counts().losses;
  const std::map<GroupId, consistency::PrimaryTimeline>& all = consistency_guard_.timelines();
  const auto full = [&packet] { return static_cast<std::size_t>(packet.timelines_size()) >= kReignsAPacket; };
  const auto tell = [&](GroupId group, const consistency::PrimaryTimeline& timelines) {
    link.timelines[group] = timelines.since();
    FillReign(*packet.add_timelines(), group, timelines);
  };
  for (const auto& [group, timelines] : all) {
    if (full()) return;
    if (!timelines.primary()) continue;
    const auto told = link.timelines.find(group);
    if (told == link.timelines.end() || told->second != timelines.since()) tell(group, timelines);
  }
  // What was told may have been lost, and reigns are confirmed as they last. The round goes on where it was:
  // begun anew each time it would never come to the last of many groups.
  if (link.reigns_left == 0 && now - link.reigns_round >= kReignsEvery) {
    link.reigns_left = all.size();
    link.reigns_round = now;
  }
  for (; link.reigns_left > 0 && !full(); --link.reigns_left) {
    auto next = all.upper_bound(link.reigns_at);
    if (next == all.end()) next = all.begin();
    link.reigns_at = next->first;
    if (next->second.primary()) tell(next->first, next->second);
  }
}

void Exchange::Take(TimePoint now, const std::string& from, const proto::Packet& packet,
                    std::vector<membership::OutgoingPacket>& out) {
  if (packet.has_directory()) TakeDirectory(now, from, packet, out);
  if (packet.sender().name().empty()) return;
  // Words come with answers alone. What lapsed before this one is to be seen, or the chain would seem
  // unbroken.
  const bool word = packet.has_ack() || packet.has_nack();
  if (directory_ != nullptr && word) Stand(now, true);
  swim_.HandlePacket(now, from, packet, out);
  Follow(now);
  if (word) looked_.view = 0;
  if (directory_ != nullptr) Stand(now, word);
  const std::string& name = packet.sender().name();
  const auto it = links_.find(name);
  if (it == links_.end()) return;
  Link& link = it->second;
  if (link.incarnation_id != packet.sender().incarnation_id()) {
    // An older life that still speaks is a second instance of the name: its writes are nobody's to vouch for.
    const auto peer = swim_.peers().find(name);
    if (peer == swim_.peers().end() ||
        peer->second.member.incarnation_id() != packet.sender().incarnation_id()) {
      consistency_guard_.AddGap(~NumberOf(name), link.began, now);
      doubted_until_ = now + swim_.acknowledgement_validity() * 2;
      link.began = now;
      return;
    }
    NewLife(now, name, link, packet);
  }
  for (const proto::TimelineRecord& reign : packet.timelines()) {
    consistency_guard_.LearnReign(GroupId(reign.group()), ServerId(reign.primary()), At(reign.since_us()),
                                  At(reign.held_us()), At(reign.confirmed_us()));
  }
  if (packet.has_chunk()) TakeChunk(name, link, from, packet.chunk(), out);
  if (packet.has_chunk_ack() && packet.chunk_ack().sync() == link.sync_out) {
    link.sync_next = std::max(link.sync_next, packet.chunk_ack().next());
    if (link.sync_next >= consistency_guard_.watermark_table().buckets()) {
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
void Exchange::NewLife(TimePoint now, const std::string& name, Link& link, const proto::Packet& packet) {
  if (say_) say_("peer " + name + " has started anew");
  again_.push_back(name);
  const TimePoint covered = link.covered;
  const TimePoint earlier = link.had_coverage ? covered : TimePoint{};
  link = Link{};
  link.incarnation_id = packet.sender().incarnation_id();
  link.began = now;
  consistency_guard_.AddGap(NumberOf(name), earlier, now);
  consistency_guard_.Uncount(NumberOf(name));
  consistency_guard_.Covered(NumberOf(name), TimePoint{});
}

void Exchange::TakeDelta(TimePoint now, const std::string& name, Link& link, const proto::Delta& delta) {
  link.echo_stamp = std::max(link.echo_stamp, delta.stamp_us());
  const bool of_this_life = delta.have_incarnation_id() == swim_.self().incarnation_id();
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
    for (const proto::WriteWatermark& watermark : delta.watermarks()) {
      if (sequence++ <= link.have) continue;
      ++link.have;
      link.owes = true;
      ++counts_.marks_in;
      consistency_guard_.Learn(GroupId(watermark.group()), consistency::SessionKey(watermark.key()),
                               WatermarkOf(watermark));
    }
  }
  if (delta.echo_incarnation_id() != swim_.self().incarnation_id() || delta.echo_stamp_us() == 0) return;
  if (link.have < delta.upto()) return;
  const TimePoint covered = std::min(now, At(static_cast<std::int64_t>(delta.echo_stamp_us())));
  link.covered = std::max(link.covered, covered);
  link.had_coverage = true;
  consistency_guard_.Covered(NumberOf(name), link.covered);
  if (delta.recovered()) consistency_guard_.CloseGaps(NumberOf(name));
}

void Exchange::SendChunks(TimePoint, const std::string& name, Link& link,
                          std::vector<membership::OutgoingPacket>& out) {
  const consistency::SessionWatermarkTable& watermark_table = consistency_guard_.watermark_table();
  if (link.sync_out == 0) {
    link.sync_out = ++syncs_;
    link.sync_next = 0;
    link.sync_upto = base_ + own_.size() - 1;
    ++counts_.syncs;
    if (say_) say_("peer " + name + " has missed too much and gets the whole ledger");
  }
  std::uint64_t from = link.sync_next;
  for (int i = 0; i < kChunksAFlush && from < watermark_table.buckets(); ++i) {
    proto::Packet packet;
    proto::Chunk& chunk = *packet.mutable_chunk();
    chunk.set_sync(link.sync_out);
    chunk.set_from(from);
    while (from < watermark_table.buckets() &&
           static_cast<std::size_t>(chunk.watermarks_size()) < kMarksAPacket) {
      watermark_table.Visit(from++,
                            [&](consistency::SessionKey key, const consistency::WriteWatermark& watermark) {
                              Fill(*chunk.add_watermarks(), key, watermark);
                            });
    }
    chunk.set_to(from);
    chunk.set_whole(watermark_table.buckets());
    chunk.set_upto(link.sync_upto);
    if (watermark_table.newest_forgotten()) chunk.set_forgotten_us(Us(*watermark_table.newest_forgotten()));
    Send(swim_.peers().at(name).member.address(), std::move(packet), out);
  }
}

void Exchange::TakeChunk(const std::string&, Link& link, const std::string& from, const proto::Chunk& chunk,
                         std::vector<membership::OutgoingPacket>& out) {
  if (chunk.sync() != link.sync_in) {
    if (chunk.sync() < link.sync_in || chunk.from() != 0) return;
    link.sync_in = chunk.sync();
    link.sync_expected = 0;
  }
  if (chunk.from() == link.sync_expected && chunk.to() > chunk.from()) {
    for (const proto::WriteWatermark& watermark : chunk.watermarks()) {
      ++counts_.marks_in;
      consistency_guard_.Learn(std::nullopt, consistency::SessionKey(watermark.key()),
                               WatermarkOf(watermark));
    }
    link.sync_expected = chunk.to();
    if (chunk.to() >= chunk.whole()) {
      link.have = std::max(link.have, chunk.upto());
      if (chunk.forgotten_us() > 0) consistency_guard_.LearnForgotten(At(chunk.forgotten_us()));
    }
  }
  proto::Packet ack;
  ack.mutable_chunk_ack()->set_sync(chunk.sync());
  ack.mutable_chunk_ack()->set_next(link.sync_expected);
  Send(from, std::move(ack), out);
}

// ---- The directory of sessions ------------------------------------------------------------------------

// All of the fleet, by its settings, stands together and goes by the directory, and nobody else is known who
// may answer writes.
bool Exchange::Whole(TimePoint now) {
  const membership::QuorumTracker& quorum_tracker = swim_.quorum_tracker();
  const std::uint64_t view = quorum_tracker.AcknowledgedView(now);
  if (view == 0 || now < doubted_until_ || !options_.swim.acknowledgements.required) {
    looked_.view = 0;
    return false;
  }
  // Between words and changes of members only time passes; a walk over all for each request was the most of
  // what a directory cost at 205 instances.
  if (looked_.view != view || looked_.changes != swim_.changes()) {
    looked_ = {view, swim_.changes(), std::nullopt};
    const bool all = quorum_tracker.count() == options_.swim.fleet_size && swim_.unheard_seeds().empty() &&
                     std::ranges::all_of(swim_.peers(), [this](const auto& item) {
                       const proto::Member& member = item.second.member;
                       return member.state() == proto::Member::LEFT ||
                              (member.state() <= proto::Member::SUSPECT && Directed(member));
                     });
    if (all) looked_.until = quorum_tracker.AllAcknowledgedUntil(now);
  }
  return looked_.until && now <= *looked_.until;
}

void Exchange::Stand(TimePoint now, bool whole) {
  const membership::QuorumTracker& quorum_tracker = swim_.quorum_tracker();
  directory_->StandAside(swim_.superseded());
  const std::uint64_t declares = quorum_tracker.AcknowledgedView(now);
  const bool of_another = declares != 0 && declares != owners_of_;
  if (of_another) {
    owners_of_ = declares;
    owners_ = swim_.dedicated_lease_managers();
    if (owners_.empty()) {
      // Nobody is set aside: all that go by the directory. That a life does is told with it, so all of one
      // view find the same ones.
      std::ranges::copy_if(quorum_tracker.incarnation_ids(), std::back_inserter(owners_),
                           [this](std::uint64_t incarnation_id) {
                             return incarnation_id == swim_.self().incarnation_id() ||
                                    directed_.contains(incarnation_id);
                           });
    }
  }
  if (of_another || now - looked_for_near_ >= kLookForNearEvery) {
    looked_for_near_ = now;
    courier_->See(owners_of_, owners_, NearOwner());
  }
  directory_->See(now, {declares, whole ? std::optional(Whole(now)) : std::nullopt, &owners_});
}

// Of the owners set aside that are heard one that answers pings about as soon as the nearest, so that what
// goes by way of it crosses no more regions than it has to; each instance finds its own, all get a part.
lease::IncarnationId Exchange::NearOwner() const {
  if (swim_.options().lease_manager.dedicated) return 0;
  std::vector<std::pair<lease::IncarnationId, std::optional<Duration>>> heard;
  std::optional<Duration> nearest;
  const std::vector<std::uint64_t>& owners = swim_.dedicated_lease_managers();
  for (const auto& [name, peer] : swim_.peers()) {
    if (std::ranges::find(owners, peer.member.incarnation_id()) == owners.end()) continue;
    if ((peer.member.capabilities() & membership::capability::kRelaysLeaseMessages) == 0) return 0;
    if (peer.member.state() != proto::Member::ALIVE) continue;
    heard.emplace_back(peer.member.incarnation_id(), peer.round_trip);
    if (peer.round_trip) nearest = std::min(nearest.value_or(*peer.round_trip), *peer.round_trip);
  }
  std::vector<lease::IncarnationId> near;
  for (const auto& [incarnation_id, round_trip] : heard) {
    if (!nearest || (round_trip && *round_trip <= *nearest * 2 + kAsNear)) near.push_back(incarnation_id);
  }
  return lease::OwnerOf(consistency::SessionKey(swim_.self().incarnation_id()), near);
}

std::optional<LogPosition> Exchange::Exact(TimePoint now, consistency::SessionKey key) {
  if (directory_ == nullptr) return std::nullopt;
  Stand(now, true);
  return directory_->Exact(now, key);
}

bool Exchange::MayAnswer(TimePoint now, consistency::SessionKey key) {
  if (directory_ == nullptr) return true;
  Stand(now, false);
  return directory_->MayAnswer(now, key);
}

bool Exchange::MayServe(TimePoint now) {
  if (directory_ == nullptr) return true;
  Stand(now, false);
  return directory_->Declared() || !directory_->Bound(now);
}

bool Exchange::Want(TimePoint now, GroupId group, consistency::SessionKey key,
                    lease::SessionLeaseClient::Use use, std::vector<membership::OutgoingPacket>& out) {
  if (directory_ == nullptr) return false;
  Stand(now, true);
  lease::LeaseOutbox box;
  const bool expected = directory_->Want(now, group, key, use, box);
  Post(now, box, out);
  return expected;
}

void Exchange::TakeDirectory(TimePoint now, const std::string& from, const proto::Packet& packet,
                             std::vector<membership::OutgoingPacket>& out) {
  const proto::LeaseBatch& said = packet.directory();
  if (directory_ == nullptr) return;
  if (!said.relay_to().empty()) {
    membership::OutgoingPacket passed = Bare(said.relay_to());
    *passed.packet.mutable_directory() = said;
    passed.packet.mutable_directory()->clear_relay_to();
    passed.packet.mutable_directory()->set_origin_incarnation_id(packet.sender().incarnation_id());
    *passed.packet.mutable_timelines() = packet.timelines();
    out.push_back(std::move(passed));
    return;
  }
  const std::uint64_t origin =
      said.origin_incarnation_id() != 0 ? said.origin_incarnation_id() : packet.sender().incarnation_id();
  if (said.origin_incarnation_id() != 0) {
    std::erase_if(via_, [now](const auto& item) { return item.second.until < now; });
    via_[origin] = {from, now + kViaFor};
  }
  Stand(now, true);
  for (const proto::TimelineRecord& reign : packet.timelines()) {
    consistency_guard_.LearnReign(GroupId(reign.group()), ServerId(reign.primary()), At(reign.since_us()),
                                  At(reign.held_us()), At(reign.confirmed_us()));
  }
  const std::uint64_t view = said.view_for_incarnation_id() ^ Mixed(swim_.self().incarnation_id());
  lease::LeaseOutbox box;
  lease::LeaseMessageRelay::Legs legs;
  for (const proto::LeaseBatch::Entry& entry : said.entries()) {
    if (entry.kind() < proto::LeaseBatch::ACQUIRE || entry.kind() > proto::LeaseBatch::RELEASE) continue;
    lease::LeaseMessageRelay::Leg leg;
    lease::LeaseMessage& message = leg.message;
    message.kind = static_cast<lease::LeaseMessage::Kind>(entry.kind());
    message.view = view;
    message.key = consistency::SessionKey(entry.key());
    message.group = GroupId(entry.group());
    message.id = entry.id();
    message.serial = entry.serial();
    if (entry.has_floor_age_ms()) {
      const std::uint64_t ms = std::min(std::uint64_t{entry.floor_age_ms()}, kOldestMs);
      message.floor_age = Duration(static_cast<std::int64_t>(ms) * 1000);
    }
    if (entry.mark_ms() != 0) {
      message.watermark = consistency::WriteWatermark{AtMs(entry.mark_ms()), std::nullopt};
      if (entry.mark_by() != 0) message.watermark->by = ServerId(entry.mark_by());
    }
    if (entry.forgotten_ms() != 0) message.forgotten = AtMs(entry.forgotten_ms());
    leg.by_way = said.by_way();
    leg.origin = entry.origin();
    leg.pass_to = entry.to();
    if (const lease::IncarnationId by = courier_->Take(now, origin, leg, legs); by != 0) {
      directory_->Take(now, by, message, box);
    }
  }
  Pack(now, legs, out);
  Post(now, box, out);
  if (said.reigns_wanted()) SendReigns(from, out);
}

membership::OutgoingPacket Exchange::Bare(const std::string& address) const {
  membership::OutgoingPacket out{address, {}};
  out.packet.set_version(1);
  out.packet.mutable_sender()->set_incarnation_id(swim_.self().incarnation_id());
  out.packet.mutable_directory();
  return out;
}

void Exchange::Post(TimePoint now, const lease::LeaseOutbox& box,
                    std::vector<membership::OutgoingPacket>& out) {
  lease::LeaseMessageRelay::Legs legs;
  for (const lease::OutgoingLeaseMessage& one : box) courier_->Post(now, one, legs);
  Pack(now, legs, out);
}

void Exchange::Pack(TimePoint now, const lease::LeaseMessageRelay::Legs& legs,
                    std::vector<membership::OutgoingPacket>& out) {
  using Leg = lease::LeaseMessageRelay::Leg;
  std::map<std::tuple<std::uint64_t, std::uint64_t, bool>, std::vector<const Leg*>> posts;
  std::set<std::uint64_t> silent;
  for (const Leg& leg : legs) {
    posts[{leg.to, leg.message.view, leg.by_way}].push_back(&leg);
    if (leg.tries >= kTriesAlone) silent.insert(leg.to);
  }
  for (const auto& [post, all] : posts) {
    const auto& [receiver, view, by_way] = post;
    // An owner set aside posts thousands a second: it does not look through all members for each.
    const auto address = addresses_.find(receiver);
    if (address == addresses_.end()) continue;  // it is asked for again, or its lease runs out
    for (std::size_t next = 0; next < all.size();) {
      membership::OutgoingPacket bare = Bare(address->second);
      proto::LeaseBatch& said = *bare.packet.mutable_directory();
      said.set_view_for_incarnation_id(view ^ Mixed(receiver));
      said.set_by_way(by_way);
      for (; next < all.size() && said.entries_size() < kEntriesAPacket; ++next) {
        const lease::LeaseMessage& message = all[next]->message;
        proto::LeaseBatch::Entry& entry = *said.add_entries();
        entry.set_origin(all[next]->origin);
        entry.set_to(all[next]->pass_to);
        entry.set_kind(static_cast<proto::LeaseBatch::Kind>(message.kind));
        entry.set_key(static_cast<std::uint64_t>(message.key));
        entry.set_group(static_cast<std::int64_t>(message.group));
        entry.set_id(message.id);
        entry.set_serial(message.serial);
        if (message.floor_age) {
          const auto ms = static_cast<std::uint64_t>(message.floor_age->count()) / 1000;
          entry.set_floor_age_ms(std::min(ms, kOldestMs));
        }
        if (message.watermark) {
          entry.set_mark_ms(MsUp(message.watermark->position));
          entry.set_mark_by(message.watermark->by ? static_cast<std::uint32_t>(*message.watermark->by) : 0);
          AddReign(now, message.group, bare.packet);
        }
        if (message.forgotten) entry.set_forgotten_ms(MsUp(*message.forgotten));
      }
      ++counts_.packets_out;
      ++counts_.directory_out;
      const auto via = via_.find(receiver);
      std::string third = via != via_.end() && now <= via->second.until ? via->second.address : "";
      if (third.empty() && silent.contains(receiver)) third = SomeOther(receiver);
      if (!third.empty()) {
        membership::OutgoingPacket around = bare;
        around.packet.mutable_directory()->set_relay_to(std::exchange(around.address, third));
        out.push_back(std::move(around));
      }
      out.push_back(std::move(bare));
    }
  }
}

void Exchange::FillReign(proto::TimelineRecord& to, GroupId group,
                         const consistency::PrimaryTimeline& timelines) {
  to.set_group(static_cast<std::int64_t>(group));
  to.set_primary(static_cast<std::uint32_t>(*timelines.primary()));
  to.set_since_us(Us(timelines.since()));
  to.set_held_us(Us(timelines.held()));
  to.set_confirmed_us(Us(timelines.confirmed()));
}

// The group's reign goes with a mark, where it is so new that it may still matter.
void Exchange::AddReign(TimePoint now, GroupId group, proto::Packet& packet) const {
  const auto it = consistency_guard_.timelines().find(group);
  if (it == consistency_guard_.timelines().end() || !it->second.primary()) return;
  if (it->second.since() + consistency_guard_.recall() < now) return;
  FillReign(*packet.add_timelines(), group, it->second);
}

// The address of one who goes by the directory and is heard, another one each time; empty where there is
// none.
std::string Exchange::SomeOther(std::uint64_t than) {
  std::vector<const proto::Member*> others;
  for (const auto& [name, peer] : swim_.peers()) {
    const bool alive = peer.member.state() == proto::Member::ALIVE;
    if (alive && Directed(peer.member) && peer.member.incarnation_id() != than)
      others.push_back(&peer.member);
  }
  return others.empty() ? std::string() : others[turn_++ % others.size()]->address();
}

// Who starts from nothing cannot tell when the present reigns began, and would refuse reads for as long as a
// write is guarded. It is told once, by some that have seen them.
void Exchange::AskReigns(TimePoint now, std::vector<membership::OutgoingPacket>& out) {
  if (reign_asks_ == 0 || now < next_reign_ask_) return;
  const std::string one = SomeOther(0);
  if (one.empty()) return;
  next_reign_ask_ = now + kReignAskEvery;
  --reign_asks_;
  membership::OutgoingPacket bare = Bare(one);
  bare.packet.mutable_directory()->set_reigns_wanted(true);
  out.push_back(std::move(bare));
}

void Exchange::SendReigns(const std::string& address, std::vector<membership::OutgoingPacket>& out) const {
  membership::OutgoingPacket bare = Bare(address);
  for (const auto& [group, timelines] : consistency_guard_.timelines()) {
    if (!timelines.primary()) continue;
    FillReign(*bare.packet.add_timelines(), group, timelines);
    if (bare.packet.timelines_size() < kReignsAtOnce) continue;
    out.push_back(std::exchange(bare, Bare(address)));
  }
  if (bare.packet.timelines_size() > 0) out.push_back(std::move(bare));
}

}  // namespace lynxgrade::replication
