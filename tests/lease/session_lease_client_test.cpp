// The lease requests that a lease client sends.
#include <doctest/doctest.h>

#include <set>
#include <vector>

#include "lease/simulated_lease_node.h"

namespace lynxgrade::lease {
namespace {

TEST_CASE("lease client: a read requests a lease only within the bandwidth budget, a write beyond it too") {
  using Use = SessionLeaseClient::Use;
  TimePoint now{Duration(1'700'000'000'000'000)};
  const std::set<IncarnationId> no_dedicated_managers;
  SimulatedLeaseNode node(0, 101, now, 2, {}, no_dedicated_managers);
  SessionLeaseClient::Options options;
  options.self = node.incarnation_id;
  options.bytes_per_s = 4000;
  options.read_requests_per_s = 1000;
  SessionLeaseClient client(options, node, now);
  const std::vector<IncarnationId> managers{node.incarnation_id + 1};
  client.UpdateView(now, {7, true, managers});
  LeaseOutbox out;
  int requested = 0;
  for (int session = 0; session < 100; ++session) {
    requested += client.AcquireLease(now, kGroup, SessionKeyOf(session), Use::kRead, out) ? 1 : 0;
  }
  CHECK(requested == 10);  // half a second's worth at 200 bytes each, while none is granted
  CHECK(client.counts().suppressed_reads == 90);
  CHECK(client.counts().over_budget == 90);
  CHECK(client.AcquireLease(now, kGroup, SessionKeyOf(200), Use::kWrite, out));
  CHECK(out.size() == 11);
  client.RecordTraffic(now, 5000);
  now += kMs * 700;
  client.UpdateView(now, {7, true, managers});
  client.Tick(now, out);  // the requests for reads expire
  CHECK_FALSE(client.AcquireLease(now, kGroup, SessionKeyOf(201), Use::kRead, out));
  now += kMs * 400;
  client.UpdateView(now, {7, true, managers});
  client.Tick(now, out);
  CHECK(client.AcquireLease(now, kGroup, SessionKeyOf(201), Use::kRead, out));
}

}  // namespace
}  // namespace lynxgrade::lease
