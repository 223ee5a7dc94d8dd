// Tests of the scale run's parts: the check of its options, the steps of its scripts, the simulated
// databases, and the pooler instances that it hosts without sockets and destroys while their loop runs on.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <set>

#include "instance.h"
#include "pooler_process.h"
#include "scale_databases.h"
#include "scale_host.h"
#include "scale_script.h"

namespace lynxgrade::testbed {
namespace {

const Machine kLarge{20000, 20000, 10000};

TimePoint At(std::int64_t ms) { return TimePoint(Duration(1'000'000'000'000 + ms * 1000)); }

TEST_CASE("impossible options are rejected with a message") {
  ScaleOptions options;
  CHECK(ValidateScaleOptions(options, kLarge) == "");
  const auto rejection = [&](auto change) {
    ScaleOptions changed = options;
    change(changed);
    return ValidateScaleOptions(changed, kLarge);
  };
  CHECK(rejection([](auto& o) {
          o.script = "flood";
        }).find("unknown script \"flood\": it must be one of quiet, ") == 0);
  CHECK(rejection([](auto& o) { o.watermarks = "some"; }).find("--marks \"some\"") == 0);
  CHECK(rejection([](auto& o) { o.scope = "all"; }).find("--scope \"all\"") == 0);
  CHECK(rejection([](auto& o) { o.scope = "instance"; }).find("--real 0") != std::string::npos);
  CHECK(rejection([](auto& o) { o.poolers = 2; }) ==
        "--poolers 2 is out of range: it must be between 3 and 1000");
  CHECK(rejection([](auto& o) { o.poolers = 1001; }).find("--poolers 1001") == 0);
  CHECK(rejection([](auto& o) { o.databases = 0; }).find("--databases 0") == 0);
  CHECK(rejection([](auto& o) { o.real = 41, o.poolers = 100; }).find("--real 41") == 0);
  CHECK(rejection([](auto& o) { o.seconds = 0; }).find("--seconds 0") == 0);
  CHECK(rejection([](auto& o) { o.writes_share = 1.5; }).find("--writes-share 1.5") == 0);
  CHECK(rejection([](auto& o) { o.roam_share = -0.1; }).find("--roam-share -0.1") == 0);
  CHECK(rejection([](auto& o) { o.real = 4, o.poolers = 4; }) ==
        "at least one pooler must be simulated: --poolers must be greater than --real");
  CHECK(rejection([](auto& o) { o.hosts = 39, o.poolers = 40; }).find("there are more processes") == 0);
  CHECK(rejection([](auto& o) { o.watermarks = "none"; }).find("--real 0") != std::string::npos);
  CHECK(rejection([](auto& o) { o.own_reads_share = 1.5; }).find("--own-reads-share 1.5") == 0);
  CHECK(rejection([](auto& o) { o.own_reads_share = 0.96; }).find("add up to more than 1") !=
        std::string::npos);
  CHECK(rejection([](auto& o) { o.warm_s = 601; }).find("--warm-s 601") == 0);
  CHECK(rejection([](auto& o) { o.owners = -1; }).find("--owners -1") == 0);
  CHECK(rejection([](auto& o) { o.alone = -1; }).find("--alone -1") == 0);
  CHECK(rejection([](auto& o) { o.bytes_per_s = -1; }).find("--bytes-per-s -1") == 0);
  CHECK(rejection([](auto& o) { o.owners = 7; }).find("--marks directory") != std::string::npos);
  CHECK(rejection([](auto& o) { o.bytes_per_s = 12000; }).find("--marks directory") != std::string::npos);
  CHECK(rejection([](auto& o) {
          o.watermarks = "directory";
          o.owners = 34;
        }).find("there are more processes") == 0);
}

TEST_CASE("a machine with too little memory or too few descriptors is rejected before the start") {
  ScaleOptions options;
  options.poolers = 820;
  options.real = 0;
  CHECK(ValidateScaleOptions(options, kLarge) == "");
  CHECK(ValidateScaleOptions(options, {20000, 500, 10000}).find("MB of memory and may use 500") !=
        std::string::npos);
  CHECK(ValidateScaleOptions(options, {256, 20000, 10000}).find("descriptors and its limit is 256") !=
        std::string::npos);
  options.poolers = 40;
  CHECK(ValidateScaleOptions(options, {1024, 1000, 10000}) == "");
}

TEST_CASE("a machine with too few cores is rejected before the start") {
  ScaleOptions options;
  options.real = 0;
  options.watermarks = "directory";
  const Machine eight{20000, 20000, 8};
  options.poolers = 205;
  CHECK(ValidateScaleOptions(options, eight) == "");
  // Sending watermarks to each instance costs CPU time that grows with the square of the number of poolers.
  options.watermarks = "each";
  options.poolers = 100;
  CHECK(ValidateScaleOptions(options, eight) == "");
  options.poolers = 820;
  const std::string problem = ValidateScaleOptions(options, eight);
  CHECK(problem.find("the run keeps an estimated ") == 0);
  CHECK(problem.find(" cores busy and may use 6.4 of 8") != std::string::npos);
  // Each part of the work adds to the estimate.
  const auto cores = [&](auto change) {
    ScaleOptions other;
    other.watermarks = "directory";
    change(other);
    return EstimatedCores(other);
  };
  const double min_cores = cores([](auto&) {});
  CHECK(min_cores > 0);
  CHECK(cores([](auto& o) { o.poolers = 80; }) > 2 * min_cores);
  CHECK(cores([](auto& o) { o.watermarks = "each"; }) > min_cores);
  const double load = cores([](auto& o) { o.script = "load"; });
  CHECK(load > min_cores);
  CHECK(cores([](auto& o) { o.script = "load", o.databases = 730; }) > load);
  CHECK(cores([](auto& o) { o.script = "load", o.statements_per_s = 200; }) > load);
  CHECK(cores([](auto& o) { o.statements_per_s = 200; }) == min_cores);  // the quiet script has no load
}

TEST_CASE("dedicated lease managers follow the poolers with a process each, each in another zone") {
  ScaleOptions options;
  options.poolers = 64;
  options.real = 2;
  options.alone = 4;
  options.owners = 7;
  options.watermarks = "directory";
  CHECK(ValidateScaleOptions(options, kLarge) == "");
  std::set<int> zones;
  for (int i = 0; i < options.poolers; ++i) {
    CHECK(IsOwner(options, i) == (i >= 6 && i < 13));
    if (IsOwner(options, i)) zones.insert(PlacementOf(i, options.real).zone);
  }
  CHECK(zones.size() == 7);
  ScaleSpec spec;
  spec.poolers = 64;
  spec.real = 2;
  spec.alone = 4;
  spec.owners = 7;
  spec.hosts = 3;
  std::set<int> separate;
  for (int i = 2; i < 64; ++i) {
    CHECK(spec.IsOwner(i) == IsOwner(options, i));
    if (i < 13) separate.insert(spec.HostOf(i));
    if (i >= 13) CHECK(spec.HostOf(i) >= 11);
    CHECK(spec.HostOf(i) < spec.processes());
  }
  CHECK(separate.size() == 11);
  CHECK(!spec.IsOwner(64));  // nor a replacement pooler
  // Lease managers are never replaced. The rack and the zone script kill one, the regions script partitions
  // them.
  options.script = "replaced";
  for (const Step& step : MakeSteps(options, 4)) CHECK(!IsOwner(options, step.targets.front()));
  const auto owners = [&](const char* script) {
    options.script = script;
    return std::ranges::count_if(MakeSteps(options, 4).front().targets,
                                 [&](int pooler) { return IsOwner(options, pooler); });
  };
  CHECK(owners("rack") == 1);
  CHECK(owners("zone") == 1);
  CHECK(owners("regions") == 3);
}

TEST_CASE("statements of the load are drawn by their shares") {
  ScaleOptions options;
  CHECK(OwnReadsShare(options) == doctest::Approx(0.475));  // half of those that do not write
  options.own_reads_share = 0.14;
  CHECK(OwnReadsShare(options) == 0.14);
  ScaleSpec spec;
  spec.poolers = 10;
  spec.writes_share = 0.05;
  spec.own_reads_share = 0.14;
  spec.roam_share = 0.5;
  std::mt19937_64 random(1);
  int writes = 0, own_reads = 0, at_home = 0;
  for (int i = 0; i < 100000; ++i) {
    const DrawnStatement statement = DrawStatement(spec, 3, random);
    writes += statement.cls == kMatchWrite;
    own_reads += statement.cls == kOwnRead;
    CHECK(statement.session < static_cast<std::size_t>(10 * kSessionsPerPooler));
    at_home += statement.session / kSessionsPerPooler == 3;
  }
  CHECK(writes == doctest::Approx(5000).epsilon(0.05));
  CHECK(own_reads == doctest::Approx(14000).epsilon(0.05));
  CHECK(at_home == doctest::Approx(55000).epsilon(0.05));  // half, and a tenth of the roaming ones
}

TEST_CASE("every script's steps lie within the run and affect simulated poolers only") {
  ScaleOptions options;
  options.poolers = 72;
  options.real = 2;
  for (const std::string& script : ScaleScriptNames()) {
    for (const int seconds : {5, 20, 60}) {
      options.script = script;
      options.seconds = seconds;
      const auto steps = MakeSteps(options, 4);
      CAPTURE(script);
      CHECK(steps.empty() == (script == "quiet" || script == "load"));
      for (const Step& step : steps) {
        CHECK(step.at > Duration{0});
        CHECK(step.at < Duration(seconds * 1'000'000));
        if (step.action == Step::Action::kPrimary) continue;
        for (const int pooler : step.targets) CHECK(pooler >= options.real);
      }
      CHECK(std::ranges::is_sorted(steps, {}, &Step::at));
      CHECK(ScriptSpeedup(options, 4) > 0);
    }
  }
}

TEST_CASE("each script has the steps that its name says") {
  using Action = Step::Action;
  ScaleOptions options;
  options.poolers = 205;
  options.real = 0;
  options.owners = 7;
  options.watermarks = "directory";
  const auto steps = [&](const char* script) {
    options.script = script;
    return MakeSteps(options, 244);
  };
  for (const char* script : {"rack", "zone"}) {
    const auto failure = steps(script);
    REQUIRE(failure.size() == 2);
    CHECK(failure[0].action == Action::kKill);
    CHECK(failure[1].action == Action::kRestart);
    CHECK(failure[1].at - failure[0].at >= Duration(5'000'000));  // long enough to be declared dead
    CHECK(failure[0].targets == failure[1].targets);
    std::set<int> zones;
    for (const int pooler : failure[0].targets) zones.insert(PlacementOf(pooler, 0).zone);
    CHECK(zones.size() == 1);
  }
  const auto partition = steps("regions");
  REQUIRE(partition.size() == 2);
  CHECK(partition[0].action == Action::kCut);
  CHECK(partition[1].action == Action::kHeal);
  CHECK(partition[0].targets.size() == 87);
  for (const int pooler : partition[0].targets) CHECK(PlacementOf(pooler, 0).region == 1);
  for (const Step& step : steps("replaced")) {
    CHECK(step.action == Action::kReplace);
    CHECK(step.targets.size() == 1);
  }
  REQUIRE(steps("configuration").size() == 1);
  CHECK(steps("configuration")[0].action == Action::kConfiguration);
  std::set<int> groups;
  for (const Step& step : steps("primaries")) {
    CHECK(step.action == Action::kPrimary);
    groups.insert(step.targets.begin(), step.targets.end());
  }
  CHECK(groups.size() == steps("primaries").size());
  CHECK(groups.size() == 4);
}

TEST_CASE("the start-up gossip takes longer without watermarks to carry it, and with more poolers") {
  ScaleOptions options;
  const auto seconds = [&] { return static_cast<double>(StartupGossipTime(options).count()) * 1e-6; };
  CHECK(seconds() == 3);
  options.script = "load";
  CHECK(seconds() == 13);
  options.watermarks = "directory";
  options.poolers = 205;
  CHECK(seconds() == doctest::Approx(13 + 205 * 3 * 7.693 / 60).epsilon(0.01));
  options.poolers = 820;
  options.script = "quiet";
  CHECK(seconds() == doctest::Approx(3 + 820 * 3 * 9.683 / 60).epsilon(0.01));  // not limited
}

TEST_CASE("the poolers that the zone, rack and regions scripts affect") {
  ScaleOptions options;
  options.poolers = 140;
  options.real = 0;
  const auto affected = [&](const char* script) {
    options.script = script;
    return MakeSteps(options, 4).front().targets.size();
  };
  CHECK(affected("zone") == 20);
  CHECK(affected("rack") == 10);
  CHECK(affected("regions") == 60);
  CHECK(PlacementOf(6, 0).zone == 6);
  CHECK(PlacementOf(6, 0).region == 1);
  CHECK(PlacementOf(6, 7).region == 0);  // real poolers are in the first region
  options.script = "replaced";
  std::set<int> replaced;
  for (const Step& step : MakeSteps(options, 4)) replaced.insert(step.targets.front());
  CHECK(replaced.size() == MakeSteps(options, 4).size());
}

TEST_CASE("the speed-up of events over the capacity target") {
  ScaleOptions options;
  options.script = "regions";
  options.seconds = 20;
  CHECK(ScriptSpeedup(options, 4) == doctest::Approx(300 / 9.0));
  options.script = "configuration";
  CHECK(ScriptSpeedup(options, 4) == doctest::Approx(86400 / 20.0 / 290));
  options.script = "quiet";
  CHECK(ListChangesPerS(options) == 0);
  CHECK(ListSpeedup(options) == 1);
  options.changes_per_s = 1;
  CHECK(ListSpeedup(options) == doctest::Approx(86400 / (93 * 730.0 / 1147)));
}

TEST_CASE("simulated databases: a replica lags, and a failover loses what was not replicated") {
  SimulatedDatabases databases({3, 3, 1});
  CHECK(databases.size() == 7);
  CHECK(databases.MemberAt(4).group == 1);
  CHECK(databases.MemberAt(4).member == 1);
  const SimulatedDatabases::Member primary{0, 0}, replica{0, 1}, other{0, 2};
  CHECK(databases.IsPrimary(primary, At(100)));
  CHECK(!databases.Commit(replica, At(100)));
  const DataState early = *databases.Commit(primary, At(100)), late = *databases.Commit(primary, At(498));
  CHECK(databases.Contains(0, databases.StateOf(primary, At(100)), early));
  CHECK(!databases.Contains(0, databases.StateOf(replica, At(100)), early));
  CHECK(databases.Contains(0, databases.StateOf(replica, At(120)), early));
  databases.Fail(0, 0, At(500));
  CHECK(!databases.IsUp(primary, At(500)));
  CHECK(!databases.Commit(primary, At(500)));
  CHECK(databases.Commit(primary, At(499)));  // the failure was announced ahead of its time
  CHECK(databases.StateOf(replica, At(900)).position < At(500));
  databases.Promote(0, 1, At(2000));
  CHECK(!databases.Commit(replica, At(1999)));
  const DataState next = *databases.Commit(replica, At(2000));
  CHECK(next.timeline == 1);
  // It has the commits that it had as a replica, and not the later ones of the former primary, although its
  // position is past all of them.
  CHECK(databases.Contains(0, next, early));
  CHECK(late.position < next.position);
  CHECK(!databases.Contains(0, next, late));
  CHECK(!databases.Contains(0, databases.StateOf(other, At(3000)), late));
  CHECK(databases.Contains(0, databases.StateOf(other, At(3000)), next));
  databases.Recover(0, 0, At(4000));
  CHECK(databases.IsUp(primary, At(4000)));
  CHECK(!databases.IsPrimary(primary, At(4000)));
  CHECK(!databases.Contains(0, databases.StateOf(primary, At(5000)), late));
}

TEST_CASE("the files of a simulated pooler can be read by a real one") {
  ScaleSpec spec;
  spec.folder = "/nowhere";
  spec.scope = "everywhere";
  spec.poolers = 3;
  spec.udp = {4001, 4002, 4003};
  spec.discovery = 4000;
  spec.seed = 7;
  const auto config = ParsePlatformConfig(MakeScaleConfig(spec, 1, 5000));
  REQUIRE(config);
  CHECK(config->settings.fleet_size == 3);
  const auto setup = ParseProgramSettings(MakeScaleSettings(spec, 1, {0, 1, 2}, 0));
  REQUIRE(setup);
  CHECK(setup->replication.seeds.size() == 2);
  CHECK(setup->replication.listen_address->port == 4002);
  CHECK(!setup->replication.dedicated_lease_manager);
  spec.watermarks = "directory";
  spec.owners = 1;
  spec.bytes_per_s = 12000;
  for (const int pooler : {0, 1}) {
    const auto read = ParseProgramSettings(MakeScaleSettings(spec, pooler, {0, 1, 2}, 0));
    REQUIRE(read);
    CHECK(read->replication.dedicated_lease_manager == (pooler == 0));
    CHECK(read->replication.bytes_per_s == 12000);
  }
}

// ---- Instances without sockets ----

// Records the attempts and answers none by itself.
struct RecordingUpstream final : proxy::Upstream {
  void StartAttempt(RequestId request, AttemptNumber attempt, ServerId member,
                    std::shared_ptr<const proxy::Statement>, proxy::AttemptTimeouts) override {
    sent.push_back({request, attempt, member});
  }
  void CancelAttempt(RequestId, AttemptNumber) override {}
  void CancelUnsentAttempts(RequestId) override {}
  void StartHealthCheck(ServerId) override {}
  void CloseIdleConnections(ServerId) override {}
  struct Sent {
    RequestId request;
    AttemptNumber attempt;
    ServerId member;
  };
  std::vector<Sent> sent;
};

struct CountingClient final : proxy::Client {
  void OnResponse(const proxy::Response&) override { ++served; }
  void OnRejected(Duration) override { ++rejected; }
  void OnFailed() override { ++failed; }
  void OnInvalidStatement() override { ++failed; }
  int served = 0, rejected = 0, failed = 0;
};

struct FixedStatement final : proxy::Statement {
  std::string TextWithBudget(Duration) const override { return "SELECT 1"; }
};

// One instance on a loop, with a recording upstream and one listed server.
struct InstanceFixture {
  InstanceFixture() {
    ScaleSpec spec;
    spec.poolers = 1;
    spec.udp = {1};
    spec.discovery = 1;  // nothing listens there
    auto read = ParsePlatformConfig(MakeScaleConfig(spec, 0, 1));
    config = std::move(read.value());
    config.known_endpoint_list =
        R"({"rev":3,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:9","az":"a","pod_group":1,)"
        R"("state":"Ready","capacity_hint":1.0}]})";
    Instance::Host host;
    host.set_server_address = [this](ServerId, const net::Address& address) {
      ports.push_back(address.port);
    };
    host.remove_server = [](ServerId) {};
    instance = std::make_unique<Instance>(loop, config, setup, backends, host);
  }
  void SendRequest(Duration time, ClassIndex cls = kHistoryRead) {
    proxy::Request request;
    request.event.group = GroupId(1);
    request.event.request_class = cls;
    request.event.session = "s1";
    request.event.time_left = time;
    request.statement = std::make_shared<FixedStatement>();
    instance->proxy().StartRequest(std::move(request), client, id);
  }
  void RunFor(Duration time) {
    net::Timer end(loop);
    end.ScheduleAfter(time, [this] { loop.Stop(); });
    loop.Run();
  }
  net::Loop loop;
  PlatformConfig config;
  ProgramSettings setup;
  RecordingUpstream backends;
  CountingClient client;
  RequestId id{};
  std::vector<int> ports;
  std::unique_ptr<Instance> instance;
};

TEST_CASE("an instance serves through the upstream of its host") {
  InstanceFixture fixture;
  REQUIRE(fixture.instance->Start());
  CHECK(fixture.instance->has_listed_servers());
  CHECK(fixture.instance->IsCountedByPeers());
  CHECK(fixture.ports == std::vector<int>{9});
  fixture.SendRequest(Duration(1'000'000));
  REQUIRE(fixture.backends.sent.size() == 1);
  proxy::AttemptResult end;
  end.request = fixture.backends.sent[0].request;
  end.attempt = fixture.backends.sent[0].attempt;
  end.server = fixture.backends.sent[0].member;
  end.outcome = Outcome::kOk;
  end.response.emplace();
  static_cast<proxy::UpstreamEvents&>(fixture.instance->proxy()).OnAttemptFinished(end);
  CHECK(fixture.client.served == 1);
}

TEST_CASE("a destroyed instance leaves no timer behind") {
  InstanceFixture fixture;
  REQUIRE(fixture.instance->Start());
  fixture.SendRequest(Duration(400000));
  REQUIRE(fixture.backends.sent.size() == 1);
  const std::size_t timers = fixture.loop.timer_count();
  CHECK(timers > 0);
  fixture.instance.reset();
  fixture.RunFor(Duration(500000));  // past the request's deadline and the next periodic tick
  CHECK(fixture.client.served + fixture.client.rejected + fixture.client.failed == 0);
  CHECK(fixture.loop.timer_count() == 0);
}

TEST_CASE("an instance destroyed while it delays a response calls no client afterwards") {
  InstanceFixture fixture;
  REQUIRE(fixture.instance->Start());
  proxy::Proxy::ReplicationHooks hooks;
  hooks.delay_response = [](GroupId, consistency::SessionKey, const std::function<void()>&) {
    return true;
  };  // never released
  fixture.instance->proxy().SetReplicationHooks(std::move(hooks));
  fixture.SendRequest(Duration(400000), kMatchWrite);
  REQUIRE(fixture.backends.sent.size() == 1);
  proxy::AttemptResult end;
  end.request = fixture.backends.sent[0].request;
  end.attempt = fixture.backends.sent[0].attempt;
  end.server = fixture.backends.sent[0].member;
  end.outcome = Outcome::kOk;
  end.metadata.primary = true;
  end.metadata.position = fixture.loop.Now();
  end.response.emplace();
  static_cast<proxy::UpstreamEvents&>(fixture.instance->proxy()).OnAttemptFinished(end);
  CHECK(fixture.client.served == 0);
  fixture.instance.reset();
  fixture.RunFor(Duration(500000));  // past the request's deadline
  CHECK(fixture.client.served + fixture.client.rejected + fixture.client.failed == 0);
}

// Two instances on one loop that exchange datagrams over real sockets.
struct InstancePair {
  explicit InstancePair(bool membership_only) {
    spec.folder = folder.path();
    spec.scope = "everywhere";
    folder.Write("key", "1 " + std::string(64, 'a') + "\n");
    spec.poolers = 2;
    spec.udp = {FreePort(true), FreePort(true)};
    spec.discovery = 1;  // nothing listens there
    for (std::size_t i = 0; i < 2; ++i) {
      auto read = ParsePlatformConfig(MakeScaleConfig(spec, static_cast<int>(i), 1));
      config[i] = std::move(read.value());
      auto settings = ParseProgramSettings(MakeScaleSettings(spec, static_cast<int>(i), {0, 1}, 0));
      setup[i] = std::move(settings.value());
      Instance::Host host;
      host.set_server_address = [](ServerId, const net::Address&) {};
      host.remove_server = [](ServerId) {};
      host.make_replication_service = [this, membership_only](replication::ReplicationContext context) {
        context.delivers_datagrams = [this](const std::string& address) {
          destinations.insert(address);
          return !partitioned;
        };
        context.membership_only = membership_only;
        return replication::LoadReplicationModule(std::move(context));
      };
      instance[i] = std::make_unique<Instance>(loop, config[i], setup[i], backends, host);
      REQUIRE(instance[i]->Start());
    }
  }
  void RunFor(Duration time) {
    net::Timer end(loop);
    end.ScheduleAfter(time, [this] { loop.Stop(); });
    loop.Run();
  }
  // Runs until the condition holds, for 30 s at most; the limit is no measure of speed.
  bool RunUntil(const std::function<bool()>& condition) {
    for (int i = 0; i < 3000 && !condition(); ++i) RunFor(Duration(10000));
    return condition();
  }
  const replication::Traffic& TrafficOf(std::size_t i) const { return instance[i]->replication()->traffic(); }
  static constexpr auto kMembership = static_cast<std::size_t>(replication::TrafficKind::kMembership);
  static constexpr auto kWatermarks = static_cast<std::size_t>(replication::TrafficKind::kWatermarks);

