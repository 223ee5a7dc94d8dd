#include "replication/udp_replication_service.h"

#include <gmodule.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <nlohmann/json.hpp>
#include <random>

namespace lynxgrade::replication {
namespace {

constexpr std::size_t kTagAndLength = 2;  // of one of a repeated message of under 128 bytes
// Sessions that an instance keeps in its directory and holds at least, whatever the ledger's capacity: 15 MB
// when full, 150 bytes an entry and 72 a hold.
constexpr std::size_t kLeastEntries = 65536;
// Of one that is set aside to own for all: of 410 poolers that each meet 17 sessions a second for the first
// time, entries being kept for some 63 s, seven owners have 63,000 each, half as many more in the worst
// second, and each of three that are left 146,000. 39 MB when full.
constexpr std::size_t kOwnersEntries = 262144;

std::string TextOf(const net::Address& address) {
  const bool six = address.host.find(':') != std::string::npos;
  return (six ? "[" + address.host + "]" : address.host) + ":" + std::to_string(address.port);
}

std::string TextOf(GSocketAddress* address) {
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  char* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  net::Address read{host, g_inet_socket_address_get_port(inet)};
  g_free(host);
  return TextOf(read);
}

std::int64_t ThreadNs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::int64_t{time.tv_sec} * 1'000'000'000 + time.tv_nsec;
}

void Note(std::array<Traffic::Count, kTrafficKindNames.size()>& counts, const proto::Packet& packet,
          std::size_t size) {
  const auto of = [&](TrafficKind kind) -> Traffic::Count& { return counts[static_cast<std::size_t>(kind)]; };
  std::size_t timelines = 0, rumours = 0;
  for (const proto::TimelineRecord& reign : packet.timelines())
    timelines += reign.ByteSizeLong() + kTagAndLength;
  for (const proto::Member& rumour : packet.rumours()) rumours += rumour.ByteSizeLong() + kTagAndLength;
  const TrafficKind kind = packet.has_delta() || packet.has_directory()   ? TrafficKind::kMarks
                           : packet.has_chunk() || packet.has_chunk_ack() ? TrafficKind::kLedger
                                                                          : TrafficKind::kMembership;
  ++of(kind).packets;
  of(kind).bytes += size + Traffic::kHeads - timelines - rumours;
  of(TrafficKind::kReigns).bytes += timelines;
  of(TrafficKind::kMembership).bytes += rumours;
}

}  // namespace

UdpReplicationService::Timed::Timed(UdpReplicationService& of)
    : of_(of), from_(of.timed_++ == 0 ? ThreadNs() : 0) {}
UdpReplicationService::Timed::~Timed() {
  if (--of_.timed_ == 0) of_.spent_ns_ += ThreadNs() - from_;
}

UdpReplicationService::UdpReplicationService(ReplicationContext parts)
    : loop_(parts.loop),
      setup_(parts.setup),
      name_(setup_.name.empty() ? parts.name : setup_.name),
      recovered_(parts.recovered),
      consistency_guard_(parts.consistency_guard),
      learnt_(std::move(parts.learnt)),
      passes_(std::move(parts.passes)),
      members_only_(parts.members_only),
      tick_(loop_),
      ask_again_(loop_),
      complaints_(loop_) {}

UdpReplicationService::~UdpReplicationService() {
  if (engine_ != nullptr && engine_->lease_client() != nullptr) consistency_guard_.SetSessionLeases(nullptr);
  if (socket_ != nullptr) loop_.poller().Remove(g_socket_get_fd(socket_.get()));
}

