// Tracks the primary of each group and the log positions of its servers.
#pragma once

#include <optional>

#include "routing/decision_context.h"
#include "routing/server_table.h"

namespace lynxgrade {

enum class ServerRole { kPrimary, kReplica };

// Keeps the role evidence and log positions of all servers. The newest evidence of a role wins, whatever its
// source.
class ReplicationState {
 public:
  ReplicationState(DecisionContext& context, ServerTable& servers) : context_(context), servers_(servers) {}

  // Records evidence that the server had the role at the time `when`.
  void RecordRole(Server& server, ServerRole role, TimePoint when);
  // Records a position that the server has reached according to its own report or response, which was read at
  // `received`, or at the time of the event if that is later.
  void RecordPosition(Server& server, LogPosition position, std::optional<TimePoint> received = std::nullopt);
  // Records the role and position that came with a response to a request of the class.
  void RecordResponse(Server& server, const RequestClass& request_class, const ResponseMetadata& metadata,
                      std::optional<TimePoint> received = std::nullopt);
  // Records a load report of the server.
  void RecordReport(Server& server, const LoadReport& report,
                    std::optional<TimePoint> received = std::nullopt);

  // Returns the server with the newest evidence of being the group's primary; null if there is none.
  Server* PrimaryOf(GroupId group) const;
  // Whether the server is that one. A former primary that has not been heard since may still count as a
  // primary by its own evidence.
  bool IsPrimaryOfGroup(const Server& server) const {
    return server.IsPrimary() && PrimaryOf(server.group) == &server;
  }

  // The position that a replica must have reached to serve the request; absent: any replica may.
  std::optional<LogPosition> RequiredPosition(const Request& request) const;
  // The last time at which the request may be sent to the server, so that the data are recent enough by the
  // positions that it has reported: TimePoint::max() if that will always be so, TimePoint::min() if it is not
  // proven to have any such data.
  TimePoint ProvenUntil(const Request& request, const Server& server) const;
  // Whether the server is proven to have reached the position. True if none is required.
  static bool IsProven(const Server& server, const std::optional<LogPosition>& required);
  // Whether it is known if the server has reached the position; see ReplicaPosition::IsKnown.
  bool IsKnown(const Server& server, const std::optional<LogPosition>& required) const;
  // Whether the server can be expected to have reached it. If servers do not check positions themselves, it
  // must be proven.
  bool HasReached(const Server& server, const std::optional<LogPosition>& required) const;
  LogPosition ExpectedPosition(const Server& server) const;

 private:
  DecisionContext& context_;
  ServerTable& servers_;
};

}  // namespace lynxgrade
