// The writes that a change of primary may have lost.
#include "consistency/primary_timeline.h"

#include <doctest/doctest.h>

#include <optional>

#include "consistency/test_positions.h"

namespace lynxgrade::consistency {
namespace {

TEST_CASE(
    "primary timeline: after a change of primary, only writes past the successor's last replica position may "
    "be lost") {
  PrimaryTimeline timeline(Duration(1'000'000));
  CHECK(timeline.HandlePrimaryPosition(kServerA, At(0)));
  timeline.HandleReplicaPosition(kServerB, At(90));
  CHECK_FALSE(timeline.HandlePrimaryPosition(kServerA, At(100)));
  CHECK(timeline.HandlePrimaryPosition(kServerB, At(3000)));
  struct Case {
    WriteWatermark watermark;
    bool may_be_lost;
  };
  for (const Case& test :
       {Case{{At(90), kServerA}, false}, Case{{At(91), kServerA}, true}, Case{{At(3100), kServerA}, true},
        Case{{At(2900), kServerB}, false}, Case{{At(91), std::nullopt}, true}}) {
    CAPTURE(test.watermark.position.time_since_epoch().count());
    CHECK(timeline.MayBeLost(test.watermark) == test.may_be_lost);
  }
  CHECK(timeline.MayBeLost(WriteInterval{At(50), At(95)}));
  CHECK_FALSE(timeline.MayBeLost(WriteInterval{At(3001), At(3100)}));
}

TEST_CASE(
    "primary timeline: a replica's position later than the known timeline can have lasted is not trusted") {
  PrimaryTimeline timeline(Duration(1'000'000));
  CHECK_FALSE(timeline.MaxTrustedPosition());
  timeline.HandlePrimaryPosition(kServerA, At(100));
  CHECK(*timeline.MaxTrustedPosition() == At(1100));
  timeline.HandleReplicaPosition(kServerB, At(80));
  timeline.HandleReplicaPosition(kServerB, At(5000));  // on the timeline of a successor that is not known yet
  timeline.HandlePrimaryPosition(kServerB, At(6000));
  CHECK(timeline.replicated_through() == At(80));
}

TEST_CASE("primary timeline: a primary that was a replica in between may have lost its own earlier writes") {
  PrimaryTimeline timeline(Duration(1'000'000));
  timeline.HandlePrimaryPosition(kServerA, At(100));
  timeline.HandleReplicaPosition(kServerA, At(4000));
  timeline.HandlePrimaryPosition(kServerA, At(9000));
  CHECK(timeline.MayBeLost(WriteWatermark{At(90), kServerA}));
  CHECK_FALSE(timeline.HandlePrimaryPosition(kServerA, At(9100)));
}

TEST_CASE(
    "primary timeline: a peer's observation narrows a loss and adds a timeline that was not seen here") {
  PrimaryTimeline timeline(Duration(1'000'000));
  timeline.HandlePrimaryPosition(kServerA, At(100));
  timeline.HandlePrimaryPosition(kServerB, At(5000));
  CHECK(timeline.MayBeLost(WriteWatermark{At(80), kServerA}));
  timeline.Merge(kServerB, At(3000), At(95), At(5000));
  CHECK_FALSE(timeline.MayBeLost(WriteWatermark{At(80), kServerA}));
  CHECK(timeline.MayBeLost(WriteWatermark{At(96), kServerA}));
  timeline.Merge(kServerC, At(8000), At(7000), At(8200));
  CHECK(timeline.primary() == kServerC);
  CHECK(timeline.MayBeLost(WriteWatermark{At(7500), kServerB}));
}

}  // namespace
}  // namespace lynxgrade::consistency
