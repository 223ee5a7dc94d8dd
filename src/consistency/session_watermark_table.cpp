#include "consistency/session_watermark_table.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <new>
#include <utility>

namespace lynxgrade::consistency {
namespace {

__extension__ using Uint128 = unsigned __int128;

constexpr Duration kPositionUnit{1000};  // data servers report positions in milliseconds
// Encoded value of the first position. Room below it keeps the order of older positions, which peers or a
// recovery from disk may deliver later.
constexpr std::uint32_t kUnitsBeforeFirst = 86'400'000;  // a day
// The base moves about 46 days after the first position and then about every 24 days.
constexpr std::uint32_t kRebaseAt = 0xF0000000;
constexpr std::uint32_t kRebaseBy = 0x80000000;
constexpr std::size_t kMaxServers = std::numeric_limits<std::uint16_t>::max();

}  // namespace

void SessionWatermarkTable::FreeBlock::operator()(void* block) const { std::free(block); }

SessionWatermarkTable::SessionWatermarkTable(std::size_t sessions)
    : bucket_count_(std::max<std::size_t>(1, sessions * 2 / kSlots)) {
  // calloc returns zero pages of the kernel, which use memory only once they are written.
  block_.reset(std::calloc(bucket_count_ + 1, sizeof(Bucket)));
  if (block_ == nullptr) throw std::bad_alloc();
  void* aligned = block_.get();
  std::size_t space = (bucket_count_ + 1) * sizeof(Bucket);
  table_ = static_cast<Bucket*>(std::align(sizeof(Bucket), bucket_count_ * sizeof(Bucket), aligned, space));
}

SessionWatermarkTable::~SessionWatermarkTable() = default;
SessionWatermarkTable::SessionWatermarkTable(SessionWatermarkTable&&) noexcept = default;
SessionWatermarkTable& SessionWatermarkTable::operator=(SessionWatermarkTable&&) noexcept = default;

// Multiply-shift over the full hash, which works for any number of buckets.
SessionWatermarkTable::Bucket& SessionWatermarkTable::BucketOf(SessionKey key) const {
  const auto product = static_cast<Uint128>(static_cast<std::uint64_t>(key)) * bucket_count_;
  return table_[static_cast<std::size_t>(product >> 64)];
}

LogPosition SessionWatermarkTable::DecodePosition(std::uint32_t encoded) const {
  return *base_ + kPositionUnit * std::int64_t{encoded};
}

WriteWatermark SessionWatermarkTable::WatermarkOf(const Bucket& bucket, std::size_t slot) const {
  const std::uint16_t server_index = bucket.server_indexes[slot];
  return {DecodePosition(bucket.positions[slot]),
          server_index == 0 ? std::nullopt : std::optional<ServerId>(servers_[server_index - 1u])};
}

std::uint32_t SessionWatermarkTable::EncodePosition(LogPosition position) {
  if (!base_) base_ = position - kPositionUnit * std::int64_t{kUnitsBeforeFirst};
  const std::int64_t units = ((position - *base_) + kPositionUnit - Duration(1)) / kPositionUnit;
  if (units < 1) return 1;
  if (units >= std::int64_t{kRebaseAt}) {
    // A position this far ahead is not a real commit time; rebasing to it would lose the order of all others.
    if (units >= std::int64_t{kRebaseAt} + kRebaseBy) return kRebaseAt;
    Rebase(kRebaseBy);
    return EncodePosition(position);
  }
  return static_cast<std::uint32_t>(units);
}

void SessionWatermarkTable::Rebase(std::uint32_t units) {
  const auto lower = [units](std::uint32_t& encoded) {
    if (encoded != 0) encoded = encoded > units ? encoded - units : 1;
  };
  for (std::size_t index = 0; index < bucket_count_; ++index) {
    for (std::uint32_t& position : table_[index].positions) lower(position);
    lower(table_[index].conservative_position);
  }
  *base_ += kPositionUnit * std::int64_t{units};
}

std::uint16_t SessionWatermarkTable::ServerIndexOf(const std::optional<ServerId>& server) {
  if (!server) return 0;
  const auto it = index_of_server_.find(*server);
  if (it != index_of_server_.end()) return it->second;
  if (servers_.size() >= kMaxServers) return 0;  // an unknown server is the conservative case
  servers_.push_back(*server);
  const auto server_index = static_cast<std::uint16_t>(servers_.size());
  index_of_server_.emplace(*server, server_index);
  return server_index;
}

void SessionWatermarkTable::Record(SessionKey key, const WriteWatermark& watermark) {
  if (conservative_position_ && watermark.position <= *conservative_position_) return;
  const std::uint32_t position = EncodePosition(watermark.position);
  const std::uint16_t server_index = ServerIndexOf(watermark.server);
  Bucket& bucket = BucketOf(key);
  const auto raw_key = static_cast<std::uint64_t>(key);
  std::size_t oldest = 0;  // an empty slot counts as older than any other
  for (std::size_t slot = 0; slot < kSlots; ++slot) {
    if (bucket.keys[slot] == raw_key && bucket.positions[slot] != 0) {
      return RaiseSlot(bucket, slot, position, server_index);
    }
    if (bucket.positions[slot] < bucket.positions[oldest]) oldest = slot;
  }
  // The conservative position covers this write already. All watermarks in slots are therefore above it.
  if (position <= bucket.conservative_position) return;
  if (!Evict(bucket, oldest, position)) return;
  bucket.keys[oldest] = raw_key;
  bucket.positions[oldest] = position;
  bucket.server_indexes[oldest] = server_index;
}

void SessionWatermarkTable::RaiseSlot(Bucket& bucket, std::size_t slot, std::uint32_t position,
                                      std::uint16_t server_index) {
  if (position == bucket.positions[slot] && server_index != bucket.server_indexes[slot]) {
    bucket.server_indexes[slot] = 0;
  }
  if (position > bucket.positions[slot]) {
    bucket.positions[slot] = position;
    bucket.server_indexes[slot] = server_index;
  }
}

bool SessionWatermarkTable::Evict(Bucket& bucket, std::size_t slot, std::uint32_t position) {
  if (bucket.positions[slot] == 0) {
    ++size_;
    return true;
  }
  ++evicted_;
  const std::uint32_t evicted = std::min(position, bucket.positions[slot]);
  bucket.conservative_position = std::max(bucket.conservative_position, evicted);
  const LogPosition decoded = DecodePosition(evicted);
  newest_evicted_ = std::max(newest_evicted_.value_or(decoded), decoded);
  return position != evicted;
}

SessionWatermarkTable::LookupResult SessionWatermarkTable::Find(SessionKey key) const {
  LookupResult known;
  if (base_) {
    const Bucket& bucket = BucketOf(key);
    for (std::size_t slot = 0; slot < kSlots; ++slot) {
      if (bucket.keys[slot] == static_cast<std::uint64_t>(key) && bucket.positions[slot] != 0) {
        known.watermark = WatermarkOf(bucket, slot);
        break;
      }
    }
    if (bucket.conservative_position != 0)
      known.conservative_position = DecodePosition(bucket.conservative_position);
  }
  if (!conservative_position_) return known;
  known.conservative_position =
      std::max(known.conservative_position.value_or(*conservative_position_), *conservative_position_);
  if (known.watermark && known.watermark->position <= *conservative_position_) known.watermark.reset();
  return known;
}

void SessionWatermarkTable::RaiseConservativePosition(LogPosition position) {
  conservative_position_ = std::max(conservative_position_.value_or(position), position);
}

}  // namespace lynxgrade::consistency
