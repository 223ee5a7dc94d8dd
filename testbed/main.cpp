// lynxgrade-testbed: stand-ins, loads and measurements round real pooler processes, on loopback.
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

// Discovery, two groups and one pooler, until it is stopped.
int Up(const std::string& pooler) {
  net::Loop loop;
  Folder folder;
  Agent agent(loop);
  std::vector<std::unique_ptr<DataServers>> groups;
  for (const std::int64_t number : {1, 2}) {
    groups.push_back(std::make_unique<DataServers>(
        loop, GroupId(number), Group::Options{3, Duration(8000), Duration(1500000)}, Duration(2000)));
    agent.List(*groups.back());
  }
  const std::uint16_t port = FreePort(false);
  PoolerProcess process({pooler, folder.Write("config.json", ConfigFor("n1", port, agent.port(), "off")), "",
                         folder.path() + "/n1.log"});
  const std::string fault = process.Start();
  if (!fault.empty()) {
    std::fprintf(stderr, "lynxgrade-testbed: the pooler cannot be started: %s\n", fault.c_str());
    return 1;
  }
  std::printf("The pooler listens on 127.0.0.1:%u; its log is %s/n1.log. Write, then reread:\n", port,
              folder.path().c_str());
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
        [](gpointer self) -> gboolean {
          static_cast<net::Loop*>(self)->Stop();
          return G_SOURCE_CONTINUE;
        },
        &loop);
  }
  loop.Run();
  process.End(SIGTERM);
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-ins, loads and measurements round real poolers, on loopback.", "lynxgrade-testbed");
  app.require_subcommand(1);
  std::string pooler = DefaultPooler();
  app.add_option("--pooler", pooler, "the program to start as pooler");
  CLI::App* up =
      app.add_subcommand("up", "discovery, two groups of stand-in data servers and a pooler, to try");
  CapacityOptions capacity;
  CLI::App* of_capacity = app.add_subcommand("capacity", "write docs/CAPACITY.md from a target and records");
  of_capacity->add_option("--target", capacity.target, "the size to be carried, a file in TOML");
  of_capacity->add_option("--measurements", capacity.measurements, "records of runs, files in JSON");
  of_capacity->add_option("--out", capacity.out, "the page");
  of_capacity->add_option("--plot", capacity.plot, "the folder for its curves");
  CLI::App* run = app.add_subcommand("run", "play a scenario and print its figures, one a line");
  run->require_subcommand(1);
  SessionsOptions sessions;
  CLI::App* of_sessions =
      run->add_subcommand("sessions", "own-reads of sessions that move between two poolers");
  of_sessions->add_option("--seed", sessions.seed, "for all that is drawn");
  of_sessions->add_option("--sessions", sessions.sessions, "how many, in each scenario");
  of_sessions->add_option("--rate", sessions.per_s, "sessions begun a second")
      ->check(CLI::Range(1.0, 2000.0));
  of_sessions->add_option("--marks", sessions.watermarks, "how the poolers know of each other's writes")
      ->check(CLI::IsMember({"each", "directory"}));
  of_sessions->add_flag("--owner", sessions.owner, "directory: the second pooler is set aside to own");
  of_sessions->add_option("--only", sessions.only, "one scenario")
      ->check(CLI::IsMember({"calm", "restart_disk", "restart_bare", "promotion", "rotation", "links"}));
  of_sessions->add_option("--json", sessions.json, "also write the figures to this file");
  of_sessions->add_flag("--logs", sessions.keep_logs, "keep the poolers' logs and say where");
  MembersOptions members;
  CLI::App* of_members =
      run->add_subcommand("members", "which part of the fleet each process is with, over relays that cut");
  of_members->add_option("--seed", members.seed, "for all that is drawn");
  of_members->add_option("--instances", members.instances, "how many processes")->check(CLI::Range(3, 12));
  of_members->add_option("--probe-ms", members.probe_ms, "their period")->check(CLI::Range(20, 1000));
  of_members->add_option("--only", members.only, "one script")
      ->check(CLI::IsMember({"cut", "thirds", "bridge", "loss", "one_way", "bad_link", "flapping", "flood",
                             "starved", "paused", "stopped", "killed", "restart"}));
  of_members->add_flag("--compare", members.compare, "also with the mechanism taken out");
  of_members->add_option("--json", members.json, "also write the figures to this file");
  of_members->add_flag("--logs", members.keep_logs, "say where the poolers' logs are while it runs");
  ScaleOptions scale;
  CLI::App* of_scale =
      run->add_subcommand("scale", "hollow poolers by the hundred beside real ones, by a script");
  of_scale->add_option("--poolers", scale.poolers, "how many, the real ones among them");
  of_scale->add_option("--databases", scale.databases, "how many, in groups of three");
  of_scale->add_option("--real", scale.real, "real processes among the poolers");
  of_scale->add_option("--script", scale.script,
                       "quiet, load, primaries, replaced, rack, zone, regions or configuration");
  of_scale->add_option("--marks", scale.watermarks,
                       "how sessions' marks are exchanged: each, directory, directory-plain, or none at all");
  of_scale->add_option(
      "--scope", scale.scope,
      "of the sessions' guarantee: everywhere, or instance, in which the judge finds stale reads");
  of_scale->add_option("--seed", scale.seed, "for all that is drawn");
  of_scale->add_option("--seconds", scale.seconds, "measured, once all have met");
  of_scale->add_option("--statements-per-s", scale.statements_per_s, "of each hollow pooler");
  of_scale->add_option("--writes-share", scale.writes_share, "of the statements");
  of_scale->add_option("--own-reads-share", scale.own_reads_share,
                       "of the statements; half of those that do not write if left out");
  of_scale->add_option("--roam-share", scale.roam_share, "of the statements, of sessions of other poolers");
  of_scale->add_option("--changes-per-s", scale.changes_per_s, "of the list; the script's own if left out");
  of_scale->add_option("--alone", scale.alone,
                       "hollow poolers with a process of their own, whose processor time is told");
  of_scale->add_option("--owners", scale.owners,
                       "hollow poolers set aside for the directory, counted apart, without a load");
  of_scale->add_option("--bytes-per-s", scale.bytes_per_s,
                       "budget of the exchange, by the settings; 0: none");
  of_scale->add_option("--coalesce-ms", scale.coalesce_ms,
                       "while that is short, for how long messages of sessions wait for company; 0: never");
  of_scale->add_option("--hosts", scale.hosts, "processes that host the others; 0: by their number");
  of_scale->add_option("--settle-s", scale.settle_s, "for all to meet, at most");
  of_scale->add_option("--warm-s", scale.warm_s,
                       "between meeting and measuring; until its news has been told if left out");
  of_scale->add_flag("--compare", scale.compare,
                     "plays it with marks from each to each as well, for over_budget_off");
  of_scale->add_option("--json", scale.json, "also write the record of the run to this file");
  of_scale->add_option("--commit", scale.commit, "what was built, for the record");
  CLI::App* hollow = app.add_subcommand("hollow-host", "one of the scale run's own processes")->group("");
  std::string spec_file;
  int host = 0;
  hollow->add_option("spec", spec_file, "what it is to host")->required();
  hollow->add_option("number", host, "which one it is")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  if (hollow->parsed()) return RunHost(spec_file, host);
  scale.pooler = pooler;
  if (of_scale->parsed()) return RunScale(scale);
  if (of_capacity->parsed()) return WriteCapacity(capacity);
  members.pooler = pooler;
  if (of_members->parsed()) return RunMembers(members);
  sessions.pooler = pooler;
  if (up->parsed()) return Up(pooler);
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
