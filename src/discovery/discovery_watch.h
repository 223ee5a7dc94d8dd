// Keeps one watch request open to the discovery service and reports each update of the endpoint list.
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

// The service that answers the watch requests.
struct DiscoveryService {
  // One service for all instances, which simultaneous requests could overload. Otherwise it is an agent that
  // serves this instance only.
  bool shared = false;
  std::uint32_t instances = 1;
  Duration drain_grace{};  // how long after an update the previous list may still be used
};

// A watch that fails or times out is reopened after a backoff, from the last revision received, so that no
// update is missed. To be used on the main loop's thread.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): it is final
class DiscoveryWatch final : private net::Connection::Owner {
 public:
  // May call MoveTo.
  using UpdateCallback = std::function<void(const EndpointListUpdate&)>;

  // `loop` and `reader` must outlive this object. `revision` is the newest one that is known; `seed`
  // initializes the random backoff.
  DiscoveryWatch(net::Loop& loop, net::Address address, EndpointListReader& reader, std::int64_t revision,
                 std::uint64_t seed, DiscoveryService service, UpdateCallback on_update);
  ~DiscoveryWatch();
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Opens the watch: at once if the agent serves this instance only, as an update is binding as soon as the
  // agent has it; after a random delay if the service is shared, as all instances may have started at once.
  void Start();
  // Reopens the watch at another address. If the service there does not know the last revision received, it
  // sends its complete list, which replaces the previous one.
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
  void RecordActivity();
  void HandleBodyEnd();
  void ScheduleFirstRequest();
  void SendRequest();
  // Closes the watch and schedules the next request.
  void Retry(std::string_view cause);
  void ExpectActivityWithin(Duration timeout);
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
  TimePoint last_activity_;  // initially the time of construction or of MoveTo
  bool has_received_update_ = false;
};

}  // namespace lynxgrade::discovery
