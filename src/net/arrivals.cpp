#include "net/arrivals.h"

#include <algorithm>

namespace lynxgrade::net {

void ArrivalTimes::RecordArrival(std::size_t count, TimePoint at) {
  if (count == 0) return;
  newest_ = std::max(newest_, at);
  size_ += count;
  if (!stretches_.empty() && newest_ - stretches_.back().at < grain_) {
    stretches_.back().size += count;
    return;
  }
  stretches_.push_back({count, newest_});
  if (stretches_.size() <= kMostStretches) return;
  // Two by two, with the earlier time: a request may be held for older than it is, never for younger.
  for (std::size_t i = 0; i < stretches_.size(); i += 2) {
    Stretch joined = stretches_[i];
    if (i + 1 < stretches_.size()) joined.size += stretches_[i + 1].size;
    stretches_[i / 2] = joined;
  }
  stretches_.resize((stretches_.size() + 1) / 2);
  grain_ *= 2;
}

void ArrivalTimes::Consume(std::size_t count) {
  count = std::min(count, size_);
  size_ -= count;
  if (size_ == 0) {
    stretches_ = {};  // an idle connection keeps no memory for it
    grain_ = kFinest;
    return;
  }
  auto first = stretches_.begin();
  for (; count >= first->size; ++first) count -= first->size;
  first->size -= count;
  stretches_.erase(stretches_.begin(), first);
}

TimePoint ArrivalTimes::TimeAt(std::size_t offset) const {
  for (const Stretch& stretch : stretches_) {
    if (offset < stretch.size) return stretch.at;
    offset -= stretch.size;
  }
  return newest_;
}

}  // namespace lynxgrade::net
