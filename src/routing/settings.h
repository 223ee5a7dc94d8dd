// Settings of the decision module: request classes, tenants, and the capabilities of servers and clients.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "routing/types.h"

namespace lynxgrade {

// Whether a request may run twice.
enum class Idempotency { kIdempotent, kIdempotencyKey, kNotIdempotent };

// Whether a request writes, and how fresh the data of a read must be.
enum class AccessKind {
  kWrite,
  kStrongRead,   // the newest data; only the primary serves it
  kSessionRead,  // at least the session's own writes
  kBoundedRead,  // data not older than RequestClass::staleness_bound
  kEventualRead  // any data
};

// What a server does with a read whose required position it has not reached.
enum class PositionCheck {
  kNone,    // answers from the data that it has
  kReject,  // rejects it at once
  kWait     // waits up to Settings::replica_wait_limit, then rejects it
};

// Which server the endpoint list names as the primary.
enum class ListedRole {
  kInitial,  // the one at the start; later changes are not listed
  kDelayed,  // the current one, with a delay
  kNone
};

// How servers send their load reports.
enum class LoadReporting { kNone, kWithResponses, kOnHealthCheck };

struct RequestClass {
  AccessKind kind = AccessKind::kEventualRead;
  Idempotency idempotency = Idempotency::kIdempotent;
  Duration latency_objective{0};  // a response within it has its full value
  Duration deadline{0};           // the client gives up after it, counted from its first attempt
  Duration staleness_bound{0};    // kBoundedRead: maximum age of the data when the request is sent
  // kIdempotencyKey: how long servers discard duplicates, and which servers do so: all of them, those in the
  // zone of the server that may have run the request, or, if both flags are false, those of the same group.
  Duration idempotency_window{0};
  bool deduplicated_everywhere = true;
  bool deduplicated_in_zone = false;
  double priority_weight = 1;      // value of a response within the latency objective
  double late_response_value = 0;  // fraction of priority_weight for one after it but before the deadline
};

struct Tenant {
  double quota_per_s = 0;  // requests per second
  double share = 0;
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  std::uint32_t instance_index = 0;  // of this instance in its fleet
  std::uint32_t fleet_size = 1;      // number of instances; 0: unknown
  ZoneIndex zone = 0;
  Duration tick{5000};              // resolution of the host's clock
  bool poll_endpoint_list = false;  // the list is fetched on request rather than pushed
  ListedRole listed_role = ListedRole::kNone;
  PositionCheck position_check = PositionCheck::kNone;
  Duration replica_wait_limit{0};          // see PositionCheck::kWait
  bool responses_report_position = false;  // responses to reads carry the position, not only those to writes
  bool clients_carry_watermarks = true;    // clients send write watermarks; else the pooler keeps them
  LoadReporting load_reporting = LoadReporting::kNone;
  bool may_cancel = false;
  bool may_health_check = false;
  bool may_hedge = false;
  bool clients_honor_retry_after = false;
  Duration max_retry_after{0};
  std::uint32_t max_attempts = 1;  // per request
  Duration connect_timeout{250000};
  Duration response_slack{0};         // a final answer up to this long after the deadline counts
  Duration drain_grace{0};            // how long a draining server may still be sent requests
  bool unlisted_stay_usable = false;  // servers missing from the list stay usable until listed as draining
  // Where the list is polled: changes count as known to the instance this long after its last poll.
  std::optional<Duration> max_poll_interval{};
  // Slow start. A server starts with at least `initial_capacity` of its full capacity and is warm after
  // `slow_start_duration`. It fails if it is sent `overload_factor` times its capacity for
  // `overload_duration`.
  double initial_capacity = 1;
  Duration slow_start_duration{0};
  double overload_factor = 1;
  Duration overload_duration{0};
  // Prices, in the unit of RequestClass::priority_weight.
  double health_check_price = 0;
  double cross_zone_price = 0;
  double wasted_work_price = 0;
  double late_failure_price = 0;
  double over_share_priority_weight = 1;  // weight factor of requests beyond their tenant's share
};

}  // namespace lynxgrade
