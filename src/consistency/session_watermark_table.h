// The session ledger: for each session the position of its newest answered write, in bounded memory.
//
// Owns one flat table and nothing else; reads no clock. What no longer fits raises a floor for its bucket:
// a session that is not found there may have written up to the floor, so forgetting costs a read waiting for
// a newer replica and never lets it see old data.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::consistency {

// A session of one group, as the 64-bit XXH3 hash of both: the same at every instance, as marks are exchanged
// by it. Two sessions of one hash share the newer mark, and wait for it.
enum class SessionKey : std::uint64_t {};
SessionKey SessionKeyOf(GroupId group, std::string_view session);

// A write that was answered: its commit, and the member that answered as primary. Absent where that is not
// known any more, which is to be taken for whichever member would be worst.
struct WriteWatermark {
  LogPosition position{};
  std::optional<ServerId> by{};
  bool operator==(const WriteWatermark&) const = default;
};

class SessionWatermarkTable {
 public:
  // Holds about `sessions` of them at half load, in 16 bytes each at full load; memory is touched as it
  // fills.
  explicit SessionWatermarkTable(std::size_t sessions);
  ~SessionWatermarkTable();
  SessionWatermarkTable(SessionWatermarkTable&& other) noexcept;
  SessionWatermarkTable& operator=(SessionWatermarkTable&& other) noexcept;

  // Keeps the newer of this mark and the one known. Positions are rounded up to whole milliseconds from the
  // first one noted. Amortised O(1), and at most one bucket is touched.
  void Note(SessionKey key, const WriteWatermark& watermark);

  // A session's newest mark where `mark` is set; else it wrote, if at all, no later than `floor`.
  struct Known {
    std::optional<WriteWatermark> watermark;
    std::optional<LogPosition> floor;
  };
  Known Find(SessionKey key) const;

  // All marks, and with each bucket's floor what has been forgotten there. Order is that of the table.
  template <typename Call>
  void ForEach(Call call) const {
    for (std::size_t i = 0; i < buckets_; ++i) Visit(i, call);
  }
  // Marks of bucket `at` alone: lets a caller copy the table a part at a time.
  template <typename Call>
  void Visit(std::size_t at, Call call) const {
    const Bucket& bucket = table_[at];
    for (std::size_t slot = 0; slot < kSlots; ++slot) {
      if (bucket.positions[slot] != 0) call(SessionKey(bucket.keys[slot]), WatermarkOf(bucket, slot));
    }
  }
  // Of everything forgotten so far the newest; absent where nothing was.
  std::optional<LogPosition> newest_forgotten() const { return newest_evicted_; }
  // Every session not known by its own mark may have written up to here.
  void RaiseFloor(LogPosition position);

  std::size_t buckets() const { return buckets_; }
  std::size_t size() const { return size_; }
  std::uint64_t evicted() const { return evicted_; }
  std::size_t bytes() const { return buckets_ * sizeof(Bucket); }

 private:
  // Two cache lines. A position of zero is an empty slot; eras index `members_`.
  static constexpr std::size_t kSlots = 8;
  struct Bucket {
    std::array<std::uint64_t, kSlots> keys;
    std::array<std::uint32_t, kSlots> positions;
    std::array<std::uint16_t, kSlots> server_indexes;
    std::uint32_t floor;
    std::uint32_t reserved[3];
  };
  static_assert(sizeof(Bucket) == 128);
  struct FreeBlock {
    void operator()(void* block) const;
  };

  Bucket& BucketOf(SessionKey key) const;
  WriteWatermark WatermarkOf(const Bucket& bucket, std::size_t slot) const;
  LogPosition PositionOf(std::uint32_t stored) const;
  // Rounded up; what lies before the base stands at its first millisecond, which is later and so safe.
  std::uint32_t EncodePosition(LogPosition position);
  std::uint16_t ServerIndexOf(const std::optional<ServerId>& by);
  void Rebase(std::uint32_t by);

  std::size_t buckets_;
  std::unique_ptr<void, FreeBlock> block_;
  Bucket* table_;
  std::optional<LogPosition> base_;
  std::vector<ServerId> servers_;  // by era less one; era zero is a member not known
  std::unordered_map<ServerId, std::uint16_t> index_of_server_;
  std::optional<LogPosition> newest_evicted_;
  std::optional<LogPosition> floor_;
  std::size_t size_ = 0;
  std::uint64_t evicted_ = 0;
};

}  // namespace lynxgrade::consistency
