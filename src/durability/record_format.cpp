#include "durability/record_format.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>

namespace lynxgrade::durability {
namespace {

constexpr std::string_view kMagic = "LYNXGRST";
constexpr std::size_t kChecksumSize = sizeof(std::uint64_t);
constexpr std::size_t kHeaderBodySize = kHeaderSize - kChecksumSize;  // bytes covered by the checksum
constexpr std::size_t kRecordBodySize = kRecordSize - kChecksumSize;  // bytes covered by the checksum
constexpr std::size_t kTypeFieldSize = 4;  // the type is one byte, padded with zeros
// 2^64 divided by the golden ratio, which spreads the indices over all bits of the checksum seed.
constexpr std::uint64_t kIndexMultiplier = 0x9E3779B97F4A7C15ull;

// The stored values of the record types. Every type from kSnapshotEnd on has a complete-through time.
enum class RecordType : std::uint8_t {
  kWatermark = 1,
  kTimeline = 2,
  kConservativePosition = 3,
  kSnapshotEnd = 4,
  kCompleteThrough = 5,
  kCleanShutdown = 6,
  kContinuedIn = 7,
  kTermProof = 8,
};

// The fields of a record in their stored order. Fields that a record type does not use are zero.
struct StoredRecord {
  std::uint8_t type = 0;
  // kWatermark: server or zero if unknown; kTimeline: primary; kTermProof: predecessor or zero if unknown.
  std::uint32_t server = 0;
  // kWatermark: session; kTimeline, kTermProof: group; kContinuedIn: generation.
  std::uint64_t subject = 0;
  // kWatermark, kConservativePosition: position; kTimeline: since; later types: the complete-through time.
  TimePoint time{};
  TimePoint replicated_until{};  // kTermProof: since, of the predecessor
  TimePoint confirmed{};         // kTermProof: of the predecessor
};

template <typename Value>
void AppendLittleEndian(std::string& out, Value value) {
  for (std::size_t i = 0; i < sizeof value; ++i) {
    out += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i));
  }
}

void AppendTime(std::string& out, TimePoint time) {
  AppendLittleEndian(out, std::int64_t{time.time_since_epoch().count()});
}

// Reads consecutive integers. The caller has checked that there are enough bytes.
class LittleEndianReader {
 public:
  explicit LittleEndianReader(std::string_view bytes) : bytes_(bytes) {}

  template <typename Value>
  Value Read() {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Value); ++i) {
      value |= std::uint64_t{static_cast<unsigned char>(bytes_[i])} << (8 * i);
    }
    Skip(sizeof(Value));
    return static_cast<Value>(value);
  }
  TimePoint ReadTime() { return TimePoint(Duration(Read<std::int64_t>())); }
  void Skip(std::size_t count) { bytes_.remove_prefix(count); }

 private:
  std::string_view bytes_;
};

// The seed depends on the file and the index, so a record at another place has a wrong checksum.
std::uint64_t ChecksumSeed(const FileHeader& header, std::uint64_t index) {
  return header.instance_hash ^ (header.generation << 32) ^ index * kIndexMultiplier;
}

std::uint64_t RecordChecksum(std::string_view body, const FileHeader& header, std::uint64_t index) {
  return XXH3_64bits_withSeed(body.data(), body.size(), ChecksumSeed(header, index));
}

StoredRecord MakeStoredRecord(RecordType type, TimePoint time) {
  StoredRecord stored;
  stored.type = static_cast<std::uint8_t>(type);
  stored.time = time;
  return stored;
}

StoredRecord ToStoredRecord(const WatermarkRecord& record) {
  StoredRecord stored = MakeStoredRecord(RecordType::kWatermark, record.watermark.position);
  stored.server = record.watermark.server ? static_cast<std::uint32_t>(*record.watermark.server) : 0;
  stored.subject = static_cast<std::uint64_t>(record.session);
  return stored;
}

StoredRecord ToStoredRecord(const TimelineRecord& record) {
  StoredRecord stored = MakeStoredRecord(RecordType::kTimeline, record.since);
  stored.server = static_cast<std::uint32_t>(record.primary);
  stored.subject = static_cast<std::uint64_t>(record.group);
  stored.replicated_until = record.replicated_until;
  stored.confirmed = record.confirmed;
  return stored;
}

StoredRecord ToStoredRecord(const ConservativePositionRecord& record) {
  return MakeStoredRecord(RecordType::kConservativePosition, record.position);
}

StoredRecord ToStoredRecord(const SnapshotEndRecord& record) {
  return MakeStoredRecord(RecordType::kSnapshotEnd, record.time);
}

StoredRecord ToStoredRecord(const CompleteThroughRecord& record) {
  return MakeStoredRecord(RecordType::kCompleteThrough, record.time);
}

StoredRecord ToStoredRecord(const CleanShutdownRecord& record) {
  return MakeStoredRecord(RecordType::kCleanShutdown, record.time);
}

StoredRecord ToStoredRecord(const ContinuedInRecord& record) {
  StoredRecord stored = MakeStoredRecord(RecordType::kContinuedIn, record.time);
  stored.subject = record.generation;
  return stored;
}

StoredRecord ToStoredRecord(const TermProofRecord& record) {
  StoredRecord stored = MakeStoredRecord(RecordType::kTermProof, record.time);
  stored.server = record.predecessor ? static_cast<std::uint32_t>(*record.predecessor) : 0;
  stored.subject = static_cast<std::uint64_t>(record.group);
  stored.replicated_until = record.predecessor_since;
  stored.confirmed = record.predecessor_confirmed;
  return stored;
}

StoredRecord ToStoredRecord(const UnknownRecord& record) {
  return MakeStoredRecord(static_cast<RecordType>(record.type), record.time);
}

