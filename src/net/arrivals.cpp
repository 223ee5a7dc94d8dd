#include "net/arrivals.h"

#include <algorithm>

namespace lynxgrade::net {

void ArrivalTimes::RecordArrival(std::size_t count, TimePoint time) {
  if (count == 0) return;
  newest_ = std::max(newest_, time);
  size_ += count;
  if (!spans_.empty() && newest_ - spans_.back().time < resolution_) {
    spans_.back().size += count;
    return;
  }
  spans_.push_back({count, newest_});
  if (spans_.size() <= kMaxSpans) return;
  // Merges pairs and keeps the earlier time: a request may be taken for older than it is, never for younger.
  for (std::size_t i = 0; i < spans_.size(); i += 2) {
    Span merged = spans_[i];
    if (i + 1 < spans_.size()) merged.size += spans_[i + 1].size;
    spans_[i / 2] = merged;
  }
  spans_.resize((spans_.size() + 1) / 2);
  resolution_ *= 2;
}

void ArrivalTimes::Consume(std::size_t count) {
  count = std::min(count, size_);
  size_ -= count;
  if (size_ == 0) {
    spans_ = {};  // frees the memory: an idle connection holds none
    resolution_ = kMinResolution;
    return;
  }
  auto first = spans_.begin();
  for (; count >= first->size; ++first) count -= first->size;
  first->size -= count;
  spans_.erase(spans_.begin(), first);
}

TimePoint ArrivalTimes::TimeAt(std::size_t offset) const {
  for (const Span& span : spans_) {
    if (offset < span.size) return span.time;
    offset -= span.size;
  }
  return newest_;
}

}  // namespace lynxgrade::net
