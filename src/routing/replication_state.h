// Who is the primary of a group, and how far its replicas have come in the log.
#pragma once

#include <optional>

#include "routing/decision_context.h"
#include "routing/server_table.h"

namespace lynxgrade {

enum class ServerRole { kPrimary, kReplica };

// Keeps the role evidence and the positions of all servers. The newest evidence of a role wins, whatever its
// source.
class ReplicationState {
 public:
  ReplicationState(DecisionContext& context, ServerTable& servers) : context_(context), servers_(servers) {}

  // Evidence that the server had the role at the time `when`.
  void RecordRole(Server& server, ServerRole role, TimePoint when);
  // A position that the server has reached, by its own report or response.
  void RecordPosition(Server& server, LogPosition position);
  // The role and position that came with a response to a request of the class.
  void RecordResponse(Server& server, const RequestClass& request_class, const ResponseMetadata& metadata);
  // A load report of the server itself.
  void RecordReport(Server& server, const LoadReport& report);

  // The server with the newest evidence of being the group's primary; null if there is none.
  Server* PrimaryOf(GroupId group);

  // The position that a replica must hold to serve the request; none: any replica may.
  std::optional<LogPosition> RequiredPosition(const Request& request) const;
  // Whether the server is proven to hold the position. True where none is required.
  static bool IsProven(const Server& server, const std::optional<LogPosition>& required);
  // Whether it is known if the server holds the position: see ReplicaPosition::IsKnown.
  bool IsKnown(const Server& server, const std::optional<LogPosition>& required) const;
  // Whether the server may be expected to hold it. An expectation suffices only where servers check
  // themselves.
  bool HasReached(const Server& server, const std::optional<LogPosition>& required) const;
  LogPosition ExpectedPosition(const Server& server) const;

 private:
  DecisionContext& context_;
  ServerTable& servers_;
};

}  // namespace lynxgrade