Record FromStoredRecord(const StoredRecord& stored) {
  switch (static_cast<RecordType>(stored.type)) {
    case RecordType::kWatermark: {
      const auto server = stored.server == 0 ? std::nullopt : std::optional(ServerId(stored.server));
      return WatermarkRecord{consistency::SessionKey(stored.subject), {stored.time, server}};
    }
    case RecordType::kTimeline:
      return TimelineRecord{GroupId(static_cast<std::int64_t>(stored.subject)), ServerId(stored.server),
                            stored.time, stored.replicated_until, stored.confirmed};
    case RecordType::kConservativePosition:
      return ConservativePositionRecord{stored.time};
    case RecordType::kSnapshotEnd:
      return SnapshotEndRecord{stored.time};
    case RecordType::kCompleteThrough:
      return CompleteThroughRecord{stored.time};
    case RecordType::kCleanShutdown:
      return CleanShutdownRecord{stored.time};
    case RecordType::kContinuedIn:
      return ContinuedInRecord{stored.subject, stored.time};
    case RecordType::kTermProof: {
      const auto predecessor = stored.server == 0 ? std::nullopt : std::optional(ServerId(stored.server));
      return TermProofRecord{GroupId(static_cast<std::int64_t>(stored.subject)), stored.time, predecessor,
                             stored.replicated_until, stored.confirmed};
    }
  }
  return UnknownRecord{stored.type, stored.time};
}

StoredRecord DecodeStoredRecord(std::string_view body) {
  LittleEndianReader reader(body);
  StoredRecord stored;
  stored.type = reader.Read<std::uint8_t>();
  reader.Skip(kTypeFieldSize - sizeof stored.type);
  stored.server = reader.Read<std::uint32_t>();
  stored.subject = reader.Read<std::uint64_t>();
  stored.time = reader.ReadTime();
  stored.replicated_until = reader.ReadTime();
  stored.confirmed = reader.ReadTime();
  return stored;
}

void AddRecord(FileContents& contents, const StoredRecord& stored) {
  const auto type = static_cast<RecordType>(stored.type);
  if (type == RecordType::kSnapshotEnd) contents.snapshot_complete = true;
  if (type >= RecordType::kSnapshotEnd) contents.complete_through = stored.time;
  contents.clean_shutdown = type == RecordType::kCleanShutdown;
  contents.continued_in = type == RecordType::kContinuedIn ? std::optional(stored.subject) : std::nullopt;
  contents.records.push_back(FromStoredRecord(stored));
}

}  // namespace

std::uint64_t StableHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

void AppendHeader(std::string& out, const FileHeader& header) {
  std::string body(kMagic);
  AppendLittleEndian(body, kFormatVersion);
  AppendLittleEndian(body, std::uint32_t{kRecordSize});
  AppendLittleEndian(body, header.instance_hash);
  AppendLittleEndian(body, header.boot_id_hash);
  AppendLittleEndian(body, header.generation);
  AppendTime(body, header.created);
  body.resize(kHeaderBodySize, '\0');
  out += body;
  AppendLittleEndian(out, StableHash(body));
}

void AppendRecord(std::string& out, const FileHeader& header, std::uint64_t index, const Record& record) {
  const StoredRecord stored = std::visit([](const auto& typed) { return ToStoredRecord(typed); }, record);
  std::string body;
  AppendLittleEndian(body, stored.type);
  body.resize(kTypeFieldSize, '\0');
  AppendLittleEndian(body, stored.server);
  AppendLittleEndian(body, stored.subject);
  AppendTime(body, stored.time);
  AppendTime(body, stored.replicated_until);
  AppendTime(body, stored.confirmed);
  out += body;
  AppendLittleEndian(out, RecordChecksum(body, header, index));
}

tl::expected<FileHeader, StateFileError> DecodeHeader(std::string_view file) {
  if (file.size() < kHeaderSize) return tl::unexpected(StateFileError::kTooShort);
  if (!file.starts_with(kMagic)) return tl::unexpected(StateFileError::kNotAStateFile);
  const auto checksum = LittleEndianReader(file.substr(kHeaderBodySize)).Read<std::uint64_t>();
  if (checksum != StableHash(file.substr(0, kHeaderBodySize))) {
    return tl::unexpected(StateFileError::kHeaderDamaged);
  }
  LittleEndianReader reader(file.substr(kMagic.size()));
  const auto version = reader.Read<std::uint32_t>();
  const auto record_size = reader.Read<std::uint32_t>();
  if (version != kFormatVersion || record_size != kRecordSize) {
    return tl::unexpected(StateFileError::kUnknownVersion);
  }
  FileHeader header;
  header.instance_hash = reader.Read<std::uint64_t>();
  header.boot_id_hash = reader.Read<std::uint64_t>();
  header.generation = reader.Read<std::uint64_t>();
  header.created = reader.ReadTime();
  return header;
}

FileContents DecodeRecords(std::string_view file, const FileHeader& header) {
  FileContents contents;
  std::string_view rest = file.substr(std::min(kHeaderSize, file.size()));
  for (std::uint64_t index = 0; rest.size() >= kRecordSize; ++index) {
    const std::string_view body = rest.substr(0, kRecordBodySize);
    const auto checksum = LittleEndianReader(rest.substr(kRecordBodySize)).Read<std::uint64_t>();
    if (checksum != RecordChecksum(body, header, index)) break;
    AddRecord(contents, DecodeStoredRecord(body));
    rest.remove_prefix(kRecordSize);
  }
  contents.last_record_torn = !rest.empty() && rest.size() < kRecordSize;
  contents.damaged_bytes = rest.size() >= kRecordSize ? rest.size() : 0;
  return contents;
}

}  // namespace lynxgrade::durability
