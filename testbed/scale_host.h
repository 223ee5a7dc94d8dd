// A host process of the scale run. It runs simulated poolers: real pooler instances that exchange real
// datagrams, all on one event loop, with simulated databases behind them. It reads orders from the
// coordinator on standard input, one line of JSON each, and answers queries on standard output in the same
// way.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::testbed {

// The specification that the coordinator writes to a JSON file for its host processes.
struct ScaleSpec {
  std::string folder;               // shared files
  std::string scope;                // of read-your-writes
  std::string watermarks = "each";  // how they are exchanged: --marks
  int poolers = 0, real = 0;
  int alone = 0;   // simulated poolers with a process each: the first ones
  int owners = 0;  // dedicated lease managers, also with a process each: the next ones
  int hosts = 0;   // processes that host the others
  std::uint64_t seed = 0;
  std::vector<int> udp;        // port of each pooler, with spare ones for replacements
  std::vector<int> groups;     // number of members of each
  std::vector<int> endpoints;  // port of each database, in the order of groups
  int discovery = 0;           // port
  double statements_per_s = 0, writes_share = 0, own_reads_share = 0, roam_share = 0;
  int bytes_per_s = 0;  // byte budget of the replication traffic; 0: none
  int coalesce_ms = 0;  // batching time when the budget is short
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ScaleSpec, folder, scope, watermarks, poolers, real, alone, owners, hosts,
                                 seed, udp, groups, endpoints, discovery, statements_per_s, writes_share,
                                 own_reads_share, roam_share, bytes_per_s, coalesce_ms)

  // Index of the process that runs a simulated pooler. Those with a process each come first.
  int HostOf(int pooler) const {
    const int simulated = pooler - real;
    const int separate = alone + owners;
    return simulated < separate ? simulated : separate + (simulated - separate) % hosts;
  }
  bool IsOwner(int pooler) const { return pooler >= real + alone && pooler < real + alone + owners; }
  int processes() const { return alone + owners + hosts; }
};

// The platform configuration and the settings file of a pooler, the same for real and simulated ones.
// `others`: the poolers that are its seeds. `control`: port of the admin address, 0 for none.
std::string MakeScaleConfig(const ScaleSpec& spec, int pooler, int port);
std::string MakeScaleSettings(const ScaleSpec& spec, int pooler, const std::vector<int>& others, int control);

// One statement of the load: its session, one of the pooler's own or of a random pooler, and its class.
struct DrawnStatement {
  std::size_t session = 0;
  ClassIndex cls = 0;
};
constexpr ClassIndex kOwnRead = 1, kHistoryRead = 2, kMatchWrite = 3;  // indices in MakePlatformConfig
DrawnStatement DrawStatement(const ScaleSpec& spec, int pooler, std::mt19937_64& random);
std::string SessionName(std::size_t session);

// The newest acknowledged write of each session is in a file that all host processes map.
constexpr int kSessionsPerPooler = 64;
constexpr const char* kSessionsFile = "/sessions";

// Runs host process `host` until the coordinator ends it. Throws std::runtime_error if it cannot start.
int RunScaleHost(const std::string& spec_file, int host);

}  // namespace lynxgrade::testbed
