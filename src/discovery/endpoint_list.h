// The endpoint list: the data servers that the discovery service reports.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "net/connection.h"
#include "routing/balancer.h"

namespace lynxgrade::discovery {

struct Endpoint {
  EndpointListEntry entry;
  std::string uid;
  std::optional<net::Address> address;  // may be absent for a deleted server
};

// Why an entry of the list cannot be parsed.
struct EntryError {
  enum class Reason { kNotAnObject, kNoUid, kUnknownState, kNoGroupOrAddress };
  Reason reason = Reason::kNotAnObject;
  std::string uid;  // empty if the entry has none
};
// A phrase without a full stop.
std::string Describe(const EntryError& error);

struct EndpointListUpdate {
  std::int64_t revision = 0;
  bool complete = false;  // lists every server; otherwise only those that have changed
  std::vector<Endpoint> endpoints;
  std::optional<EntryError> rejected_entry;  // the last entry that was skipped because it is malformed
};

// Why a text is not an endpoint list.
enum class EndpointListError { kMalformedJson, kNotAnEndpointList };
// A phrase without a full stop.
std::string Describe(EndpointListError error);

// Converts the JSON of the discovery service to the types of the balancer. The id of a server is a hash of
// its uid, so that all poolers assign the same id: the balancer orders servers by id.
class EndpointListReader {
 public:
  // `zones` are the platform's zone names by index; unknown names are appended.
  explicit EndpointListReader(std::vector<std::string> zones) : zones_(std::move(zones)) {}

  tl::expected<EndpointListUpdate, EndpointListError> Read(std::string_view text);

  ServerId IdOf(const std::string& uid);
  // Removes the servers that the update marks as deleted or that are missing from a complete list, and
  // returns their ids. To be called after the update has been applied.
  std::vector<ServerId> RemoveDeleted(const EndpointListUpdate& update);
  std::size_t known_server_count() const { return ids_.size(); }

 private:
  tl::expected<Endpoint, EntryError> ReadEndpoint(const nlohmann::json& json);
  ZoneIndex ZoneOf(const std::string& name);

  std::vector<std::string> zones_;
  std::map<std::string, ServerId> ids_;   // by uid
  std::map<ServerId, std::string> uids_;  // the reverse
};

}  // namespace lynxgrade::discovery
