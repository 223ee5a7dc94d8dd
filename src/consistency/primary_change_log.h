// Log lines about changes of primary.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "consistency/primary_timeline.h"
#include "routing/balancer.h"

namespace lynxgrade::consistency {

// From where this instance learned of a primary.
enum class TimelineSource { kServer, kPeer, kDisk };

// The primary of a group that was known before a report was handled.
struct FormerPrimary {
  std::optional<ServerId> server;
  LogPosition confirmed{};

  static FormerPrimary Of(const PrimaryTimeline& timeline) {
    return {timeline.primary(), timeline.confirmed()};
  }
};

// Writes one line for each new primary, and some of those about a primary that was not heard for long, as a
// quiet group causes many. Not thread-safe; reads no clock.
class PrimaryChangeLog {
 public:
  using Sink = std::function<void(std::string)>;
  // Without a sink nothing is written.
  void SetSink(Sink sink) { sink_ = std::move(sink); }
  // Logs that a term was added to the timeline of the group.
  void Write(TimePoint now, GroupId group, const PrimaryTimeline& timeline, const FormerPrimary& former,
             TimelineSource source);

 private:
  Sink sink_;
  std::optional<TimePoint> unheard_logged_at_;
};

}  // namespace lynxgrade::consistency
