#include "settings/program_settings.h"

#include <toml++/toml.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <stdexcept>

namespace lynxgrade {
namespace {

std::string Where(const toml::node& node) {
  return "line " + std::to_string(node.source().begin.line) + ", column " +
         std::to_string(node.source().begin.column);
}

[[noreturn]] void Wrong(const toml::node& node, const std::string& what) {
  throw std::runtime_error(Where(node) + ": " + what);
}

// One table whose keys are all to be asked for: what is left over at the end is unknown.
class Section {
 public:
  Section(const toml::table& root, std::string name) : name_(std::move(name)) {
    const toml::node* node = root.get(name_);
    if (node == nullptr) return;
    table_ = node->as_table();
    if (table_ == nullptr) Wrong(*node, "'" + name_ + "' is not a table");
  }

  void Text(const char* key, std::string& value) {
    if (const toml::node* node = Find(key)) {
      if (!node->is_string()) Wrong(*node, Named(key) + " is not a text");
      value = node->as_string()->get();
    }
  }

  void Flag(const char* key, bool& value) {
    if (const toml::node* node = Find(key)) {
      if (!node->is_boolean()) Wrong(*node, Named(key) + " is not true or false");
      value = node->as_boolean()->get();
    }
  }

  std::optional<std::int64_t> Whole(const char* key, std::int64_t least, std::int64_t most) {
    const toml::node* node = Find(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_integer()) Wrong(*node, Named(key) + " is not a whole number");
    const std::int64_t value = node->as_integer()->get();
    if (value < least || value > most) {
      Wrong(*node, Named(key) + " lies outside " + std::to_string(least) + " to " + std::to_string(most));
    }
    return value;
  }

  void Size(const char* key, std::size_t& value, std::int64_t least, std::int64_t most,
            std::size_t unit = 1) {
    if (const auto whole = Whole(key, least, most)) value = static_cast<std::size_t>(*whole) * unit;
  }

  void TimePoint(const char* key, Duration& value, std::int64_t least, std::int64_t most, Duration unit) {
    if (const auto whole = Whole(key, least, most)) value = unit * *whole;
  }

  template <typename Value>
  void Word(const char* key, Value& value, const std::vector<std::pair<const char*, Value>>& words) {
    const toml::node* node = Find(key);
    if (node == nullptr) return;
    std::string known;
    for (const auto& [word, meaning] : words) {
      if (node->is_string() && node->as_string()->get() == word) {
        value = meaning;
        return;
      }
      known += (known.empty() ? "\"" : " or \"") + std::string(word) + "\"";
    }
    Wrong(*node, Named(key) + " is not " + known);
  }

  std::optional<net::Address> Address(const char* key) {
    std::string text;
    Text(key, text);
    if (text.empty()) return std::nullopt;
    return AddressIn(*Find(key), key, text);
  }

  void Addresses(const char* key, std::vector<net::Address>& value) {
    const toml::node* node = Find(key);
    if (node == nullptr) return;
    if (!node->is_array()) Wrong(*node, Named(key) + " is not a list");
    for (const toml::node& item : *node->as_array()) {
      if (!item.is_string()) Wrong(item, Named(key) + " holds something other than texts");
      value.push_back(AddressIn(item, key, item.as_string()->get()));
    }
  }

  // To be called last.
  void Close() const {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_) {
      const std::string name(key.str());
      if (std::find(asked_.begin(), asked_.end(), name) == asked_.end()) {
        throw std::runtime_error("line " + std::to_string(key.source().begin.line) + ", column " +
                                 std::to_string(key.source().begin.column) + ": " + Named(name.c_str()) +
                                 " is not known");
      }
    }
  }

  // For what only the values together show.
  [[noreturn]] void Reject(const char* key, const std::string& what) {
    const toml::node* node = Find(key);
    const std::string where = node != nullptr ? Where(*node) : table_ != nullptr ? Where(*table_) : "line 1";
    throw std::runtime_error(where + ": " + Named(key) + " " + what);
  }

 private:
  std::string Named(const char* key) const { return "'" + name_ + "." + key + "'"; }

  net::Address AddressIn(const toml::node& node, const char* key, const std::string& text) const {
    const auto address = net::ParseAddress(text);
    if (!address) Wrong(node, Named(key) + ": \"" + text + "\" is not an address and a port");
    return *address;
  }

  const toml::node* Find(const char* key) {
    asked_.emplace_back(key);
    return table_ == nullptr ? nullptr : table_->get(key);
  }

