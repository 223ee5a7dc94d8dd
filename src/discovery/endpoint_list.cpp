#include "discovery/endpoint_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace lynxgrade::discovery {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMaxUnixMs = std::int64_t{1} << 50;  // later times would overflow in microseconds
constexpr std::uint32_t kFnvOffsetBasis = 2166136261u;
constexpr std::uint32_t kFnvPrime = 16777619u;

// Null if the field is absent or null.
const Json* FindField(const Json& object, const char* name) {
  const auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

std::optional<std::int64_t> ReadInteger(const Json& object, const char* name) {
  const Json* value = FindField(object, name);
  if (value == nullptr || !value->is_number()) return std::nullopt;
  return value->get<std::int64_t>();
}

// Empty if the field is absent or not a string.
std::string ReadString(const Json& object, const char* name) {
  const Json* value = FindField(object, name);
  return value != nullptr && value->is_string() ? value->get<std::string>() : std::string();
}

std::optional<Lifecycle> ParseLifecycle(std::string_view state) {
  if (state == "Ready") return Lifecycle::kServing;
  if (state == "Terminating") return Lifecycle::kDraining;
  if (state == "Gone") return Lifecycle::kDeleted;
  return std::nullopt;
}

std::uint32_t Fnv1a(std::string_view text) {
  std::uint32_t hash = kFnvOffsetBasis;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash;
}

// Absent or malformed optional fields keep their defaults.
void ReadOptionalFields(const Json& json, EndpointListEntry& entry) {
  const Json* weight = FindField(json, "capacity_hint");
  if (weight != nullptr && weight->is_number()) entry.weight = weight->get<double>();
  entry.primary = ReadString(json, "replication") == "primary";
  const std::int64_t started_ms = ReadInteger(json, "boot_ms").value_or(0);
  if (started_ms > 0 && started_ms <= kMaxUnixMs) {
    entry.started = TimePoint(std::chrono::milliseconds(started_ms));
  }
}

}  // namespace

std::string Describe(const EntryError& error) {
  switch (error.reason) {
    case EntryError::Reason::kNotAnObject:
      return "an entry is not an object";
    case EntryError::Reason::kNoUid:
      return "an entry has no uid";
    case EntryError::Reason::kUnknownState:
      return "entry " + error.uid + " has an unknown state";
    case EntryError::Reason::kNoGroupOrAddress:
      return "entry " + error.uid + " has no group or no address";
  }
  return "an entry is malformed";
}

std::string Describe(EndpointListError error) {
  return error == EndpointListError::kMalformedJson ? "malformed JSON" : "not an endpoint list";
}

ServerId EndpointListReader::IdOf(const std::string& uid) {
  const auto known = ids_.find(uid);
  if (known != ids_.end()) return known->second;
  std::uint32_t number = Fnv1a(uid);
  while (uids_.contains(ServerId(number))) ++number;
  uids_.emplace(ServerId(number), uid);
  ids_.emplace(uid, ServerId(number));
  return ServerId(number);
}

std::vector<ServerId> EndpointListReader::RemoveDeleted(const EndpointListUpdate& update) {
  std::set<ServerId> remaining;
  std::set<ServerId> removed;
  for (const Endpoint& endpoint : update.endpoints) {
    const bool deleted = endpoint.entry.lifecycle == Lifecycle::kDeleted;
    (deleted ? removed : remaining).insert(endpoint.entry.server);
  }
  if (update.complete) {
    for (const auto& [server, uid] : uids_) {
      if (!remaining.contains(server)) removed.insert(server);
    }
  }
  for (const ServerId server : removed) {
    const auto it = uids_.find(server);
    if (it == uids_.end()) continue;
    ids_.erase(it->second);
    uids_.erase(it);
  }
  return {removed.begin(), removed.end()};
}

ZoneIndex EndpointListReader::ZoneOf(const std::string& name) {
  const auto it = std::ranges::find(zones_, name);
  const auto index = static_cast<ZoneIndex>(it - zones_.begin());
  if (it == zones_.end()) zones_.push_back(name);
  return index;
}

tl::expected<Endpoint, EntryError> EndpointListReader::ReadEndpoint(const Json& json) {
  if (!json.is_object()) return tl::unexpected(EntryError{EntryError::Reason::kNotAnObject, {}});
  Endpoint endpoint;
  endpoint.uid = ReadString(json, "uid");
  if (endpoint.uid.empty()) return tl::unexpected(EntryError{EntryError::Reason::kNoUid, {}});
  const std::optional<Lifecycle> lifecycle = ParseLifecycle(ReadString(json, "state"));
  if (!lifecycle) return tl::unexpected(EntryError{EntryError::Reason::kUnknownState, endpoint.uid});
  const auto group = ReadInteger(json, "pod_group");
  endpoint.address = net::ParseAddress(ReadString(json, "endpoint"));
  if (lifecycle != Lifecycle::kDeleted && (!group || !endpoint.address)) {
    return tl::unexpected(EntryError{EntryError::Reason::kNoGroupOrAddress, endpoint.uid});
  }
  endpoint.entry.lifecycle = *lifecycle;
  endpoint.entry.group = GroupId(group.value_or(0));
  endpoint.entry.zone = ZoneOf(ReadString(json, "az"));
  ReadOptionalFields(json, endpoint.entry);
  endpoint.entry.server = IdOf(endpoint.uid);
  return endpoint;
}

tl::expected<EndpointListUpdate, EndpointListError> EndpointListReader::Read(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return tl::unexpected(EndpointListError::kMalformedJson);
  if (!json.is_object()) return tl::unexpected(EndpointListError::kNotAnEndpointList);
  const Json* targets = FindField(json, "targets");
  const Json* all = FindField(json, "all");
  const auto revision = ReadInteger(json, "rev");
  if (targets == nullptr || !targets->is_array() || !revision || all == nullptr || !all->is_boolean()) {
    return tl::unexpected(EndpointListError::kNotAnEndpointList);
  }
  EndpointListUpdate update{*revision, all->get<bool>(), {}, std::nullopt};
  for (const Json& item : *targets) {
    if (auto endpoint = ReadEndpoint(item)) {
      update.endpoints.push_back(std::move(*endpoint));
    } else {
      update.rejected_entry = std::move(endpoint.error());
    }
  }
  return update;
}

}  // namespace lynxgrade::discovery
