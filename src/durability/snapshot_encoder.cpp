#include "durability/snapshot_encoder.h"

#include <algorithm>

namespace lynxgrade::durability {
namespace {

// Buckets of the watermark table that are encoded at once, so that no turn of the main loop takes long.
constexpr std::size_t kBucketsPerPart = 2048;

}  // namespace

void FileEncoder::SetIdentity(std::uint64_t instance_hash, std::uint64_t boot_id_hash,
                              std::uint64_t generation) {
  header_.instance_hash = instance_hash;
  header_.boot_id_hash = boot_id_hash;
  header_.generation = generation;
}

std::string FileEncoder::BeginFile(TimePoint created) {
  ++header_.generation;
  header_.created = created;
  next_index_ = 0;
  std::string bytes;
  AppendHeader(bytes, header_);
  file_bytes_ = bytes.size();
  return bytes;
}

void FileEncoder::Append(std::string& out, const Record& record) {
  const std::size_t size_before = out.size();
  AppendRecord(out, header_, next_index_++, record);
  file_bytes_ += out.size() - size_before;
}

std::string SnapshotEncoder::EncodeNextPart(TimePoint now) {
  const consistency::SessionWatermarkTable& table = guard_.watermark_table();
  const std::size_t end = std::min(table.bucket_count(), *next_bucket_ + kBucketsPerPart);
  std::string part;
  for (std::size_t bucket = *next_bucket_; bucket < end; ++bucket) {
    table.ForEachInBucket(bucket,
                          [&](consistency::SessionKey session, const consistency::WriteWatermark& watermark) {
                            if (watermark.position + guard_.write_retention() < now) return;
                            encoder_.Append(part, WatermarkRecord{session, watermark});
                          });
  }
  next_bucket_ = end;
  if (end == table.bucket_count()) next_bucket_.reset();
  return part;
}

}  // namespace lynxgrade::durability
