#include "replication/watermark_log.h"

namespace lynxgrade::replication {

void WatermarkLog::Append(const Entry& entry) {
  entries_.push_back(entry);
  if (entries_.size() <= capacity_) return;
  entries_.pop_front();
  ++first_sequence_;
}

void WatermarkLog::AppendUnretained() {
  first_sequence_ += entries_.size() + 1;
  entries_.clear();
}

}  // namespace lynxgrade::replication
