#include "durability/record_format.h"

#include <xxhash.h>

#include <cstring>

namespace lynxgrade::durability {
namespace {

constexpr std::string_view kMagic = "LYNXGRST";
constexpr std::size_t kHeadBody = kHeadSize - 8;  // what its checksum covers
constexpr std::size_t kRecordBody = kRecordSize - 8;

// Little-endian, whatever the machine.
template <typename Value>
void Put(std::string& out, Value value) {
  for (std::size_t i = 0; i < sizeof value; ++i) {
    out += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i));
  }
}

template <typename Value>
Value Get(std::string_view bytes, std::size_t& at) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(Value); ++i) {
    value |= std::uint64_t{static_cast<unsigned char>(bytes[at + i])} << (8 * i);
  }
  at += sizeof(Value);
  return static_cast<Value>(value);
}

// A record that stands in another place or file than it was written for is not sound.
std::uint64_t SeedOf(const Head& head, std::uint64_t index) {
  return head.instance ^ (head.generation << 32) ^ index * 0x9E3779B97F4A7C15ull;
}

}  // namespace

void AppendHead(std::string& out, const Head& head) {
  std::string body(kMagic);
  Put(body, kVersion);
  Put(body, std::uint32_t{kRecordSize});
  Put(body, head.instance);
  Put(body, head.boot);
  Put(body, head.generation);
  Put(body, head.begun.time_since_epoch().count());
  body.resize(kHeadBody, '\0');
  out += body;
  Put(out, std::uint64_t{XXH3_64bits(body.data(), body.size())});
}

void AppendRecord(std::string& out, const Head& head, std::uint64_t index, const Record& record) {
  std::string body;
  Put(body, static_cast<std::uint8_t>(record.type));
  body.resize(4, '\0');
  Put(body, record.who);
  Put(body, record.a);
  Put(body, record.b);
  Put(body, record.c);
  Put(body, record.d);
  out += body;
  Put(out, std::uint64_t{XXH3_64bits_withSeed(body.data(), body.size(), SeedOf(head, index))});
}

HeadFault ReadHead(std::string_view file, Head& head) {
  if (file.size() < kHeadSize) return HeadFault::kShort;
  if (!file.starts_with(kMagic)) return HeadFault::kForeign;
  std::size_t at = kMagic.size();
  const auto version = Get<std::uint32_t>(file, at);
  std::size_t sum_at = kHeadBody;
  const bool sound = Get<std::uint64_t>(file, sum_at) == XXH3_64bits(file.data(), kHeadBody);
  if (!sound) return HeadFault::kDamaged;
  if (version != kVersion || Get<std::uint32_t>(file, at) != kRecordSize) return HeadFault::kFuture;
  head.instance = Get<std::uint64_t>(file, at);
  head.boot = Get<std::uint64_t>(file, at);
  head.generation = Get<std::uint64_t>(file, at);
  head.begun = TimePoint(Duration(Get<std::int64_t>(file, at)));
  return HeadFault::kNone;
}

Contents ReadRecords(std::string_view file, const Head& head) {
  Contents contents;
  std::string_view rest = file.substr(std::min(kHeadSize, file.size()));
  for (std::uint64_t index = 0; rest.size() >= kRecordSize; ++index) {
    std::size_t at = kRecordBody;
    const auto sum = Get<std::uint64_t>(rest, at);
    if (sum != XXH3_64bits_withSeed(rest.data(), kRecordBody, SeedOf(head, index))) break;
    at = 0;
    Record record;
    record.type = static_cast<Type>(Get<std::uint8_t>(rest, at));
    at = 4;
    record.who = Get<std::uint32_t>(rest, at);
    record.a = Get<std::uint64_t>(rest, at);
    record.b = Get<std::int64_t>(rest, at);
    record.c = Get<std::int64_t>(rest, at);
    record.d = Get<std::int64_t>(rest, at);
    if (record.type == Type::kWhole) contents.whole = true;
    if (record.type >= Type::kWhole) contents.clock = TimePoint(Duration(record.b));
    contents.stopped = record.type == Type::kStopped;
    contents.moved = record.type == Type::kMoved ? std::optional(record.a) : std::nullopt;
    contents.records.push_back(record);
    rest.remove_prefix(kRecordSize);
  }
  contents.torn = !rest.empty() && rest.size() < kRecordSize;
  contents.damaged = rest.size() >= kRecordSize ? rest.size() : 0;
  return contents;
}

}  // namespace lynxgrade::durability
