// The codec between JSON lines and the interface of balance.h. Every wire word lives in wire.cpp.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::simulator {

using Instance = std::int64_t;

// What is wrong with an input line, in one plain sentence without line breaks.
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
  Duration zero{0};  // the clock time from which positions are counted
  std::vector<std::string> report_columns;
};
struct Stop {
  Instance instance = 0;
};
// A list event names its page; the host fills in the entries.
struct ListNews {
  Instance instance = 0;
  ListKind kind = ListKind::kComplete;
  int page = 0;
};
// A report is read with the columns of its instance, which the codec keeps from its Start.
struct ForInstance {
  Instance instance = 0;
  Event event;
};

using Line = std::variant<BatchStart, BatchEnd, ListPage, Start, Stop, ListNews, ForInstance>;

class Codec {
 public:
  Line Decode(std::string_view text);

  static void EncodeAction(Instance instance, const Action& action, std::string& out);
  static void EncodeInternalError(Instance instance, std::string_view what, std::string& out);
  static void EncodeEnd(std::int64_t serial, std::string& out);

 private:
  struct Dialect {
    Duration zero{0};
    std::vector<std::string> columns;
  };
  std::vector<std::pair<Instance, Dialect>> dialects_;

  Dialect& DialectOf(Instance instance);
};

}  // namespace lynxgrade::simulator
