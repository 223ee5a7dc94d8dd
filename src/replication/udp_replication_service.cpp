#include "replication/udp_replication_service.h"

#include <gmodule.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <random>
#include <utility>
#include <vector>

#include "replication/replication_report.h"
#include "replication/traffic_counter.h"

namespace lynxgrade::replication {
namespace {

constexpr int kMaxDatagramsPerPass = 64;  // so that a flood of datagrams does not delay clients
constexpr std::size_t kMaxDatagramBytes = 65536;
constexpr Duration kTickInterval{5000};
// Only delays the log line: whatever acts on the quorum state assesses it itself.
constexpr Duration kQuorumLogInterval{50000};
// Longer than the deadline of any request: after it no client waits for the answer.
constexpr Duration kPendingAnswerLifetime{60000000};
// Added to the time of the last poll, so that it is sent even if the minimum poll interval has not passed.
constexpr Duration kLastPollAdvance{1000000};

std::string FormatAddress(const net::Address& address) {
  const bool is_ipv6 = address.host.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? "[" + address.host + "]" : address.host;
  return host + ":" + std::to_string(address.port);
}

std::string FormatAddress(GSocketAddress* address) {
  auto* inet_address = G_INET_SOCKET_ADDRESS(address);
  char* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet_address));
  const net::Address parsed{host, g_inet_socket_address_get_port(inet_address)};
  g_free(host);
  return FormatAddress(parsed);
}

// Random rather than derived from the clock, which may be set back and repeat an id. Never zero.
std::uint64_t NewIncarnationId() {
  std::random_device device;
  return (std::uint64_t{device()} << 32 | device()) | 1;
}

}  // namespace

UdpReplicationService::UdpReplicationService(ReplicationContext context)
    : loop_(context.loop),
      settings_(context.settings),
      name_(settings_.instance_name.empty() ? context.name : settings_.instance_name),
      recovery_(context.recovered ? ReplicationEngine::Recovery::kComplete
                                  : ReplicationEngine::Recovery::kIncomplete),
      consistency_guard_(context.consistency_guard),
      on_learned_(std::move(context.on_learned)),
      delivers_datagrams_(std::move(context.delivers_datagrams)),
      scope_(context.membership_only ? ReplicationScope::kMembershipOnly : ReplicationScope::kAll),
      tick_timer_(loop_),
      poll_timer_(loop_),
      log_limit_(loop_) {}

UdpReplicationService::~UdpReplicationService() {
  if (engine_ != nullptr && engine_->lease_client() != nullptr) consistency_guard_.SetSessionLeases(nullptr);
  if (socket_ != nullptr) loop_.poller().Remove(g_socket_get_fd(socket_.get()));
}

tl::expected<void, StartError> UdpReplicationService::Start() {
  auto keys = LoadSharedKeys(settings_.key_file);
  if (!keys) return tl::unexpected(std::move(keys.error()));
  authenticator_ = std::make_unique<DatagramAuthenticator>(std::move(*keys));
  const auto bound = OpenSocket();
  if (!bound) return tl::unexpected(bound.error());
  const std::string bound_address = FormatAddress(bound->get());
  CreateEngine(bound_address);
  loop_.poller().Add(g_socket_get_fd(socket_.get()), EPOLLIN, *this);
  // The precise time, not the start of this pass of the event loop: recovery may have taken seconds since
  // then, which would be missing from the time that the peers have to track this instance.
  started_ = loop_.PreciseNow();
  spdlog::info("peers: listening: instance={} address={}", name_, bound_address);
  Tick();
  return {};
}

// Returns the address to which the socket is bound.
tl::expected<net::ObjectPtr<GSocketAddress>, StartError> UdpReplicationService::OpenSocket() {
  const net::ObjectPtr<GSocketAddress> local = net::SocketAddress(*settings_.listen_address);
  if (local == nullptr) return tl::unexpected(StartError{StartErrorCode::kPeerAddress, {}, {}});
  net::ErrorSlot error;
  socket_.reset(g_socket_new(g_socket_address_get_family(local.get()), G_SOCKET_TYPE_DATAGRAM,
                             G_SOCKET_PROTOCOL_UDP, error.out()));
  if (socket_ == nullptr || !g_socket_bind(socket_.get(), local.get(), TRUE, error.out())) {
    socket_.reset();
    return tl::unexpected(
        StartError{StartErrorCode::kPeerListen, FormatAddress(*settings_.listen_address), error.message()});
  }
  g_socket_set_blocking(socket_.get(), FALSE);
  return net::ObjectPtr<GSocketAddress>(g_socket_get_local_address(socket_.get(), nullptr));
}

