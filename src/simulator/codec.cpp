#include "simulator/codec.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

#include "simulator/settings_json.h"

namespace lynxgrade::simulator {
namespace {

using Json = nlohmann::json;

[[noreturn]] void Wrong(const char* field, const char* what) {
  throw WireError(std::string("field '") + field + "' " + what);
}

const Json* Find(const Json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& Need(const Json& object, const char* field) {
  const Json* value = Find(object, field);
  if (value == nullptr) Wrong(field, "is missing");
  return *value;
}

std::int64_t AsInt(const Json& value, const char* field) {
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
      Wrong(field, "is out of range");
    }
    return static_cast<std::int64_t>(number);
  }
  if (value.is_number_integer()) return value.get<std::int64_t>();
  if (value.is_number_float()) {
    const double number = value.get<double>();
    if (std::abs(number) < 9e15 && number == std::floor(number)) {
      return static_cast<std::int64_t>(number);
    }
  }
  Wrong(field, "is not a whole number");
}

std::int64_t Int(const Json& object, const char* field) { return AsInt(Need(object, field), field); }

std::int64_t IntOr(const Json& object, const char* field, std::int64_t otherwise) {
  const Json* value = Find(object, field);
  return value == nullptr ? otherwise : AsInt(*value, field);
}

std::uint32_t Small(const Json& object, const char* field) {
  const std::int64_t number = Int(object, field);
  if (number < 0 || number > std::numeric_limits<std::uint32_t>::max()) {
    Wrong(field, "is out of range");
  }
  return static_cast<std::uint32_t>(number);
}

std::uint32_t SmallOr(const Json& object, const char* field, std::uint32_t otherwise) {
  return Find(object, field) == nullptr ? otherwise : Small(object, field);
}

double AsNumber(const Json& value, const char* field) {
  if (!value.is_number()) Wrong(field, "is not a number");
  return value.get<double>();
}

double NumberOr(const Json& object, const char* field, double otherwise) {
  const Json* value = Find(object, field);
  return value == nullptr ? otherwise : AsNumber(*value, field);
}

bool BoolOr(const Json& object, const char* field, bool otherwise) {
  const Json* value = Find(object, field);
  if (value == nullptr) return otherwise;
  if (!value->is_boolean()) Wrong(field, "is not true or false");
  return value->get<bool>();
}

std::string Text(const Json& object, const char* field) {
  const Json& value = Need(object, field);
  if (!value.is_string()) Wrong(field, "is not a string");
  return value.get<std::string>();
}

std::string TextOr(const Json& object, const char* field, const char* otherwise) {
  return Find(object, field) == nullptr ? otherwise : Text(object, field);
}

const Json& Array(const Json& object, const char* field) {
  const Json& value = Need(object, field);
  if (!value.is_array()) Wrong(field, "is not an array");
  return value;
}

const Json& ObjectOr(const Json& object, const char* field) {
  static const Json kEmptyObject = Json::object();
  const Json* value = Find(object, field);
  if (value == nullptr) return kEmptyObject;
  if (!value->is_object()) Wrong(field, "is not an object");
  return *value;
}

Duration DurationOf(const Json& object, const char* field) { return Duration(Int(object, field)); }

Duration DurationOr(const Json& object, const char* field, Duration otherwise) {
  return Duration(IntOr(object, field, otherwise.count()));
}

template <typename Value>
using Words = std::vector<std::pair<const char*, Value>>;

template <typename Value>
Value Word(const std::string& text, const Words<Value>& words, const char* field) {
  for (const auto& [word, value] : words) {
    if (text == word) return value;
  }
  Wrong(field, "holds an unknown word");
}

const Words<Outcome> kOutcomes = {{"success", Outcome::kOk},
                                  {"failure", Outcome::kError},
                                  {"overloaded", Outcome::kOverloaded},
                                  {"timed_out", Outcome::kTimeout},
                                  {"unreachable", Outcome::kUnreachable},
                                  {"broken", Outcome::kConnectionLost},
                                  {"withdrawn", Outcome::kCancelled},
                                  {"void", Outcome::kNotRun},
                                  {"absent", Outcome::kMisrouted}};
const Words<ListKind> kListKinds = {{"Partial", ListKind::kPartial},
                                    {"Complete", ListKind::kComplete},
                                    {"Persisted", ListKind::kPersisted},
                                    {"Error", ListKind::kError}};
const Words<Lifecycle> kLifecycles = {
    {"SERVING", Lifecycle::kServing}, {"DRAINING", Lifecycle::kDraining}, {"DELETED", Lifecycle::kDeleted}};
const Words<Idempotency> kIdempotencies = {{"idempotent", Idempotency::kIdempotent},
                                           {"deduplicated", Idempotency::kIdempotencyKey},
                                           {"at_most_once", Idempotency::kNotIdempotent}};
const Words<AccessKind> kAccessKinds = {{"mutate", AccessKind::kWrite},
                                        {"strong", AccessKind::kStrongRead},
                                        {"causal", AccessKind::kSessionRead},
                                        {"lag_bound", AccessKind::kBoundedRead},
                                        {"eventual", AccessKind::kEventualRead}};
const Words<PositionCheck> kPositionChecks = {
    {"off", PositionCheck::kNone}, {"bounce", PositionCheck::kReject}, {"await", PositionCheck::kWait}};
const Words<ListedRole> kListedRoles = {
    {"static", ListedRole::kInitial}, {"trailing", ListedRole::kDelayed}, {"off", ListedRole::kNone}};
const Words<LoadReporting> kLoadReportings = {{"off", LoadReporting::kNone},
                                              {"inline", LoadReporting::kWithResponses},
                                              {"on_probe", LoadReporting::kOnHealthCheck}};
const Words<bool> kDiscovery = {{"push", false}, {"ask", true}};
const Words<bool> kMarks = {{"brought", true}, {"kept", false}};
enum class Scope { kAll, kGroup, kZone };
const Words<Scope> kScopes = {{"all", Scope::kAll}, {"cell", Scope::kGroup}, {"zone", Scope::kZone}};

RequestClass DecodeClass(const Json& json) {
  RequestClass cls;
  cls.latency_objective = DurationOf(json, "objective_us");
  cls.deadline = DurationOf(json, "deadline_us");
  cls.idempotency = Word(Text(json, "effect"), kIdempotencies, "effect");
  const Scope scope = Word(TextOr(json, "key_scope", "all"), kScopes, "key_scope");
  cls.deduplicated_everywhere = scope == Scope::kAll;
  cls.deduplicated_in_zone = scope == Scope::kZone;
  cls.idempotency_window = DurationOr(json, "repeat_window_us", Duration{0});
  cls.priority_weight = NumberOr(json, "worth", 1);
  cls.late_response_value = NumberOr(json, "late_value", 0);
  return cls;
}

void DecodeClasses(const Json& facts, const Json& extra, Settings& settings) {
  for (const Json& json : Array(facts, "classes")) settings.classes.push_back(DecodeClass(json));
  if (Find(extra, "class_read") == nullptr) return;
  const Json& reads = Array(extra, "class_read");
  static const Json kEmptyArray = Json::array();
  const Json& bounds =
      Find(extra, "oldest_data_us") == nullptr ? kEmptyArray : Array(extra, "oldest_data_us");
  for (std::size_t i = 0; i < settings.classes.size() && i < reads.size(); ++i) {
    if (!reads[i].is_string()) Wrong("class_read", "holds something other than strings");
    settings.classes[i].kind = Word(reads[i].get<std::string>(), kAccessKinds, "class_read");
    if (i < bounds.size()) settings.classes[i].staleness_bound = Duration(AsInt(bounds[i], "oldest_data_us"));
  }
}

}  // namespace

