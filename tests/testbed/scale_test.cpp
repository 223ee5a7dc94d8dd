// What the scale run decides: whether a run can be played, its scripts' steps, and its hollow databases; and
// the seam that it stands on, an instance without sockets that is taken down while its loop runs on.
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

TEST_CASE("sizes and scripts that cannot be played are refused with a sentence") {
  ScaleOptions options;
  CHECK(ValidateScaleOptions(options, kLarge) == "");
  const auto refused = [&](auto change) {
    ScaleOptions wrong = options;
    change(wrong);
    return ValidateScaleOptions(wrong, kLarge);
  };
  CHECK(refused([](auto& o) { o.script = "flood"; }).find("there is no script \"flood\": quiet, ") == 0);
  CHECK(refused([](auto& o) { o.watermarks = "some"; }).find("marks") == 0);
  CHECK(refused([](auto& o) { o.scope = "all"; }).find("the sessions' scope") == 0);
  CHECK(refused([](auto& o) { o.scope = "instance"; }).find("--real 0") != std::string::npos);
  CHECK(refused([](auto& o) { o.poolers = 2; }) ==
        "--poolers 2 cannot be played: it has to lie between 3 and 1000");
  CHECK(refused([](auto& o) { o.poolers = 1001; }).find("--poolers 1001") == 0);
  CHECK(refused([](auto& o) { o.databases = 0; }).find("--databases 0") == 0);
  CHECK(refused([](auto& o) { o.real = 41, o.poolers = 100; }).find("--real 41") == 0);
  CHECK(refused([](auto& o) { o.seconds = 0; }).find("--seconds 0") == 0);
  CHECK(refused([](auto& o) { o.writes_share = 1.5; }).find("--writes-share 1.5") == 0);
  CHECK(refused([](auto& o) { o.roam_share = -0.1; }).find("--roam-share -0.1") == 0);
  CHECK(refused([](auto& o) { o.real = 4, o.poolers = 4; }) ==
        "of the poolers at least one has to be hollow");
  CHECK(refused([](auto& o) { o.hosts = 39, o.poolers = 40; }).find("there are more processes") == 0);
  CHECK(refused([](auto& o) { o.watermarks = "none"; }).find("--real 0") != std::string::npos);
  CHECK(refused([](auto& o) { o.own_reads_share = 1.5; }).find("--own-reads-share 1.5") == 0);
  CHECK(refused([](auto& o) { o.own_reads_share = 0.96; }).find("more than all statements") !=
        std::string::npos);
  CHECK(refused([](auto& o) { o.warm_s = 601; }).find("--warm-s 601") == 0);
  CHECK(refused([](auto& o) { o.owners = -1; }).find("--owners -1") == 0);
  CHECK(refused([](auto& o) { o.alone = -1; }).find("--alone -1") == 0);
  CHECK(refused([](auto& o) { o.bytes_per_s = -1; }).find("--bytes-per-s -1") == 0);
  CHECK(refused([](auto& o) { o.owners = 7; }).find("--marks directory") != std::string::npos);
  CHECK(refused([](auto& o) { o.bytes_per_s = 12000; }).find("--marks directory") != std::string::npos);
  CHECK(refused([](auto& o) {
          o.watermarks = "directory";
          o.owners = 34;
        }).find("there are more processes") == 0);
}

TEST_CASE("a machine that is too small for the size is named before anything is started") {
  ScaleOptions options;
  options.poolers = 820;
  options.real = 0;
  CHECK(ValidateScaleOptions(options, kLarge) == "");
  CHECK(ValidateScaleOptions(options, {20000, 500, 10000}).find("MB of memory and may take 500") !=
        std::string::npos);
  CHECK(ValidateScaleOptions(options, {256, 20000, 10000}).find("descriptors and may hold 256") !=
        std::string::npos);
  options.poolers = 40;
  CHECK(ValidateScaleOptions(options, {1024, 1000, 10000}) == "");
}

