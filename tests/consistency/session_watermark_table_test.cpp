// Compares the watermark table with a plain map, with evictions and a moving base.
#include "consistency/session_watermark_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "consistency/test_positions.h"

namespace lynxgrade::consistency {
namespace {

TEST_CASE(
    "watermark table: no session has a position older than its newest write, compared with a plain map") {
  CHECK(rc::check("watermark table", [](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& writes) {
    SessionWatermarkTable watermark_table(24);  // six buckets: most of 256 sessions have to be evicted
    std::map<std::uint8_t, WriteWatermark> model;
    for (const auto& [session, ms] : writes) {
      const SessionKey key = SessionKeyOf(kGroup, std::to_string(session));
      const WriteWatermark watermark{At(ms), ServerId(session % 3u)};
      watermark_table.Record(key, watermark);
      WriteWatermark& newest = model.try_emplace(session, watermark).first->second;
      if (watermark.position > newest.position) newest = watermark;
      for (const auto& [other, known] : model) {
        const auto found = watermark_table.Find(SessionKeyOf(kGroup, std::to_string(other)));
        const bool known_exactly = found.watermark && found.watermark->position == known.position;
        const bool known_conservatively =
            !found.watermark && found.conservative_position && *found.conservative_position >= known.position;
        RC_ASSERT(known_exactly || known_conservatively);
        if (known_exactly) RC_ASSERT(found.watermark->server == known.server || !found.watermark->server);
      }
    }
    RC_ASSERT(watermark_table.size() <= 24 * 2);
  }));
}

TEST_CASE("watermark table: while nothing was evicted, a session that never wrote has no position") {
  SessionWatermarkTable watermark_table(1000);
  watermark_table.Record(SessionKeyOf(kGroup, "a"), {At(5), kServerA});
  const auto other = watermark_table.Find(SessionKeyOf(kGroup, "b"));
  CHECK_FALSE(other.watermark);
  CHECK_FALSE(other.conservative_position);
  CHECK(SessionKeyOf(kGroup, "a") != SessionKeyOf(GroupId(3), "a"));
}

TEST_CASE(
    "watermark table: when the base moves, positions keep their order and those before it are rounded up") {
  SessionWatermarkTable watermark_table(100);
  watermark_table.Record(SessionKeyOf(kGroup, "old"), {At(0), kServerA});
  const std::int64_t weeks = 50LL * 86'400'000;
  watermark_table.Record(SessionKeyOf(kGroup, "new"), {At(weeks), kServerA});
  CHECK(watermark_table.Find(SessionKeyOf(kGroup, "new")).watermark->position == At(weeks));
  CHECK(watermark_table.Find(SessionKeyOf(kGroup, "old")).watermark->position >= At(0));
  CHECK(watermark_table.Find(SessionKeyOf(kGroup, "old")).watermark->position < At(weeks));
}

}  // namespace
}  // namespace lynxgrade::consistency
