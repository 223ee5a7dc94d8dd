// The list of data servers as discovery tells it, and the numbers by which the module knows them.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/connection.h"
#include "routing/balancer.h"

namespace lynxgrade::discovery {

struct Endpoint {
  ListEntry entry;
  std::string uid;
  std::optional<net::Address> address;  // entries of what is gone may have none
};

struct EndpointListUpdate {
  std::int64_t revision = 0;
  bool whole = false;
  std::vector<Endpoint> targets;
};

// Turns discovery's JSON into the module's terms. Every pooler must give a data server the same number, as
// the module orders members by it: the number is a hash of the uid.
class EndpointListReader {
 public:
  explicit EndpointListReader(std::vector<std::string> zones) : zones_(std::move(zones)) {}

  // Nothing, and the reason in `wrong`, where the text is not a list at all. An entry that cannot be read is
  // left out and named in `wrong`; the others stand.
  std::optional<EndpointListUpdate> Read(std::string_view text, std::string& wrong);
  std::optional<EndpointListUpdate> Read(const nlohmann::json& json, std::string& wrong);

  ServerId IdOf(const std::string& uid);
  // Forgets the data servers that a change has ended, said to be gone or missing from a whole list, and names
  // them. To be called once the change has been taken in.
  std::vector<ServerId> Prune(const EndpointListUpdate& change);
  std::size_t known() const { return ids_.size(); }

 private:
  std::optional<Endpoint> ReadEndpoint(const nlohmann::json& json, std::string& wrong);
  ZoneIndex ZoneOf(const std::string& name);

  std::vector<std::string> zones_;
  std::map<std::string, ServerId> ids_;
  std::map<ServerId, std::string> uids_;
};

}  // namespace lynxgrade::discovery
