// A process that hosts hollow poolers: the product's own instances on its own loop and real datagrams, before
// databases that answer from a table. It does what the scale run tells it, a line of JSON at a time, and
// answers each question with one.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::testbed {

// What the coordinator and its hosts agree on at the start; written to a file as JSON.
struct ScaleSpec {
  std::string folder;               // for files of all
  std::string scope;                // of the sessions' guarantee
  std::string watermarks = "each";  // how they are exchanged
  int poolers = 0, real = 0;
  int alone = 0;   // hollow poolers with a process of their own: the first
  int owners = 0;  // the next, likewise: set aside for the directory
  int hosts = 0;   // processes for the others
  std::uint64_t seed = 0;
  std::vector<int> udp;        // of the i-th pooler; more than there are: for those that replace others
  std::vector<int> groups;     // members of each
  std::vector<int> endpoints;  // port of each database, in the order of groups
  int discovery = 0;           // port
  double statements_per_s = 0, writes_share = 0, own_reads_share = 0, roam_share = 0;
  int bytes_per_s = 0;  // budget of the exchange, by the settings; 0: none
  int coalesce_ms = 0;  // while that is short
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ScaleSpec, folder, scope, watermarks, poolers, real, alone, owners, hosts,
                                 seed, udp, groups, endpoints, discovery, statements_per_s, writes_share,
                                 own_reads_share, roam_share, bytes_per_s, coalesce_ms)

  // The processes of those alone come first.
  int HostOf(int pooler) const {
    const int hollow = pooler - real;
    const int apart = alone + owners;
    return hollow < apart ? hollow : apart + (hollow - apart) % hosts;
  }
  bool IsOwner(int pooler) const { return pooler >= real + alone && pooler < real + alone + owners; }
  int processes() const { return alone + owners + hosts; }
};

// The two files of a pooler, alike for real and hollow ones. `others`: whose addresses it is given.
std::string ScaleConfigOf(const ScaleSpec& spec, int pooler, int port);
std::string ScaleSettingsOf(const ScaleSpec& spec, int pooler, const std::vector<int>& others, int control);

// One statement of the load, drawn by its shares: to a session of the pooler's own, or of one that roams.
struct Drawn {
  std::size_t session = 0;
  ClassIndex cls = 0;
};
constexpr ClassIndex kOwnRead = 1, kHistoryRead = 2, kMatchWrite = 3;  // as ConfigFor orders them
Drawn Draw(const ScaleSpec& spec, int pooler, std::mt19937_64& random);
std::string NameOfSession(std::size_t session);

// Sessions that are written and read, kept in a file that all hosts map; a number of them a pooler.
constexpr int kSessionsEach = 64;
constexpr const char* kSessionsFile = "/sessions";

int RunHost(const std::string& spec_file, int host);

}  // namespace lynxgrade::testbed
