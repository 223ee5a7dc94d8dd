// Keeps one watch open on discovery and hands on each change of the list.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "discovery/http.h"
#include "discovery/roster.h"
#include "fleet/backoff.h"
#include "net/connection.h"
#include "net/loop.h"

namespace lynxgrade::discovery {

class Watch final : private net::Connection::Owner {
 public:
  using Changed = std::function<void(const RosterChange&)>;

  // `instances`: how many watch the same discovery, at least 1: the waits between calls grow with them.
  Watch(net::Loop& loop, net::Address address, RosterReader& reader, std::int64_t since, std::uint64_t seed,
        std::uint32_t instances, Changed changed);
  ~Watch();

  // Calls after a wait that is spread over the instances: all may have started together.
  void Start();
  // Watches there from now on, from the version that was reached. An agent there that does not know that
  // version sends its whole list, which stands in place of all before, whatever its number.
  void MoveTo(const net::Address& address);
  bool heard() const { return heard_; }

 private:
  void OnUp() override;
  void OnReadable() override;
  void OnPeerDone() override;
  void OnBroken() override;

  void TakeLines();
  void TakeLine(const std::string& line);
  void Call();
  void Again(const char* why);
  double Chance();
  void ExpectWithin(Duration time, const char* what);

  net::Loop& loop_;
  net::Address address_;
  RosterReader& reader_;
  std::int64_t since_;
  std::minstd_rand random_;
  Changed changed_;
  std::shared_ptr<net::Connection> connection_;
  std::optional<HttpResponse> response_;
  std::string lines_;
  net::Timer deadline_;
  net::Timer again_;
  fleet::Backoff backoff_;

  bool heard_ = false;
};

}  // namespace lynxgrade::discovery
