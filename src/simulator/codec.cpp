#include "simulator/codec.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

#include "simulator/settings_json.h"

namespace lynxgrade::simulator {
namespace {

using Json = nlohmann::json;

constexpr double kMaxExactInteger = 9e15;  // below 2^53, so a double represents each integer exactly

[[noreturn]] void ThrowFieldError(const char* field, const char* problem) {
  throw WireError(std::string("field '") + field + "' " + problem);
}

// Null if the field is absent or null.
const Json* FindField(const Json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& RequireField(const Json& object, const char* field) {
  const Json* value = FindField(object, field);
  if (value == nullptr) ThrowFieldError(field, "is missing");
  return *value;
}

std::int64_t ToInteger(const Json& value, const char* field) {
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
      ThrowFieldError(field, "is out of range");
    }
    return static_cast<std::int64_t>(number);
  }
  if (value.is_number_integer()) return value.get<std::int64_t>();
  if (value.is_number_float()) {
    const double number = value.get<double>();
    if (std::abs(number) < kMaxExactInteger && number == std::floor(number)) {
      return static_cast<std::int64_t>(number);
    }
  }
  ThrowFieldError(field, "is not a whole number");
}

std::int64_t ReadInteger(const Json& object, const char* field) {
  return ToInteger(RequireField(object, field), field);
}

std::int64_t ReadIntegerOr(const Json& object, const char* field, std::int64_t fallback) {
  const Json* value = FindField(object, field);
  return value == nullptr ? fallback : ToInteger(*value, field);
}

std::uint32_t ReadUint32(const Json& object, const char* field) {
  const std::int64_t number = ReadInteger(object, field);
  if (number < 0 || number > std::numeric_limits<std::uint32_t>::max()) {
    ThrowFieldError(field, "is out of range");
  }
  return static_cast<std::uint32_t>(number);
}

std::uint32_t ReadUint32Or(const Json& object, const char* field, std::uint32_t fallback) {
  return FindField(object, field) == nullptr ? fallback : ReadUint32(object, field);
}

double ToDouble(const Json& value, const char* field) {
  if (!value.is_number()) ThrowFieldError(field, "is not a number");
  return value.get<double>();
}

double ReadDoubleOr(const Json& object, const char* field, double fallback) {
  const Json* value = FindField(object, field);
  return value == nullptr ? fallback : ToDouble(*value, field);
}

bool ReadBoolOr(const Json& object, const char* field, bool fallback) {
  const Json* value = FindField(object, field);
  if (value == nullptr) return fallback;
  if (!value->is_boolean()) ThrowFieldError(field, "is not true or false");
  return value->get<bool>();
}

std::string ReadString(const Json& object, const char* field) {
  const Json& value = RequireField(object, field);
  if (!value.is_string()) ThrowFieldError(field, "is not a string");
  return value.get<std::string>();
}

std::string ReadStringOr(const Json& object, const char* field, const char* fallback) {
  return FindField(object, field) == nullptr ? fallback : ReadString(object, field);
}

const Json& ReadArray(const Json& object, const char* field) {
  const Json& value = RequireField(object, field);
  if (!value.is_array()) ThrowFieldError(field, "is not an array");
  return value;
}

const Json& ReadObjectOrEmpty(const Json& object, const char* field) {
  static const Json kEmptyObject = Json::object();
  const Json* value = FindField(object, field);
  if (value == nullptr) return kEmptyObject;
  if (!value->is_object()) ThrowFieldError(field, "is not an object");
  return *value;
}

Duration ReadDuration(const Json& object, const char* field) { return Duration(ReadInteger(object, field)); }

Duration ReadDurationOr(const Json& object, const char* field, Duration fallback) {
  return Duration(ReadIntegerOr(object, field, fallback.count()));
}

template <typename Value>
using NameTable = std::vector<std::pair<const char*, Value>>;

template <typename Value>
Value ParseName(const std::string& text, const NameTable<Value>& names, const char* field) {
  for (const auto& [name, value] : names) {
    if (text == name) return value;
  }
  ThrowFieldError(field, "holds an unknown word");
}

const NameTable<Outcome> kOutcomes = {{"success", Outcome::kOk},
                                      {"failure", Outcome::kError},
                                      {"overloaded", Outcome::kOverloaded},
                                      {"timed_out", Outcome::kTimeout},
                                      {"unreachable", Outcome::kUnreachable},
                                      {"broken", Outcome::kConnectionLost},
                                      {"withdrawn", Outcome::kCancelled},
                                      {"void", Outcome::kNotRun},
                                      {"absent", Outcome::kMisrouted}};
const NameTable<EndpointListKind> kEndpointListKinds = {{"Partial", EndpointListKind::kPartial},
                                                        {"Complete", EndpointListKind::kComplete},
                                                        {"Persisted", EndpointListKind::kPersisted},
                                                        {"Error", EndpointListKind::kError}};
const NameTable<Lifecycle> kLifecycles = {
    {"SERVING", Lifecycle::kServing}, {"DRAINING", Lifecycle::kDraining}, {"DELETED", Lifecycle::kDeleted}};
const NameTable<Idempotency> kIdempotencies = {{"idempotent", Idempotency::kIdempotent},
                                               {"deduplicated", Idempotency::kIdempotencyKey},
                                               {"at_most_once", Idempotency::kNotIdempotent}};
const NameTable<AccessKind> kAccessKinds = {{"mutate", AccessKind::kWrite},
                                            {"strong", AccessKind::kStrongRead},
                                            {"causal", AccessKind::kSessionRead},
                                            {"lag_bound", AccessKind::kBoundedRead},
                                            {"eventual", AccessKind::kEventualRead}};
const NameTable<PositionCheck> kPositionChecks = {
    {"off", PositionCheck::kNone}, {"bounce", PositionCheck::kReject}, {"await", PositionCheck::kWait}};
const NameTable<ListedRole> kListedRoles = {
    {"static", ListedRole::kInitial}, {"trailing", ListedRole::kDelayed}, {"off", ListedRole::kNone}};
const NameTable<LoadReporting> kLoadReportings = {{"off", LoadReporting::kNone},
                                                  {"inline", LoadReporting::kWithResponses},
                                                  {"on_probe", LoadReporting::kOnHealthCheck}};
const NameTable<bool> kPollEndpointList = {{"push", false}, {"ask", true}};
const NameTable<bool> kClientsCarryWatermarks = {{"brought", true}, {"kept", false}};
enum class KeyScope { kAll, kGroup, kZone };
const NameTable<KeyScope> kKeyScopes = {
    {"all", KeyScope::kAll}, {"cell", KeyScope::kGroup}, {"zone", KeyScope::kZone}};

RequestClass DecodeRequestClass(const Json& json) {
  RequestClass request_class;
  request_class.latency_objective = ReadDuration(json, "objective_us");
  request_class.deadline = ReadDuration(json, "deadline_us");
  request_class.idempotency = ParseName(ReadString(json, "effect"), kIdempotencies, "effect");
  const KeyScope scope = ParseName(ReadStringOr(json, "key_scope", "all"), kKeyScopes, "key_scope");
  request_class.deduplicated_everywhere = scope == KeyScope::kAll;
  request_class.deduplicated_in_zone = scope == KeyScope::kZone;
  request_class.idempotency_window = ReadDurationOr(json, "repeat_window_us", Duration{0});
  request_class.priority_weight = ReadDoubleOr(json, "worth", 1);
  request_class.late_response_value = ReadDoubleOr(json, "late_value", 0);
  return request_class;
}

void DecodeRequestClasses(const Json& settings_json, const Json& extra, Settings& settings) {
  for (const Json& json : ReadArray(settings_json, "classes")) {
    settings.classes.push_back(DecodeRequestClass(json));
  }
  if (FindField(extra, "class_read") == nullptr) return;
  const Json& access_kinds = ReadArray(extra, "class_read");
  static const Json kEmptyArray = Json::array();
  const Json& staleness_bounds =
      FindField(extra, "oldest_data_us") == nullptr ? kEmptyArray : ReadArray(extra, "oldest_data_us");
  for (std::size_t i = 0; i < settings.classes.size() && i < access_kinds.size(); ++i) {
    if (!access_kinds[i].is_string()) ThrowFieldError("class_read", "holds something other than strings");
    settings.classes[i].kind = ParseName(access_kinds[i].get<std::string>(), kAccessKinds, "class_read");
    if (i < staleness_bounds.size()) {
      settings.classes[i].staleness_bound = Duration(ToInteger(staleness_bounds[i], "oldest_data_us"));
    }
  }
}

}  // namespace

