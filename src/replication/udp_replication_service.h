// The peers' side of this instance on a real socket: one UDP socket, the envelope, and the clock for the
// exchange.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/connection.h"
#include "net/log_limit.h"
#include "net/loop.h"
#include "replication/datagram_authenticator.h"
#include "replication/replication_engine.h"
#include "replication/replication_service.h"
#include "settings/program_settings.h"

namespace lynxgrade::replication {

class UdpReplicationService final : public ReplicationService,
                                    private net::Poller::Handler,
                                    private consistency::SessionLeases {
 public:
  explicit UdpReplicationService(ReplicationContext parts);
  ~UdpReplicationService() override;
  UdpReplicationService(const UdpReplicationService&) = delete;
  UdpReplicationService& operator=(const UdpReplicationService&) = delete;

  std::string Start() override;
  void ReloadKeys() override;
  void Wrote(GroupId group, consistency::SessionKey key,
             const consistency::WriteWatermark& watermark) override {
    engine_->RecordWrite(group, key, watermark);
  }
  bool WhenHeld(GroupId group, consistency::SessionKey key, std::function<void()> call) override;
  void Solicit() override;
  bool Ready() const override;
  std::string Describe() const override;
  std::size_t Reached() const override;
  const Traffic& traffic() const override { return traffic_; }
  Duration spent() const override { return Duration(spent_ns_ / 1000); }
  void Leave() override;
  const ReplicationEngine& engine() const { return *engine_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  static constexpr int kDatagramsAtOnce = 64;  // a flood must not keep clients waiting
  static constexpr std::size_t kMostDatagram = 65536;
  static constexpr Duration kTick{5000};
  static constexpr Duration kTellPartEvery{50000};  // a line of the log; who acts on the part looks itself
  // Requests whose answers wait for longer are long over.
  static constexpr Duration kMostWait{60000000};
  // Answered writes of sessions that are not held yet.
  struct Unheld {
    GroupId group{};
    consistency::SessionKey key{};
    std::function<void()> call;
    TimePoint until{};
  };

  std::optional<LogPosition> Exact(consistency::SessionKey key) override;
  bool Want(GroupId group, consistency::SessionKey key, bool write) override;
  // Lets go the answers that may be given now, and goes on asking for the others.
  void AnswerHeld();
  // What came may let reads and answers go on.
  void Learnt();

  void OnEvents(std::uint32_t events) override;
  void TakeAll();
  void Take(std::string_view datagram, const std::string& from);
  void Tick();
  // Says how large a part of the fleet this instance is with, where that has changed.
  void TellPart();
  // That two instances share a name, which nobody can mend but the operators.
  void TellConflict();
  void Flush();
  // Counts a stretch of this thread's processor time; one inside another is counted with it.
  class Timed {
   public:
    explicit Timed(UdpReplicationService& of);
    ~Timed();
    Timed(const Timed&) = delete;
    Timed& operator=(const Timed&) = delete;

   private:
    UdpReplicationService& of_;
    std::int64_t from_;
  };

  net::Loop& loop_;
  ReplicationSettings setup_;
  std::string name_;
  bool recovered_;
  consistency::SessionConsistencyGuard& consistency_guard_;
  std::function<void()> learnt_;
  std::function<bool(const std::string&)> passes_;
  bool members_only_;
  Traffic traffic_;
  net::ObjectPtr<GSocket> socket_;
  std::unique_ptr<DatagramAuthenticator> envelope_;
  std::unique_ptr<ReplicationEngine> engine_;
  Outbox out_;
  std::vector<Unheld> unheld_;
  net::Timer tick_;
  net::Timer ask_again_;
  net::LogLimit complaints_;
  membership::QuorumState part_ = membership::QuorumState::kUnknown;
  TimePoint part_told_{};
  TimePoint started_{};
  std::uint64_t dropped_ = 0;
  std::int64_t spent_ns_ = 0;
  int timed_ = 0;                // stretches that are under way, one in another
  std::uint64_t conflicts_ = 0;  // as last said
};

}  // namespace lynxgrade::replication
