// A bounded table of the newest answered write of each session.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "consistency/write_watermark.h"
#include "routing/balancer.h"

namespace lynxgrade::consistency {

// Maps session keys to watermarks in a flat table of fixed-size buckets. A watermark that no longer fits is
// evicted, which raises the conservative position of its bucket: a session that is not found may have written
// up to that position. Eviction can therefore make a read wait for a newer replica, but never lets it see old
// data.
//
// Owns its memory. Not thread-safe; reads no clock.
class SessionWatermarkTable {
 public:
  // Holds about `sessions` watermarks at half load and uses 16 bytes for each at full load. Memory pages are
  // touched only as the table fills. Throws std::bad_alloc.
  explicit SessionWatermarkTable(std::size_t sessions);
  ~SessionWatermarkTable();
  SessionWatermarkTable(const SessionWatermarkTable&) = delete;
  SessionWatermarkTable& operator=(const SessionWatermarkTable&) = delete;
  SessionWatermarkTable(SessionWatermarkTable&& other) noexcept;
  SessionWatermarkTable& operator=(SessionWatermarkTable&& other) noexcept;

  // Keeps the newer of `watermark` and the recorded one. Positions are stored relative to the first recorded
  // one and rounded up to whole milliseconds. Amortised O(1); touches at most one bucket.
  void Record(SessionKey key, const WriteWatermark& watermark);

  struct LookupResult {
    // The session's newest write, if it is known.
    std::optional<WriteWatermark> watermark;
    // If `watermark` is absent: the latest position at which the session may have written. If this is absent
    // too, the session has not written.
    std::optional<LogPosition> conservative_position;
  };
  LookupResult Find(SessionKey key) const;

  // Calls `call(SessionKey, const WriteWatermark&)` for each watermark, in the table's order.
  template <typename Call>
  void ForEach(Call call) const {
    for (std::size_t bucket = 0; bucket < bucket_count_; ++bucket) ForEachInBucket(bucket, call);
  }
  // The same for one bucket, so that a caller can copy the table in parts.
  template <typename Call>
  void ForEachInBucket(std::size_t index, Call call) const {
    const Bucket& bucket = table_[index];
    for (std::size_t slot = 0; slot < kSlots; ++slot) {
      if (bucket.positions[slot] != 0) call(SessionKey(bucket.keys[slot]), WatermarkOf(bucket, slot));
    }
  }

  // The newest position evicted so far. Absent if nothing was evicted.
  std::optional<LogPosition> newest_evicted() const { return newest_evicted_; }
  // Raises the conservative position of all buckets: any session without a watermark in the table may have
  // written up to `position`.
  void RaiseConservativePosition(LogPosition position);

  std::size_t bucket_count() const { return bucket_count_; }
  // Number of watermarks in the table.
  std::size_t size() const { return size_; }
  // Number of watermarks evicted so far.
  std::uint64_t evicted() const { return evicted_; }
  std::size_t bytes() const { return bucket_count_ * sizeof(Bucket); }

 private:
  static constexpr std::size_t kSlots = 8;
  // Two cache lines.
  struct Bucket {
    std::array<std::uint64_t, kSlots> keys;
    std::array<std::uint32_t, kSlots> positions;       // encoded; zero is an empty slot
    std::array<std::uint16_t, kSlots> server_indexes;  // index into `servers_` plus one; zero is unknown
    std::uint32_t conservative_position;               // encoded; zero if nothing was evicted
    std::array<std::uint32_t, 3> reserved;
  };
  static_assert(sizeof(Bucket) == 128);
  struct FreeBlock {
    void operator()(void* block) const;
  };

  Bucket& BucketOf(SessionKey key) const;
  WriteWatermark WatermarkOf(const Bucket& bucket, std::size_t slot) const;
  LogPosition DecodePosition(std::uint32_t encoded) const;
  // Rounds up. A position before the base is encoded as the first one after it: later, and so conservative.
  std::uint32_t EncodePosition(LogPosition position);
  std::uint16_t ServerIndexOf(const std::optional<ServerId>& server);
  // Moves the base forward by `units`.
  void Rebase(std::uint32_t units);
  // Replaces the slot's watermark if the given one is newer.
  static void RaiseSlot(Bucket& bucket, std::size_t slot, std::uint32_t position, std::uint16_t server_index);
  // Evicts the older of the slot's watermark and a new one of `position`. Returns whether the slot is free
  // for the new one.
  bool Evict(Bucket& bucket, std::size_t slot, std::uint32_t position);

  std::size_t bucket_count_;
  std::unique_ptr<void, FreeBlock> block_;
  Bucket* table_;  // within `block_`, aligned
  std::optional<LogPosition> base_;
  std::vector<ServerId> servers_;
  std::unordered_map<ServerId, std::uint16_t> index_of_server_;
  std::optional<LogPosition> newest_evicted_;
  std::optional<LogPosition> conservative_position_;  // of all buckets
  std::size_t size_ = 0;
  std::uint64_t evicted_ = 0;
};

}  // namespace lynxgrade::consistency
