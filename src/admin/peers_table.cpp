#include "admin/peers_table.h"

#include <spdlog/fmt/fmt.h>

#include <cstdint>
#include <nlohmann/json.hpp>

namespace lynxgrade::admin {
namespace {

using Json = nlohmann::json;

std::string StringField(const Json& json, const char* field) { return json.at(field).get<std::string>(); }

// The line about the instance that was queried: its quorum state, its view and its local health.
std::string FormatSummary(const Json& json) {
  const Json& proven = json.at("proven_s");
  return fmt::format(
      "instance {} of {}: {} for {:.1f} s, {}; view {} with {} instances; doubts itself {} of {}\n",
      StringField(json, "name"), json.at("size").get<int>(), StringField(json, "part"),
      json.at("for_s").get<double>(),
      proven.is_null() ? std::string("nothing proven")
                       : fmt::format("proven for {:.1f} s more", proven.get<double>()),
      StringField(json, "view"), json.at("in_view").get<int>(), json.at("doubt").get<int>(),
      json.at("most_doubt").get<int>());
}

// The line about the session leases.
std::string FormatLeases(const Json& leases) {
  const auto count = [&leases](const char* field) { return leases.at(field).get<std::uint64_t>(); };
  std::string managers = "all own";
  if (leases.at("owner").get<bool>()) {
    managers = "an owner set aside";
  } else if (count("owners_set_aside") > 0) {
    managers = fmt::format("{} owners set aside", count("owners_set_aside"));
  }
  return fmt::format(
      "directory: {}; holds {} sessions, owns {}; {} asks, {} reads not to ask, {} of them over the "
      "budget of bytes\n",
      managers, count("holds"), count("entries"), count("asks"), count("capped"), count("over_budget"));
}

template <typename... Cells>
std::string FormatRow(const Cells&... cells) {
  return fmt::format("{:<16} {:<22} {:<8} {:>9} {:>9}  {:<5} {}\n", cells...);
}

std::string FormatPeer(const Json& peer) {
  std::string differences;
  for (const Json& name : peer.at("differs")) {
    differences += (differences.empty() ? "" : ", ") + name.get<std::string>();
  }
  const Json& heard = peer.at("heard_s");
  return FormatRow(StringField(peer, "name"), StringField(peer, "address"), StringField(peer, "state"),
                   fmt::format("{:.1f}", peer.at("for_s").get<double>()),
                   heard.is_null() ? std::string("never") : fmt::format("{:.1f}", heard.get<double>()),
                   peer.at("same_view").get<bool>() ? "same" : "other", differences);
}

std::string FormatTable(const Json& json) {
  std::string table = FormatSummary(json);
  if (json.contains("directory")) table += FormatLeases(json.at("directory"));
  table += FormatRow("name", "address", "state", "for s", "heard s", "view", "differs in");
  for (const Json& peer : json.at("peers")) table += FormatPeer(peer);
  for (const Json& seed : json.at("unheard")) {
    table += FormatRow("?", seed.get<std::string>(), "unheard", "", "never", "", "");
  }
  return table;
}

}  // namespace

tl::expected<std::string, AdminError> FormatPeersTable(std::string_view response) {
  const Json json = Json::parse(response, nullptr, false);
  if (!json.is_object()) return tl::unexpected(AdminError{AdminErrorCode::kResponseMalformed, {}, {}});
  try {
    if (json.contains("error")) {
      return tl::unexpected(AdminError{AdminErrorCode::kRejected, {}, json.value("error", std::string())});
    }
    return FormatTable(json);
  } catch (const Json::exception&) {
    return tl::unexpected(AdminError{AdminErrorCode::kResponseIncompatible, {}, {}});
  }
}

}  // namespace lynxgrade::admin