Settings DecodeSettings(const Json& facts) {
  Settings s;
  const Json& extra = ObjectOr(facts, "extra");
  const Json& limits = ObjectOr(facts, "limits");
  const Json& rules = ObjectOr(facts, "rules");
  const Json& tariffs = ObjectOr(facts, "tariffs");
  DecodeClasses(facts, extra, s);
  if (Find(facts, "customers") != nullptr) {
    for (const Json& json : Array(facts, "customers")) {
      s.tenants.push_back({NumberOr(json, "quota_per_s", 0), NumberOr(json, "share", 0)});
    }
  }
  s.self = SmallOr(facts, "me", 0);
  s.peers_total = SmallOr(facts, "peers_total", 0);
  s.zone = SmallOr(facts, "zone", 0);
  s.tick = DurationOr(facts, "tick_us", s.tick);
  s.poll_endpoint_list = Word(TextOr(facts, "discovery", "push"), kDiscovery, "discovery");
  s.over_share_priority_weight = NumberOr(facts, "over_share_worth", 1);
  s.load_reporting = Word(TextOr(ObjectOr(facts, "load_report"), "how", "off"), kLoadReportings, "how");
  s.listed_role = Word(TextOr(extra, "list_role", "off"), kListedRoles, "list_role");
  s.position_check = Word(TextOr(extra, "server_checks", "off"), kPositionChecks, "server_checks");
  s.clients_carry_watermarks = Word(TextOr(extra, "session_marks", "brought"), kMarks, "session_marks");
  s.replica_wait_limit = DurationOr(extra, "patience_us", Duration{0});
  s.responses_report_position = BoolOr(extra, "tells_position", false);
  s.may_cancel = BoolOr(limits, "may_cancel", false);
  s.may_health_check = BoolOr(limits, "may_probe", false);
  s.may_hedge = BoolOr(limits, "may_duplicate", false);
  s.clients_honor_retry_after = BoolOr(limits, "retry_after", false);
  s.max_retry_after = DurationOr(limits, "max_retry_after_us", Duration{0});
  s.max_attempts = SmallOr(limits, "max_attempts", 1);
  s.connect_timeout = DurationOr(limits, "connect_timeout_us", s.connect_timeout);
  s.response_slack = DurationOr(rules, "answer_slack_us", Duration{0});
  s.drain_grace = DurationOr(rules, "drain_grace_us", Duration{0});
  s.unlisted_stay_usable = BoolOr(rules, "dropped_stay_open", false);
  if (Find(rules, "ask_within_us") != nullptr) s.max_poll_interval = DurationOf(rules, "ask_within_us");
  s.initial_capacity = NumberOr(rules, "start_capacity", 1);
  s.slow_start_duration = DurationOr(rules, "cold_us", Duration{0});
  s.overload_factor = NumberOr(rules, "overload_factor", 1);
  s.overload_duration = DurationOr(rules, "fall_us", Duration{0});
  s.health_check_price = NumberOr(tariffs, "probe", 0);
  s.cross_zone_price = NumberOr(tariffs, "cross_zone", 0);
  s.wasted_work_price = NumberOr(tariffs, "waste", 0);
  s.late_failure_price = NumberOr(tariffs, "late_fail", 0);
  return s;
}

