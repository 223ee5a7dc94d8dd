// Runs the replication engine of this instance on a UDP socket, with authenticated datagrams and the clock
// and timers of the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/connection.h"
#include "net/log_limit.h"
#include "net/loop.h"
#include "replication/datagram_authenticator.h"
#include "replication/engine_options.h"
#include "replication/outbox.h"
#include "replication/pending_write_answers.h"
#include "replication/processor_time.h"
#include "replication/replication_engine.h"
#include "replication/replication_service.h"
#include "settings/program_settings.h"

namespace lynxgrade::replication {

class UdpReplicationService final : public ReplicationService,
                                    private net::Poller::Handler,
                                    private consistency::SessionLeases {
 public:
  explicit UdpReplicationService(ReplicationContext context);
  ~UdpReplicationService() override;
  UdpReplicationService(const UdpReplicationService&) = delete;
  UdpReplicationService& operator=(const UdpReplicationService&) = delete;

  tl::expected<void, StartError> Start() override;
  void ReloadKeys() override;
  void RecordWrite(GroupId group, consistency::SessionKey key,
                   const consistency::WriteWatermark& watermark) override {
    engine_->RecordWrite(group, key, watermark);
  }
  bool CallWhenWriteMayBeAnswered(GroupId group, consistency::SessionKey key,
                                  std::function<void()> call) override;
  void PollPeers() override;
  bool IsReady() const override;
  std::string StatusJson() const override;
  std::size_t ReachableInstanceCount() const override;
  const Traffic& traffic() const override { return traffic_; }
  Duration processor_time() const override { return processor_time_.total(); }
  void Leave() override;

  const ReplicationEngine& engine() const { return *engine_; }
  std::uint64_t rejected_datagrams() const { return rejected_datagrams_; }

 private:
  // consistency::SessionLeases
  std::optional<LogPosition> AllWritesKnownAfter(consistency::SessionKey key) override;
  bool AcquireLease(GroupId group, consistency::SessionKey key, consistency::LeaseUse use) override;

  tl::expected<net::ObjectPtr<GSocketAddress>, StartError> OpenSocket();
  void CreateEngine(const std::string& bound_address);
  // Sends the pending write answers that may be sent now, and requests the leases for the others.
  void ProcessPendingAnswers();
  // Lets reads and write answers proceed that may be able to after a packet was received or time has passed.
  void NotifyLearned();

  void OnEvents(std::uint32_t events) override;
  void ReceiveDatagrams();
  void HandleDatagram(std::string_view datagram, const std::string& sender_address);
  void SendOutbox();
  void Tick();
  // Logs the quorum state of this instance if it has changed.
  void LogQuorumChange();
  // Logs that two running instances share a name, which only an operator can correct.
  void LogDuplicateName();

  net::Loop& loop_;
  ReplicationSettings settings_;
  std::string name_;
  ReplicationEngine::Recovery recovery_;
  consistency::SessionConsistencyGuard& consistency_guard_;
  std::function<void()> on_learned_;
  std::function<bool(const std::string&)> delivers_datagrams_;
  ReplicationScope scope_;
  Traffic traffic_;
  net::ObjectPtr<GSocket> socket_;
  std::unique_ptr<DatagramAuthenticator> authenticator_;
  std::unique_ptr<ReplicationEngine> engine_;
  Outbox outbox_;
  PendingWriteAnswers pending_answers_;
  net::Timer tick_timer_;
  net::Timer poll_timer_;
  net::LogRateLimiter log_limit_;
  membership::QuorumState logged_quorum_ = membership::QuorumState::kUnknown;
  TimePoint last_quorum_check_{};
  TimePoint started_{};
  std::uint64_t rejected_datagrams_ = 0;
  std::uint64_t logged_duplicate_name_reports_ = 0;
  ProcessorTimeMeter processor_time_;
};

}  // namespace lynxgrade::replication
