// Conversions between the packets of packet.proto and the plain types of the program.
//
// Pure functions: no state, no clock, no I/O. Whatever arrives is accepted in any range; values that cannot
// be represented are clamped to the side that makes a read wait longer.
#pragma once

#include <cstdint>
#include <string>

#include "consistency/session_consistency_guard.h"
#include "lease/lease_message.h"
#include "replication/outbox.h"
#include "replication/packet.pb.h"

namespace lynxgrade::replication {

// Microseconds since 1970.
std::int64_t MicrosecondsOf(LogPosition position);
LogPosition PositionFromMicroseconds(std::int64_t microseconds);

// Watermarks of a session.
consistency::WriteWatermark WatermarkFrom(const proto::WriteWatermark& encoded);
void EncodeWatermark(consistency::SessionKey key, const consistency::WriteWatermark& watermark,
                     proto::WriteWatermark& encoded);

// Timelines of primaries; `timeline` must have a primary.
void EncodeTimeline(GroupId group, const consistency::PrimaryTimeline& timeline,
                    proto::TimelineRecord& encoded);
// Merges all timelines of the packet into those that the guard knows.
void LearnTimelines(const proto::Packet& packet, consistency::SessionConsistencyGuard& consistency_guard);

// An empty packet with lease messages, which names of its sender the incarnation alone.
membership::OutgoingPacket LeasePacketTo(const std::string& address, lease::IncarnationId sender);
// The digest of a view, bound to one receiver: another incarnation at the same address reads a view that
// nobody has. Applied twice it yields the view again.
std::uint64_t BindViewTo(lease::IncarnationId receiver, std::uint64_t view);
// Ages and positions are carried in whole milliseconds: ages are rounded down and capped at one day,
// positions are rounded up.
void EncodeLeaseMessage(const lease::LeaseMessage& message, proto::LeaseBatch::Entry& encoded);
// `encoded.kind()` must be a known kind; the view is that of the batch.
lease::LeaseMessage LeaseMessageFrom(const proto::LeaseBatch::Entry& encoded, std::uint64_t view);
bool IsKnownKind(proto::LeaseBatch::Kind kind);

}  // namespace lynxgrade::replication