std::string UdpReplicationService::Start() {
  auto keys = LoadKeys(setup_.key_file);
  if (auto* wrong = std::get_if<std::string>(&keys)) return *wrong;
  envelope_ = std::make_unique<DatagramAuthenticator>(std::get<std::vector<SharedKey>>(std::move(keys)));
  const net::ObjectPtr<GSocketAddress> local = net::SocketAddress(*setup_.listen);
  if (local == nullptr) return "the address for peers is none of this machine's";
  net::ErrorSlot error;
  socket_.reset(g_socket_new(g_socket_address_get_family(local.get()), G_SOCKET_TYPE_DATAGRAM,
                             G_SOCKET_PROTOCOL_UDP, error.out()));
  if (socket_ == nullptr || !g_socket_bind(socket_.get(), local.get(), TRUE, error.out())) {
    socket_.reset();
    return "cannot listen for peers on " + TextOf(*setup_.listen) + ": " + error.text();
  }
  g_socket_set_blocking(socket_.get(), FALSE);
  const net::ObjectPtr<GSocketAddress> bound(g_socket_get_local_address(socket_.get(), nullptr));
  // A life is named by chance: a clock that was set back must not bring an old name again.
  std::random_device device;
  const std::uint64_t incarnation_id = (std::uint64_t{device()} << 32 | device()) | 1;
  proto::Member self;
  self.set_name(name_);
  self.set_incarnation_id(incarnation_id);
  self.set_started_us(static_cast<std::uint64_t>(loop_.Now().time_since_epoch().count()));
  // Where others reach it may not be where it listens: behind a relay, or in another network.
  self.set_address(setup_.advertise ? TextOf(*setup_.advertise) : TextOf(bound.get()));
  std::vector<std::string> seeds;
  for (const net::Address& seed : setup_.seeds) seeds.push_back(TextOf(seed));
  ReplicationEngine::Options options;
  options.flush_interval = setup_.flush;
  options.membership_only = members_only_;
  options.swim.period = setup_.probe;
  options.swim.size = 1 + setup_.seeds.size();  // the settings name all others
  if (setup_.watermarks != ReplicationMode::kBroadcast) {
    lease::SessionLeaseClient::Options& directory = options.leases.emplace();
    directory.manager.write_retention = consistency_guard_.write_retention();
    directory.manager.entry_capacity = directory.lease_capacity =
        std::max(kLeastEntries, consistency_guard_.watermark_table().bucket_count() * 4);
    if (setup_.owner)
      directory.manager.entry_capacity = std::max(directory.manager.entry_capacity, kOwnersEntries);
    directory.read_requests_per_s = setup_.asks_per_s;
    directory.bytes_per_s = setup_.bytes_per_s;
    directory.batching_delay = setup_.coalesce;
    options.swim.owns = setup_.owner;
    directory.writes_require_lease = setup_.watermarks == ReplicationMode::kLeases;
    directory.manager.revoke_before_grant = directory.writes_require_lease;
    if (!directory.writes_require_lease)
      spdlog::warn("peers: sessions have several holders: reads may miss writes");
  }
  if (setup_.plain_members) {
    options.swim.most_doubt = 0;
    options.swim.unconfirmed = 1;
    options.swim.ask_lately = 0;
    options.swim.repeat = false;
    options.swim.proven = false;
    spdlog::warn("peers: members are plain: two parts may both hold themselves for the larger");
  }
  engine_ = std::make_unique<ReplicationEngine>(
      options, std::move(self), std::move(seeds),
      recovered_ ? ReplicationEngine::Recovery::kComplete : ReplicationEngine::Recovery::kIncomplete,
      consistency_guard_, incarnation_id);
  engine_->OnLog([](const std::string& text) { spdlog::info("peers: {}", text); });
  if (engine_->lease_client() != nullptr) consistency_guard_.SetSessionLeases(this);
  loop_.poller().Add(g_socket_get_fd(socket_.get()), EPOLLIN, *this);
  // Not the pass, or the moment at which the loop was made: reading the state may have taken seconds since,
  // and the others would be given so much less to count this instance.
  started_ = loop_.Precise();
  spdlog::info("peers: instance {} at {}", name_, TextOf(bound.get()));
  Tick();
  return {};
}

void UdpReplicationService::ReloadKeys() {
  auto keys = LoadKeys(setup_.key_file);
  if (const auto* wrong = std::get_if<std::string>(&keys)) {
    spdlog::error("peers: {}; the old keys stay", *wrong);
    return;
  }
  envelope_->Replace(std::get<std::vector<SharedKey>>(std::move(keys)));
  spdlog::info("peers: keys read again");
}

bool UdpReplicationService::Ready() const {
  // What a former life may have promised is over soon, whoever is there.
  if (!engine_->MayServe(loop_.Precise())) return false;
  if (engine_->CountedByAllPeers() && engine_->swim().unheard_seeds().empty()) return true;
  return loop_.Now() - started_ >= setup_.join_within;
}

void UdpReplicationService::Tick() {
  {
    const Timed timed(*this);
    engine_->Tick(loop_.Precise(), out_);
    Flush();
    TellPart();
    TellConflict();
  }
  Learnt();
  tick_.After(kTick, [this] { Tick(); });
}

void UdpReplicationService::TellPart() {
  // A walk over all members: not on each tick.
  if (loop_.Now() - part_told_ < kTellPartEvery) return;
  part_told_ = loop_.Now();
  const membership::QuorumTracker::Value value = engine_->QuorumStateAt(loop_.Precise());
  if (value.part == part_) return;
  part_ = value.part;
  spdlog::info("peers: {}: {} of {} instances in reach, view {:016x}", membership::NameOf(part_), Reached(),
               1 + setup_.seeds.size(), value.view);
}

