#include "discovery/endpoint_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace lynxgrade::discovery {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMostMs = std::int64_t{1} << 50;  // of a Unix time: later ones would overflow in us

const Json* Find(const Json& object, const char* name) {
  const auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

std::optional<std::int64_t> Whole(const Json& object, const char* name) {
  const Json* value = Find(object, name);
  if (value == nullptr || !value->is_number()) return std::nullopt;
  return value->get<std::int64_t>();
}

std::string Text(const Json& object, const char* name) {
  const Json* value = Find(object, name);
  return value != nullptr && value->is_string() ? value->get<std::string>() : std::string();
}

std::uint32_t Hash(std::string_view text) {  // FNV-1a
  std::uint32_t hash = 2166136261u;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  return hash;
}

}  // namespace

ServerId EndpointListReader::IdOf(const std::string& uid) {
  const auto known = ids_.find(uid);
  if (known != ids_.end()) return known->second;
  std::uint32_t number = Hash(uid);
  while (uids_.contains(ServerId(number))) ++number;
  uids_.emplace(ServerId(number), uid);
  ids_.emplace(uid, ServerId(number));
  return ServerId(number);
}

std::vector<ServerId> EndpointListReader::Prune(const EndpointListUpdate& change) {
  std::set<ServerId> stay, end;
  for (const Endpoint& target : change.targets) {
    (target.entry.lifecycle == Lifecycle::kDeleted ? end : stay).insert(target.entry.server);
  }
  if (change.whole) {
    for (const auto& [server, uid] : uids_) {
      if (!stay.contains(server)) end.insert(server);
    }
  }
  for (const ServerId server : end) {
    const auto it = uids_.find(server);
    if (it == uids_.end()) continue;
    ids_.erase(it->second);
    uids_.erase(it);
  }
  return {end.begin(), end.end()};
}

ZoneIndex EndpointListReader::ZoneOf(const std::string& name) {
  const auto it = std::ranges::find(zones_, name);
  if (it == zones_.end()) zones_.push_back(name);
  return static_cast<ZoneIndex>(std::ranges::find(zones_, name) - zones_.begin());
}

std::optional<Endpoint> EndpointListReader::ReadEndpoint(const Json& json, std::string& wrong) {
  if (!json.is_object()) {
    wrong = "an entry is not an object";
    return std::nullopt;
  }
  Endpoint target;
  target.uid = Text(json, "uid");
  if (target.uid.empty()) {
    wrong = "an entry has no uid";
    return std::nullopt;
  }
  const std::string state = Text(json, "state");
  if (state == "Terminating") {
    target.entry.lifecycle = Lifecycle::kDraining;
  } else if (state == "Gone") {
    target.entry.lifecycle = Lifecycle::kDeleted;
  } else if (state != "Ready") {
    wrong = "entry " + target.uid + " has an unknown state";
    return std::nullopt;
  }
  const auto group = Whole(json, "pod_group");
  target.address = net::ParseAddress(Text(json, "endpoint"));
  if (target.entry.lifecycle != Lifecycle::kDeleted && (!group || !target.address)) {
    wrong = "entry " + target.uid + " has no group or no address";
    return std::nullopt;
  }
  target.entry.group = GroupId(group.value_or(0));
  target.entry.zone = ZoneOf(Text(json, "az"));
  const Json* weight = Find(json, "capacity_hint");
  if (weight != nullptr && weight->is_number()) target.entry.weight = weight->get<double>();
  target.entry.primary = Text(json, "replication") == "primary";
  const std::int64_t started = Whole(json, "boot_ms").value_or(0);
  if (started > 0 && started <= kMostMs) target.entry.started = TimePoint(std::chrono::milliseconds(started));
  target.entry.server = IdOf(target.uid);
  return target;
}

std::optional<EndpointListUpdate> EndpointListReader::Read(std::string_view text, std::string& wrong) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) {
    wrong = "malformed JSON";
    return std::nullopt;
  }
  return Read(json, wrong);
}

std::optional<EndpointListUpdate> EndpointListReader::Read(const Json& json, std::string& wrong) {
  const Json* targets = json.is_object() ? Find(json, "targets") : nullptr;
  const auto revision = json.is_object() ? Whole(json, "rev") : std::nullopt;
  const Json* all = json.is_object() ? Find(json, "all") : nullptr;
  if (targets == nullptr || !targets->is_array() || !revision || all == nullptr || !all->is_boolean()) {
    wrong = "not a list of data servers";
    return std::nullopt;
  }
  EndpointListUpdate change{*revision, all->get<bool>(), {}};
  for (const Json& item : *targets) {
    std::optional<Endpoint> target = ReadEndpoint(item, wrong);
    if (target) change.targets.push_back(std::move(*target));
  }
  return change;
}

}  // namespace lynxgrade::discovery
