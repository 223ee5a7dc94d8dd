#include "consistency/session_watermark_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <new>
#include <utility>

namespace lynxgrade::consistency {
namespace {

__extension__ using Uint128 = unsigned __int128;

constexpr Duration kPositionUnit{1000};  // positions come in milliseconds
// The first position stands this far from zero, so that older ones, from peers or a disk, keep their order.
constexpr std::uint32_t kUnitsBeforeFirst = 86'400'000;  // a day
constexpr std::uint32_t kRebaseAt = 0xF0000000;          // some 46 days after the first position
constexpr std::uint32_t kRebaseBy = 0x80000000;          // which 24 days later comes up again
constexpr std::size_t kMaxServers = std::numeric_limits<std::uint16_t>::max();

}  // namespace

SessionKey SessionKeyOf(GroupId group, std::string_view session) {
  return SessionKey(XXH3_64bits_withSeed(session.data(), session.size(), static_cast<std::uint64_t>(group)));
}

void SessionWatermarkTable::FreeBlock::operator()(void* block) const { std::free(block); }

SessionWatermarkTable::SessionWatermarkTable(std::size_t sessions)
    : buckets_(std::max<std::size_t>(1, sessions * 2 / kSlots)) {
  // Zero pages from the kernel: a table costs memory only as it fills.
  block_.reset(std::calloc(buckets_ + 1, sizeof(Bucket)));
  if (block_ == nullptr) throw std::bad_alloc();
  void* at = block_.get();
  std::size_t space = (buckets_ + 1) * sizeof(Bucket);
  table_ = static_cast<Bucket*>(std::align(sizeof(Bucket), buckets_ * sizeof(Bucket), at, space));
}

SessionWatermarkTable::~SessionWatermarkTable() = default;
SessionWatermarkTable::SessionWatermarkTable(SessionWatermarkTable&&) noexcept = default;
SessionWatermarkTable& SessionWatermarkTable::operator=(SessionWatermarkTable&&) noexcept = default;

// Multiply-shift over the whole hash: any number of buckets will do.
SessionWatermarkTable::Bucket& SessionWatermarkTable::BucketOf(SessionKey key) const {
  const auto wide = static_cast<Uint128>(static_cast<std::uint64_t>(key)) * buckets_;
  return table_[static_cast<std::size_t>(wide >> 64)];
}

LogPosition SessionWatermarkTable::PositionOf(std::uint32_t stored) const {
  return *base_ + kPositionUnit * std::int64_t{stored};
}

WriteWatermark SessionWatermarkTable::WatermarkOf(const Bucket& bucket, std::size_t slot) const {
  const std::uint16_t server_index = bucket.server_indexes[slot];
  return {PositionOf(bucket.positions[slot]),
          server_index == 0 ? std::nullopt : std::optional<ServerId>(servers_[server_index - 1u])};
}

std::uint32_t SessionWatermarkTable::EncodePosition(LogPosition position) {
  if (!base_) base_ = position - kPositionUnit * std::int64_t{kUnitsBeforeFirst};
  const std::int64_t units = ((position - *base_) + kPositionUnit - Duration(1)) / kPositionUnit;
  if (units < 1) return 1;
  if (units >= std::int64_t{kRebaseAt}) {
    // A position decades ahead is not a time: it would end the order of all others.
    if (units >= std::int64_t{kRebaseAt} + kRebaseBy) return kRebaseAt;
    Rebase(kRebaseBy);
    return EncodePosition(position);
  }
  return static_cast<std::uint32_t>(units);
}

void SessionWatermarkTable::Rebase(std::uint32_t by) {
  const auto lower = [by](std::uint32_t& stored) {
    if (stored != 0) stored = stored > by ? stored - by : 1;
  };
  for (std::size_t i = 0; i < buckets_; ++i) {
    for (std::uint32_t& stored : table_[i].positions) lower(stored);
    lower(table_[i].floor);
  }
  *base_ += kPositionUnit * std::int64_t{by};
}

std::uint16_t SessionWatermarkTable::ServerIndexOf(const std::optional<ServerId>& by) {
  if (!by) return 0;
  const auto it = index_of_server_.find(*by);
  if (it != index_of_server_.end()) return it->second;
  if (servers_.size() >= kMaxServers) return 0;  // not known is the safe reading
  servers_.push_back(*by);
  const auto server_index = static_cast<std::uint16_t>(servers_.size());
  index_of_server_.emplace(*by, server_index);
  return server_index;
}

void SessionWatermarkTable::Note(SessionKey key, const WriteWatermark& watermark) {
  if (floor_ && watermark.position <= *floor_) return;
  const std::uint32_t stored = EncodePosition(watermark.position);
  const std::uint16_t server_index = ServerIndexOf(watermark.by);
  Bucket& bucket = BucketOf(key);
  const auto raw = static_cast<std::uint64_t>(key);
  std::size_t lowest = 0;
  for (std::size_t slot = 0; slot < kSlots; ++slot) {
    if (bucket.keys[slot] == raw && bucket.positions[slot] != 0) {
      if (stored == bucket.positions[slot] && server_index != bucket.server_indexes[slot])
        bucket.server_indexes[slot] = 0;
      if (stored > bucket.positions[slot]) {
        bucket.positions[slot] = stored;
        bucket.server_indexes[slot] = server_index;
      }
      return;
    }
    if (bucket.positions[slot] < bucket.positions[lowest]) lowest = slot;
  }
  // What the floor covers needs no slot; so every mark that has one lies above the floor.
  if (stored <= bucket.floor) return;
  std::uint32_t forgotten = 0;
  if (bucket.positions[lowest] == 0) {
    ++size_;
  } else {
    ++evicted_;
    forgotten = std::min(stored, bucket.positions[lowest]);
    bucket.floor = std::max(bucket.floor, forgotten);
    newest_evicted_ = std::max(newest_evicted_.value_or(PositionOf(forgotten)), PositionOf(forgotten));
    if (stored == forgotten) return;
  }
  bucket.keys[lowest] = raw;
  bucket.positions[lowest] = stored;
  bucket.server_indexes[lowest] = server_index;
}

SessionWatermarkTable::Known SessionWatermarkTable::Find(SessionKey key) const {
  Known known;
  if (base_) {
    const Bucket& bucket = BucketOf(key);
    for (std::size_t slot = 0; slot < kSlots; ++slot) {
      if (bucket.keys[slot] == static_cast<std::uint64_t>(key) && bucket.positions[slot] != 0) {
        known.watermark = WatermarkOf(bucket, slot);
        break;
      }
    }
    if (bucket.floor != 0) known.floor = PositionOf(bucket.floor);
  }
  if (floor_) known.floor = std::max(known.floor.value_or(*floor_), *floor_);
  if (known.watermark && floor_ && known.watermark->position <= *floor_) known.watermark.reset();
  return known;
}

void SessionWatermarkTable::RaiseFloor(LogPosition position) {
  floor_ = std::max(floor_.value_or(position), position);
}

}  // namespace lynxgrade::consistency
