// Session leases as the settings, the consistency guard and the proxy use them.
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "replication/lease_fleet.h"
#include "settings/program_settings.h"
#include "support/simulated_fleet.h"

namespace lynxgrade::replication {
namespace {

TEST_CASE("settings: leases are enabled by name, and rejected without proven views or without peers") {
  const std::string sessions = "[sessions]\nscope = \"everywhere\"\n[peers]\n";
  const std::string listens = sessions + "listen = \"127.0.0.1:7000\"\nkey_file = \"k\"\n";
  const auto watermarks = [](const std::string& text) -> std::optional<ReplicationMode> {
    const auto setup = ParseProgramSettings(text);
    if (!setup.has_value()) return std::nullopt;
    return setup->replication.mode;
  };
  CHECK(watermarks(listens) == ReplicationMode::kBroadcast);
  CHECK(watermarks(listens + "marks = \"each\"\n") == ReplicationMode::kBroadcast);
  CHECK(watermarks(listens + "marks = \"directory\"\nasks_per_s = 5\n") == ReplicationMode::kLeases);
  const auto aside =
      ParseProgramSettings(listens + "marks = \"directory\"\nowner = true\nbytes_per_s = 12000\n");
  REQUIRE(aside.has_value());
  CHECK(aside->replication.dedicated_lease_manager);
  CHECK(aside->replication.bytes_per_s == 12000);
  CHECK(aside->replication.batching_delay == kMs * 5);
  const auto waits =
      ParseProgramSettings(listens + "marks = \"directory\"\nbytes_per_s = 12000\ncoalesce_ms = 8\n");
  REQUIRE(waits.has_value());
  CHECK(waits->replication.batching_delay == kMs * 8);
  const auto neither = ParseProgramSettings(listens + "marks = \"directory\"\n");
  REQUIRE(neither.has_value());
  CHECK_FALSE(neither->replication.dedicated_lease_manager);
  CHECK(neither->replication.bytes_per_s == 0);
  struct Wrong {
    std::string text, names;
  };
  for (const Wrong& wrong :
       {Wrong{listens + "marks = \"some\"\n", "'peers.marks' is not \"each\""},
        Wrong{listens + "marks = \"directory\"\nmembers = \"plain\"\n",
              "requires peers.members = \"proven\""},
        Wrong{sessions + "marks = \"directory\"\n", "'peers.marks'"},
        Wrong{listens + "asks_per_s = -1\n", "'peers.asks_per_s' is out of range"},
        Wrong{listens + "owner = true\n", "'peers.owner' requires peers.marks"},
        Wrong{listens + "marks = \"directory\"\nowner = 1\n", "'peers.owner' is not a boolean"},
        Wrong{listens + "bytes_per_s = 12000\n", "'peers.bytes_per_s' requires peers.marks"},
        Wrong{listens + "coalesce_ms = 101\n", "'peers.coalesce_ms' is out of range"},
        Wrong{listens + "marks = \"directory\"\nbytes_per_s = -1\n",
              "'peers.bytes_per_s' is out of range"}}) {
    CAPTURE(wrong.text);
    const auto setup = ParseProgramSettings(wrong.text);
    REQUIRE_FALSE(setup.has_value());
    CHECK(Describe(setup.error()).find(wrong.names) != std::string::npos);
  }
}

TEST_CASE("guard: a session known completely has no gap after its position, and others keep theirs") {
  struct Known final : consistency::SessionLeases {
    std::optional<LogPosition> CompleteThrough(consistency::SessionKey) override { return exact; }
    bool AcquireLease(GroupId, consistency::SessionKey, consistency::LeaseUse use) override {
      ++(use == consistency::LeaseUse::kWrite ? writes : reads);
      return true;
    }
    std::optional<LogPosition> exact;
    int reads = 0, writes = 0;
  } known;
  constexpr ServerId kSuccessor{8};
  consistency::Options options = Everywhere();
  options.reject_uncertain_reads = true;
  consistency::SessionConsistencyGuard consistency_guard(TwoClasses(), options);
  consistency_guard.SetSessionLeases(&known);
  TimePoint now{Duration(1'700'000'000'000'000)};
  EndpointListEvent list{EndpointListKind::kPersisted, {}};
  for (const ServerId member : {kPrimary, kSuccessor})
    list.entries.push_back({.server = member, .group = kGroup});
  Event event = std::move(list);
  consistency_guard.PrepareEvent(now, event);
  // A primary of long ago, and its successor two seconds ago, which held the log up to three seconds ago.
  consistency_guard.LearnTimeline(kGroup, kPrimary, now - kSecond * 3600, now - kSecond * 3600,
                                  now - kSecond * 3);
  consistency_guard.LearnTimeline(kGroup, kSuccessor, now - kSecond * 2, now - kSecond * 3, now);
  consistency_guard.DrainRejectedReads();
  std::uint32_t last = 0;
  const auto read = [&](const char* session) {
    RequestEvent ask{.id = RequestId(++last), .group = kGroup, .request_class = kRead};
    ask.session = session;
    Event of = ask;
    consistency_guard.PrepareEvent(now, of);
    return std::get<RequestEvent>(of).required_position;
  };
  // Not held: a write that may be lost may be its session's.
  CHECK(consistency_guard.ShouldDelayRead(
      {.group = kGroup, .request_class = kRead, .session = "a", .arrived = now}, now));
  read("a");
  CHECK(consistency_guard.DrainRejectedReads().size() == 1);
  // Held: it wrote nothing since the floor, which lies before the loss.
  known.exact = now - kSecond * 20;
  CHECK_FALSE(consistency_guard.ShouldDelayRead(
      {.group = kGroup, .request_class = kRead, .session = "a", .arrived = now}, now));
  CHECK(read("a") == now - kSecond * 20);
  CHECK(consistency_guard.DrainRejectedReads().empty());
  // A floor within the loss is in doubt, and one that is later than the read is cut to it.
  known.exact = now - kSecond * 2 - kMs * 500;
  read("a");
  CHECK(consistency_guard.DrainRejectedReads().size() == 1);
  known.exact = now + kSecond;
  CHECK(read("b") <= now);
  CHECK(consistency_guard.DrainRejectedReads().size() == 1);
  // Its own mark in the loss is in doubt as ever; one before it is served by itself.
  known.exact = now - kSecond * 20;
  consistency_guard.LearnWatermark(kGroup, consistency::SessionKeyOf(kGroup, "lost"),
                                   {now - kSecond * 2 - kMs * 500, kPrimary});
  read("lost");
  CHECK(consistency_guard.DrainRejectedReads().size() == 1);
  consistency_guard.LearnWatermark(kGroup, consistency::SessionKeyOf(kGroup, "kept"),
                                   {now - kSecond * 4, kPrimary});
  CHECK(read("kept") == now - kSecond * 4);
  CHECK(consistency_guard.DrainRejectedReads().empty());
  CHECK(known.reads == 2);
}

// An answer that has run and may not be told yet: it goes out when it may be, or fails at its request's end.
TEST_CASE(
    "proxy: a write's response waits for the session's lease, and fails at the deadline of its request") {
  for (const int granted_after_ms : {0, 60, -1}) {
    CAPTURE(granted_after_ms);
    SimulatedFleet w;
    DataServer& server = w.AddServer(
        [](TestConnection& p, const std::string&) { p.Send(RowResponse("1", "primary", "1000")); });
    server.load_report = "x1=1,x0=1";
    std::function<void()> held;
    std::vector<consistency::SessionKey> asked;
    proxy::Proxy::ReplicationHooks hooks;
    hooks.delay_response = [&](GroupId group, consistency::SessionKey key, std::function<void()> call) {
      CHECK(group == GroupId(2));
      asked.push_back(key);
      held = std::move(call);
      return granted_after_ms != 0;
    };
    w.proxy.SetReplicationHooks(std::move(hooks));
    w.ApplyEndpointList();
    const TimePoint begun = w.loop.Now();
    TestConnection& client = w.ConnectClient({RequestText("write", "k", 400)});
    w.RunUntil([&] { return !asked.empty(); });
    CHECK(asked[0] == consistency::SessionKeyOf(GroupId(2), "k"));
    if (granted_after_ms > 0) {
      w.RunUntil([&] { return w.loop.Now() - begun > kMs * granted_after_ms; });
      CHECK(client.MessageTypes().ends_with("Z"));  // of the start alone
      CHECK_FALSE(client.MessageTypes().ends_with("TDCZ"));
      held();
    }
    w.RunUntil(
        [&] { return client.MessageTypes().ends_with("CZ") || client.MessageTypes().ends_with("EZ"); });
    if (granted_after_ms >= 0) {
      CHECK(client.MessageTypes().ends_with("TDCZ"));
      CHECK(w.proxy.counts().served == 1);
    } else {
      CHECK(client.HasReceived("58000"));
      CHECK(w.loop.Now() - begun <= kMs * 400);
      CHECK(w.loop.Now() - begun > kMs * 200);
      CHECK(w.proxy.counts().failed == 1);
      held();  // too late: nobody is there
      CHECK(w.proxy.counts().served == 0);
    }
    CHECK(w.proxy.requests_in_flight() == 0);
  }
}

}  // namespace
}  // namespace lynxgrade::replication