void UdpReplicationService::CreateEngine(const std::string& bound_address) {
  const std::uint64_t incarnation_id = NewIncarnationId();
  proto::Member self;
  self.set_name(name_);
  self.set_incarnation_id(incarnation_id);
  self.set_started_us(static_cast<std::uint64_t>(loop_.Now().time_since_epoch().count()));
  // Peers may reach this instance at another address than the one it listens on: behind a proxy, or from
  // another network.
  self.set_address(settings_.advertised_address ? FormatAddress(*settings_.advertised_address)
                                                : bound_address);
  std::vector<std::string> seeds;
  for (const net::Address& seed : settings_.seeds) seeds.push_back(FormatAddress(seed));
  WarnAboutUnsafeSettings(settings_);
  engine_ = std::make_unique<ReplicationEngine>(EngineOptionsFrom(settings_, consistency_guard_, scope_),
                                                std::move(self), std::move(seeds), recovery_,
                                                consistency_guard_, incarnation_id);
  engine_->OnLog([](const std::string& line) { spdlog::info("peers: {}", line); });
  if (engine_->lease_client() != nullptr) consistency_guard_.SetSessionLeases(this);
}

void UdpReplicationService::ReloadKeys() {
  auto keys = LoadSharedKeys(settings_.key_file);
  if (!keys) {
    spdlog::error("peers: reload of keys failed, current keys kept: {}", lynxgrade::Describe(keys.error()));
    return;
  }
  authenticator_->ReplaceKeys(std::move(*keys));
  spdlog::info("peers: keys reloaded");
}

bool UdpReplicationService::IsReady() const {
  // Always wait for the leases of an earlier incarnation to expire, which does not take long.
  if (!engine_->MayServeRequests(loop_.PreciseNow())) return false;
  if (engine_->IsTrackedByAllPeers() && engine_->swim().unheard_seeds().empty()) return true;
  return loop_.Now() - started_ >= settings_.join_timeout;
}

void UdpReplicationService::Tick() {
  {
    const ProcessorTimeMeter::Scope scope(processor_time_);
    engine_->Tick(loop_.PreciseNow(), outbox_);
    SendOutbox();
    LogQuorumChange();
    LogDuplicateName();
  }
  NotifyLearned();
  tick_timer_.ScheduleAfter(kTickInterval, [this] { Tick(); });
}

void UdpReplicationService::LogQuorumChange() {
  // The assessment visits all members, so it does not run in each tick.
  if (loop_.Now() - last_quorum_check_ < kQuorumLogInterval) return;
  last_quorum_check_ = loop_.Now();
  const membership::QuorumTracker::Assessment quorum = engine_->QuorumStateAt(loop_.PreciseNow());
  if (quorum.state == logged_quorum_) return;
  logged_quorum_ = quorum.state;
  spdlog::info("peers: {}: {} of {} instances in reach, view {:016x}", membership::NameOf(logged_quorum_),
               ReachableInstanceCount(), FleetSize(settings_), quorum.view);
}

std::size_t UdpReplicationService::ReachableInstanceCount() const {
  const auto alive = std::ranges::count_if(engine_->swim().peers(), [](const auto& item) {
    return item.second.member.state() == proto::Member::ALIVE;
  });
  return 1 + static_cast<std::size_t>(alive);
}

void UdpReplicationService::LogDuplicateName() {
  const std::uint64_t conflicts = engine_->swim().duplicate_name_reports();
  std::uint64_t suppressed = 0;
  if (conflicts == logged_duplicate_name_reports_ || !log_limit_.Allows(suppressed)) return;
  logged_duplicate_name_reports_ = conflicts;
  spdlog::warn(
      "peers: duplicate instance name: two running instances use it, the older one answers no writes; "
      "conflicts={}",
      conflicts);
}

std::string UdpReplicationService::StatusJson() const {
  return FormatReplicationReport({.now = loop_.PreciseNow(),
                                  .name = name_,
                                  .settings = settings_,
                                  .engine = *engine_,
                                  .traffic = traffic_,
                                  .rejected_datagrams = rejected_datagrams_,
                                  .processor_time = processor_time()});
}

std::optional<LogPosition> UdpReplicationService::AllWritesKnownAfter(consistency::SessionKey key) {
  return engine_->AllWritesKnownAfter(loop_.PreciseNow(), key);
}

bool UdpReplicationService::AcquireLease(GroupId group, consistency::SessionKey key,
                                         consistency::LeaseUse use) {
  const ProcessorTimeMeter::Scope scope(processor_time_);
  const bool expected = engine_->AcquireLease(loop_.PreciseNow(), group, key, use, outbox_);
  SendOutbox();
  return expected;
}

bool UdpReplicationService::CallWhenWriteMayBeAnswered(GroupId group, consistency::SessionKey key,
                                                       std::function<void()> call) {
  if (engine_->MayAnswerWrite(loop_.PreciseNow(), key)) return false;
  AcquireLease(group, key, consistency::LeaseUse::kWrite);
  // If this instance is the lease manager itself, it may hold the lease now.
  if (engine_->MayAnswerWrite(loop_.PreciseNow(), key)) return false;
  pending_answers_.Add({group, key, std::move(call), loop_.PreciseNow() + kPendingAnswerLifetime});
  return true;
}