std::size_t UdpReplicationService::Reached() const {
  const auto alive = std::ranges::count_if(engine_->swim().peers(), [](const auto& item) {
    return item.second.member.state() == proto::Member::ALIVE;
  });
  return 1 + static_cast<std::size_t>(alive);
}

void UdpReplicationService::TellConflict() {
  const std::uint64_t conflicts = engine_->swim().conflicts();
  std::uint64_t left_out = 0;
  if (conflicts == conflicts_ || !complaints_.Allows(left_out)) return;
  conflicts_ = conflicts;
  spdlog::warn(
      "peers: two running instances share a name, heard {} times; the one that started first stands aside",
      conflicts);
}

std::string UdpReplicationService::Describe() const {
  const TimePoint now = loop_.Precise();
  const membership::Swim& swim = engine_->swim();
  membership::QuorumTracker quorum_tracker =
      swim.quorum_tracker();  // a look does not change what is said of it
  const membership::QuorumTracker::Value value = quorum_tracker.At(now);
  const auto seconds = [](Duration time) { return static_cast<double>(time.count()) * 1e-6; };
  nlohmann::json json = {{"name", name_},
                         {"size", 1 + setup_.seeds.size()},
                         {"part", membership::NameOf(value.part)},
                         {"for_s", seconds(now - value.since)},
                         {"proven_s", nullptr},
                         {"view", fmt::format("{:016x}", value.view)},
                         {"in_view", quorum_tracker.count()},
                         {"doubt", swim.doubt()},
                         {"most_doubt", swim.options().most_doubt},
                         {"stalls", swim.stalls()},
                         {"conflicts", swim.conflicts()},
                         {"dropped", dropped_},
                         {"spent_s", seconds(spent())},
                         {"unheard", swim.unheard_seeds()},
                         {"peers", nlohmann::json::array()}};
  if (value.until) json["proven_s"] = seconds(*value.until - now);
  if (const lease::SessionLeaseClient* directory = engine_->lease_client()) {
    const auto& counts = directory->counts();
    const auto& granted = directory->manager().counts();
    const auto& courier = engine_->lease_relay()->counts();
    json["directory"] = {{"owner", setup_.owner},
                         {"owners_set_aside", swim.owners().size()},
                         {"holds", directory->lease_count()},
                         {"entries", directory->manager().size()},
                         {"asks", counts.requests},
                         {"grants", counts.grants},
                         {"exact", counts.complete_grants},
                         {"recalled", counts.revocations},
                         {"capped", counts.suppressed_reads},
                         {"over_budget", counts.over_budget},
                         {"granted", granted.grants},
                         {"denied", granted.denied},
                         {"waited", courier.batched},
                         {"passed_on", courier.relayed}};
  }
  static constexpr std::array kStates = {"alive", "suspect", "dead", "left"};
  for (const auto& [name, peer] : swim.peers()) {
    const auto differs = swim.differences().find(name);
    const auto state = static_cast<std::size_t>(peer.member.state());
    nlohmann::json one = {{"name", name},
                          {"address", peer.member.address()},
                          {"state", state < kStates.size() ? kStates[state] : "unknown"},
                          {"for_s", seconds(now - peer.changed)},
                          {"heard_s", nullptr},
                          {"same_view", peer.view == value.view},
                          {"differs", nlohmann::json::array()}};
    if (peer.heard != TimePoint{}) one["heard_s"] = seconds(now - peer.heard);
    if (differs != swim.differences().end()) one["differs"] = differs->second;
    json["peers"].push_back(std::move(one));
  }
  for (std::size_t kind = 0; kind < kTrafficKindNames.size(); ++kind) {
    const auto &out = traffic_.out[kind], &in = traffic_.in[kind];
    json["traffic"][kTrafficKindNames[kind]] = {{"packets_out", out.packets},
                                                {"bytes_out", out.bytes},
                                                {"packets_in", in.packets},
                                                {"bytes_in", in.bytes}};
  }
  return json.dump();
}

std::optional<LogPosition> UdpReplicationService::CompleteThrough(consistency::SessionKey key) {
  return engine_->CompleteThrough(loop_.Precise(), key);
}

bool UdpReplicationService::AcquireLease(GroupId group, consistency::SessionKey key,
                                         consistency::LeaseUse use) {
  const Timed timed(*this);
  const bool expected = engine_->AcquireLease(loop_.Precise(), group, key, use, out_);
  Flush();
  return expected;
}

