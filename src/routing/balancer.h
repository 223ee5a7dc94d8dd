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

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class ReadKind { kWrite, kFresh, kSession, kBounded, kAny };
enum class LagCheck { kNone, kRefuse, kWait };
enum class ListRole { kStart, kLate, kNone };
enum class Reports { kNone, kAnswers, kProbes };

struct RequestClass {
  ReadKind kind = ReadKind::kAny;
  Effect effect = Effect::kSafe;
  Duration aim{0};
  Duration deadline{0};
  Duration bound{0};             // kBounded: how old the data may be when the request is sent
  Duration repeat_window{0};     // kKeyed: how long repeats are discarded
  bool repeats_anywhere = true;  // kKeyed: every member discards repeats, not only the group
  bool repeats_in_zone = false;  // kKeyed: those in the zone of the one that may have run it do
  double worth = 1;
  double late_value = 0;
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
  bool list_on_request = false;
  ListRole list_role = ListRole::kNone;
  LagCheck lag_check = LagCheck::kNone;
  Duration patience{0};
  bool answers_tell_position = false;
  bool sessions_carried = true;
  Reports reports = Reports::kNone;
  bool may_cancel = false;
  bool may_probe = false;
  bool may_duplicate = false;
  bool clients_wait_as_told = false;
  Duration longest_client_wait{0};
  std::uint32_t max_attempts = 1;
  Duration connect_timeout{250000};
  Duration answer_slack{0};
  Duration drain_grace{0};
  bool gone_not_binding = false;
  std::optional<Duration> ask_within{};
  double start_capacity = 1;
  Duration cold_time{0};
  double overload_factor = 1;
  Duration fall_time{0};
  double price_probe = 0;
  double price_cross_zone = 0;
  double price_waste = 0;
  double price_late_fail = 0;
  double over_share_worth = 1;
};

// What a member says of itself. Absent: not reported.
struct LoadReport {
  std::optional<LogPosition> position{};
  std::optional<bool> primary{};
  std::optional<double> queued{};
  std::optional<double> held{};
  std::optional<double> busy{};
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
enum class Outcome { kOk, kError, kFull, kTimeout, kUnreachable, kBroken, kCancelled, kVoid, kMiss };

struct ListEvent {
  ListKind kind = ListKind::kComplete;
  std::vector<ListEntry> entries;
};

struct RequestEvent {
  RequestId id{};
  GroupId group{};
  ClassIndex cls = 0;
  TenantIndex tenant = 0;
  std::string session{};
  bool repeat = false;
  std::optional<Duration> since_write{};
  std::optional<LogPosition> target{};  // kSession: what the data must hold; from src/consistency/
  bool proven_only = false;             // and it goes to nobody who is not proven to, whoever checks
  std::optional<TimePoint> arrived{};   // the latest at which it can have been sent; absent: now
  Duration waited{0};     // of its client's time, from its last byte until the module hears of it
  Duration time_left{0};  // from then on; none where it is over
};

struct OutcomeEvent {
  RequestId id{};
  AttemptNumber attempt = 0;
  ServerId server{};
  Outcome outcome = Outcome::kOk;
  Duration taken{0};
  bool request_done = false;
  ResponseMetadata note{};
  std::optional<LoadReport> report{};
};

struct StreamEvent {
  RequestId id{};
  AttemptNumber attempt = 0;
  ServerId server{};
  Duration taken{0};
};

struct HealthCheckEvent {
  ServerId server{};
  Outcome outcome = Outcome::kError;
  Duration taken{0};
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

using Event = std::variant<ListEvent, RequestEvent, OutcomeEvent, StreamEvent, HealthCheckEvent, TimerEvent,
                           ClientDisconnectedEvent, PeerEvent>;

struct Send {
  RequestId id{};
  ServerId server{};
  Duration limit{0};
  // A repeat of what may have run: its last byte goes out within this, or not at all.
  Duration write_within = Duration::max();
};
struct Reject {
  RequestId id{};
  Duration stay_away{0};
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
struct Probe {
  ServerId server{};
};
struct Watch {
  bool on = true;
};
struct FetchList {};
struct TellPeers {
  std::optional<std::uint32_t> peer{};  // absent: all
  std::string message;
};
struct CloseIdle {
  ServerId server{};
};
struct Log {
  std::string text;
};

using Action =
    std::variant<Send, Reject, Fail, Cancel, SetTimer, Probe, Watch, FetchList, TellPeers, CloseIdle, Log>;
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