std::vector<std::string> DecodeReportColumns(const Json& facts) {
  std::vector<std::string> columns;
  const Json& report = ObjectOr(facts, "load_report");
  if (Find(report, "columns") == nullptr) return columns;
  for (const Json& column : Array(report, "columns")) {
    if (!column.is_string()) Wrong("columns", "holds something other than strings");
    columns.push_back(column.get<std::string>());
  }
  return columns;
}

void StoreReportValue(LoadReport& report, const std::string& column, double value, Duration zero) {
  if (column == "x0") {
    report.position = TimePoint(zero + Duration(static_cast<std::int64_t>(std::floor(value * 1e6))));
  } else if (column == "x1") {
    report.primary = value >= 0.5;
  } else if (column == "q") {
    report.queued = value;
  } else if (column == "rif") {
    report.in_flight = value;
  } else if (column == "busy") {
    report.utilization = value;
  }
}

namespace {

std::vector<ListEntry> DecodeEntries(const Json& json) {
  std::vector<ListEntry> entries;
  for (const Json& item : Array(json, "records")) {
    if (!item.is_object()) Wrong("records", "holds something other than objects");
    ListEntry entry;
    entry.server = ServerId(Small(item, "member"));
    entry.group = GroupId(IntOr(item, "set", 0));
    entry.zone = SmallOr(item, "az", 0);
    entry.lifecycle = Word(Text(item, "lifecycle"), kLifecycles, "lifecycle");
    entry.primary = NumberOr(item, "writer", 0) > 0;
    entry.weight = NumberOr(item, "heft", 1);
    const std::int64_t started = IntOr(item, "came_up_us", 0);
    if (started != 0) entry.started = TimePoint(Duration(started));
    entries.push_back(entry);
  }
  return entries;
}

RequestEvent DecodeRequest(const Json& json) {
  RequestEvent event;
  event.id = RequestId(Small(json, "req"));
  event.group = GroupId(Int(json, "partition_no"));
  event.request_class = Small(json, "tier_class");
  event.tenant = SmallOr(json, "team", 0);
  event.session = TextOr(json, "client_key", "");
  event.is_retry = (IntOr(json, "state_bits", 0) & 2) != 0;
  event.time_left = DurationOf(json, "time_left_us");
  if (const Json* ms = Find(json, "wrote_ms_ago")) {
    const double number = AsNumber(*ms, "wrote_ms_ago");
    if (number > 0) event.time_since_write = Duration(static_cast<std::int64_t>(number * 1000));
  }
  return event;
}

std::optional<LoadReport> DecodeReport(const Json& json, Duration zero,
                                       const std::vector<std::string>& columns) {
  const Json* row = Find(json, "health_info");
  if (row == nullptr) return std::nullopt;
  if (!row->is_array()) Wrong("health_info", "is not an array");
  LoadReport report;
  for (std::size_t i = 0; i < row->size() && i < columns.size(); ++i) {
    if ((*row)[i].is_null()) continue;
    StoreReportValue(report, columns[i], AsNumber((*row)[i], "health_info"), zero);
  }
  return report;
}

ResponseMetadata DecodeNote(const Json& json, Duration zero) {
  ResponseMetadata note;
  const std::int64_t stand = IntOr(json, "stand", 0);
  if (stand < 0 || stand > (std::int64_t{1} << 53)) Wrong("stand", "is out of range");
  if (stand % 4 == 1) note.primary = true;
  if (stand % 4 == 2) note.primary = false;
  if (stand / 4 > 0) note.position = TimePoint(zero + Duration(stand / 4 * 1000));
  return note;
}

AttemptEndedEvent DecodeAttemptEnd(const Json& json, Duration zero, const std::vector<std::string>& columns) {
  AttemptEndedEvent event;
  event.id = RequestId(Small(json, "req"));
  event.attempt = Small(json, "shot");
  event.server = ServerId(Small(json, "member"));
  event.outcome = Word(Text(json, "code"), kOutcomes, "code");
  event.elapsed = DurationOr(json, "time_taken_us", Duration{0});
  event.request_done = BoolOr(json, "complete", false);
  event.metadata = DecodeNote(json, zero);
  event.report = DecodeReport(json, zero, columns);
  return event;
}

// An unknown result code leaves the default outcome, a plain error.
HealthCheckEvent DecodeHealthCheck(const Json& json, Duration zero, const std::vector<std::string>& columns) {
  HealthCheckEvent event;
  event.server = ServerId(Small(json, "member"));
  const std::string code = Text(json, "code");
  for (const auto& [word, outcome] : kOutcomes) {
    if (code == word) event.outcome = outcome;
  }
  event.elapsed = DurationOr(json, "time_taken_us", Duration{0});
  event.report = DecodeReport(json, zero, columns);
  return event;
}

}  // namespace

