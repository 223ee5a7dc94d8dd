// Tests of the parts that decide on requests: retries, eligibility, selection and load shedding.
#include <doctest/doctest.h>

#include "routing/decision_parts.h"

namespace lynxgrade {
namespace {

TEST_CASE("a request that may have run is retried as its idempotency allows") {
  const struct {
    Idempotency idempotency;
    Duration window;
  } cases[] = {
      {Idempotency::kIdempotent, Duration::max()},
      {Idempotency::kIdempotencyKey, Milliseconds(500 - 5 - 100)},  // minus one tick and the elapsed time
      {Idempotency::kNotIdempotent, Duration{0}}};
  for (const auto& expected : cases) {
    CAPTURE(static_cast<int>(expected.idempotency));
    DecisionParts parts(SettingsFor(AccessKind::kWrite, expected.idempotency));
    Request request = parts.MakeRequest();
    CHECK(parts.retry_policy.RetryWindow(request) == Duration::max());
    request.attempts.push_back({kPrimary, 0, parts.context.now(), false});
    parts.Advance(Milliseconds(100));
    CHECK(parts.retry_policy.RetryWindow(request) == expected.window);
    request.attempts[0].may_have_run = false;
    CHECK(parts.retry_policy.MayRetry(request));
  }
}

TEST_CASE("a hedged request requires the setting and an idempotent class") {
  for (const bool may_hedge : {false, true}) {
    for (const Idempotency idempotency : {Idempotency::kIdempotent, Idempotency::kIdempotencyKey}) {
      Settings settings = SettingsFor(AccessKind::kWrite, idempotency);
      settings.may_hedge = may_hedge;
      DecisionParts parts(settings);
      Request request = parts.MakeRequest();
      request.attempts.push_back({kPrimary, 0, parts.context.now()});
      CHECK(parts.retry_policy.MayAttempt(request, 0) ==
            (may_hedge && idempotency == Idempotency::kIdempotent));
    }
  }
}

TEST_CASE("retries use up the retry budget and requests refill it") {
  DecisionParts parts(SettingsFor(AccessKind::kEventualRead));
  int retries = 0;
  while (parts.retry_policy.ConsumeBudget()) ++retries;
  CHECK(retries == 20);
  for (int i = 0; i < 6; ++i) parts.retry_policy.RecordRequest();
  CHECK(parts.retry_policy.ConsumeBudget());
  CHECK_FALSE(parts.retry_policy.ConsumeBudget());
}

TEST_CASE("a read is sent only to replicas at its required position if there is one") {
  DecisionParts parts(SettingsFor(AccessKind::kBoundedRead));
  parts.replication.RecordRole(parts.servers.At(kPrimary), ServerRole::kPrimary, parts.context.now());
  parts.replication.RecordPosition(parts.servers.At(kReplica), parts.context.now());
  parts.replication.RecordPosition(parts.servers.At(kOtherReplica), parts.context.now() - Milliseconds(5000));
  const Request request = parts.MakeRequest();
  const auto candidates = parts.eligibility.ReadCandidates(request);
  REQUIRE(candidates.size() == 1);
  CHECK(candidates[0]->id == kReplica);
  CHECK(parts.candidate_selection.Draw(request, candidates) == candidates[0]);
  CHECK(parts.candidate_selection.Draw(request, {}) == nullptr);
}

TEST_CASE("a strong read goes to the primary until the primary rejects it as misrouted") {
  DecisionParts parts(SettingsFor(AccessKind::kStrongRead));
  Server& primary = parts.servers.At(kPrimary);
  parts.replication.RecordRole(primary, ServerRole::kPrimary, parts.context.now());
  Request request = parts.MakeRequest();
  request.role_changes_seen = parts.servers.GroupOf(kGroup).role_changes;
  CHECK(parts.primary_selection.Choose(request) == &primary);
  request.misrouted_to.insert(kPrimary);
  request.primary_misses = 1;
  const Server* other = parts.primary_selection.Choose(request);
  REQUIRE(other != nullptr);
  CHECK(other->id != kPrimary);
}

TEST_CASE("the overflow window of a primary starts at one read") {
  DecisionParts parts(SettingsFor(AccessKind::kBoundedRead));
  Server& primary = parts.servers.At(kPrimary);
  const Request request = parts.MakeRequest();
  CHECK(parts.primary_overflow.PrimaryWithSpareCapacity(request) == nullptr);
  parts.replication.RecordRole(primary, ServerRole::kPrimary, parts.context.now());
  REQUIRE(parts.primary_overflow.PrimaryWithSpareCapacity(request) == &primary);
  parts.primary_overflow.RecordSent(primary);
  CHECK(parts.primary_overflow.PrimaryWithSpareCapacity(request) == nullptr);
  parts.primary_overflow.RecordEnd(primary, Outcome::kOk);
  CHECK(parts.primary_overflow.PrimaryWithSpareCapacity(request) == &primary);
}

TEST_CASE("a request is too late if less than half of its baseline latency is left of its objective") {
  DecisionParts parts(SettingsFor(AccessKind::kEventualRead));
  const Request request = parts.MakeRequest();
  CHECK(parts.load_shedding.UsefulUntil(request) == request.arrived + Milliseconds(400));
  CHECK_FALSE(parts.load_shedding.IsTooLate(request));
  parts.Advance(Milliseconds(340));
  CHECK_FALSE(parts.load_shedding.IsTooLate(request));
  parts.Advance(Milliseconds(20));
  CHECK(
      parts.load_shedding.IsTooLate(request));  // the initial baseline is 100 ms, a quarter of the objective
}

TEST_CASE("Retry-After is zero if clients do not honor it, else within its limit") {
  for (const bool honored : {false, true}) {
    Settings settings = SettingsFor(AccessKind::kEventualRead);
    settings.clients_honor_retry_after = honored;
    settings.max_retry_after = Milliseconds(300);
    DecisionParts parts(settings);
    for (ServerId id : {kPrimary, kReplica, kOtherReplica}) {
      parts.servers.At(id).ejection.ejected_until = parts.context.now() + Milliseconds(2000);
    }
    CHECK(parts.load_shedding.RetryAfter(parts.MakeRequest()) == (honored ? Milliseconds(300) : Duration{0}));
  }
}

}  // namespace
}  // namespace lynxgrade