  std::string name_;
  const toml::table* table_ = nullptr;
  std::vector<std::string> asked_;
};

constexpr Duration kMs{1000};
constexpr Duration kSecond{1000000};

void ReadSessions(const toml::table& root, consistency::Options& sessions) {
  Section section(root, "sessions");
  section.Word(
      "scope", sessions.scope,
      {{"instance", consistency::Scope::kInstance}, {"everywhere", consistency::Scope::kEverywhere}});
  section.Size("capacity", sessions.session_capacity, 64, 100'000'000);
  section.TimePoint("recall_s", sessions.write_retention, 1, 86'400, kSecond);
  section.TimePoint("least_failover_ms", sessions.min_failover_time, 0, 60'000, kMs);
  section.Flag("refuse_doubt", sessions.reject_uncertain_reads);
  section.TimePoint("hold_ms", sessions.max_read_delay, 0, 1'000, kMs);
  section.Close();
}

void ReadState(const toml::table& root, const consistency::Options& sessions, DurabilitySettings& state) {
  Section section(root, "state");
  section.Text("folder", state.folder);
  section.Word("commit", state.commit, {{"kernel", CommitMode::kKernel}, {"disk", CommitMode::kDisk}});
  section.Size("snapshot_mb", state.snapshot_bytes, 1, 4'096, 1u << 20);
  section.TimePoint("stall_ms", state.wait_timeout, 10, 5'000, kMs);
  section.Close();
  if (!state.folder.empty() && sessions.scope != consistency::Scope::kEverywhere) {
    section.Reject("folder", "is of use only where sessions.scope is \"everywhere\"");
  }
}

void ReadPeers(const toml::table& root, const consistency::Options& sessions, ReplicationSettings& peers) {
  Section section(root, "peers");
  peers.listen = section.Address("listen");
  peers.advertise = section.Address("advertise");
  section.Text("name", peers.name);
  section.Addresses("seeds", peers.seeds);
  section.Text("key_file", peers.key_file);
  section.TimePoint("flush_ms", peers.flush, 1, 1'000, kMs);
  section.TimePoint("probe_ms", peers.probe, 20, 60'000, kMs);
  section.TimePoint("join_within_s", peers.join_within, 0, 600, kSecond);
  section.Word("marks", peers.watermarks,
               {{"each", ReplicationMode::kBroadcast},
                {"directory", ReplicationMode::kLeases},
                {"directory-plain", ReplicationMode::kLeasesWithoutRevocation}});
  if (const auto asks = section.Whole("asks_per_s", 0, 100'000))
    peers.asks_per_s = static_cast<double>(*asks);
  // Up to what a line of 8 Gbit/s carries: more is a slip.
  if (const auto bytes = section.Whole("bytes_per_s", 0, 1'000'000'000))
    peers.bytes_per_s = static_cast<double>(*bytes);
  section.TimePoint("coalesce_ms", peers.coalesce, 0, 100, kMs);
  section.Flag("owner", peers.owner);
  section.Word("members", peers.plain_members, {{"proven", false}, {"plain", true}});
  section.Close();
  if (peers.watermarks != ReplicationMode::kBroadcast && peers.plain_members) {
    section.Reject("marks", "needs proven members: a directory counts on no two views being proven at once");
  }
  if (peers.watermarks == ReplicationMode::kBroadcast && peers.owner) {
    section.Reject("owner", "is of use only where 'peers.marks' is \"directory\"");
  }
  if (peers.watermarks == ReplicationMode::kBroadcast && peers.bytes_per_s > 0) {
    section.Reject("bytes_per_s", "holds back asks, which only a directory has: set 'peers.marks'");
  }
  if (!peers.listen) {
    if (peers.watermarks != ReplicationMode::kBroadcast)
      section.Reject("marks", "says how, but 'peers.listen' names no address");
    if (!peers.seeds.empty()) section.Reject("seeds", "name others, but 'peers.listen' names no address");
    if (peers.advertise) section.Reject("advertise", "names an address, but 'peers.listen' names none");
    return;
  }
  if (sessions.scope != consistency::Scope::kEverywhere) {
    section.Reject("listen", "is of use only where sessions.scope is \"everywhere\"");
  }
  if (peers.key_file.empty()) section.Reject("key_file", "is missing: peers speak only with a shared key");
}

void ReadControl(const toml::table& root, std::optional<net::Address>& control) {
  Section section(root, "control");
  control = section.Address("listen");
  section.Close();
  if (control && !control->host.starts_with("127.") && control->host != "::1") {
    section.Reject("listen", "is no address of this machine alone: it has to be on loopback");
  }
}

}  // namespace

std::variant<ProgramSettings, std::string> ParseProgramSettings(std::string_view text) {
  try {
    const toml::table root = toml::parse(text);
    for (const auto& [key, node] : root) {
      const std::string name(key.str());
      if (name != "sessions" && name != "state" && name != "peers" && name != "control") {
        return "line " + std::to_string(key.source().begin.line) + ", column " +
               std::to_string(key.source().begin.column) + ": '" + name + "' is not known";
      }
    }
    ProgramSettings setup;
    setup.sessions.write_retention = kSecond * 30;
    ReadSessions(root, setup.sessions);
    ReadState(root, setup.sessions, setup.state);
    ReadPeers(root, setup.sessions, setup.peers);
    ReadControl(root, setup.control);
    return setup;
  } catch (const toml::parse_error& error) {
    return "line " + std::to_string(error.source().begin.line) + ", column " +
           std::to_string(error.source().begin.column) + ": " + std::string(error.description());
  } catch (const std::runtime_error& error) {
    return std::string(error.what());
  }
}

std::variant<ProgramSettings, std::string> LoadProgramSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return "the settings " + path + " cannot be opened";
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (file.bad()) return "the settings " + path + " cannot be read";
  auto setup = ParseProgramSettings(text);
  if (auto* wrong = std::get_if<std::string>(&setup)) return "the settings " + path + ": " + *wrong;
  return setup;
}

}  // namespace lynxgrade