Codec::Dialect& Codec::DialectOf(Instance instance) {
  const auto it = std::lower_bound(dialects_.begin(), dialects_.end(), instance,
                                   [](const auto& item, Instance key) { return item.first < key; });
  if (it != dialects_.end() && it->first == instance) return it->second;
  return dialects_.insert(it, {instance, Dialect{}})->second;
}

Start Codec::DecodeStart(const Json& json, Instance instance) {
  const Json& seed = Need(json, "random_seed");
  if (!seed.is_number_integer()) Wrong("random_seed", "is not a whole number");
  Need(json, "facts");
  const Json& facts = ObjectOr(json, "facts");
  Start start{instance, seed.get<std::uint64_t>(), DecodeSettings(facts), Duration{0}, {}};
  start.zero = DurationOr(ObjectOr(facts, "extra"), "zero_us", Duration{0});
  start.report_columns = DecodeReportColumns(facts);
  DialectOf(instance) = Dialect{start.zero, start.report_columns};
  return start;
}

// Decodes an event of the balancer; its kind is given by `op`.
Event Codec::DecodeEvent(const std::string& op, const Json& json, const Dialect& dialect) {
  if (op == "incoming") return DecodeRequest(json);
  if (op == "completed") return DecodeAttemptEnd(json, dialect.zero, dialect.columns);
  if (op == "pong") return DecodeHealthCheck(json, dialect.zero, dialect.columns);
  if (op == "fired") {
    const Json& ctx = Need(json, "ctx");
    if (!ctx.is_number_integer()) Wrong("ctx", "is not a whole number");
    return TimerEvent{TimerId(ctx.get<std::uint64_t>())};
  }
  if (op == "gone") return ClientDisconnectedEvent{RequestId(Small(json, "req"))};
  if (op == "memo") return PeerEvent{Small(json, "by"), Text(json, "msg")};
  if (op == "head_received") {
    return ResponseStartedEvent{RequestId(Small(json, "req")), Small(json, "shot"),
                                ServerId(Small(json, "member")),
                                DurationOr(json, "time_taken_us", Duration{0})};
  }
  throw WireError("unknown event");
}

