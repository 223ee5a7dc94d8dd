// Options of the scale run, the check whether a machine can run it, and the steps of its scripts. Pure
// functions: they start no process and read no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::testbed {

struct ScaleOptions {
  std::string pooler;
  int poolers = 40;  // real ones included
  int databases = 100;
  int real = 2;
  std::string script = "quiet";
  std::string watermarks = "each";   // how write watermarks are exchanged; "none": membership only
  std::string scope = "everywhere";  // of read-your-writes; with "instance" stale reads are expected
  std::uint64_t seed = 1;
  int seconds = 20;              // measured time, after the membership has converged
  double statements_per_s = 50;  // of each simulated pooler, if the script has a load
  double writes_share = 0.05;
  double own_reads_share = -1;  // of the statements; negative: half of those that do not write
  double roam_share = 0.1;      // of the statements; they go to the sessions of a random pooler
  double changes_per_s = -1;    // of the endpoint list; negative: set by the script
  int owners = 0;        // simulated poolers that are dedicated lease managers: no load, counted separately
  int bytes_per_s = 0;   // byte budget of the replication traffic, in the settings file; 0: none
  int coalesce_ms = 5;   // batching time of watermark messages when the budget is short, in the settings file
  int alone = 4;         // simulated poolers with a process each; CPU figures are taken from these
  int hosts = 0;         // processes that host the other simulated poolers; 0: derived from their number
  int settle_s = 90;     // max time until the membership has converged
  int warm_s = -1;       // between convergence and measurement; negative: until the start-up gossip has ended
  bool compare = false;  // also run with "each", and print how many budgets are exceeded then
  std::string json;
  std::string commit;  // written to the run record
};

// What the machine offers to the run.
struct Machine {
  std::size_t descriptors = 0;  // max open file descriptors of a process
  std::size_t memory_mb = 0;    // available memory
  double cores = 0;             // number of cores
};

// Returns one sentence that says why the run is not possible, empty if it is.
std::string ValidateScaleOptions(const ScaleOptions& options, const Machine& machine);

std::vector<std::string> ScaleScriptNames();
bool HasLoad(const std::string& script);
double OwnReadsShare(const ScaleOptions& options);
// Estimate, from measurements, of the cores that all processes keep busy.
double EstimatedCores(const ScaleOptions& options);
// Dedicated lease managers follow the poolers with a process each, so that up to seven are in different
// zones.
bool IsOwner(const ScaleOptions& options, int pooler);
int HostProcessCount(const ScaleOptions& options);
// The capacity target has two regions with seven zones in all. All real poolers are in the first zone, so
// that no script partitions them from each other.
struct Placement {
  int region = 0, zone = 0, rack = 0;
};
Placement PlacementOf(int pooler, int real);

struct Step {
  enum class Action { kCut, kHeal, kKill, kRestart, kReplace, kPrimary, kConfiguration };
  Duration at{0};
  Action action = Action::kHeal;
  std::vector<int> targets{};  // poolers, or for kPrimary groups; for kCut one side of the partition
};
// The steps in the order of their times, all within the measured time.
std::vector<Step> MakeSteps(const ScaleOptions& options, int groups);
double ListChangesPerS(const ScaleOptions& options);
// Time from convergence until the gossip of the start has ended and, with a load, the recall time for writes
// acknowledged before the start has passed.
Duration StartupGossipTime(const ScaleOptions& options);
// Rate of the script's events, and of the list's changes, relative to the capacity target; 1: the same rate.
double ScriptSpeedup(const ScaleOptions& options, int groups);
double ListSpeedup(const ScaleOptions& options);

}  // namespace lynxgrade::testbed
