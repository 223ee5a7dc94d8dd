// What the scale run may be asked, whether this machine can carry it, and its scripts: which steps come when.
// Decides alone; starts nothing and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "routing/balancer.h"

namespace lynxgrade::testbed {

struct ScaleOptions {
  std::string pooler;
  int poolers = 40;  // real ones among them
  int databases = 100;
  int real = 2;
  std::string script = "quiet";
  std::string watermarks = "each";  // how sessions' marks are exchanged; "none": membership alone
  std::string scope =
      "everywhere";  // of the sessions' guarantee; "instance": the judge has to see stale reads
  std::uint64_t seed = 1;
  int seconds = 20;              // measured, after all have met
  double statements_per_s = 50;  // of a hollow pooler, where the script has a load
  double writes_share = 0.05;
  double own_reads_share = -1;  // of the statements; below zero: half of those that do not write
  double roam_share = 0.1;      // of statements, of a session whose home is another pooler
  double changes_per_s = -1;    // of the list; below zero: the script's own
  int owners = 0;       // of the hollow ones: set aside for the directory, without a load, counted apart
  int bytes_per_s = 0;  // budget of the exchange, by the settings; 0: none
  int coalesce_ms = 5;  // while that is short, by the settings
  int alone = 4;      // of the hollow ones, each in a process of its own: their processor time is what counts
  int hosts = 0;      // processes that host the others; 0: by their number
  int settle_s = 90;  // to meet, at most
  int warm_s = -1;    // between meeting and measuring; below zero: as long as the news of it takes
  bool compare = false;  // also with marks from each to each, and how many rows are over their budget then
  std::string json;
  std::string commit;  // for the record alone
};

struct Machine {
  std::size_t descriptors = 0;  // a process may hold
  std::size_t memory_mb = 0;    // that is free
  double cores = 0;             // that this process may run on
};

// Empty, or one sentence that says why the run cannot be played.
std::string WhyNotPlayed(const ScaleOptions& options, const Machine& machine);

std::vector<std::string> ScaleScripts();
bool HasLoad(const std::string& script);
double OwnReadsShare(const ScaleOptions& options);
// Cores that all processes keep busy, by what was measured.
double CoresFor(const ScaleOptions& options);
// Those set aside stand after the ones with a process of their own, so that each is in another zone.
bool IsOwner(const ScaleOptions& options, int pooler);
int HostsFor(const ScaleOptions& options);
// The target's two regions with seven zones. All real poolers stand in the first: nothing cuts between them.
struct Place {
  int region = 0, zone = 0, rack = 0;
};
Place PlaceOf(int pooler, int real);

struct Step {
  enum class What { kCut, kHeal, kKill, kRestart, kReplace, kPrimary, kConfiguration };
  Duration at{0};
  What what = What::kHeal;
  std::vector<int> who{};  // poolers, or the groups whose primary dies; kCut: one side
};
// In their order, all within the seconds of the run.
std::vector<Step> StepsOf(const ScaleOptions& options, int groups);
double ChangesPerS(const ScaleOptions& options);
// From the meeting on until its news has been told, and until what may have been answered before the start
// does not matter any more.
Duration NewsOfMeeting(const ScaleOptions& options);
// How much faster than at the target the script's events, and the list's changes, come; 1: as there.
double ScriptCompressed(const ScaleOptions& options, int groups);
double ListCompressed(const ScaleOptions& options);

}  // namespace lynxgrade::testbed
