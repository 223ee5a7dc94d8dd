// The form of the durable state: a head and records of one size, each with a checksum over itself and its
// place.
//
// Pure bytes: no files, no clock. A file holds a snapshot (reigns, marks, then one record that ends it) and
// after it what came since. Reading stops at the first record that is not sound: what lies before it is used,
// and says up to when it is complete.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consistency/session_watermark_table.h"

namespace lynxgrade::durability {

inline constexpr std::uint32_t kVersion = 1;
inline constexpr std::size_t kHeadSize = 64;
inline constexpr std::size_t kRecordSize = 48;

struct Head {
  std::uint64_t instance = 0;  // hash of the name whose state it is
  std::uint64_t boot = 0;  // hash of the machine's boot: after another one, what was not synced may be gone
  std::uint64_t generation = 0;  // of the file
  TimePoint begun{};
};

enum class Type : std::uint8_t {
  kMark = 1,       // a: key, b: position, who
  kReign = 2,      // a: group, b: since, c: held, d: confirmed, who
  kForgotten = 3,  // b: any session may have written up to here
  kWhole = 4,      // the snapshot ends; b: time
  kClock = 5,      // all that was answered before this time stands above; b: time
  kStopped = 6,    // the program ended by its own will, and answered nothing after this; b: time
  kMoved = 7,      // what comes next stands in the file of generation a, finished or not; b: time
};

struct Record {
  Type type = Type::kMark;
  std::uint32_t who = 0;
  std::uint64_t a = 0;
  std::int64_t b = 0, c = 0, d = 0;  // microseconds since 1970
  bool operator==(const Record&) const = default;
};

void AppendHead(std::string& out, const Head& head);
// `index`: how many records stand before it in the file.
void AppendRecord(std::string& out, const Head& head, std::uint64_t index, const Record& record);

enum class HeadFault { kNone, kShort, kForeign, kFuture, kDamaged };
// The head, or what is wrong with it: not one of this program, of a later version, or not sound.
HeadFault ReadHead(std::string_view file, Head& head);

struct Contents {
  std::vector<Record> records;           // the sound ones, in order
  bool whole = false;                    // the snapshot has its end
  bool torn = false;                     // the file ends in the middle of a record
  std::uint64_t damaged = 0;             // bytes after the last sound record that are not a torn one
  std::optional<TimePoint> clock{};      // newest time up to which it is complete by its own word
  bool stopped = false;                  // it ends with the word of an orderly stop
  std::optional<std::uint64_t> moved{};  // it ends with the word of where it goes on
};
Contents ReadRecords(std::string_view file, const Head& head);

}  // namespace lynxgrade::durability
