// lynxgrade-testbed: runs real pooler processes on loopback against simulated data servers and a simulated
// discovery server, puts them under load and measures them.
#include <glib-unix.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "capacity_command.h"
#include "consistency_run.h"
#include "data_servers.h"
#include "membership_run.h"
#include "pooler_process.h"
#include "scale_host.h"
#include "scale_run.h"

namespace lynxgrade::testbed {
namespace {

// Runs a discovery server, two groups of data servers and one pooler until SIGTERM or SIGINT.
int RunLocalSetup(const std::string& pooler) {
  net::Loop loop;
  TemporaryFolder folder;
  DiscoveryServer discovery(loop);
  std::vector<std::unique_ptr<DataServers>> groups;
  for (const std::int64_t number : {1, 2}) {
    groups.push_back(std::make_unique<DataServers>(
        loop, GroupId(number), Group::Options{3, Duration(8000), Duration(1500000)}, Duration(2000)));
    discovery.AddServers(*groups.back());
  }
  const std::uint16_t port = FreePort(false);
  PoolerProcess process({pooler,
                         folder.Write("config.json", MakePlatformConfig("n1", port, discovery.port(), "off")),
                         "", folder.path() + "/n1.log"});
  const std::string problem = process.Start();
  if (!problem.empty()) {
    std::fprintf(stderr, "lynxgrade-testbed: cannot start the pooler: %s\n", problem.c_str());
    return 1;
  }
  std::printf(
      "The pooler listens on 127.0.0.1:%u and logs to %s/n1.log. A write and a read-your-writes read:\n",
      port, folder.path().c_str());
  std::printf(
      "psql -h 127.0.0.1 -p %u -U worker -d catalog -c \"/* id=1,c=match-write,t=cho-moi,d=900,k=1,cluster=1 "
      "*/ "
      "INSERT INTO objects (oid, body) VALUES ('a', '7') RETURNING body\"\n",
      port);
  std::printf(
      "psql -h 127.0.0.1 -p %u -U worker -d catalog -c \"/* id=2,c=own-read,t=cho-moi,d=900,cluster=1 */ "
      "SELECT body FROM objects WHERE oid = 'a'\"\n",
      port);
  std::fflush(stdout);
  for (const int signal : {SIGTERM, SIGINT}) {
    g_unix_signal_add(
        signal,
        [](gpointer loop_pointer) -> gboolean {
          static_cast<net::Loop*>(loop_pointer)->Stop();
          return G_SOURCE_CONTINUE;
        },
        &loop);
  }
  loop.Run();
  process.Stop(SIGTERM);
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Runs poolers on loopback against simulated data servers, under load, and measures them.",
               "lynxgrade-testbed");
  app.require_subcommand(1);
  std::string pooler = DefaultPoolerProgram();
  app.add_option("--pooler", pooler, "path of the pooler program");
  CLI::App* up_command = app.add_subcommand(
      "up", "start a discovery server, two groups of simulated data servers and one pooler");
  CapacityOptions capacity;
  CLI::App* capacity_command =
      app.add_subcommand("capacity", "write docs/CAPACITY.md from a capacity target and run records");
  capacity_command->add_option("--target", capacity.target, "TOML file with the capacity target");
  capacity_command->add_option("--measurements", capacity.measurements, "JSON files with run records");
  capacity_command->add_option("--out", capacity.out, "path of the page");
  capacity_command->add_option("--plot", capacity.plot, "folder for the page's plots");
  CLI::App* run_command = app.add_subcommand("run", "run a scenario and print its figures, one per line");
  run_command->require_subcommand(1);
  SessionsOptions sessions;
  CLI::App* sessions_command =
      run_command->add_subcommand("sessions", "read-your-writes of sessions that move between two poolers");
  sessions_command->add_option("--seed", sessions.seed, "seed of the random numbers");
  sessions_command->add_option("--sessions", sessions.sessions, "sessions per scenario");
  sessions_command->add_option("--rate", sessions.per_s, "sessions started per second")
      ->check(CLI::Range(1.0, 2000.0));
  sessions_command->add_option("--marks", sessions.watermarks, "how the poolers exchange write watermarks")
      ->check(CLI::IsMember({"each", "directory"}));
  sessions_command->add_flag("--owner", sessions.owner,
                             "with --marks directory: makes the second pooler a dedicated lease manager");
  sessions_command->add_option("--only", sessions.only, "run only this scenario")
      ->check(CLI::IsMember({"calm", "restart_disk", "restart_bare", "promotion", "rotation", "links"}));
  sessions_command->add_option("--json", sessions.json, "also write the figures to this JSON file");
  sessions_command->add_flag("--logs", sessions.keep_logs, "keep the poolers' logs and print their folder");
  MembershipOptions members;
  CLI::App* members_command = run_command->add_subcommand(
      "members", "the poolers' membership views under packet loss, delay and partitions");
  members_command->add_option("--seed", members.seed, "seed of the random numbers");
  members_command->add_option("--instances", members.instances, "number of pooler processes")
      ->check(CLI::Range(3, 12));
  members_command->add_option("--probe-ms", members.probe_ms, "probe period of the poolers, in milliseconds")
      ->check(CLI::Range(20, 1000));
  members_command->add_option("--only", members.only, "run only this script")
      ->check(CLI::IsMember({"cut", "thirds", "bridge", "loss", "one_way", "bad_link", "flapping", "flood",
                             "starved", "paused", "stopped", "killed", "restart"}));
  members_command->add_flag("--compare", members.compare,
                            "also run two scripts with the plain protocol, where faults must show");
  members_command->add_option("--json", members.json, "also write the figures to this JSON file");
  members_command->add_flag("--logs", members.keep_logs,
                            "print the folder of the poolers' logs, which is removed at the end");
  ScaleOptions scale;
  CLI::App* scale_command = run_command->add_subcommand(
      "scale", "hundreds of simulated poolers beside real ones, following a script");
  scale_command->add_option("--poolers", scale.poolers, "number of poolers, real ones included");
  scale_command->add_option("--databases", scale.databases, "number of data servers, in groups of three");
  scale_command->add_option("--real", scale.real, "number of poolers that are real processes");
  scale_command->add_option("--script", scale.script,
                            "one of quiet, load, primaries, replaced, rack, zone, regions, configuration");
  scale_command->add_option("--marks", scale.watermarks,
                            "how write watermarks are exchanged: each, directory, directory-plain or none");
  scale_command->add_option(
      "--scope", scale.scope,
      "scope of read-your-writes: everywhere, or instance, where stale reads are expected");
  scale_command->add_option("--seed", scale.seed, "seed of the random numbers");
  scale_command->add_option("--seconds", scale.seconds,
                            "measured time in seconds, after the membership has converged");
  scale_command->add_option("--statements-per-s", scale.statements_per_s,
                            "statements per second at each simulated pooler");
  scale_command->add_option("--writes-share", scale.writes_share, "share of statements that write");
  scale_command->add_option(
      "--own-reads-share", scale.own_reads_share,
      "share of statements that are read-your-writes reads; default: half of those that do not write");
  scale_command->add_option("--roam-share", scale.roam_share,
                            "share of statements of sessions that belong to a random pooler");
  scale_command->add_option("--changes-per-s", scale.changes_per_s,
                            "changes of the endpoint list per second; default: set by the script");
  scale_command->add_option("--alone", scale.alone,
                            "simulated poolers with a process each; CPU figures are taken from these");
  scale_command->add_option(
      "--owners", scale.owners,
      "simulated poolers that are dedicated lease managers: no load, counted separately");
  scale_command->add_option("--bytes-per-s", scale.bytes_per_s,
                            "byte budget of the replication traffic, set in the settings file; 0: none");
  scale_command->add_option(
      "--coalesce-ms", scale.coalesce_ms,
      "when the byte budget is short, time that watermark messages wait to be batched; 0: not at all");
  scale_command->add_option("--hosts", scale.hosts,
                            "processes that host the other simulated poolers; 0: derived from their number");
  scale_command->add_option("--settle-s", scale.settle_s, "max seconds until the membership has converged");
  scale_command->add_option(
      "--warm-s", scale.warm_s,
      "seconds between convergence and measurement; default: until the start-up gossip has ended");
  scale_command->add_flag("--compare", scale.compare, "also run with --marks each and print over_budget_off");
  scale_command->add_option("--json", scale.json, "also write the run record to this JSON file");
  scale_command->add_option("--commit", scale.commit, "commit of the build, for the run record");
  CLI::App* host_command =
      app.add_subcommand("hollow-host", "internal: a process of the scale run that hosts simulated poolers")
          ->group("");
  std::string spec_file;
  int host = 0;
  host_command->add_option("spec", spec_file, "specification file")->required();
  host_command->add_option("number", host, "index of this process")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  if (host_command->parsed()) return RunScaleHost(spec_file, host);
  scale.pooler = pooler;
  if (scale_command->parsed()) return RunScale(scale);
  if (capacity_command->parsed()) return WriteCapacity(capacity);
  members.pooler = pooler;
  if (members_command->parsed()) return RunMembership(members);
  sessions.pooler = pooler;
  if (up_command->parsed()) return RunLocalSetup(pooler);
  return RunSessions(sessions);
}

}  // namespace
}  // namespace lynxgrade::testbed

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return lynxgrade::testbed::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "lynxgrade-testbed: %s\n", error.what());
    return 1;
  }
}
