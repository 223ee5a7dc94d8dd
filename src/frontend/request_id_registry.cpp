#include "frontend/request_id_registry.h"

#include <functional>

namespace lynxgrade::frontend {

RequestIdRegistry::IdHash RequestIdRegistry::HashOf(std::string_view id) {
  return std::hash<std::string_view>()(id);
}

RequestIdRegistry::IdState RequestIdRegistry::Find(std::string_view id, TimePoint now) {
  Expire(now);
  const IdHash hash = HashOf(id);
  if (in_flight_.contains(hash)) return IdState::kInFlight;
  return ended_.contains(hash) ? IdState::kMayHaveRun : IdState::kUnknown;
}

void RequestIdRegistry::End(std::string_view id, RequestEnd end, TimePoint now) {
  const IdHash hash = HashOf(id);
  in_flight_.erase(hash);
  if (end == RequestEnd::kRepeatable || !ended_.insert(hash).second) return;
  ended_by_age_.push_back({hash, now});
  Expire(now);
}

void RequestIdRegistry::Expire(TimePoint now) {
  while (!ended_by_age_.empty()) {
    const EndedRequest& oldest = ended_by_age_.front();
    if (ended_by_age_.size() <= kMaxRemembered && now - oldest.ended < kRetention) return;
    ended_.erase(oldest.id);
    ended_by_age_.pop_front();
  }
}

}  // namespace lynxgrade::frontend
