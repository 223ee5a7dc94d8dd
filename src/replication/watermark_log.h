// The watermarks of the writes that this instance answered, numbered in sequence, for peers that take them as
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

// The place of a watermark in the order in which one incarnation answered its writes; zero: none.
using SequenceNumber = std::uint64_t;

class WatermarkLog {
 public:
  struct Entry {
    GroupId group;
    consistency::SessionKey key;
    consistency::WriteWatermark watermark;
  };
  // What a log without a sequence holds already: nothing, or writes of earlier incarnations, which take
  // number 1 so that every peer needs a snapshot first.
  enum class History { kEmpty, kRecovered };

  // Holds at most `capacity` entries; the oldest go first.
  WatermarkLog(std::size_t capacity, History history)
      : capacity_(capacity), first_sequence_(history == History::kEmpty ? 1 : 2) {}

  void Append(const Entry& entry);
  // Numbers one more watermark and drops all that the log holds, for when no peer takes deltas.
  void AppendUnretained();

  // Of the oldest entry that is still held, or of the next one where there is none.
  SequenceNumber first_sequence() const { return first_sequence_; }
  // Of the newest watermark that has been numbered.
  SequenceNumber last_sequence() const { return first_sequence_ + entries_.size() - 1; }
  // `sequence` must lie between the two.
  const Entry& At(SequenceNumber sequence) const { return entries_[sequence - first_sequence_]; }

 private:
  std::size_t capacity_;
  std::deque<Entry> entries_;
  SequenceNumber first_sequence_;
};

}  // namespace lynxgrade::replication
