// Codec between the simulator's JSON lines and the events and actions of routing/balancer.h. The names of the
// wire format are in codec.cpp only.
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

using InstanceId = std::int64_t;

// Thrown for an invalid input line. what() is a single line.
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
  std::vector<EndpointListEntry> entries;
};
struct StartInstance {
  InstanceId instance = 0;
  std::uint64_t seed = 0;
  Settings settings;
  Duration position_origin{0};  // of log positions, which the simulator counts from here
  std::vector<std::string> report_columns;
};
struct StopInstance {
  InstanceId instance = 0;
};
// An update of the endpoint list. It refers to a ListPage by number.
struct ListUpdate {
  InstanceId instance = 0;
  EndpointListKind kind = EndpointListKind::kComplete;
  int page = 0;
};
// An event for the balancer of one instance. Its load report has been decoded with the columns of the
// instance's StartInstance.
struct InstanceEvent {
  InstanceId instance = 0;
  Event event;
};

using Line =
    std::variant<BatchStart, BatchEnd, ListPage, StartInstance, StopInstance, ListUpdate, InstanceEvent>;

// Decodes input lines and encodes replies. Stores the load report columns and the position origin of each
// started instance.
class Codec {
 public:
  // Throws WireError for a line that is not a valid message.
  Line Decode(std::string_view text);

  // Encoders append one line, with its line break, to `out`.
  static void EncodeAction(InstanceId instance, const Action& action, std::string& out);
  static void EncodeInternalError(InstanceId instance, std::string_view message, std::string& out);
  static void EncodeBatchEnd(std::int64_t serial, std::string& out);

 private:
  struct ReportFormat {
    Duration position_origin{0};
    std::vector<std::string> columns;
  };
  std::vector<std::pair<InstanceId, ReportFormat>> report_formats_;

  StartInstance DecodeStartInstance(const nlohmann::json& json, InstanceId instance);
  static Event DecodeEvent(const std::string& op, const nlohmann::json& json,
                           const ReportFormat& report_format);
  Line DecodeInstanceLine(const std::string& op, const nlohmann::json& json, InstanceId instance);
  // Inserts a default format for an instance that has none yet.
  ReportFormat& ReportFormatOf(InstanceId instance);
};

}  // namespace lynxgrade::simulator
