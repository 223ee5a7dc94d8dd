// The peers' side of this instance on a real socket: one UDP socket, the envelope, and the clock for the
// exchange.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "net/connection.h"
#include "net/log_limit.h"
#include "net/loop.h"
#include "peers/envelope.h"
#include "peers/exchange.h"
#include "setup.h"

namespace lynxgrade::peers {

class Peers final : private net::Poller::Handler {
 public:
  // `learnt` is called whenever the keeper may have learnt something.
  Peers(net::Loop& loop, const PeersSetup& setup, const std::string& name, bool recovered,
        session::Keeper& keeper, std::function<void()> learnt);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // Empty, or what keeps it from starting.
  std::string Start();
  // Reads the keys again; a file that cannot be used is logged, and the old ones stay.
  void ReloadKeys();
  void Wrote(GroupId group, session::Key key, const session::Mark& mark) {
    exchange_->Wrote(group, key, mark);
  }
  // A read waits for word from the others.
  void Solicit();
  // Whether the others count this instance, so that it may answer writes; also when they had time enough to.
  bool Ready() const;
  // Tells the others the last marks and that this instance leaves.
  void Leave();
  const Exchange& exchange() const { return *exchange_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  static constexpr int kDatagramsAtOnce = 64;  // a flood must not keep clients waiting
  static constexpr std::size_t kMostDatagram = 65536;
  static constexpr Duration kTick{5000};

  void OnEvents(std::uint32_t events) override;
  void Take(std::string_view datagram, const std::string& from);
  void Tick();
  // Says how large a part of the fleet this instance is with, where that has changed.
  void TellPart();
  void Flush();

  net::Loop& loop_;
  PeersSetup setup_;
  std::string name_;
  bool recovered_;
  session::Keeper& keeper_;
  std::function<void()> learnt_;
  net::ObjectPtr<GSocket> socket_;
  std::unique_ptr<Envelope> envelope_;
  std::unique_ptr<Exchange> exchange_;
  std::vector<Out> out_;
  net::Timer tick_;
  net::LogLimit complaints_;
  members::Part part_ = members::Part::kInDoubt;
  Time started_{};
  std::uint64_t dropped_ = 0;
};

}  // namespace lynxgrade::peers
