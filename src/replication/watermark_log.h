// The watermarks of the writes that this instance answered, numbered in sequence, for the peers that receive
// deltas.
//
// Owns a bounded queue; no clock, no I/O. Sequence numbers start at 1 and never repeat within one
// incarnation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "consistency/session_watermark_table.h"

namespace lynxgrade::replication {

// The number of a watermark in the order in which one incarnation answered its writes. Zero: none.
using SequenceNumber = std::uint64_t;

class WatermarkLog {
 public:
  struct Entry {
    GroupId group;
    consistency::SessionKey key;
    consistency::WriteWatermark watermark;
  };
  // Whether the watermark table already contains writes of earlier incarnations when the log is created. If
  // so, they count as number 1, which the log does not retain, so that every peer needs a snapshot first.
  enum class History { kEmpty, kRecovered };

  // Retains at most `capacity` entries and drops the oldest ones first.
  WatermarkLog(std::size_t capacity, History history)
      : capacity_(capacity), first_sequence_(history == History::kEmpty ? 1 : 2) {}

  void Append(const Entry& entry);
  // Numbers one more watermark and drops all entries. For use while no peer receives deltas.
  void AppendUnretained();

  // Number of the oldest retained entry, or of the next one if none is retained.
  SequenceNumber first_sequence() const { return first_sequence_; }
  // Number of the newest watermark.
  SequenceNumber last_sequence() const { return first_sequence_ + entries_.size() - 1; }
  // `sequence` must be from first_sequence() to last_sequence().
  const Entry& At(SequenceNumber sequence) const { return entries_[sequence - first_sequence_]; }

 private:
  std::size_t capacity_;
  std::deque<Entry> entries_;
  SequenceNumber first_sequence_;
};

}  // namespace lynxgrade::replication