Line Codec::DecodeForInstance(const std::string& op, const Json& json, Instance instance) {
  if (op == "spawn") return DecodeStart(json, instance);
  if (op == "teardown") return Stop{instance};
  if (op == "directory_update") {
    const ListKind kind = Word(Text(json, "how"), kListKinds, "how");
    const bool failed = kind == ListKind::kError;
    return ListUpdate{instance, kind, failed ? -1 : static_cast<int>(Small(json, "page"))};
  }
  return InstanceEvent{instance, DecodeEvent(op, json, DialectOf(instance))};
}

Line Codec::Decode(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw WireError("malformed JSON");
  if (!json.is_object()) throw WireError("not a JSON object");
  const std::string op = Text(json, "op");
  if (op == "tick") return BatchStart{TimePoint(DurationOf(json, "sim_time_us")), Int(json, "serial")};
  if (op == "eob") return BatchEnd{};
  if (op == "table") return ListPage{static_cast<int>(Small(json, "page")), DecodeEntries(json)};
  try {
    return DecodeForInstance(op, json, static_cast<Instance>(Small(json, "who")));
  } catch (const WireError& error) {
    throw WireError("event '" + op.substr(0, 40) + "': " + error.what());
  }
}

namespace {

void Number(std::string& out, const char* field, std::int64_t value) {
  out += ",\"";
  out += field;
  out += "\":";
  out += std::to_string(value);
}

void Open(std::string& out, const char* op, Instance instance) {
  out += R"({"op":")";
  out += op;
  out += '"';
  Number(out, "who", instance);
}

void Quoted(std::string& out, const char* field, std::string_view text) {
  out += ",\"";
  out += field;
  out += "\":";
  out += Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

template <typename Id>
std::int64_t Raw(Id id) {
  return static_cast<std::int64_t>(id);
}

struct Encoder {
  Instance instance;
  std::string& out;

  void operator()(const StartAttempt& a) const {
    Open(out, "pass_on", instance);
    Number(out, "req", Raw(a.id));
    Number(out, "member", Raw(a.server));
    if (a.timeout.count() > 0) Number(out, "limit_us", a.timeout.count());
  }
  void operator()(const Reject& a) const {
    Open(out, "refuse", instance);
    Number(out, "req", Raw(a.id));
    if (a.retry_after.count() > 0) Number(out, "hold_off_us", a.retry_after.count());
  }
  void operator()(const Fail& a) const {
    Open(out, "report_failure", instance);
    Number(out, "req", Raw(a.id));
  }
  void operator()(const Cancel& a) const {
    Open(out, "retract", instance);
    Number(out, "req", Raw(a.id));
    Number(out, "shot", a.attempt);
  }
  void operator()(const SetTimer& a) const {
    Open(out, "notify_me", instance);
    Number(out, "sleep_for_us", a.delay.count());
    Number(out, "ctx", Raw(a.id));
  }
  void operator()(const StartHealthCheck& a) const {
    Open(out, "inspect", instance);
    Number(out, "member", Raw(a.server));
  }
  void operator()(const WatchEndpointList& a) const {
    Open(out, "subscribe", instance);
    out += a.enabled ? ",\"on\":true" : ",\"on\":false";
  }
  void operator()(const FetchEndpointList&) const { Open(out, "read_list", instance); }
  void operator()(const SendToPeers& a) const {
    Open(out, "broadcast_to", instance);
    if (a.peer) {
      Number(out, "addressee", *a.peer);
    } else {
      Quoted(out, "addressee", "*");
    }
    Quoted(out, "msg", a.message);
  }
  void operator()(const CloseIdleConnections& a) const {
    Open(out, "close_idle", instance);
    Number(out, "member", Raw(a.server));
  }
  void operator()(const Log& a) const {
    Open(out, "debug", instance);
    Quoted(out, "what", a.text);
  }
};

}  // namespace

void Codec::EncodeAction(Instance instance, const Action& action, std::string& out) {
  std::visit(Encoder{instance, out}, action);
  out += "}\n";
}

void Codec::EncodeInternalError(Instance instance, std::string_view what, std::string& out) {
  Open(out, "internal_error", instance);
  Quoted(out, "what", what);
  out += "}\n";
}

void Codec::EncodeEnd(std::int64_t serial, std::string& out) {
  out += R"({"op":"ok")";
  Number(out, "serial", serial);
  out += "}\n";
}

}  // namespace lynxgrade::simulator
