// Keeps one watch request open to discovery and passes on each update of the endpoint list.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "discovery/endpoint_list.h"
#include "discovery/http_response_parser.h"
#include "discovery/watch_body_parser.h"
#include "fleet/discovery_retry_policy.h"
#include "net/connection.h"
#include "net/loop.h"

namespace lynxgrade::discovery {

// What answers the watch requests.
struct DiscoveryService {
  // One service that all instances call, which simultaneous calls would overload; otherwise an agent of this
  // instance's own.
  bool shared = false;
  std::uint32_t instances = 1;
  Duration drain_grace{};  // how long after an update the former list may still be followed
};

// A failed or silent watch is reopened after a backoff, from the revision that was reached, so that no update
// is missed. To be used on the main loop's thread.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): it is final
class DiscoveryWatch final : private net::Connection::Owner {
 public:
  // May call MoveTo.
  using UpdateCallback = std::function<void(const EndpointListUpdate&)>;

  // `loop` and `reader` must outlive it. `revision` is the newest one that is known, `seed` that of the
  // random waits.
  DiscoveryWatch(net::Loop& loop, net::Address address, EndpointListReader& reader, std::int64_t revision,
                 std::uint64_t seed, DiscoveryService service, UpdateCallback on_update);
  ~DiscoveryWatch();
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Opens the watch: at once to an own agent, whose updates are binding as soon as it has them; after a
  // random wait to a shared service, as all instances may have started together.
  void Start();
  // Reopens the watch at another address. If its service does not know the revision that was reached, it
  // sends its complete list, which replaces the former one.
  void MoveTo(const net::Address& address);
  // Whether any update has been received.
  bool has_received_update() const { return has_received_update_; }
  // When the next request is due; absent while one is open.
  std::optional<TimePoint> next_request_at() const { return retry_timer_.deadline(); }

 private:
  void OnConnected() override;
  void OnReadable() override;
  void OnEndOfStream() override;
  void OnDisconnected() override;

  // Whether the watch is still open.
  enum class WatchState { kOpen, kClosed };

  WatchState HandleItems();
  WatchState HandleItem(const WatchBodyParser::Item& item);
  WatchState HandleUpdate(const EndpointListUpdate& update);
  WatchState HandleMalformedItem(const std::string& cause);
  void HandleSignOfLife();
  void HandleBodyEnd();
  void ScheduleFirstRequest();
  void SendRequest();
  // Closes the watch and schedules the next request.
  void Retry(std::string_view cause);
  void ExpectSignOfLifeWithin(Duration timeout);
  double DrawUniform();

  net::Loop& loop_;
  net::Address address_;
  EndpointListReader& reader_;
  std::int64_t revision_;
  DiscoveryService service_;
  std::minstd_rand random_;
  UpdateCallback on_update_;
  std::shared_ptr<net::Connection> connection_;
  std::optional<HttpResponseParser> response_;
  WatchBodyParser body_;
  net::Timer deadline_timer_;
  net::Timer retry_timer_;
  fleet::DiscoveryRetryPolicy retry_policy_;
  TimePoint last_sign_of_life_;  // or the start
  bool has_received_update_ = false;
};

}  // namespace lynxgrade::discovery
