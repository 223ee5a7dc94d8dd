#include "lease/acknowledged_view.h"

namespace lynxgrade::lease {

bool AcknowledgedView::Update(TimePoint now, const ViewStatus& status) {
  const bool acknowledges = status.view != 0;
  const bool changed = acknowledges && status.view != view_;
  if (changed) {
    view_ = status.view;
    managers_.assign(status.managers.begin(), status.managers.end());
    complete_ = false;
    first_complete_ = TimePoint{};
  }
  if (acknowledges) acknowledged_at_ = now;
  const bool complete = acknowledges && status.complete.value_or(complete_);
  if (complete && !complete_) {
    complete_since_ = now;
    if (first_complete_ == TimePoint{}) first_complete_ = now;
  }
  complete_ = complete;
  return changed;
}

}  // namespace lynxgrade::lease