bool UdpReplicationService::WhenHeld(GroupId group, consistency::SessionKey key, std::function<void()> call) {
  if (engine_->MayAnswerWrite(loop_.Precise(), key)) return false;
  AcquireLease(group, key, consistency::LeaseUse::kWrite);
  // Its owner may be this instance itself.
  if (engine_->MayAnswerWrite(loop_.Precise(), key)) return false;
  unheld_.push_back({group, key, std::move(call), loop_.Precise() + kMostWait});
  return true;
}

void UdpReplicationService::AnswerHeld() {
  if (unheld_.empty()) return;
  const TimePoint now = loop_.Precise();
  for (Unheld& one : std::exchange(unheld_, {})) {
    if (now >= one.until) continue;
    if (engine_->MayAnswerWrite(loop_.Precise(), one.key)) {
      one.call();
      continue;
    }
    AcquireLease(one.group, one.key, consistency::LeaseUse::kWrite);
    unheld_.push_back(std::move(one));
  }
}

void UdpReplicationService::Learnt() {
  AnswerHeld();
  if (learnt_) learnt_();
}

// Word that was asked for before a read came does not cover it: it is asked for again as soon as may be.
void UdpReplicationService::Solicit() {
  if (engine_->lease_client() != nullptr) return;  // what there is to ask has been asked
  if (ask_again_.armed()) return;
  const Timed timed(*this);
  const TimePoint now = loop_.Precise();
  if (!engine_->PollPeers(now, out_)) {
    return ask_again_.Set(now + ReplicationEngine::kMinPollInterval, [this] { Solicit(); });
  }
  Flush();
}

void UdpReplicationService::Leave() {
  engine_->PollPeers(loop_.Precise() + Duration(1000000),
                     out_);  // the last marks go out whenever the last flush was
  engine_->Leave(loop_.Precise(), out_);
  Flush();
}

void UdpReplicationService::Flush() {
  for (membership::Out& out : std::exchange(out_, {})) {
    const auto address = net::ParseAddress(out.address);
    const net::ObjectPtr<GSocketAddress> target = address ? net::SocketAddress(*address) : nullptr;
    if (target == nullptr) continue;
    if (passes_ && !passes_(out.address)) continue;
    const std::string datagram = envelope_->Seal(out.packet);
    Note(traffic_.out, out.packet, datagram.size());
    engine_->ChargeBandwidth(loop_.Precise(), datagram.size() + Traffic::kHeads);
    // A datagram that cannot be sent now is a lost one.
    g_socket_send_to(socket_.get(), target.get(), datagram.data(), datagram.size(), nullptr, nullptr);
  }
}

void UdpReplicationService::OnEvents(std::uint32_t) {
  {
    const Timed timed(*this);
    TakeAll();
    Flush();
  }
  Learnt();
}

void UdpReplicationService::TakeAll() {
  std::array<char, kMostDatagram> buffer;
  for (int i = 0; i < kDatagramsAtOnce; ++i) {
    GSocketAddress* from = nullptr;
    const gssize size =
        g_socket_receive_from(socket_.get(), &from, buffer.data(), buffer.size(), nullptr, nullptr);
    const net::ObjectPtr<GSocketAddress> sender(from);
    if (size < 0) break;
    if (sender == nullptr || !G_IS_INET_SOCKET_ADDRESS(sender.get())) continue;
    Take({buffer.data(), static_cast<std::size_t>(size)}, TextOf(sender.get()));
  }
}

void UdpReplicationService::Take(std::string_view datagram, const std::string& from) {
  if (passes_ && !passes_(from)) return;
  auto opened = envelope_->Open(datagram);
  if (const auto* packet = std::get_if<proto::Packet>(&opened)) {
    Note(traffic_.in, *packet, datagram.size());
    engine_->ChargeBandwidth(loop_.Precise(), datagram.size() + Traffic::kHeads);
    // Not the time at which this pass began: the ages of words are told up to the moment of the answer, and
    // the process may have stood still in between.
    return engine_->HandlePacket(loop_.Precise(), from, *packet, out_);
  }
  ++dropped_;
  std::uint64_t left_out = 0;
  if (!complaints_.Allows(left_out)) return;
  spdlog::warn("peers: a datagram from {} is dropped: {}; {} more lines like this left out", from,
               DatagramAuthenticator::NameOf(std::get<DatagramAuthenticator::Fault>(opened)), left_out);
}

}  // namespace lynxgrade::replication

// The module's one door: peers/load.cpp calls it.
extern "C" G_MODULE_EXPORT lynxgrade::replication::ReplicationService* lynxgrade_make_peers(
    lynxgrade::replication::ReplicationContext* parts) {
  return new lynxgrade::replication::UdpReplicationService(std::move(*parts));
}