TEST_CASE("a machine with too few cores for the size is named before anything is started") {
  ScaleOptions options;
  options.real = 0;
  options.watermarks = "directory";
  const Machine eight{20000, 20000, 8};
  options.poolers = 205;
  CHECK(ValidateScaleOptions(options, eight) == "");
  // Each to each grows with the square of the size.
  options.watermarks = "each";
  options.poolers = 100;
  CHECK(ValidateScaleOptions(options, eight) == "");
  options.poolers = 820;
  const std::string wrong = ValidateScaleOptions(options, eight);
  CHECK(wrong.find("the run would keep ") == 0);
  CHECK(wrong.find(" cores busy and may take 6.4 of 8") != std::string::npos);
  // Each part of the work asks for its own.
  const auto cores = [&](auto change) {
    ScaleOptions other;
    other.watermarks = "directory";
    change(other);
    return EstimatedCores(other);
  };
  const double least = cores([](auto&) {});
  CHECK(least > 0);
  CHECK(cores([](auto& o) { o.poolers = 80; }) > 2 * least);
  CHECK(cores([](auto& o) { o.watermarks = "each"; }) > least);
  const double load = cores([](auto& o) { o.script = "load"; });
  CHECK(load > least);
  CHECK(cores([](auto& o) { o.script = "load", o.databases = 730; }) > load);
  CHECK(cores([](auto& o) { o.script = "load", o.statements_per_s = 200; }) > load);
  CHECK(cores([](auto& o) { o.statements_per_s = 200; }) == least);  // a quiet script has none
}

TEST_CASE("those set aside come after the ones with a process of their own, each in another zone") {
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
  std::set<int> apart;
  for (int i = 2; i < 64; ++i) {
    CHECK(spec.IsOwner(i) == IsOwner(options, i));
    if (i < 13) apart.insert(spec.HostOf(i));
    if (i >= 13) CHECK(spec.HostOf(i) >= 11);
    CHECK(spec.HostOf(i) < spec.processes());
  }
  CHECK(apart.size() == 11);
  CHECK(!spec.IsOwner(64));  // nor one that replaces another
  // Those are never replaced; a rack and a zone take one with them, and a cut parts them.
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

TEST_CASE("the load is drawn by its shares") {
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
    const DrawnStatement drawn = DrawStatement(spec, 3, random);
    writes += drawn.cls == kMatchWrite;
    own_reads += drawn.cls == kOwnRead;
    CHECK(drawn.session < static_cast<std::size_t>(10 * kSessionsPerPooler));
    at_home += drawn.session / kSessionsPerPooler == 3;
  }
  CHECK(writes == doctest::Approx(5000).epsilon(0.05));
  CHECK(own_reads == doctest::Approx(14000).epsilon(0.05));
  CHECK(at_home == doctest::Approx(55000).epsilon(0.05));  // and a tenth of those that roam
}

TEST_CASE("every script's steps lie within the run, and touch hollow poolers alone") {
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
        for (const int who : step.targets) CHECK(who >= options.real);
      }
      CHECK(std::ranges::is_sorted(steps, {}, &Step::at));
      CHECK(ScriptSpeedup(options, 4) > 0);
    }
  }
}

TEST_CASE("each script does what it is called") {
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
    const auto gone = steps(script);
    REQUIRE(gone.size() == 2);
    CHECK(gone[0].action == Action::kKill);
    CHECK(gone[1].action == Action::kRestart);
    CHECK(gone[1].at - gone[0].at >= Duration(5'000'000));  // long enough to be held dead
    CHECK(gone[0].targets == gone[1].targets);
    std::set<int> zones;
    for (const int who : gone[0].targets) zones.insert(PlacementOf(who, 0).zone);
    CHECK(zones.size() == 1);
  }
  const auto cut = steps("regions");
  REQUIRE(cut.size() == 2);
  CHECK(cut[0].action == Action::kCut);
  CHECK(cut[1].action == Action::kHeal);
  CHECK(cut[0].targets.size() == 87);
  for (const int who : cut[0].targets) CHECK(PlacementOf(who, 0).region == 1);
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

TEST_CASE("the news of the meeting takes longer where no marks carry it, and for more poolers") {
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
  CHECK(seconds() == doctest::Approx(3 + 820 * 3 * 9.683 / 60).epsilon(0.01));  // not cut short
}

TEST_CASE("whom a zone, a rack and a region take") {
  ScaleOptions options;
  options.poolers = 140;
  options.real = 0;
  const auto who = [&](const char* script) {
    options.script = script;
    return MakeSteps(options, 4).front().targets.size();
  };
  CHECK(who("zone") == 20);
  CHECK(who("rack") == 10);
  CHECK(who("regions") == 60);
  CHECK(PlacementOf(6, 0).zone == 6);
  CHECK(PlacementOf(6, 0).region == 1);
  CHECK(PlacementOf(6, 7).region == 0);  // real ones stand in the first
  options.script = "replaced";
  std::set<int> replaced;
  for (const Step& step : MakeSteps(options, 4)) replaced.insert(step.targets.front());
  CHECK(replaced.size() == MakeSteps(options, 4).size());
}

