// Conversions between the packets of packet.proto and the plain types of the program.
//
// Pure functions: no state, no clock, no I/O. Received values are accepted in any range; a value that cannot
// be represented is clamped in the direction that makes a read wait longer.
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

// Conversions of watermarks.
consistency::WriteWatermark WatermarkFrom(const proto::WriteWatermark& encoded);
void EncodeWatermark(consistency::SessionKey key, const consistency::WriteWatermark& watermark,
                     proto::WriteWatermark& encoded);

// Conversions of the terms of a group's primaries.
void EncodeTerm(GroupId group, const consistency::PrimaryTermReport& report, proto::TimelineRecord& encoded);
consistency::PrimaryTermReport TermFrom(const proto::TimelineRecord& encoded);
// Merges all terms of the packet into the timelines of the guard.
void LearnTerms(const proto::Packet& packet, consistency::SessionConsistencyGuard& consistency_guard);

// Creates a packet with an empty lease batch. Of its sender, such a packet contains only the incarnation id.
membership::OutgoingPacket LeasePacketTo(const std::string& address, lease::IncarnationId sender);
// Combines the digest of a view with the receiver's incarnation id, so that another incarnation at the same
// address decodes a digest that matches no view. Applying it twice yields the original digest.
std::uint64_t BindViewTo(lease::IncarnationId receiver, std::uint64_t view);
// Ages and positions are encoded in whole milliseconds: ages are rounded down and limited to one day,
// positions are rounded up.
void EncodeLeaseMessage(const lease::LeaseMessage& message, proto::LeaseBatch::Entry& encoded);
// `encoded.kind()` must be a known kind; `view` is the view of the batch.
lease::LeaseMessage LeaseMessageFrom(const proto::LeaseBatch::Entry& encoded, std::uint64_t view);
bool IsKnownKind(proto::LeaseBatch::Kind kind);

}  // namespace lynxgrade::replication