void UdpReplicationService::ProcessPendingAnswers() {
  if (pending_answers_.empty()) return;
  pending_answers_.Process(
      loop_.PreciseNow(),
      [this](consistency::SessionKey key) { return engine_->MayAnswerWrite(loop_.PreciseNow(), key); },
      [this](GroupId group, consistency::SessionKey key) {
        AcquireLease(group, key, consistency::LeaseUse::kWrite);
      });
}

void UdpReplicationService::NotifyLearned() {
  ProcessPendingAnswers();
  if (on_learned_) on_learned_();
}

// The result of an earlier poll does not cover a read that arrived later, so the peers are polled again as
// soon as the minimum interval allows.
void UdpReplicationService::PollPeers() {
  if (engine_->lease_client() != nullptr) return;  // the session's lease was requested instead
  if (poll_timer_.armed()) return;
  const ProcessorTimeMeter::Scope scope(processor_time_);
  const TimePoint now = loop_.PreciseNow();
  if (!engine_->PollPeers(now, outbox_)) {
    return poll_timer_.ScheduleAt(now + ReplicationEngine::kMinPollInterval, [this] { PollPeers(); });
  }
  SendOutbox();
}

void UdpReplicationService::Leave() {
  engine_->PollPeers(loop_.PreciseNow() + kLastPollAdvance, outbox_);
  engine_->Leave(outbox_);
  SendOutbox();
}

void UdpReplicationService::SendOutbox() {
  for (membership::OutgoingPacket& outgoing : std::exchange(outbox_, {})) {
    const auto address = net::ParseAddress(outgoing.address);
    const net::ObjectPtr<GSocketAddress> target = address ? net::SocketAddress(*address) : nullptr;
    if (target == nullptr) continue;
    if (delivers_datagrams_ && !delivers_datagrams_(outgoing.address)) continue;
    const std::string datagram = authenticator_->Sign(outgoing.packet);
    CountPacket(outgoing.packet, datagram.size(), traffic_.out);
    engine_->RecordTraffic(loop_.PreciseNow(), datagram.size() + Traffic::kHeaderBytes);
    // A datagram that cannot be sent now is dropped, as if the network had lost it.
    g_socket_send_to(socket_.get(), target.get(), datagram.data(), datagram.size(), nullptr, nullptr);
  }
}

void UdpReplicationService::OnEvents(std::uint32_t) {
  {
    const ProcessorTimeMeter::Scope scope(processor_time_);
    ReceiveDatagrams();
    SendOutbox();
  }
  NotifyLearned();
}

void UdpReplicationService::ReceiveDatagrams() {
  std::array<char, kMaxDatagramBytes> buffer;
  for (int received = 0; received < kMaxDatagramsPerPass; ++received) {
    GSocketAddress* address = nullptr;
    const gssize size =
        g_socket_receive_from(socket_.get(), &address, buffer.data(), buffer.size(), nullptr, nullptr);
    const net::ObjectPtr<GSocketAddress> sender(address);
    if (size < 0) break;
    if (sender == nullptr || !G_IS_INET_SOCKET_ADDRESS(sender.get())) continue;
    HandleDatagram({buffer.data(), static_cast<std::size_t>(size)}, FormatAddress(sender.get()));
  }
}

void UdpReplicationService::HandleDatagram(std::string_view datagram, const std::string& sender_address) {
  if (delivers_datagrams_ && !delivers_datagrams_(sender_address)) return;
  if (const auto packet = authenticator_->Verify(datagram)) {
    CountPacket(*packet, datagram.size(), traffic_.in);
    engine_->RecordTraffic(loop_.PreciseNow(), datagram.size() + Traffic::kHeaderBytes);
    // The precise time, not the start of this pass: ages of acknowledgements count up to the moment of the
    // response, and the process may have been suspended since the pass started.
    engine_->HandlePacket(loop_.PreciseNow(), sender_address, *packet, outbox_);
  } else {
    ++rejected_datagrams_;
    std::uint64_t suppressed = 0;
    if (!log_limit_.Allows(suppressed)) return;
    spdlog::warn("peers: datagram rejected: {}; sender={} suppressed={}",
                 replication::Describe(packet.error()), sender_address, suppressed);
  }
}

}  // namespace lynxgrade::replication

// The module's entry point, called by module_loader.cpp. The caller owns the service.
extern "C" G_MODULE_EXPORT lynxgrade::replication::ReplicationService* lynxgrade_make_peers(
    lynxgrade::replication::ReplicationContext* context) {
  return new lynxgrade::replication::UdpReplicationService(std::move(*context));
}