Settings DecodeSettings(const Json& settings_json) {
  Settings settings;
  const Json& extra = ReadObjectOrEmpty(settings_json, "extra");
  const Json& limits = ReadObjectOrEmpty(settings_json, "limits");
  const Json& rules = ReadObjectOrEmpty(settings_json, "rules");
  const Json& tariffs = ReadObjectOrEmpty(settings_json, "tariffs");
  DecodeRequestClasses(settings_json, extra, settings);
  if (FindField(settings_json, "customers") != nullptr) {
    for (const Json& json : ReadArray(settings_json, "customers")) {
      settings.tenants.push_back({ReadDoubleOr(json, "quota_per_s", 0), ReadDoubleOr(json, "share", 0)});
    }
  }
  settings.instance_index = ReadUint32Or(settings_json, "me", 0);
  settings.fleet_size = ReadUint32Or(settings_json, "peers_total", 0);
  settings.zone = ReadUint32Or(settings_json, "zone", 0);
  settings.tick = ReadDurationOr(settings_json, "tick_us", settings.tick);
  settings.poll_endpoint_list =
      ParseName(ReadStringOr(settings_json, "discovery", "push"), kPollEndpointList, "discovery");
  settings.over_share_priority_weight = ReadDoubleOr(settings_json, "over_share_worth", 1);
  settings.load_reporting = ParseName(
      ReadStringOr(ReadObjectOrEmpty(settings_json, "load_report"), "how", "off"), kLoadReportings, "how");
  settings.listed_role = ParseName(ReadStringOr(extra, "list_role", "off"), kListedRoles, "list_role");
  settings.position_check =
      ParseName(ReadStringOr(extra, "server_checks", "off"), kPositionChecks, "server_checks");
  settings.clients_carry_watermarks =
      ParseName(ReadStringOr(extra, "session_marks", "brought"), kClientsCarryWatermarks, "session_marks");
  settings.replica_wait_limit = ReadDurationOr(extra, "patience_us", Duration{0});
  settings.responses_report_position = ReadBoolOr(extra, "tells_position", false);
  settings.may_cancel = ReadBoolOr(limits, "may_cancel", false);
  settings.may_health_check = ReadBoolOr(limits, "may_probe", false);
  settings.may_hedge = ReadBoolOr(limits, "may_duplicate", false);
  settings.clients_honor_retry_after = ReadBoolOr(limits, "retry_after", false);
  settings.max_retry_after = ReadDurationOr(limits, "max_retry_after_us", Duration{0});
  settings.max_attempts = ReadUint32Or(limits, "max_attempts", 1);
  settings.connect_timeout = ReadDurationOr(limits, "connect_timeout_us", settings.connect_timeout);
  settings.response_slack = ReadDurationOr(rules, "answer_slack_us", Duration{0});
  settings.drain_grace = ReadDurationOr(rules, "drain_grace_us", Duration{0});
  settings.unlisted_stay_usable = ReadBoolOr(rules, "dropped_stay_open", false);
  if (FindField(rules, "ask_within_us") != nullptr) {
    settings.max_poll_interval = ReadDuration(rules, "ask_within_us");
  }
  settings.initial_capacity = ReadDoubleOr(rules, "start_capacity", 1);
  settings.slow_start_duration = ReadDurationOr(rules, "cold_us", Duration{0});
  settings.overload_factor = ReadDoubleOr(rules, "overload_factor", 1);
  settings.overload_duration = ReadDurationOr(rules, "fall_us", Duration{0});
  settings.health_check_price = ReadDoubleOr(tariffs, "probe", 0);
  settings.cross_zone_price = ReadDoubleOr(tariffs, "cross_zone", 0);
  settings.wasted_work_price = ReadDoubleOr(tariffs, "waste", 0);
  settings.late_failure_price = ReadDoubleOr(tariffs, "late_fail", 0);
  return settings;
}

