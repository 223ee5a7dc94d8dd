// Events that the host, the program that embeds the decision module, feeds to it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "routing/types.h"

namespace lynxgrade {

// A server's report on its own state. Absent fields were not reported.
struct LoadReport {
  std::optional<LogPosition> position{};
  std::optional<bool> primary{};
  std::optional<double> queued{};
  std::optional<double> in_flight{};
  std::optional<double> utilization{};
};

// The server's state that came with a response. Absent fields were not reported.
struct ResponseMetadata {
  std::optional<LogPosition> position{};
  std::optional<bool> primary{};
};

enum class Lifecycle { kServing, kDraining, kDeleted };

// One server in the endpoint list.
struct EndpointListEntry {
  ServerId server{};
  GroupId group{};
  ZoneIndex zone = 0;
  Lifecycle lifecycle = Lifecycle::kServing;
  bool primary = false;
  double weight = 1;
  std::optional<TimePoint> started{};
};

enum class EndpointListKind {
  kPersisted,  // read from disk when the instance starts
  kComplete,
  kPartial,  // changes only
  kError     // the list could not be fetched
};

// How an attempt or a health check ended.
enum class Outcome {
  kOk,
  kError,  // the server answered with an error
  kOverloaded,
  kTimeout,
  kUnreachable,     // no connection; nothing was sent
  kConnectionLost,  // after something was sent; the request may have run
  kCancelled,
  kNotRun,       // never sent, or invalid on every server
  kMisrouted,    // the server is not the primary, or has not reached the required position
  kSendExpired,  // never sent: its send deadline passed first, which says nothing about the server
  kSentLate      // sent after its send deadline, so that the response must not be used
};

struct EndpointListEvent {
  EndpointListKind kind = EndpointListKind::kComplete;
  std::vector<EndpointListEntry> entries;
};

struct RequestEvent {
  RequestId id{};
  GroupId group{};
  ClassIndex request_class = 0;
  TenantIndex tenant = 0;
  std::string session{};
  bool is_retry = false;  // the client marked it as a retry
  std::optional<Duration> time_since_write{};
  std::optional<LogPosition> required_position{};  // kSessionRead: set by src/consistency/
  bool require_proven_position = false;  // an expected position does not suffice, even if servers check it
  std::optional<TimePoint> arrived{};    // the latest time at which it can have been sent; absent: now
  Duration waited{0};                    // from its last byte until this event
  Duration time_left{0};                 // from this event until the client gives up; 0: it already has
};

struct AttemptEndedEvent {
  RequestId id{};
  AttemptNumber attempt = 0;
  ServerId server{};
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};
  bool request_done = false;  // the host has sent the final answer
  ResponseMetadata metadata{};
  std::optional<LoadReport> report{};
  std::optional<TimePoint> received{};  // when the host read the response, or ended the attempt; absent: now
};

// The first byte of a response was sent to the client, so that no other attempt can be made.
struct ResponseStartedEvent {
  RequestId id{};
  AttemptNumber attempt = 0;
  ServerId server{};
  Duration elapsed{0};
};

struct HealthCheckEvent {
  ServerId server{};
  Outcome outcome = Outcome::kError;
  Duration elapsed{0};
  std::optional<LoadReport> report{};
  std::optional<TimePoint> received{};  // when the host read the result; absent: now
};

struct TimerEvent {
  TimerId id{};
};

struct ClientDisconnectedEvent {
  RequestId id{};
};

// A message from another instance.
struct PeerEvent {
  std::uint32_t from = 0;
  std::string message;
};

using Event = std::variant<EndpointListEvent, RequestEvent, AttemptEndedEvent, ResponseStartedEvent,
                           HealthCheckEvent, TimerEvent, ClientDisconnectedEvent, PeerEvent>;

}  // namespace lynxgrade
