// The interface of lynxgrade's decision module: what it is told, and what it answers with.
//
// One Balancer serves one proxy. It is fed events in order with the proxy's clock and appends
// actions to a list; it reads no clock, shares nothing and draws from one seeded engine.
// Every decision is in balance.cpp.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lynxgrade {

// The proxy's clock: monotonic, with an arbitrary zero.
struct ProxyClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<ProxyClock>;
  static constexpr bool is_steady = true;
};
using Duration = ProxyClock::duration;
using TimePoint = ProxyClock::time_point;

// Positions in a log are times on the proxies' clock: everything committed by then is applied.
using LogPosition = TimePoint;

enum class RequestId : std::uint32_t {};
enum class ServerId : std::uint32_t {};
enum class GroupId : std::int64_t {};
enum class TimerId : std::uint64_t {};
using ClassIndex = std::uint32_t;
using TenantIndex = std::uint32_t;
using ZoneIndex = std::uint32_t;
using AttemptNumber = std::uint32_t;

enum class Idempotency { kIdempotent, kIdempotencyKey, kNotIdempotent };
enum class AccessKind { kWrite, kStrongRead, kSessionRead, kBoundedRead, kEventualRead };
enum class PositionCheck { kNone, kReject, kWait };
enum class ListedRole { kInitial, kDelayed, kNone };
enum class LoadReporting { kNone, kWithResponses, kOnHealthCheck };

struct RequestClass {
  AccessKind kind = AccessKind::kEventualRead;
  Idempotency idempotency = Idempotency::kIdempotent;
  Duration latency_objective{0};
  Duration deadline{0};
  Duration staleness_bound{0};          // kBounded: how old the data may be when the request is sent
  Duration idempotency_window{0};       // kKeyed: how long repeats are discarded
  bool deduplicated_everywhere = true;  // kKeyed: every member discards repeats, not only the group
  bool deduplicated_in_zone = false;    // kKeyed: those in the zone of the one that may have run it do
  double priority_weight = 1;
  double late_response_value = 0;
};

struct Tenant {
  double quota_per_s = 0;
  double share = 0;
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  std::uint32_t self = 0;
  std::uint32_t peers_total = 1;  // 0: not told
  ZoneIndex zone = 0;
  Duration tick{5000};
  bool poll_endpoint_list = false;
  ListedRole listed_role = ListedRole::kNone;
  PositionCheck position_check = PositionCheck::kNone;
  Duration replica_wait_limit{0};
  bool responses_report_position = false;
  bool clients_carry_watermarks = true;
  LoadReporting load_reporting = LoadReporting::kNone;
  bool may_cancel = false;
  bool may_health_check = false;
  bool may_hedge = false;
  bool clients_honor_retry_after = false;
  Duration max_retry_after{0};
  std::uint32_t max_attempts = 1;
  Duration connect_timeout{250000};
  Duration response_slack{0};
  Duration drain_grace{0};
  bool unlisted_stay_usable = false;
  std::optional<Duration> max_poll_interval{};
  double initial_capacity = 1;
  Duration slow_start_duration{0};
  double overload_factor = 1;
  Duration overload_duration{0};
  double health_check_price = 0;
  double cross_zone_price = 0;
  double wasted_work_price = 0;
  double late_failure_price = 0;
  double over_share_priority_weight = 1;
};

// What a member says of itself. Absent: not reported.
struct LoadReport {
  std::optional<LogPosition> position{};
  std::optional<bool> primary{};
  std::optional<double> queued{};
  std::optional<double> in_flight{};
  std::optional<double> utilization{};
};

// The note that comes with an answer.
struct ResponseMetadata {
  std::optional<LogPosition> position{};
  std::optional<bool> primary{};
};

enum class Lifecycle { kServing, kDraining, kDeleted };

struct ListEntry {
  ServerId server{};
  GroupId group{};
  ZoneIndex zone = 0;
  Lifecycle lifecycle = Lifecycle::kServing;
  bool primary = false;
  double weight = 1;
  std::optional<TimePoint> started{};
};

enum class ListKind { kPersisted, kComplete, kPartial, kError };
enum class Outcome {
  kOk,
  kError,
  kOverloaded,
  kTimeout,
  kUnreachable,
  kConnectionLost,
  kCancelled,
  kNotRun,
  kMisrouted
};

struct ListEvent {
  ListKind kind = ListKind::kComplete;
  std::vector<ListEntry> entries;
};

struct RequestEvent {
  RequestId id{};
  GroupId group{};
  ClassIndex request_class = 0;
  TenantIndex tenant = 0;
  std::string session{};
  bool is_retry = false;
  std::optional<Duration> time_since_write{};
  std::optional<LogPosition> required_position{};  // kSession: what the data must hold; from src/consistency/
  bool require_proven_position = false;  // and it goes to nobody who is not proven to, whoever checks
  std::optional<TimePoint> arrived{};    // the latest at which it can have been sent; absent: now
  Duration waited{0};     // of its client's time, from its last byte until the module hears of it
  Duration time_left{0};  // from then on; none where it is over
};

struct AttemptEndedEvent {
  RequestId id{};
  AttemptNumber attempt = 0;
  ServerId server{};
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};
  bool request_done = false;
  ResponseMetadata metadata{};
  std::optional<LoadReport> report{};
};

struct ResponseStartedEvent {
  RequestId id{};
  AttemptNumber attempt = 0;
  ServerId server{};
  Duration elapsed{0};
};

struct HealthCheckEvent {
  ServerId server{};
  Outcome outcome = Outcome::kError;
  Duration elapsed{0};
  std::optional<LoadReport> report{};
};

struct TimerEvent {
  TimerId id{};
};

struct ClientDisconnectedEvent {
  RequestId id{};
};

struct PeerEvent {
  std::uint32_t from = 0;
  std::string message;
};

using Event = std::variant<ListEvent, RequestEvent, AttemptEndedEvent, ResponseStartedEvent, HealthCheckEvent,
                           TimerEvent, ClientDisconnectedEvent, PeerEvent>;

struct StartAttempt {
  RequestId id{};
  ServerId server{};
  Duration timeout{0};
  // A repeat of what may have run: its last byte goes out within this, or not at all.
  Duration write_within = Duration::max();
};
struct Reject {
  RequestId id{};
  Duration retry_after{0};
};
struct Fail {
  RequestId id{};
};
struct Cancel {
  RequestId id{};
  AttemptNumber attempt = 0;
};
struct SetTimer {
  TimerId id{};
  Duration delay{0};
};
struct StartHealthCheck {
  ServerId server{};
};
struct WatchEndpointList {
  bool enabled = true;
};
struct FetchEndpointList {};
struct SendToPeers {
  std::optional<std::uint32_t> peer{};  // absent: all
  std::string message;
};
struct CloseIdleConnections {
  ServerId server{};
};
struct Log {
  std::string text;
};

using Action = std::variant<StartAttempt, Reject, Fail, Cancel, SetTimer, StartHealthCheck, WatchEndpointList,
                            FetchEndpointList, SendToPeers, CloseIdleConnections, Log>;
using Actions = std::vector<Action>;

class Balancer {
 public:
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Takes one event at the clock time `now` and appends what is to be done. `now` never falls.
  void Handle(TimePoint now, const Event& event, Actions& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lynxgrade