TEST_CASE("how much faster than at the target events come") {
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

TEST_CASE("hollow databases: a replica is late, a primary's end loses what was not shipped") {
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
  CHECK(databases.Commit(primary, At(499)));  // it was told ahead
  CHECK(databases.StateOf(replica, At(900)).position < At(500));
  databases.Promote(0, 1, At(2000));
  CHECK(!databases.Commit(replica, At(1999)));
  const DataState next = *databases.Commit(replica, At(2000));
  CHECK(next.timeline == 1);
  // It has what it had before, though its position is past all.
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

TEST_CASE("the files of a hollow pooler are those that a real one reads") {
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

// ---- The seam ----

// Takes all that is sent and answers when it is told to.
struct Silent final : proxy::Upstream {
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

struct Told final : proxy::Client {
  void OnResponse(const proxy::Response&) override { ++served; }
  void OnRejected(Duration) override { ++refused; }
  void OnFailed() override { ++failed; }
  void OnInvalidStatement() override { ++failed; }
  int served = 0, refused = 0, failed = 0;
};

struct Work final : proxy::Statement {
  std::string TextWithBudget(Duration) const override { return "SELECT 1"; }
};

struct Seam {
  Seam() {
    ScaleSpec spec;
    spec.poolers = 1;
    spec.udp = {1};
    spec.discovery = 1;  // nobody answers there
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
  void Ask(Duration time, ClassIndex cls = kHistoryRead) {
    proxy::Request request;
    request.event.group = GroupId(1);
    request.event.request_class = cls;
    request.event.session = "s1";
    request.event.time_left = time;
    request.statement = std::make_shared<Work>();
    instance->proxy().StartRequest(std::move(request), client, id);
  }
  void Pass(Duration time) {
    net::Timer end(loop);
    end.ScheduleAfter(time, [this] { loop.Stop(); });
    loop.Run();
  }
  net::Loop loop;
  PlatformConfig config;
  ProgramSettings setup;
  Silent backends;
  Told client;
  RequestId id{};
  std::vector<int> ports;
  std::unique_ptr<Instance> instance;
};

TEST_CASE("an instance serves through the data servers that its host gives it") {
  Seam seam;
  REQUIRE(seam.instance->Start());
  CHECK(seam.instance->has_listed_servers());
  CHECK(seam.instance->IsCountedByPeers());
  CHECK(seam.ports == std::vector<int>{9});
  seam.Ask(Duration(1'000'000));
  REQUIRE(seam.backends.sent.size() == 1);
  proxy::AttemptResult end;
  end.request = seam.backends.sent[0].request;
  end.attempt = seam.backends.sent[0].attempt;
  end.server = seam.backends.sent[0].member;
  end.outcome = Outcome::kOk;
  end.response.emplace();
  static_cast<proxy::UpstreamEvents&>(seam.instance->proxy()).OnAttemptFinished(end);
  CHECK(seam.client.served == 1);
}

TEST_CASE("an instance that is taken down leaves no deadline behind") {
  Seam seam;
  REQUIRE(seam.instance->Start());
  seam.Ask(Duration(400000));
  REQUIRE(seam.backends.sent.size() == 1);
  const std::size_t deadlines = seam.loop.timer_count();
  CHECK(deadlines > 0);
  seam.instance.reset();
  seam.Pass(Duration(500000));  // past the end of the request, and of the module's next tick
  CHECK(seam.client.served + seam.client.refused + seam.client.failed == 0);
  CHECK(seam.loop.timer_count() == 0);
}

TEST_CASE("an instance that is taken down while it holds an answer back fails nobody afterwards") {
  Seam seam;
  REQUIRE(seam.instance->Start());
  proxy::Proxy::ReplicationHooks hooks;
  hooks.delay_response = [](GroupId, consistency::SessionKey, const std::function<void()>&) {
    return true;
  };  // it never is
  seam.instance->proxy().SetReplicationHooks(std::move(hooks));
  seam.Ask(Duration(400000), kMatchWrite);
  REQUIRE(seam.backends.sent.size() == 1);
  proxy::AttemptResult end;
  end.request = seam.backends.sent[0].request;
  end.attempt = seam.backends.sent[0].attempt;
  end.server = seam.backends.sent[0].member;
  end.outcome = Outcome::kOk;
  end.metadata.primary = true;
  end.metadata.position = seam.loop.Now();
  end.response.emplace();
  static_cast<proxy::UpstreamEvents&>(seam.instance->proxy()).OnAttemptFinished(end);
  CHECK(seam.client.served == 0);
  seam.instance.reset();
  seam.Pass(Duration(500000));  // past the end of the request
  CHECK(seam.client.served + seam.client.refused + seam.client.failed == 0);
}

// Two instances on one loop that speak over real sockets.
struct Pair {
  explicit Pair(bool members_only) {
    spec.folder = folder.path();
    spec.scope = "everywhere";
    folder.Write("key", "1 " + std::string(64, 'a') + "\n");
    spec.poolers = 2;
    spec.udp = {FreePort(true), FreePort(true)};
    spec.discovery = 1;  // nobody answers there
    for (std::size_t i = 0; i < 2; ++i) {
      auto read = ParsePlatformConfig(MakeScaleConfig(spec, static_cast<int>(i), 1));
      config[i] = std::move(read.value());
      auto settings = ParseProgramSettings(MakeScaleSettings(spec, static_cast<int>(i), {0, 1}, 0));
      setup[i] = std::move(settings.value());
      Instance::Host host;
      host.set_server_address = [](ServerId, const net::Address&) {};
      host.remove_server = [](ServerId) {};
      host.make_replication_service = [this, members_only](replication::ReplicationContext parts) {
        parts.passes = [this](const std::string& address) {
          asked.insert(address);
          return !cut;
        };
        parts.membership_only = members_only;
        return replication::LoadReplicationModule(std::move(parts));
      };
      instance[i] = std::make_unique<Instance>(loop, config[i], setup[i], backends, host);
      REQUIRE(instance[i]->Start());
    }
  }
  void Pass(Duration time) {
    net::Timer end(loop);
    end.ScheduleAfter(time, [this] { loop.Stop(); });
    loop.Run();
  }
  // The limit is for what never will.
  bool Until(const std::function<bool()>& holds) {
    for (int i = 0; i < 3000 && !holds(); ++i) Pass(Duration(10000));
    return holds();
  }
  const replication::Traffic& Of(std::size_t i) const { return instance[i]->replication()->traffic(); }
  static constexpr auto kMembers = static_cast<std::size_t>(replication::TrafficKind::kMembership);
  static constexpr auto kMarks = static_cast<std::size_t>(replication::TrafficKind::kWatermarks);

  net::Loop loop;
  TemporaryFolder folder;
  ScaleSpec spec;
  std::array<PlatformConfig, 2> config;
  std::array<ProgramSettings, 2> setup;
  Silent backends;
  bool cut = false;
  std::set<std::string> asked;
  std::array<std::unique_ptr<Instance>, 2> instance;
};

TEST_CASE("an instance counts what it says by kind, and its host cuts its links") {
  Pair pair(false);
  REQUIRE(pair.Until(
      [&] { return pair.instance[0]->IsCountedByPeers() && pair.instance[1]->IsCountedByPeers(); }));
  CHECK(pair.instance[0]->replication()->ReachableInstances() == 2);
  for (const std::size_t kind : {Pair::kMembers, Pair::kMarks}) {
    CHECK(pair.Of(0).out[kind].packets > 0);
    CHECK(pair.Of(1).in[kind].packets > 0);
    CHECK(pair.Of(1).in[kind].packets <= pair.Of(0).out[kind].packets);
    CHECK(pair.Of(1).in[kind].bytes <= pair.Of(0).out[kind].bytes);
    CHECK(pair.Of(0).out[kind].bytes > pair.Of(0).out[kind].packets * replication::Traffic::kHeaderBytes);
  }
  CHECK(pair.asked.size() == 2);
  pair.cut = true;
  const auto out = pair.Of(0).out[Pair::kMarks].bytes;
  CHECK(pair.Until([&] { return pair.instance[0]->replication()->ReachableInstances() == 1; }));
  CHECK(pair.Of(0).out[Pair::kMarks].bytes == out);
  pair.cut = false;
  CHECK(pair.Until([&] { return pair.instance[0]->replication()->ReachableInstances() == 2; }));
  CHECK(pair.Until([&] { return pair.Of(0).out[Pair::kMarks].bytes > out; }));
}

TEST_CASE("where a host asks for membership alone, nothing is said of marks") {
  Pair pair(true);
  REQUIRE(pair.Until([&] { return pair.instance[0]->replication()->ReachableInstances() == 2; }));
  pair.Pass(Duration(300000));
  CHECK(pair.Of(0).out[Pair::kMembers].packets > 0);
  CHECK(pair.Of(0).out[Pair::kMarks].packets == 0);
  CHECK(pair.Of(1).in[Pair::kMarks].bytes == 0);
}

}  // namespace
}  // namespace lynxgrade::testbed