  net::Loop loop;
  TemporaryFolder folder;
  ScaleSpec spec;
  std::array<PlatformConfig, 2> config;
  std::array<ProgramSettings, 2> setup;
  RecordingUpstream backends;
  bool partitioned = false;
  std::set<std::string> destinations;
  std::array<std::unique_ptr<Instance>, 2> instance;
};

TEST_CASE("an instance counts its traffic by kind, and its host can block its links") {
  InstancePair pair(false);
  REQUIRE(pair.RunUntil(
      [&] { return pair.instance[0]->IsCountedByPeers() && pair.instance[1]->IsCountedByPeers(); }));
  CHECK(pair.instance[0]->replication()->ReachableInstanceCount() == 2);
  for (const std::size_t kind : {InstancePair::kMembership, InstancePair::kWatermarks}) {
    CHECK(pair.TrafficOf(0).out[kind].packets > 0);
    CHECK(pair.TrafficOf(1).in[kind].packets > 0);
    CHECK(pair.TrafficOf(1).in[kind].packets <= pair.TrafficOf(0).out[kind].packets);
    CHECK(pair.TrafficOf(1).in[kind].bytes <= pair.TrafficOf(0).out[kind].bytes);
    CHECK(pair.TrafficOf(0).out[kind].bytes >
          pair.TrafficOf(0).out[kind].packets * replication::Traffic::kHeaderBytes);
  }
  CHECK(pair.destinations.size() == 2);
  pair.partitioned = true;
  const auto out = pair.TrafficOf(0).out[InstancePair::kWatermarks].bytes;
  CHECK(pair.RunUntil([&] { return pair.instance[0]->replication()->ReachableInstanceCount() == 1; }));
  CHECK(pair.TrafficOf(0).out[InstancePair::kWatermarks].bytes == out);
  pair.partitioned = false;
  CHECK(pair.RunUntil([&] { return pair.instance[0]->replication()->ReachableInstanceCount() == 2; }));
  CHECK(pair.RunUntil([&] { return pair.TrafficOf(0).out[InstancePair::kWatermarks].bytes > out; }));
}

TEST_CASE("with membership only, no watermark traffic is sent") {
  InstancePair pair(true);
  REQUIRE(pair.RunUntil([&] { return pair.instance[0]->replication()->ReachableInstanceCount() == 2; }));
  pair.RunFor(Duration(300000));
  CHECK(pair.TrafficOf(0).out[InstancePair::kMembership].packets > 0);
  CHECK(pair.TrafficOf(0).out[InstancePair::kWatermarks].packets == 0);
  CHECK(pair.TrafficOf(1).in[InstancePair::kWatermarks].bytes == 0);
}

}  // namespace
}  // namespace lynxgrade::testbed
