// The settings of the decision module: request classes, tenants, and what servers and clients can do.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "routing/types.h"

namespace lynxgrade {

// Whether a request may run twice.
enum class Idempotency { kIdempotent, kIdempotencyKey, kNotIdempotent };

// What a request does, and how fresh the data of a read must be.
enum class AccessKind {
  kWrite,
  kStrongRead,   // the newest data: served by the primary
  kSessionRead,  // at least the session's own writes
  kBoundedRead,  // data of a bounded age
  kEventualRead  // any data
};

// What a server does with a read whose required position it does not hold.
enum class PositionCheck {
  kNone,    // answers from what it has
  kReject,  // rejects it at once
  kWait     // waits up to Settings::replica_wait_limit, then rejects it
};

// What the endpoint list says of the primary role.
enum class ListedRole {
  kInitial,  // the primary at the start
  kDelayed,  // the present one, some time late
  kNone
};

// Where load reports come from.
enum class LoadReporting { kNone, kWithResponses, kOnHealthCheck };

struct RequestClass {
  AccessKind kind = AccessKind::kEventualRead;
  Idempotency idempotency = Idempotency::kIdempotent;
  Duration latency_objective{0};  // a response within it has its full value
  Duration deadline{0};           // of the client, over all its attempts
  Duration staleness_bound{0};    // kBoundedRead: how old the data may be when the request is sent
  // kIdempotencyKey: for how long servers discard duplicates, and which: all, those in the zone of the server
  // that may have run the request, or (neither) those of the same group.
  Duration idempotency_window{0};
  bool deduplicated_everywhere = true;
  bool deduplicated_in_zone = false;
  double priority_weight = 1;      // value of a response within the latency objective
  double late_response_value = 0;  // fraction of that for one after it, before the deadline
};

struct Tenant {
  double quota_per_s = 0;  // requests
  double share = 0;
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  std::uint32_t instance_index = 0;  // index of this instance
  std::uint32_t fleet_size = 1;      // instances of the fleet; 0: unknown
  ZoneIndex zone = 0;
  Duration tick{5000};              // resolution of the host's clock
  bool poll_endpoint_list = false;  // the list comes on request, not by push
  ListedRole listed_role = ListedRole::kNone;
  PositionCheck position_check = PositionCheck::kNone;
  Duration replica_wait_limit{0};          // see PositionCheck::kWait
  bool responses_report_position = false;  // those to reads, not only to writes
  bool clients_carry_watermarks = true;    // clients say what their sessions wrote, rather than this instance
  LoadReporting load_reporting = LoadReporting::kNone;
  bool may_cancel = false;
  bool may_health_check = false;
  bool may_hedge = false;
  bool clients_honor_retry_after = false;
  Duration max_retry_after{0};
  std::uint32_t max_attempts = 1;  // for each request
  Duration connect_timeout{250000};
  Duration response_slack{0};         // after the deadline, in which a final answer still counts
  Duration drain_grace{0};            // within which a draining server may still be sent requests
  bool unlisted_stay_usable = false;  // only servers that are listed as draining get no new requests
  // Where the list is polled: after so long without a poll its changes count as known.
  std::optional<Duration> max_poll_interval{};
  // Slow start: the least capacity share of a server that has just started, the time until it is warm, and
  // for how long it may get how many times what it can do before it fails.
  double initial_capacity = 1;
  Duration slow_start_duration{0};
  double overload_factor = 1;
  Duration overload_duration{0};
  // Prices, against the priority weight of one response.
  double health_check_price = 0;
  double cross_zone_price = 0;
  double wasted_work_price = 0;
  double late_failure_price = 0;
  double over_share_priority_weight = 1;  // factor for requests beyond their tenant's share
};

}  // namespace lynxgrade
