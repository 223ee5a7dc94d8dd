#include "lease/acknowledged_view.h"

namespace lynxgrade::lease {

bool AcknowledgedView::Update(TimePoint now, const ViewAgreement& agreement) {
  const bool acknowledges = agreement.view != 0;
  const bool changed = acknowledges && agreement.view != view_;
  if (changed) {
    view_ = agreement.view;
    managers_.assign(agreement.managers.begin(), agreement.managers.end());
    complete_ = false;
    first_complete_ = TimePoint{};
  }
  if (acknowledges) acknowledged_at_ = now;
  const bool complete = acknowledges && agreement.complete.value_or(complete_);
  if (complete && !complete_) {
    complete_since_ = now;
    if (first_complete_ == TimePoint{}) first_complete_ = now;
  }
  complete_ = complete;
  return changed;
}

}  // namespace lynxgrade::lease
