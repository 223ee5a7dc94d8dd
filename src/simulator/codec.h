// Codec between the simulator's JSON lines and the events and actions of routing/balancer.h. All words of the
// wire format are in codec.cpp.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::simulator {

using Instance = std::int64_t;

// An invalid input line; what() is a single line.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct BatchStart {
  TimePoint now;
  std::int64_t serial = 0;
};
struct BatchEnd {};
struct ListPage {
  int page = 0;
  std::vector<ListEntry> entries;
};
struct Start {
  Instance instance = 0;
  std::uint64_t seed = 0;
  Settings settings;
  Duration zero{0};  // origin of the positions
  std::vector<std::string> report_columns;
};
struct Stop {
  Instance instance = 0;
};
// An update of the endpoint list. It names the page; the host adds the page's entries.
struct ListUpdate {
  Instance instance = 0;
  ListKind kind = ListKind::kComplete;
  int page = 0;
};
// An event for the balancer of one instance. Its load report was decoded with the columns of the instance's
// Start.
struct InstanceEvent {
  Instance instance = 0;
  Event event;
};

using Line = std::variant<BatchStart, BatchEnd, ListPage, Start, Stop, ListUpdate, InstanceEvent>;

// Decodes input lines and encodes replies. Keeps the report columns and position origin of each started
// instance.
class Codec {
 public:
  // Throws WireError for a line that is not a valid message.
  Line Decode(std::string_view text);

  // Encoders append one line, with its line break, to `out`.
  static void EncodeAction(Instance instance, const Action& action, std::string& out);
  static void EncodeInternalError(Instance instance, std::string_view what, std::string& out);
  static void EncodeEnd(std::int64_t serial, std::string& out);

 private:
  struct Dialect {
    Duration zero{0};
    std::vector<std::string> columns;
  };
  std::vector<std::pair<Instance, Dialect>> dialects_;

  Start DecodeStart(const nlohmann::json& json, Instance instance);
  static Event DecodeEvent(const std::string& op, const nlohmann::json& json, const Dialect& dialect);
  Line DecodeForInstance(const std::string& op, const nlohmann::json& json, Instance instance);
  // Creates the dialect of an instance that has none yet.
  Dialect& DialectOf(Instance instance);
};

}  // namespace lynxgrade::simulator
