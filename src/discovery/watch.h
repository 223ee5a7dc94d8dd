// Keeps one watch open on discovery and hands on each change of the list.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "discovery/endpoint_list.h"
#include "discovery/http.h"
#include "discovery/watch_body_parser.h"
#include "fleet/discovery_retry_policy.h"
#include "net/connection.h"
#include "net/loop.h"

namespace lynxgrade::discovery {

class Watch final : private net::Connection::Owner {
 public:
  using Changed = std::function<void(const EndpointListUpdate&)>;

  // Who answers the calls: an agent of this instance's own, at once and at no cost, or one service that all
  // `instances` call, which a call of all of them at one moment would overload.
  struct Callers {
    bool shared = false;
    std::uint32_t instances = 1;
    Duration grace{};  // for which a list may be followed after it has counted as told
  };

  Watch(net::Loop& loop, net::Address address, EndpointListReader& reader, std::int64_t since,
        std::uint64_t seed, Callers callers, Changed changed);
  ~Watch();

  // Calls an agent at once: what it has counts as told, and its word on who drains binds from then on. A
  // shared service is called after a wait that is spread over the instances: all may have started together.
  void Start();
  // Watches there from now on, from the version that was reached. An agent there that does not know that
  // version sends its whole list, which stands in place of all before, whatever its number.
  void MoveTo(const net::Address& address);
  bool heard() const { return heard_; }
  // When the next call is due, where one is waited for.
  std::optional<TimePoint> calls_at() const { return again_.due(); }

 private:
  void OnUp() override;
  void OnReadable() override;
  void OnPeerDone() override;
  void OnBroken() override;

  bool TakePieces();
  void Ended();
  void Call();
  void Again(const char* why);
  void CallFirst();
  double Chance();
  void ExpectWithin(Duration time, const char* what);

  net::Loop& loop_;
  net::Address address_;
  EndpointListReader& reader_;
  std::int64_t since_;
  Callers callers_;
  std::minstd_rand random_;
  Changed changed_;
  std::shared_ptr<net::Connection> connection_;
  std::optional<HttpResponse> response_;
  WatchBodyParser text_;
  net::Timer deadline_;
  net::Timer again_;
  fleet::DiscoveryRetryPolicy waits_;
  TimePoint heard_at_;  // the last sign of life, or the start
  bool heard_ = false;
};

}  // namespace lynxgrade::discovery
