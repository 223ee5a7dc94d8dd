#include "consistency/primary_change_log.h"

#include <cstdint>

namespace lynxgrade::consistency {
namespace {

// Minimum time between two lines about primaries that were not heard for long.
constexpr Duration kUnheardInterval{10'000'000};

constexpr const char* kNewPrimaryEffect =
    "; read-your-writes reads of sessions that wrote in between are rejected until the session writes "
    "again";
constexpr const char* kUnheardEffect =
    "; a primary in between may have been missed; read-your-writes reads of sessions that wrote before are "
    "rejected until the session writes again or a peer proves that there was none";

const char* NameOf(TimelineSource source) {
  switch (source) {
    case TimelineSource::kServer:
      return "server";
    case TimelineSource::kPeer:
      return "peer";
    case TimelineSource::kDisk:
      return "disk";
  }
  return "";
}

std::string NameOf(const std::optional<ServerId>& server) {
  return server ? std::to_string(static_cast<std::uint32_t>(*server)) : "none";
}

std::string Milliseconds(LogPosition position) {
  return std::to_string(position.time_since_epoch().count() / 1000);
}

}  // namespace

void PrimaryChangeLog::Write(TimePoint now, GroupId group, const PrimaryTimeline& timeline,
                             const FormerPrimary& former, TimelineSource source) {
  if (!sink_) return;
  const bool unheard = former.server == timeline.primary();
  if (unheard && unheard_logged_at_ && now - *unheard_logged_at_ < kUnheardInterval) return;
  if (unheard) unheard_logged_at_ = now;
  std::string line = unheard ? "primary unheard:" : "new primary:";
  line += " group=" + std::to_string(static_cast<std::int64_t>(group));
  line += " server=" + NameOf(timeline.primary());
  line += " first_seen_ms=" + Milliseconds(timeline.since());
  line += " replicated_through_ms=" + Milliseconds(timeline.replicated_through());
  line += " former=" + NameOf(former.server);
  line += " former_confirmed_ms=" + Milliseconds(former.confirmed);
  line += std::string(" learned_from=") + NameOf(source);
  line += unheard ? kUnheardEffect : kNewPrimaryEffect;
  sink_(std::move(line));
}

}  // namespace lynxgrade::consistency
