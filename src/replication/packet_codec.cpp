#include "replication/packet_codec.h"

#include <algorithm>
#include <optional>

namespace lynxgrade::replication {
namespace {

// An age above one day is sent as one day. The receiver then assumes a later position, which is conservative.
constexpr std::uint64_t kMaxAgeMs = 86'400'000;
// The largest position whose microseconds still fit into a LogPosition.
constexpr std::uint64_t kMaxPositionMs = 9'000'000'000'000'000;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

// Rounds up. A position before 1970 becomes zero, which means that there is none.
std::uint64_t MillisecondsRoundedUp(LogPosition position) {
  const std::int64_t rounded = MicrosecondsOf(position) + kMicrosecondsPerMillisecond - 1;
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, rounded) / kMicrosecondsPerMillisecond);
}

LogPosition PositionFromMilliseconds(std::uint64_t milliseconds) {
  const std::uint64_t clamped = std::min(milliseconds, kMaxPositionMs);
  return PositionFromMicroseconds(static_cast<std::int64_t>(clamped) * kMicrosecondsPerMillisecond);
}

// An unknown server is encoded as zero.
std::uint32_t EncodeServer(std::optional<ServerId> server) {
  return server ? static_cast<std::uint32_t>(*server) : 0;
}

std::optional<ServerId> ServerFrom(std::uint32_t encoded) {
  if (encoded == 0) return std::nullopt;
  return ServerId(encoded);
}

// The finalizer of splitmix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators", 2014).
std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ull;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBull;
  return value ^ (value >> 31);
}

}  // namespace

std::int64_t MicrosecondsOf(LogPosition position) { return position.time_since_epoch().count(); }

LogPosition PositionFromMicroseconds(std::int64_t microseconds) {
  return LogPosition(Duration(microseconds));
}

consistency::WriteWatermark WatermarkFrom(const proto::WriteWatermark& encoded) {
  return {PositionFromMicroseconds(encoded.position_us()), ServerFrom(encoded.server())};
}

void EncodeWatermark(consistency::SessionKey key, const consistency::WriteWatermark& watermark,
                     proto::WriteWatermark& encoded) {
  encoded.set_key(static_cast<std::uint64_t>(key));
  encoded.set_position_us(MicrosecondsOf(watermark.position));
  encoded.set_server(EncodeServer(watermark.server));
}

void EncodeTerm(GroupId group, const consistency::PrimaryTermReport& report, proto::TimelineRecord& encoded) {
  const consistency::PrimaryTerm& term = report.term;
  encoded.set_group(static_cast<std::int64_t>(group));
  encoded.set_primary(static_cast<std::uint32_t>(term.primary));
  encoded.set_since_us(MicrosecondsOf(term.since));
  encoded.set_replicated_us(MicrosecondsOf(term.replicated_through));
  if (report.continuous) {
    encoded.set_continuous_through_us(MicrosecondsOf(term.confirmed));
  } else {
    encoded.set_confirmed_us(MicrosecondsOf(term.confirmed));
  }
  if (!report.predecessor) return;
  encoded.set_predecessor(static_cast<std::uint32_t>(report.predecessor->primary));
  encoded.set_predecessor_since_us(MicrosecondsOf(report.predecessor->since));
  encoded.set_predecessor_confirmed_us(MicrosecondsOf(report.predecessor->confirmed));
}

consistency::PrimaryTermReport TermFrom(const proto::TimelineRecord& encoded) {
  consistency::PrimaryTermReport report;
  report.term = {ServerId(encoded.primary()), PositionFromMicroseconds(encoded.since_us()),
                 PositionFromMicroseconds(encoded.confirmed_us()),
                 PositionFromMicroseconds(encoded.replicated_us())};
  report.continuous = encoded.has_continuous_through_us();
  if (report.continuous) {
    report.term.confirmed = PositionFromMicroseconds(encoded.continuous_through_us());
  }
  if (const auto predecessor = ServerFrom(encoded.predecessor())) {
    report.predecessor =
        consistency::PrimaryTerm{*predecessor, PositionFromMicroseconds(encoded.predecessor_since_us()),
                                 PositionFromMicroseconds(encoded.predecessor_confirmed_us()), LogPosition{}};
  }
  return report;
}

void LearnTerms(const proto::Packet& packet, consistency::SessionConsistencyGuard& consistency_guard) {
  for (const proto::TimelineRecord& record : packet.timelines()) {
    consistency_guard.LearnTerm(GroupId(record.group()), TermFrom(record),
                                consistency::TimelineSource::kPeer);
  }
}

membership::OutgoingPacket LeasePacketTo(const std::string& address, lease::IncarnationId sender) {
  membership::OutgoingPacket outgoing{address, {}};
  outgoing.packet.set_version(1);
  outgoing.packet.mutable_sender()->set_incarnation_id(sender);
  outgoing.packet.mutable_lease_batch();
  return outgoing;
}

std::uint64_t BindViewTo(lease::IncarnationId receiver, std::uint64_t view) {
  return view ^ MixBits(receiver);
}

void EncodeLeaseMessage(const lease::LeaseMessage& message, proto::LeaseBatch::Entry& encoded) {
  encoded.set_kind(static_cast<proto::LeaseBatch::Kind>(message.kind));
  encoded.set_key(static_cast<std::uint64_t>(message.key));
  encoded.set_group(static_cast<std::int64_t>(message.group));
  encoded.set_request_id(message.request_id);
  encoded.set_grant_number(message.grant_number);
  if (message.conservative_age) {
    const auto age_ms =
        static_cast<std::uint64_t>(message.conservative_age->count()) / kMicrosecondsPerMillisecond;
    encoded.set_conservative_position_age_ms(std::min(age_ms, kMaxAgeMs));
  }
  if (message.watermark) {
    encoded.set_watermark_ms(MillisecondsRoundedUp(message.watermark->position));
    encoded.set_watermark_server(EncodeServer(message.watermark->server));
  }
  if (message.evicted_through)
    encoded.set_evicted_through_ms(MillisecondsRoundedUp(*message.evicted_through));
}

lease::LeaseMessage LeaseMessageFrom(const proto::LeaseBatch::Entry& encoded, std::uint64_t view) {
  lease::LeaseMessage message;
  message.kind = static_cast<lease::LeaseMessage::Kind>(encoded.kind());
  message.view = view;
  message.key = consistency::SessionKey(encoded.key());
  message.group = GroupId(encoded.group());
  message.request_id = encoded.request_id();
  message.grant_number = encoded.grant_number();
  if (encoded.has_conservative_position_age_ms()) {
    const std::uint64_t age_ms = std::min(std::uint64_t{encoded.conservative_position_age_ms()}, kMaxAgeMs);
    message.conservative_age = Duration(static_cast<std::int64_t>(age_ms) * kMicrosecondsPerMillisecond);
  }
  if (encoded.watermark_ms() != 0) {
    message.watermark = consistency::WriteWatermark{PositionFromMilliseconds(encoded.watermark_ms()),
                                                    ServerFrom(encoded.watermark_server())};
  }
  if (encoded.evicted_through_ms() != 0)
    message.evicted_through = PositionFromMilliseconds(encoded.evicted_through_ms());
  return message;
}

bool IsKnownKind(proto::LeaseBatch::Kind kind) {
  return kind >= proto::LeaseBatch::ACQUIRE && kind <= proto::LeaseBatch::RELEASE;
}

}  // namespace lynxgrade::replication
