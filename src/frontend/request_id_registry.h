// The ids of clients' requests, so that none runs twice. No clock, no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

#include "routing/types.h"

namespace lynxgrade::frontend {

// Whether the id of a request that has ended may run again: kRepeatable: it never ran, or it is idempotent
// and its client has the answer; kMayHaveRun: a second run could repeat an effect, or run beside the first.
enum class RequestEnd { kRepeatable, kMayHaveRun };

// Remembers the ids of the requests in flight, and for a while those that may have run. Bounded: of the
// latter, the oldest is forgotten when there are too many. Holds hashes of 64 bits.
class RequestIdRegistry {
 public:
  enum class IdState { kUnknown, kInFlight, kMayHaveRun };

  IdState Find(std::string_view id, TimePoint now);
  void Begin(std::string_view id) { in_flight_.insert(HashOf(id)); }
  void End(std::string_view id, RequestEnd end, TimePoint now);
  std::size_t remembered() const { return ended_.size(); }

  static constexpr Duration kRetention{30000000};
  static constexpr std::size_t kMaxRemembered = 32768;

 private:
  using IdHash = std::uint64_t;
  struct EndedRequest {
    IdHash id = 0;
    TimePoint ended{};
  };

  static IdHash HashOf(std::string_view id);
  void Expire(TimePoint now);

  std::unordered_set<IdHash> in_flight_;
  std::unordered_set<IdHash> ended_;
  std::deque<EndedRequest> ended_by_age_;  // oldest first
};

}  // namespace lynxgrade::frontend