std::vector<std::string> DecodeLoadReportColumns(const Json& settings_json) {
  std::vector<std::string> columns;
  const Json& report = ReadObjectOrEmpty(settings_json, "load_report");
  if (FindField(report, "columns") == nullptr) return columns;
  for (const Json& column : ReadArray(report, "columns")) {
    if (!column.is_string()) ThrowFieldError("columns", "holds something other than strings");
    columns.push_back(column.get<std::string>());
  }
  return columns;
}

void StoreLoadReportValue(LoadReport& report, const std::string& column, double value,
                          Duration position_origin) {
  if (column == "x0") {
    report.position =
        TimePoint(position_origin + Duration(static_cast<std::int64_t>(std::floor(value * 1e6))));
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

std::vector<EndpointListEntry> DecodeListEntries(const Json& json) {
  std::vector<EndpointListEntry> entries;
  for (const Json& item : ReadArray(json, "records")) {
    if (!item.is_object()) ThrowFieldError("records", "holds something other than objects");
    EndpointListEntry entry;
    entry.server = ServerId(ReadUint32(item, "member"));
    entry.group = GroupId(ReadIntegerOr(item, "set", 0));
    entry.zone = ReadUint32Or(item, "az", 0);
    entry.lifecycle = ParseName(ReadString(item, "lifecycle"), kLifecycles, "lifecycle");
    entry.primary = ReadDoubleOr(item, "writer", 0) > 0;
    entry.weight = ReadDoubleOr(item, "heft", 1);
    const std::int64_t started = ReadIntegerOr(item, "came_up_us", 0);
    if (started != 0) entry.started = TimePoint(Duration(started));
    entries.push_back(entry);
  }
  return entries;
}

constexpr std::int64_t kRetryBit = 2;  // in "state_bits"

RequestEvent DecodeRequest(const Json& json) {
  RequestEvent event;
  event.id = RequestId(ReadUint32(json, "req"));
  event.group = GroupId(ReadInteger(json, "partition_no"));
  event.request_class = ReadUint32(json, "tier_class");
  event.tenant = ReadUint32Or(json, "team", 0);
  event.session = ReadStringOr(json, "client_key", "");
  event.is_retry = (ReadIntegerOr(json, "state_bits", 0) & kRetryBit) != 0;
  event.time_left = ReadDuration(json, "time_left_us");
  if (const Json* value = FindField(json, "wrote_ms_ago")) {
    const double milliseconds = ToDouble(*value, "wrote_ms_ago");
    if (milliseconds > 0) event.time_since_write = Duration(static_cast<std::int64_t>(milliseconds * 1000));
  }
  return event;
}

std::optional<LoadReport> DecodeLoadReport(const Json& json, Duration position_origin,
                                           const std::vector<std::string>& columns) {
  const Json* row = FindField(json, "health_info");
  if (row == nullptr) return std::nullopt;
  if (!row->is_array()) ThrowFieldError("health_info", "is not an array");
  LoadReport report;
  for (std::size_t i = 0; i < row->size() && i < columns.size(); ++i) {
    if ((*row)[i].is_null()) continue;
    StoreLoadReportValue(report, columns[i], ToDouble((*row)[i], "health_info"), position_origin);
  }
  return report;
}

constexpr std::int64_t kMaxStand = std::int64_t{1} << 53;  // doubles represent integers exactly up to here

// "stand" is four times the log position in milliseconds plus the role: 1 for a primary, 2 for a replica, 0
// if the role is not reported. A position of 0 means that none is reported.
ResponseMetadata DecodeResponseMetadata(const Json& json, Duration position_origin) {
  ResponseMetadata metadata;
  const std::int64_t stand = ReadIntegerOr(json, "stand", 0);
  if (stand < 0 || stand > kMaxStand) ThrowFieldError("stand", "is out of range");
  if (stand % 4 == 1) metadata.primary = true;
  if (stand % 4 == 2) metadata.primary = false;
  if (stand / 4 > 0) metadata.position = TimePoint(position_origin + Duration(stand / 4 * 1000));
  return metadata;
}

AttemptEndedEvent DecodeAttemptEnd(const Json& json, Duration position_origin,
                                   const std::vector<std::string>& columns) {
  AttemptEndedEvent event;
  event.id = RequestId(ReadUint32(json, "req"));
  event.attempt = ReadUint32(json, "shot");
  event.server = ServerId(ReadUint32(json, "member"));
  event.outcome = ParseName(ReadString(json, "code"), kOutcomes, "code");
  event.elapsed = ReadDurationOr(json, "time_taken_us", Duration{0});
  event.request_done = ReadBoolOr(json, "complete", false);
  event.metadata = DecodeResponseMetadata(json, position_origin);
  event.report = DecodeLoadReport(json, position_origin, columns);
  return event;
}

// An unknown result code leaves the default outcome, Outcome::kError.
HealthCheckEvent DecodeHealthCheck(const Json& json, Duration position_origin,
                                   const std::vector<std::string>& columns) {
  HealthCheckEvent event;
  event.server = ServerId(ReadUint32(json, "member"));
  const std::string code = ReadString(json, "code");
  for (const auto& [name, outcome] : kOutcomes) {
    if (code == name) event.outcome = outcome;
  }
  event.elapsed = ReadDurationOr(json, "time_taken_us", Duration{0});
  event.report = DecodeLoadReport(json, position_origin, columns);
  return event;
}

}  // namespace

Codec::ReportFormat& Codec::ReportFormatOf(InstanceId instance) {
  const auto it = std::lower_bound(report_formats_.begin(), report_formats_.end(), instance,
                                   [](const auto& item, InstanceId key) { return item.first < key; });
  if (it != report_formats_.end() && it->first == instance) return it->second;
  return report_formats_.insert(it, {instance, ReportFormat{}})->second;
}

StartInstance Codec::DecodeStartInstance(const Json& json, InstanceId instance) {
  const Json& seed = RequireField(json, "random_seed");
  if (!seed.is_number_integer()) ThrowFieldError("random_seed", "is not a whole number");
  RequireField(json, "facts");
  const Json& facts = ReadObjectOrEmpty(json, "facts");
  StartInstance start{instance, seed.get<std::uint64_t>(), DecodeSettings(facts), Duration{0}, {}};
  start.position_origin = ReadDurationOr(ReadObjectOrEmpty(facts, "extra"), "zero_us", Duration{0});
  start.report_columns = DecodeLoadReportColumns(facts);
  ReportFormatOf(instance) = ReportFormat{start.position_origin, start.report_columns};
  return start;
}

// Decodes an event of the balancer; `op` names its kind.
Event Codec::DecodeEvent(const std::string& op, const Json& json, const ReportFormat& report_format) {
  if (op == "incoming") return DecodeRequest(json);
  if (op == "completed") return DecodeAttemptEnd(json, report_format.position_origin, report_format.columns);
  if (op == "pong") return DecodeHealthCheck(json, report_format.position_origin, report_format.columns);
  if (op == "fired") {
    const Json& ctx = RequireField(json, "ctx");
    if (!ctx.is_number_integer()) ThrowFieldError("ctx", "is not a whole number");
    return TimerEvent{TimerId(ctx.get<std::uint64_t>())};
  }
  if (op == "gone") return ClientDisconnectedEvent{RequestId(ReadUint32(json, "req"))};
  if (op == "memo") return PeerEvent{ReadUint32(json, "by"), ReadString(json, "msg")};
  if (op == "head_received") {
    return ResponseStartedEvent{RequestId(ReadUint32(json, "req")), ReadUint32(json, "shot"),
                                ServerId(ReadUint32(json, "member")),
                                ReadDurationOr(json, "time_taken_us", Duration{0})};
  }
  throw WireError("unknown event");
}

Line Codec::DecodeInstanceLine(const std::string& op, const Json& json, InstanceId instance) {
  if (op == "spawn") return DecodeStartInstance(json, instance);
  if (op == "teardown") return StopInstance{instance};
  if (op == "directory_update") {
    const EndpointListKind kind = ParseName(ReadString(json, "how"), kEndpointListKinds, "how");
    const bool failed = kind == EndpointListKind::kError;
    return ListUpdate{instance, kind, failed ? -1 : static_cast<int>(ReadUint32(json, "page"))};
  }
  return InstanceEvent{instance, DecodeEvent(op, json, ReportFormatOf(instance))};
}

Line Codec::Decode(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw WireError("malformed JSON");
  if (!json.is_object()) throw WireError("not a JSON object");
  const std::string op = ReadString(json, "op");
  if (op == "tick")
    return BatchStart{TimePoint(ReadDuration(json, "sim_time_us")), ReadInteger(json, "serial")};
  if (op == "eob") return BatchEnd{};
  if (op == "table") return ListPage{static_cast<int>(ReadUint32(json, "page")), DecodeListEntries(json)};
  try {
    return DecodeInstanceLine(op, json, static_cast<InstanceId>(ReadUint32(json, "who")));
  } catch (const WireError& error) {
    throw WireError("event '" + op.substr(0, 40) + "': " + error.what());
  }
}

namespace {

// This and AppendString append a field to an object that has one already.
void AppendInteger(std::string& out, const char* field, std::int64_t value) {
  out += ",\"";
  out += field;
  out += "\":";
  out += std::to_string(value);
}

// Starts a JSON object with the name of the operation and the instance.
void BeginLine(std::string& out, const char* op, InstanceId instance) {
  out += R"({"op":")";
  out += op;
  out += '"';
  AppendInteger(out, "who", instance);
}

void AppendString(std::string& out, const char* field, std::string_view text) {
  out += ",\"";
  out += field;
  out += "\":";
  out += Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

template <typename Id>
std::int64_t ToInt64(Id id) {
  return static_cast<std::int64_t>(id);
}

// Appends the line of an action, without its end.
struct ActionEncoder {
  InstanceId instance;
  std::string& out;

  void operator()(const StartAttempt& action) const {
    BeginLine(out, "pass_on", instance);
    AppendInteger(out, "req", ToInt64(action.id));
    AppendInteger(out, "member", ToInt64(action.server));
    if (action.timeout.count() > 0) AppendInteger(out, "limit_us", action.timeout.count());
  }
  void operator()(const Reject& action) const {
    BeginLine(out, "refuse", instance);
    AppendInteger(out, "req", ToInt64(action.id));
    if (action.retry_after.count() > 0) AppendInteger(out, "hold_off_us", action.retry_after.count());
  }
  void operator()(const Fail& action) const {
    BeginLine(out, "report_failure", instance);
    AppendInteger(out, "req", ToInt64(action.id));
  }
  void operator()(const Cancel& action) const {
    BeginLine(out, "retract", instance);
    AppendInteger(out, "req", ToInt64(action.id));
    AppendInteger(out, "shot", action.attempt);
  }
  void operator()(const SetTimer& action) const {
    BeginLine(out, "notify_me", instance);
    AppendInteger(out, "sleep_for_us", action.delay.count());
    AppendInteger(out, "ctx", ToInt64(action.id));
  }
  void operator()(const StartHealthCheck& action) const {
    BeginLine(out, "inspect", instance);
    AppendInteger(out, "member", ToInt64(action.server));
  }
  void operator()(const WatchEndpointList& action) const {
    BeginLine(out, "subscribe", instance);
    out += action.enabled ? ",\"on\":true" : ",\"on\":false";
  }
  void operator()(const FetchEndpointList&) const { BeginLine(out, "read_list", instance); }
  void operator()(const SendToPeers& action) const {
    BeginLine(out, "broadcast_to", instance);
    if (action.peer) {
      AppendInteger(out, "addressee", *action.peer);
    } else {
      AppendString(out, "addressee", "*");
    }
    AppendString(out, "msg", action.message);
  }
  void operator()(const CloseIdleConnections& action) const {
    BeginLine(out, "close_idle", instance);
    AppendInteger(out, "member", ToInt64(action.server));
  }
  void operator()(const Log& action) const {
    BeginLine(out, "debug", instance);
    AppendString(out, "what", action.text);
  }
};

}  // namespace

void Codec::EncodeAction(InstanceId instance, const Action& action, std::string& out) {
  std::visit(ActionEncoder{instance, out}, action);
  out += "}\n";
}

void Codec::EncodeInternalError(InstanceId instance, std::string_view message, std::string& out) {
  BeginLine(out, "internal_error", instance);
  AppendString(out, "what", message);
  out += "}\n";
}

void Codec::EncodeBatchEnd(std::int64_t serial, std::string& out) {
  out += R"({"op":"ok")";
  AppendInteger(out, "serial", serial);
  out += "}\n";
}

}  // namespace lynxgrade::simulator
