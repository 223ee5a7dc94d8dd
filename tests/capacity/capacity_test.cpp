// The page on capacity: that target files and records are checked, that slopes are found where the records
// show them and refused where they do not, that nothing which nobody measured passes for a figure, and that
// docs/CAPACITY.md is what its command writes.
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <sys/wait.h>

#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>

#include "capacity/as_it_stands.h"
#include "capacity/files.h"
#include "capacity/fit.h"
#include "capacity/model.h"
#include "capacity/page.h"
#include "lease/session_lease_client.h"
#include "net/descriptor_budget.h"
#include "pg/message.h"
#include "replication/replication_engine.h"
#include "settings/program_settings.h"

namespace lynxgrade::capacity {
namespace {

const std::string kRoot = ROOT;
const std::string kTargetFile = "deploy/targets/two-years.toml";

std::string Whole(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

Target Committed() {
  const auto target = LoadTarget(kRoot + "/" + kTargetFile);
  REQUIRE_MESSAGE(std::holds_alternative<Target>(target), std::get<std::string>(target));
  return std::get<Target>(target);
}

std::string Words() { return Whole(kRoot + "/docs/capacity/page.md.in"); }

// The committed target with one piece replaced; what reading it then says.
std::string Changed(const std::string& from, const std::string& to) {
  std::string text = Whole(kRoot + "/" + kTargetFile);
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  text.replace(at, from.size(), to);
  const auto target = ReadTarget(text);
  return std::holds_alternative<std::string>(target) ? std::get<std::string>(target) : "";
}

// A record of the given size whose figures follow known slopes.
Record Played(double poolers, double writes_per_s, double changes = 0) {
  Record record;
  record.size.poolers = poolers;
  record.size.databases = 730;
  record.size.groups = 730 / kPlayedMembersAGroup;
  record.size.statements_per_s = writes_per_s * 20;
  record.size.writes_share = writes_per_s > 0 ? 0.05 : 0;
  record.size.changes_per_s = changes;
  record.script = writes_per_s > 0 ? "load" : "quiet";
  record.marks = "each";
  const double packets = std::min(2'000.0, 10 * (poolers - 1));
  record.size.packets_per_s = packets;
  record.figures = {{"packets_out_per_s", packets},
                    {"membership_bytes_out_per_s", 600 + 5 * poolers},
                    {"membership_bytes_in_per_s", 600 + 5 * poolers},
                    {"marks_bytes_out_per_s", 100 + 20 * packets + 30 * writes_per_s},
                    {"marks_bytes_in_per_s", 100 + 20 * packets + 30 * writes_per_s},
                    {"reigns_bytes_out_per_s", 4 * packets},
                    {"reigns_bytes_in_per_s", 4 * packets},
                    {"ledger_bytes_out_per_s", 0},
                    {"ledger_bytes_in_per_s", 0},
                    {"discovery_bytes_in_per_s", 12 + 40 * changes},
                    {"cpu_share", 0.001 + 0.0001 * packets + 0.00001 * poolers + 0.000001 * writes_per_s},
                    {"memory_mb", 10 + 0.02 * poolers}};
  return record;
}

std::vector<Record> Fleet() {
  std::vector<Record> records;
  for (const double poolers : {20.0, 50.0, 100.0, 205.0, 410.0, 820.0}) {
    for (const double writes : {0.0, 10.0, 1'000.0, 21'000.0, 32'000.0}) {
      records.push_back(Played(poolers, writes, records.size() % 2 == 0 ? 0 : 15));
    }
  }
  return records;
}

const Row& RowOf(const Model& model, const std::string& name) {
  for (const Row& row : model.rows()) {
    if (row.name.find(name) != std::string::npos) return row;
  }
  FAIL("no row " << name);
  std::abort();
}

bool Near(double a, double b, double part = 1e-6) {
  return std::abs(a - b) <= part * std::max(1.0, std::abs(b));
}

std::string TextOf(const Target& target, const Model& model) {
  const auto page = Render(target, model, Words(), {kTargetFile, "docs/capacity", "capacity"});
  REQUIRE_MESSAGE(std::holds_alternative<Page>(page), std::get<std::string>(page));
  return std::get<Page>(page).text;
}

TEST_CASE("target: the committed file says what issue 38 asks") {
  const Target target = Committed();
  CHECK(target.poolers == 410);
  CHECK(target.databases == 730);
  CHECK(target.clients == 890'000);
  CHECK(target.statements_per_s == 420'000);
  CHECK(target.regions == 2);
  CHECK(target.zones == 7);
  CHECK(target.control_machines == 7);
  CHECK(target.primary_changes_per_day == 2);
  CHECK(target.primary_change_within_s == 5);
  CHECK(target.configuration_changes_per_day == 290);
  CHECK(target.configuration_within_s == 7);
  CHECK(target.machine_failures_per_day == 7);
  CHECK(target.restarts_per_day == 86);
  CHECK(target.region_cut_s == 300);
  CHECK(target.cpu_percent == 2.4);
  CHECK(target.memory_mb == 256);
  CHECK(target.bytes_per_s == 12'000);
}

TEST_CASE("target: a file that cannot be used is one sentence with line and column") {
  const auto says = [](const std::string& from, const std::string& to, const std::string& what) {
    const std::string sentence = Changed(from, to);
    CAPTURE(sentence);
    CHECK(sentence.starts_with("line "));
    CHECK(sentence.find(", column ") != std::string::npos);
    CHECK(sentence.find(what) != std::string::npos);
    CHECK(sentence.find('\n') == std::string::npos);
  };
  says("poolers = 410", "poolers = \"410\"", "'fleet.poolers' is not a whole number");
  says("poolers = 410", "poolers = 410.5", "'fleet.poolers' is not a whole number");
  says("poolers = 410", "poolers = 1", "'fleet.poolers' lies outside 2 to 100000");
  says("poolers = 410", "pooler = 410", "'fleet.pooler' is not known");
  says("databases = 730", "", "'fleet.databases' is missing");
  says("zones = 7 ", "zones = 1 ", "lies outside");
  says("regions = 2", "regions = 9", "'fleet.zones' is smaller than 'fleet.regions'");
  says("cpu_percent = 2.4", "cpu_percent = nan", "'budget.cpu_percent' lies outside");
  says("memory_mb = 256", "memory_mb = true", "'budget.memory_mb' is not a number");
  says("[budget]", "[budgets]", "'budgets' is not known");
  says("[budget]", "[other]", "'other' is not known");
  says("high = 3\n", "high = 1.2\n", "low, assumed and high do not ascend");
  says("high = 3\n", "highest = 3\n", "'assumed.busiest_second_ratio.highest' is not known");
  says("[assumed.writes_percent]", "[assumed.writes]", "'assumed.writes' is not known");
  says("high = 20\n", "high = 200\n", "'assumed.writes_percent.high' lies outside 0 to 100");
  says("high = 20\n", "high = 90\n", "are more than all statements together");
  says("high = 33\n", "high = 96\n", "are more than all statements together");
  says("low = 3\nassumed = 11", "low = 0\nassumed = 11",
       "'assumed.session_statements.low' lies outside 1 to 1000000000");
  says("why = \"nothing paces", "whys = \"nothing paces", "'assumed.catch_up_s.whys' is not known");
  says("[fleet]", "[fleet", "line 4");
  CHECK(std::get<std::string>(LoadTarget("/nowhere/x.toml")) == "the target /nowhere/x.toml cannot be read");
}

TEST_CASE("target: a file with any one line left out is refused, or was a line of comment") {
  CHECK(rc::check("one line out", [](std::uint16_t pick) {
    std::string text = Whole(kRoot + "/" + kTargetFile);
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t end = text.find('\n', at);
      lines.push_back(text.substr(at, end - at + 1));
      at = end + 1;
    }
    const std::size_t out = pick % lines.size();
    const bool bare = lines[out].starts_with('#') || lines[out] == "\n";
    text.clear();
    for (std::size_t i = 0; i < lines.size(); ++i) text += i == out ? "" : lines[i];
    RC_ASSERT(std::holds_alternative<Target>(ReadTarget(text)) == bare);
  }));
}

TEST_CASE("measurements: what is no record is one sentence; unknown keys are passed over") {
  const std::string run =
      R"("run":{"poolers":2,"databases":3,"real":1,"script":"quiet","seed":1,"seconds":9,)"
      R"("clients":0,"statements_per_s":0,"writes_share":0,"roam_share":0,)"
      R"("changes_per_s":0,"marks":"each","commit":"abc","more":[1]})";
  const auto says = [](const std::string& text) {
    const auto read = ReadMeasurements(text);
    return std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : "";
  };
  const auto read =
      ReadMeasurements("[{" + run + R"(,"figures":{"x":1.5,"y":null,"z_never_heard_of":2},"w":1}])");
  REQUIRE(std::holds_alternative<std::vector<Record>>(read));
  const Record& record = std::get<std::vector<Record>>(read).at(0);
  CHECK(record.size.databases == 3);
  CHECK(record.figures.size() == 2);
  const auto alone = ReadMeasurements("{" + run + R"(,"figures":{"memory_mb":0,"crashed":0,"x":0}})");
  REQUIRE(std::holds_alternative<std::vector<Record>>(alone));
  // No memory is none that was told; no crash is a figure.
  CHECK(std::get<std::vector<Record>>(alone).at(0).figures ==
        std::map<std::string, double>{{"crashed", 0}, {"x", 0}});
  CHECK(says("{}") == "the measurements are not a list of records");
  CHECK(says("[\n\n{]") == "line 3: no JSON");
  CHECK(says("[1]") == "record 1: has no 'run'");
  CHECK(says("[{" + run + "}]") == "record 1: has no 'figures'");
  CHECK(says("[{" + run + R"(,"figures":{"x":"1"}}])") == "record 1: 'figures.x' is not a number");
  const auto without = [&](const std::string& from, const std::string& to) {
    std::string text = "[{" + run + R"(,"figures":{}}])";
    text.replace(text.find(from), from.size(), to);
    return says(text);
  };
  CHECK(without("\"poolers\":2,", "") == "record 1: 'run.poolers' is missing");
  CHECK(without("\"poolers\":2", "\"poolers\":\"2\"") == "record 1: 'run.poolers' is not a number");
  CHECK(without("\"writes_share\":0", "\"writes_share\":5") ==
        "record 1: 'run.writes_share' is out of its bounds");
  CHECK(without("\"seconds\":9", "\"seconds\":-1") == "record 1: 'run.seconds' is out of its bounds");
}

TEST_CASE("fit: known slopes are found again") {
  CHECK(rc::check("exact", [](std::int16_t a, std::int16_t b, std::int16_t c, std::uint32_t seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> poolers(5, 820), writes(0, 30'000);
    std::vector<Sample> samples;
    for (int i = 0; i < 12; ++i) {
      const double p = poolers(random), w = writes(random);
      samples.push_back({{1, p, w}, a + b * p + c * w});
    }
    const auto fit = LeastSquares({"1", "poolers", "writes"}, samples);
    RC_ASSERT(std::holds_alternative<Fit>(fit));
    const Fit& found = std::get<Fit>(fit);
    RC_ASSERT(std::abs(found.slopes[0] - a) < 1e-4);
    RC_ASSERT(std::abs(found.slopes[1] - b) < 1e-6);
    RC_ASSERT(std::abs(found.slopes[2] - c) < 1e-7);
    RC_ASSERT(found.residual < 1e-3);
  }));
}

TEST_CASE("fit: with noise the error told is the error made") {
  // Over many draws the slope's miss, in its own standard errors, has to be about one.
  std::mt19937 random(7);
  std::normal_distribution<double> noise(0, 50);
  double squares = 0;
  constexpr int kDraws = 400;
  for (int draw = 0; draw < kDraws; ++draw) {
    std::vector<Sample> samples;
    for (int i = 0; i < 40; ++i) {
      const double p = 20.0 + 20.0 * i;
      samples.push_back({{1, p}, 600 + 5 * p + noise(random)});
    }
    const Fit fit = std::get<Fit>(LeastSquares({"1", "poolers"}, samples));
    squares += std::pow((fit.slopes[1] - 5) / fit.errors[1], 2);
    CHECK(fit.ErrorAt({1, 4'000}) > fit.ErrorAt({1, 400}));  // the farther, the less is known
  }
  CHECK(squares / kDraws > 0.8);
  CHECK(squares / kDraws < 1.3);
}

TEST_CASE("fit: too few records, or terms that grew together, are refused with a sentence") {
  const auto says = [](const std::vector<std::string>& terms, const std::vector<Sample>& samples) {
    const auto fit = LeastSquares(terms, samples);
    return std::holds_alternative<std::string>(fit) ? std::get<std::string>(fit) : "";
  };
  CHECK(says({"1", "poolers"}, {{{1, 5}, 1}, {{1, 9}, 2}}) ==
        "2 records for 2 slopes: one more than slopes is needed at least");
  CHECK(says({"1"}, {{{1}, 1}}) == "1 record for 1 slope: one more than slopes is needed at least");
  std::vector<Sample> together, nearly, narrow, apart;
  for (int i = 1; i <= 10; ++i) {
    together.push_back({{1, 10.0 * i, 17.8 * i}, 1.0 * i});
    nearly.push_back({{1, 10.0 * i, 17.8 * i + (i % 2) * 0.1}, 1.0 * i});
    narrow.push_back({{1, 1000.0 + i}, 1.0 * i});
    apart.push_back({{1, 10.0 * i, 17.8 * ((i * 7) % 11)}, 1.0 * i});
  }
  const std::string sentence =
      "databases cannot be told from 1 and poolers: they grew together in all 10 records";
  CHECK(says({"1", "poolers", "databases"}, together) == sentence);
  CHECK(says({"1", "poolers", "databases"}, nearly) == sentence);
  CHECK(says({"1", "poolers"}, narrow) ==
        "poolers cannot be told from 1: they grew together in all 10 records");
  CHECK(says({"1", "poolers", "databases"}, apart).empty());
}

TEST_CASE("slopes: a term that no record varies is named and never made up") {
  std::vector<Record> records;
  for (const double poolers : {20.0, 50.0, 100.0, 300.0}) records.push_back(Played(poolers, 0));
  std::vector<const Record*> all;
  for (const Record& record : records) all.push_back(&record);
  const std::vector<Term> terms = {Term::kOne, Term::kPoolers, Term::kFleetWrites};
  const Slopes slopes(terms, "membership_bytes_out_per_s", all);
  REQUIRE(slopes.fit());
  CHECK(Near(*slopes.SlopeOf(Term::kPoolers), 5));
  CHECK_FALSE(slopes.SlopeOf(Term::kFleetWrites));
  REQUIRE(slopes.unvaried().size() == 1);
  const Cell quiet = slopes.At(Played(200, 0).size);
  CHECK(quiet.how == How::kMeasured);
  CHECK_FALSE(quiet.at_least);
  CHECK(slopes.At(Played(400, 0).size).how == How::kWorkedOut);
  const Cell busy = slopes.At(Played(200, 21'000).size);
  CHECK(busy.how == How::kWorkedOut);
  CHECK(busy.at_least);
  CHECK(Slopes(terms, "nobody_tells_this", all).At(records[0].size).how == How::kNotMeasured);
}

TEST_CASE("slopes: one that does not stand out from its error is not carried beyond its range") {
  std::mt19937 random(3);
  std::normal_distribution<double> noise(0, 50);
  std::vector<Record> records;
  for (const double poolers : {20.0, 50.0, 100.0, 200.0, 300.0, 400.0}) {
    for (const double writes : {0.0, 5.0, 9.0}) {
      records.push_back(Played(poolers, writes));
      records.back().figures["marks_bytes_out_per_s"] =
          1'000 + 200 * poolers + noise(random);  // no part of writes
    }
  }
  std::vector<const Record*> all;
  for (const Record& record : records) all.push_back(&record);
  const Slopes slopes({Term::kOne, Term::kPoolers, Term::kFleetWrites}, "marks_bytes_out_per_s", all);
  REQUIRE(slopes.untold().size() == 1);
  CHECK(slopes.untold()[0].term == Term::kFleetWrites);
  CHECK(Near(*slopes.SlopeOf(Term::kPoolers), 200, 0.01));
  const Cell within = slopes.At(Played(400, 9).size), beyond = slopes.At(Played(400, 21'000).size);
  CHECK_FALSE(within.at_least);
  CHECK(within.how == How::kMeasured);
  CHECK(beyond.at_least);
  CHECK(beyond.value == within.value);
  CHECK(beyond.how == How::kWorkedOut);
  // A line that is carried below nothing is no figure, and nothing costs less for more.
  for (Record& record : records) {
    record.figures["late"] = 10 * record.size.poolers - 100;
    record.figures["falling"] = 500 - record.size.poolers;
  }
  const Slopes late({Term::kOne, Term::kPoolers}, "late", all);
  CHECK(late.At(Played(20, 0).size).how == How::kMeasured);
  CHECK(late.At(Played(5, 0).size).how == How::kNotMeasured);
  const Slopes falling({Term::kOne, Term::kPoolers}, "falling", all);
  CHECK(falling.untold().size() == 1);
  CHECK(falling.At(Played(600, 0).size).at_least);
}

TEST_CASE("model: rows, budgets and the order of failing follow the records") {
  const Target target = Committed();
  const Model model(Fleet());
  const Row& marks = RowOf(model, "marks out");
  CHECK(Near(marks.at(target, Column::kOrdinary).value, 100 + 20 * 2'000 + 30 * 21'000));
  CHECK(marks.at(target, Column::kOrdinary).how == How::kMeasured);
  CHECK(Near(marks.at(target, Column::kWorstOrdinary).value, 100 + 20 * 2'000 + 30 * 31'500));
  const Row& all = RowOf(model, "control, all kinds");
  const Cell sum = all.at(target, Column::kOrdinary);
  CHECK(Near(sum.value, 2 * (600 + 5 * 410 + 100 + 24 * 2'000 + 30 * 21'000) + 12));
  // 2 x (700 + 5 P + 24 x 10 (P - 1) + 30 x 21,000 / 410 x P) + 12 > 12,000 first at 4 poolers.
  CHECK(LeavesAt(all, target, Column::kOrdinary) == 4);
  const Row& cpu = RowOf(model, "control, % of a core");
  CHECK(Near(cpu.at(target, Column::kOrdinary).value, 100 * (0.001 + 0.2 + 0.0041 + 0.021)));
  const Row& memory = RowOf(model, "control, as one instance more");
  CHECK(Near(memory.at(target, Column::kOrdinary).value, 18.2));
  CHECK(LeavesAt(memory, target, Column::kOrdinary) == 0);
  // What was missed on a cut is sent again: 205 poolers across, 51.2 marks a second for 300 s, in 10 s.
  const double again = 30.0 * 205 * (21'000.0 / 410 * 300) / 10;
  CHECK(Near(marks.at(target, Column::kRegionsCut).value, 100 + 20 * 2'000 + 30 * 10'500 + again));
  CHECK(marks.at(target, Column::kRegionsCut).at_least);
  const std::string text = TextOf(target, model);
  const std::size_t bytes =
      text.find("**fails** | pooler, messages: **control, all kinds, both ways, bytes a second** | 4 |");
  const std::size_t connections = text.find("**fails** | database, descriptors: connections of poolers");
  CHECK(bytes != std::string::npos);
  CHECK(connections != std::string::npos);
  CHECK(bytes < connections);  // whichever leaves its budget at the smaller size stands first
}

TEST_CASE("model: what follows from the target alone") {
  const Target target = Committed();
  const Model model({});
  const auto at = [&](const char* name, Column column) {
    return RowOf(model, name).at(target, column).value;
  };
  const Size ordinary = SizeIn(target, Column::kOrdinary);
  CHECK(Near(ordinary.poolers * ordinary.databases, 299'300));
  CHECK(Near(at("statements of one pooler", Column::kOrdinary), 1.403, 0.001));
  CHECK(std::round(ValueOf(Term::kClients, ordinary)) == 2'171);
  CHECK(Near(at("clients that connect anew", Column::kZoneGone), 890'000.0 / 7 / 10 / (410.0 * 6 / 7)));
  // 93 poolers a day, each with 2,171 clients; five at once in the worst second.
  CHECK(Near(at("clients that connect anew", Column::kOrdinary), 93.0 / 86'400 * 890'000 / 410 / 410));
  CHECK(Near(at("clients that connect anew", Column::kWorstOrdinary), 5 * 890'000.0 / 410 / 10 / 405));
  CHECK(at("clients that connect anew", Column::kRegionsCut) ==
        at("clients that connect anew", Column::kOrdinary));
  CHECK(Near(at("calls a second, `ask`, while", Column::kOrdinary), 93.0 / 86'400));
  CHECK(Near(at("empty lines out", Column::kOrdinary), 410 * 3));
  // Of 1,024 statements 19 % are the sessions' own: not all of them, as a read that asks for nothing of its
  // session needs no mark.
  CHECK(Near(ValueOf(Term::kSessionStatements, ordinary), 0.19 * 420'000 / 410));
  CHECK(Near(ValueOf(Term::kFirstMeets, ordinary), 0.19 * 420'000 / 410 / 11));
  CHECK(Near(ValueOf(Term::kRoaming, ordinary), 0.019 * 420'000 / 410));
  CHECK(Near(ValueOf(Term::kOwnerMessages, ordinary), 0.19 * 420'000 * (2.0 / 11 + 0.4) / 7));
  // 2 x 240 / 2,000 s is 240 ms: one pooler more is too many.
  CHECK(LeavesAt(RowOf(model, "two pauses"), target, Column::kOrdinary) == 242);
  CHECK(Near(at("needed so that clients idle", Column::kOrdinary), 8 * 890'000.0 / 410 + 40));
  // 243.3 groups are 31 packets, one every 204.5 ms; 216.04 with 364 poolers are 28, one every 181.5 ms: 5.08
  // s.
  const Row& round = RowOf(model, "round in which all reigns");
  CHECK(Near(round.at(target, Column::kOrdinary).value, 31 * 0.2045));
  CHECK(Near(round.at(Grown(target, 2), Column::kOrdinary).value, 0.5));
  CHECK(LeavesAt(round, target, Column::kOrdinary) == 364);
}

TEST_CASE("model: runs that lose a zone or cut regions tell of themselves, and of no ordinary second") {
  const Target target = Committed();
  std::vector<Record> records = Fleet();
  for (const double poolers : {50.0, 100.0, 205.0, 410.0, 820.0}) {
    Record record = Played(poolers, 0);
    record.script = "zone";
    record.figures = {{"membership_bytes_out_per_s", 20 * poolers}};
    records.push_back(record);
  }
  const Model model(records);
  const Row& row = RowOf(model, "membership out");
  CHECK(Near(row.at(target, Column::kOrdinary).value, 600 + 5 * 410, 1e-4));
  // What is left after the loss, and what the loss added in the runs: 20 P less 600 + 5 P.
  const double left = 600 + 5 * 410.0 * 6 / 7, added = 20 * 410 - (600 + 5 * 410);
  CHECK(Near(row.at(target, Column::kZoneGone).value, left + added, 1e-4));
  CHECK_FALSE(row.at(target, Column::kZoneGone).at_least);
  CHECK(row.at(target, Column::kRegionsCut).at_least);  // never played

  // A run's worst second counts where it tells one, and a few of one size tell no slope.
  std::vector<Record> few = Fleet();
  for (const double seed : {1.0, 2.0}) {
    Record record = Played(100, 0);
    record.script = "replaced";
    record.seed = seed;
    record.figures = {{"membership_bytes_out_per_s", 1'200},
                      {"membership_bytes_out_per_s_peak", 5'000 + seed}};
    few.push_back(record);
  }
  const Row again = RowOf(Model(few), "membership out");
  const Cell worst = again.at(target, Column::kWorstOrdinary);
  CHECK(Near(worst.value, 600 + 5 * 410 + 5'002 - (600 + 5 * 100), 1e-4));
  // Of smaller fleets than those nothing is known, and nothing is added.
  CHECK(Near(again.at(Grown(target, 50), Column::kWorstOrdinary).value, 600 + 5 * 50, 1e-4));
  CHECK(again.at(Grown(target, 50), Column::kWorstOrdinary).at_least);
  CHECK(worst.at_least);  // 410 poolers were never replaced
  CHECK(worst.how == How::kWorkedOut);
}

TEST_CASE("measurements: what a run counted stands in for what it was asked to play") {
  const std::string run =
      R"([{"run":{"poolers":20,"databases":3,"real":0,"script":"load","seed":1,"seconds":9,)"
      R"("clients":0,"statements_per_s":50,"writes_share":0.05,"roam_share":0,)"
      R"("changes_per_s":0,"commit":"abc"},"figures":)";
  const auto size = [&](const std::string& figures) {
    return std::get<std::vector<Record>>(ReadMeasurements(run + figures + "}]")).at(0).size;
  };
  CHECK(size("{}").statements_per_s == 50);
  CHECK(size(R"({"statements":9000,"measured_s":10})").statements_per_s == 900);
  CHECK(size(R"({"statements":9000,"measured_s":10})").writes_share == 0.05);
  CHECK(size(R"({"statements":9000,"writes":90,"measured_s":10})").writes_share == 0.01);
  CHECK(size(R"({"statements":0,"writes":0,"measured_s":10})").statements_per_s == 0);
}

TEST_CASE("measurements: shares are converted to those of session statements") {
  const auto read = [](double poolers, const std::string& more, const std::string& figures = "{}") {
    const auto records = ReadMeasurements(
        R"({"run":{"databases":3,"real":0,"script":"load","seed":1,"seconds":9,"clients":0,)"
        R"("statements_per_s":50,"writes_share":0.05,"roam_share":0.1,"changes_per_s":0,"commit":"abc",)"
        R"("poolers":)" +
        std::to_string(poolers) + more + R"(},"figures":)" + figures + "}");
    REQUIRE_MESSAGE(std::holds_alternative<std::vector<Record>>(records), std::get<std::string>(records));
    return std::get<std::vector<Record>>(records).at(0);
  };
  const Record plain = read(64, "");
  CHECK(Near(plain.size.own_reads_share, 0.475));  // half of the reads
  CHECK(plain.size.session_statements == 0);
  CHECK(plain.size.owners == 0);
  CHECK(plain.generation == 1);
  CHECK(ValueOf(Term::kFirstMeets, plain.size) == 0);
  CHECK(read(1, "").size.roaming_share == 0);
  // The same by drawing, as the laboratory's load draws: a pooler, then its own home or one at random, and
  // how many statements of a session come to another pooler than the one before.
  std::mt19937 random(11);
  for (const int owners : {0, 3}) {
    for (const int poolers : {2, 8, 40}) {
      std::vector<int> last(static_cast<std::size_t>(poolers + owners), -1);
      int moved = 0;
      constexpr int kDraws = 400'000;
      for (int i = 0; i < kDraws; ++i) {
        const int at = std::uniform_int_distribution<int>(0, poolers - 1)(random);
        const bool drawn = std::uniform_real_distribution<double>(0, 1)(random) < 0.1;
        const int home = drawn ? std::uniform_int_distribution<int>(0, poolers + owners - 1)(random) : at;
        moved += at != std::exchange(last[static_cast<std::size_t>(home)], at);
      }
      const std::string more = R"(,"owners":)" + std::to_string(owners);
      CHECK(
          Near(read(poolers + owners, more).size.roaming_share, static_cast<double>(moved) / kDraws, 0.003));
    }
  }
  const Record told = read(64, R"(,"own_reads_share":0.14,"session_statements":11,"owners":7)");
  CHECK(told.size.own_reads_share == 0.14);
  CHECK(Near(ValueOf(Term::kFirstMeets, told.size), 50 * 0.19 / 57 / 11));
  CHECK(told.size.owners == 7);
  CHECK(told.generation == 2);
  CHECK(read(64, R"(,"owners":0,"generation":3)").generation == 3);
  CHECK(told.size.poolers == 57);  // machines set aside are no poolers
  CHECK(std::get<std::string>(ReadMeasurements(
            R"([{"run":{"poolers":7,"databases":3,"real":0,"script":"load","seed":1,"seconds":9,"clients":0,)"
            R"("statements_per_s":50,"writes_share":0.05,"roam_share":0.1,"changes_per_s":0,"commit":"abc",)"
            R"("owners":7},"figures":{}}])")) == "record 1: 'run.owners' is out of its bounds");
  CHECK(read(64, R"(,"bytes_per_s":9000)").bytes_budget == 9'000);
  // Where many own-reads took the conservative target, their asks were held back.
  CHECK(read(64, "", R"({"conservative_share":0.2})").held_back);
  CHECK_FALSE(read(64, "", R"({"conservative_share":0.002})").held_back);
  CHECK_FALSE(read(64, "").held_back);
}

// Poolers with a directory: members, and so many bytes out and in for each message of sessions.
std::vector<Record> Owned(double generation, double per_message, double owners = 0) {
  std::vector<Record> records;
  for (const double poolers : {16.0, 64.0, 205.0, 410.0}) {
    for (const double roaming : {0.0, 0.02, 0.2, 0.8}) {
      Record record = Played(poolers, 20 * poolers);
      record.marks = "directory";
      record.generation = generation;
      record.size.owners = owners;
      record.size.own_reads_share = 0.475;
      record.size.roaming_share = roaming;
      const double messages = ValueOf(Term::kDirectoryMessages, record.size) * (owners > 0 ? 0.5 : 1);
      for (const char* direction : {"out", "in"}) {
        record.figures["membership_bytes_" + std::string(direction) + "_per_s"] = 600 + poolers;
        record.figures["marks_bytes_" + std::string(direction) + "_per_s"] = per_message * messages;
        record.figures["reigns_bytes_" + std::string(direction) + "_per_s"] = 0;
      }
      if (owners > 0) {
        const double theirs = ValueOf(Term::kOwnerMessages, record.size);
        record.figures["owner_bytes_per_s"] = 700 + 92 * theirs;
        record.figures["owner_cpu_share"] = 0.01 + 1e-6 * theirs;
        record.figures["owner_memory_mb"] = 10 + 1e-4 * theirs;
      }
      records.push_back(record);
    }
  }
  return records;
}

TEST_CASE("model: a directory's bytes are members, first meets and moves; owners aside take an end of each") {
  const Target target = Committed();
  const double statements = 0.19 * 420'000 / 410, meets = statements / 11, moves = statements / 10;
  const double discovery = 12, messages = 2 * meets + 4 * moves;
  const Model model(Owned(2, 90));
  const auto at = [&](const Model& of, const std::string& name) {
    return RowOf(of, name).at(target, Column::kOrdinary).value;
  };
  CHECK(Near(at(model, "of it first meets"), 2 * 90 * 2 * meets, 1e-4));
  CHECK(Near(at(model, "of it roaming statements"), 2 * 90 * 4 * moves, 1e-4));
  const double all = 2 * (600 + 410) + 2 * 90 * messages + discovery;
  CHECK(Near(at(model, "control, all kinds, both ways, "), all, 1e-4));
  // Seven more members, and half of the messages' bytes.
  CHECK(Near(at(model, "control, all kinds, both ways (marks: directory, owners set aside)"),
             2 * (600 + 417) + 90 * messages + discovery, 1e-4));
  CHECK(RowOf(model, "owners of sessions, both ways").at(target, Column::kOrdinary).how == How::kNotMeasured);
  CHECK(Near(at(model, "asks of reads at first meets and moves, "), (meets + moves) * 14 / 19, 1e-4));
  CHECK(Near(at(model, "sessions held by one pooler, "), (meets + moves) * 30, 1e-4));
  CHECK(Near(at(model, "sessions owned by one machine, "), meets * 410 * 63 / 7, 1e-4));

  // What is left where no read's ask is admitted, by playing sessions: a place is asked for by its first
  // write.
  std::mt19937 random(5);
  const auto drawn = [&random](double share) {
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
  };
  constexpr int kDraws = 200'000;
  int met = 0, moved = 0, met_reads = 0, moved_reads = 0;
  for (int i = 0; i < kDraws; ++i) {
    bool wrote = false;
    for (int statement = 0; statement < 11; ++statement) {
      wrote |= drawn(5.0 / 19);
      met_reads += !wrote;
    }
    met += wrote;
    wrote = false;
    do {
      wrote |= drawn(5.0 / 19);
      moved_reads += !wrote;
    } while (!drawn(0.1));
    moved += wrote;
  }
  const double floor = 2 * 90 * (2 * meets * met + 4 * moves * moved) / kDraws;
  const double least = 2 * (600 + 410) + floor + discovery;
  CHECK(Near(at(model, "control, no read's ask admitted, "), least, 0.005));
  // A budget of bytes between the two is held by so many reads that do not ask.
  Target bounded = target;
  bounded.bytes_per_s = all - (all - least) / 4;
  const Row& conservative = RowOf(model, "own-reads on the conservative target for a budget");
  const double unasked = (meets * met_reads + moves * moved_reads) / kDraws / (0.14 * 420'000 / 410);
  CHECK(Near(conservative.at(bounded, Column::kOrdinary).value, 25 * unasked, 0.02));
  bounded.bytes_per_s = 2 * all;
  CHECK(conservative.at(bounded, Column::kOrdinary).value == 0);
  bounded.bytes_per_s = least / 2;
  CHECK(Near(conservative.at(bounded, Column::kOrdinary).value, 100 * unasked, 0.02));

  // Once owners were played, theirs are measured, and what was worked out gives way to it.
  std::vector<Record> both = Owned(2, 90);
  for (const Record& record : Owned(2, 90, 7)) both.push_back(record);
  const Model played(both);
  const std::string aside = "control, all kinds, both ways (marks: directory, owners set aside)";
  CHECK(Near(at(played, aside), 2 * (600 + 410) + 90 * messages + discovery, 1e-4));
  CHECK(Near(at(played, "owners of sessions, both ways"), 700 + 92 * messages * 410 / 7, 1e-4));
  CHECK(Near(at(played, "owners of sessions, % of a core"), 1 + 1e-4 * messages * 410 / 7, 1e-4));
  CHECK(Near(at(played, "owners of sessions, MB"), 10 + 1e-4 * messages * 410 / 7, 1e-4));
  int rows = 0;
  for (const Row& row : played.rows()) rows += row.name.find(aside) != std::string::npos;
  CHECK(rows == 1);
}

TEST_CASE("model: records of before and after a change of what poolers say are in no line together") {
  const Target target = Committed();
  std::vector<Record> records = Owned(1, 200);
  for (const Record& record : Owned(2, 90)) records.push_back(record);
  const Model model(records);
  const double messages = 0.19 * 420'000 / 410 * (2.0 / 11 + 0.4);
  const Row& now = RowOf(model, "marks out (marks: directory)");
  const Row& former = RowOf(model, "marks out (marks: directory, former records)");
  CHECK(Near(now.at(target, Column::kOrdinary).value, 90 * messages, 1e-4));
  CHECK(Near(former.at(target, Column::kOrdinary).value, 200 * messages, 1e-4));
  CHECK_FALSE(now.aside);
  CHECK(former.aside);
  const std::string text = TextOf(target, model);
  const std::string failing = text.substr(text.find("## What fails, in"));
  CHECK(failing.substr(0, failing.find("## What is assumed")).find("former records") == std::string::npos);
  // One record of the later kind tells no slope: until some do, the former ones stay what is held.
  records.resize(Owned(1, 200).size());
  records.push_back(Owned(2, 90).front());
  const Model few(records);
  CHECK_FALSE(RowOf(few, "control, all kinds, both ways (marks: directory)").aside);
  CHECK_FALSE(RowOf(few, "control, all kinds, both ways (marks: directory, former records)").aside);
}

TEST_CASE("model: poolers that own sessions are not replaced by a later generation with owners set aside") {
  std::vector<Record> records = Owned(1, 200);
  for (const Record& record : Owned(2, 90, 7)) records.push_back(record);
  const Model model(records);
  CHECK_FALSE(RowOf(model, "control, all kinds, both ways (marks: directory, former records)").aside);
  const std::string aside = "control, all kinds, both ways (marks: directory, owners set aside";
  CHECK(RowOf(model, aside).name.find("former") == std::string::npos);
  int rows = 0;  // what was worked out of the former ones gives way to what was played
  for (const Row& row : model.rows()) rows += row.name.find(aside) != std::string::npos;
  CHECK(rows == 1);
}

TEST_CASE("model: what is measured by itself has its slope from the last generation") {
  std::vector<Record> records;
  for (const double generation : {1.0, 2.0}) {
    for (const double poolers : {2.0, 4.0, 8.0, 12.0}) {
      Record record;
      record.script = "peers_command";
      record.generation = generation;
      record.size.poolers = poolers;
      record.figures["peers_answer_bytes"] = 100 * generation + (130 + generation) * poolers;
      records.push_back(record);
    }
  }
  const Model model(records);
  CHECK(Near(RowOf(model, "answer of `lynxgrade peers`").at(Committed(), Column::kOrdinary).value,
             200 + 132 * 410));
}

TEST_CASE("model: a run that was too much for its machine tells no slope") {
  const Target target = Committed();
  std::vector<Record> records = Owned(2, 90);
  const double before = RowOf(Model(records), "membership out").at(target, Column::kOrdinary).value;
  for (Record record : Owned(2, 90)) {
    record.figures["membership_bytes_out_per_s"] *= 3;
    record.figures["stalls"] = 2 * record.size.poolers;
    records.push_back(record);
  }
  CHECK(RowOf(Model(records), "membership out").at(target, Column::kOrdinary).value == before);
  // A few loops of a large fleet that stood still once do not make a run another one.
  for (Record& record : records) record.figures["stalls"] = 0.1 * record.size.poolers;
  CHECK(RowOf(Model(records), "membership out").at(target, Column::kOrdinary).value > before);
}

TEST_CASE("model: what a budget of bytes held back tells no slope") {
  const Target target = Committed();
  std::vector<Record> records = Owned(2, 90);
  const double before = RowOf(Model(records), "marks out").at(target, Column::kOrdinary).value;
  for (Record record : Owned(2, 10)) {
    record.held_back = true;
    records.push_back(record);
  }
  CHECK(RowOf(Model(records), "marks out").at(target, Column::kOrdinary).value == before);
}

TEST_CASE("slopes: a figure that is the same at every size has none, and is told") {
  std::vector<Record> records = Fleet();
  std::vector<const Record*> all;
  for (Record& record : records) {
    record.figures["descriptors"] = 2;
    if (record.size.poolers <= 100) all.push_back(&record);
  }
  const Cell cell = Slopes({Term::kOne, Term::kPoolers}, "descriptors", all).At(Played(410, 0).size);
  CHECK(cell.value == 2);
  CHECK_FALSE(cell.at_least);
  CHECK(cell.how == How::kWorkedOut);
}

TEST_CASE("model: the bounds that rows rest on are the program's") {
  const replication::ReplicationEngine::Options engine;
  CHECK(engine.packets_per_s == kPacketsPerS);
  CHECK(engine.idle_interval == Duration(static_cast<std::int64_t>(kIdleFlushMs * 1000)));
  CHECK(static_cast<double>(engine.retained_watermarks) == kMarksKept);
  const auto setup = ParseProgramSettings("");
  REQUIRE(setup);
  const ProgramSettings& set = *setup;
  CHECK(set.sessions.max_read_delay == Duration(static_cast<std::int64_t>(kHoldMs * 1000)));
  CHECK(set.sessions.write_retention == Duration(static_cast<std::int64_t>(kRecallS * 1e6)));
  CHECK(static_cast<double>(set.sessions.session_capacity) == kLedgerSessions);
  CHECK(set.replication.probe_interval == Duration(static_cast<std::int64_t>(kProbeMs * 1000)));
  net::DescriptorBudget budget(1'000);
  CHECK(static_cast<double>(budget.total()) == 1'000 - kReserved);
  CHECK(set.replication.read_acquires_per_s == kAsksPerS);
  CHECK(set.replication.bytes_per_s == 0);  // rows of the directory are what is asked for without a budget
  const lease::SessionLeaseManager::Options owner;
  CHECK(owner.lease_duration == Duration(static_cast<std::int64_t>(kLeaseS * 1e6)));
  CHECK(owner.lease_duration * 11 / 10 + owner.write_retention ==
        Duration(static_cast<std::int64_t>(kOwnedForS * 1e6)));
  CHECK(static_cast<double>(lease::SessionLeaseClient::Options().lease_capacity) == kSessionsHeld);
  // A probe, and a row of one column `body` as the lab's data servers answer it.
  std::string query, answer;
  pg::AppendQuery(query, "SHOW pressure");
  CHECK(static_cast<double>(query.size()) == kProbeQueryBytes);
  pg::AppendMessage(answer, 'T', std::string(2 + 5 + 18, '\0'));
  pg::AppendMessage(answer, 'D', std::string(2 + 4, '\0') + "x0=1764656571.123,x1=1");
  pg::AppendCommandComplete(answer, "SELECT 1");
  pg::AppendReadyForQuery(answer);
  CHECK(static_cast<double>(answer.size()) == kProbeAnswerBytes);
}

TEST_CASE("model: what is played for comparison alone stands beside, and is not held against a budget") {
  const Target target = Committed();
  std::vector<Record> records = Fleet();
  for (const double poolers : {16.0, 40.0, 100.0}) {
    Record record = Played(poolers, 0);
    record.marks = "none";
    record.figures = {{"membership_bytes_out_per_s", 900 + 8 * poolers}, {"cpu_share", 0.5}};
    records.push_back(record);
  }
  const Model model(records);
  const Row& bytes = RowOf(model, "control, all kinds, both ways (without marks)");
  CHECK(bytes.aside);
  CHECK(Near(bytes.at(target, Column::kOrdinary).value, 900 + 8 * 410 + 12, 1e-3));
  CHECK_FALSE(RowOf(model, "control, all kinds, both ways (marks: each)").aside);
  const std::string text = TextOf(target, model);
  const std::string failing = text.substr(text.find("## What fails"));
  CHECK(text.find("membership out (without marks)") != std::string::npos);
  CHECK(failing.substr(0, failing.find("## What is assumed")).find("without marks") == std::string::npos);
}

TEST_CASE(
    "model: another way of exchanging marks has rows and slopes of its own, and kinds that are new count") {
  const Target target = Committed();
  std::vector<Record> records = Fleet();
  // Writes and messages of sessions that grow together tell one slope; others tell two.
  const auto play = [&](const char* way, double messages_a_write) {
    for (const double poolers : {16.0, 64.0, 205.0}) {
      for (const double own : {0.0, 1.0, 10.0}) {
        Record record = Played(poolers, own * poolers);
        record.marks = way;
        // Of 20 statements 1 is a write and 4 are session statements: these come from elsewhere so often that
        // there are so many messages a write.
        record.size.own_reads_share = 3 * record.size.writes_share;
        record.size.roaming_share = (own > 5 ? messages_a_write : 2) / (4 * kMessagesAMove);
        const double messages = ValueOf(Term::kDirectoryMessages, record.size);
        for (const char* direction : {"out", "in"}) {
          record.figures["marks_bytes_" + std::string(direction) + "_per_s"] = 0;
          record.figures["reigns_bytes_" + std::string(direction) + "_per_s"] = 0;
          record.figures["asked_bytes_" + std::string(direction) + "_per_s"] = 50 * own + 70 * messages;
        }
        records.push_back(record);
      }
    }
  };
  play("alike", 2);
  play("apart", 6);
  const Model model(records);
  const Row& apart = RowOf(model, "asked out (marks: apart)");
  // 51.2 own writes a second; 17.7 first meets of two messages and 19.5 roaming statements of four.
  const double statements = 0.19 * 420'000 / 410, messages = 2 * statements / 11 + 4 * statements / 10;
  CHECK(Near(apart.at(target, Column::kOrdinary).value, 50 * 21'000.0 / 410 + 70 * messages, 1e-4));
  CHECK(apart.note.empty());
  const Row& alike = RowOf(model, "asked out (marks: alike)");
  CHECK_FALSE(alike.note.empty());
  CHECK(Near(alike.at(target, Column::kOrdinary).value, (50.0 / 2 + 70) * messages, 1e-4));
  const Cell all = RowOf(model, "control, all kinds, both ways (marks: apart)").at(target, Column::kOrdinary);
  CHECK(Near(all.value, 2 * (600 + 5 * 410 + apart.at(target, Column::kOrdinary).value) + 12, 1e-3));
}

TEST_CASE("model: reigns are told to each, as far as packets have room for them") {
  Size size;
  size.poolers = 40;
  size.groups = 33;
  size.packets_per_s = 388;
  CHECK(ValueOf(Term::kReignsTold, size) == 39 * 33 * 2);
  size.groups = 243;
  CHECK(ValueOf(Term::kReignsTold, size) == 388 * 8);
}

TEST_CASE("model: an assumption moves what depends on it, and nothing else") {
  const Target target = Committed();
  const Model model(Fleet());
  for (const AssumptionField& field : AssumptionFields()) {
    const auto marks = Sensitivity(RowOf(model, "marks out"), target, field);
    const std::string key = field.key;
    const bool moves = key == "writes_percent" || key == "busiest_second_ratio" || key == "catch_up_s";
    CAPTURE(key);
    // The cut's column is the largest where it is caught up fast, so a busier second may not show.
    if (key != "busiest_second_ratio") CHECK((marks[0].value != marks[2].value) == moves);
    const auto memory = Sensitivity(RowOf(model, "control, as one instance more"), target, field);
    CHECK(memory[0].value == memory[2].value);
  }
}

TEST_CASE("page: what no record tells is 'not measured', never nought and never within a budget") {
  const Target target = Committed();
  const Model none({});
  for (const Row& row : none.rows()) {
    if (!row.slopes) continue;
    for (const Column column : kColumns) CHECK(row.at(target, column).how == How::kNotMeasured);
    CHECK_FALSE(LeavesAt(row, target, Column::kOrdinary));
  }
  const std::string text = TextOf(target, none);
  CHECK(text.find("| membership out, bytes a second | *not measured* | *not measured* |") !=
        std::string::npos);
  CHECK(text.find("control, % of a core: open") != std::string::npos);

  CHECK(rc::check("one figure out", [&](std::uint8_t pick) {
    std::vector<Record> records = Fleet();
    auto it = records[0].figures.begin();
    std::advance(it, pick % records[0].figures.size());
    const std::string gone = it->first;
    for (Record& record : records) record.figures.erase(gone);
    const Model model(records);
    for (const Row& row : model.rows()) {
      if (!row.slopes || row.slopes->refused() != "no record tells `" + gone + "`") continue;
      RC_ASSERT(row.at(target, Column::kOrdinary).how == How::kNotMeasured);
    }
    const Cell sum = RowOf(model, "control, all kinds").at(target, Column::kOrdinary);
    RC_ASSERT(sum.how != How::kNotMeasured);
    // Bytes of marks rest on packets.
    const bool part = gone.find("bytes") != std::string::npos || gone == "packets_out_per_s";
    RC_ASSERT(sum.at_least == part);
    // A part is missing, so the sum may not pass for one that holds.
    const std::string page = TextOf(target, model);
    if (sum.at_least)
      RC_ASSERT(page.find("all kinds, both ways, bytes a second**: within") == std::string::npos);
  }));
}

TEST_CASE("page: a sum that is under its budget only as far as it is measured is open, and does not hold") {
  const Target target = Committed();
  std::vector<Record> records = Fleet();
  for (Record& record : records) {
    std::erase_if(record.figures, [](const auto& figure) {
      return !figure.first.starts_with("membership") && !figure.first.starts_with("discovery");
    });
  }
  const std::string text = TextOf(target, Model(records));
  const std::string row = "pooler, messages: **control, all kinds, both ways, bytes a second**";
  CHECK(text.find("| open: a part is not measured | " + row) != std::string::npos);
  CHECK(text.find("| holds | " + row) == std::string::npos);
  CHECK(text.find("- " + row + ": open, ") != std::string::npos);
  // Membership is measured whole in an ordinary second, and nobody played its worst.
  CHECK(text.find("| holds | pooler, messages: membership alone") == std::string::npos);
}

TEST_CASE("page: hollow beside real poolers, also where only bytes can be compared") {
  Record record = Played(40, 20);
  record.real = 2;
  record.seed = 7;
  record.figures["hollow_vs_real_bytes_ratio"] = 0.95;
  const auto line = [&] {
    const std::string text = TextOf(Committed(), Model({record}));
    const std::size_t at = text.find("| load | each | 40 | 2 | 7 | ");
    REQUIRE(at != std::string::npos);
    return text.substr(at, text.find('\n', at) - at);
  };
  CHECK(line() == "| load | each | 40 | 2 | 7 | 0.95 | - | yes, bytes alone |");
  record.figures["hollow_vs_real_cpu_ratio"] = 1.1;
  CHECK(line() == "| load | each | 40 | 2 | 7 | 0.95 | 1.1 | yes |");
  record.figures["hollow_vs_real_cpu_ratio"] = 1.3;
  CHECK(line() == "| load | each | 40 | 2 | 7 | 0.95 | 1.3 | **no** |");
  record.figures.erase("hollow_vs_real_cpu_ratio");
  record.figures["hollow_vs_real_bytes_ratio"] = 0.7;
  CHECK(line() == "| load | each | 40 | 2 | 7 | 0.7 | - | **no** |");
}

TEST_CASE("page: each part stands in the words once") {
  const Target target = Committed();
  const Model model({});
  const PageNames names{kTargetFile, "docs/capacity", "capacity"};
  const auto says = [&](const std::string& words) {
    const auto page = Render(target, model, words, names);
    return std::holds_alternative<std::string>(page) ? std::get<std::string>(page) : "";
  };
  CHECK(says(Words()).empty());
  CHECK(says(Words() + "{{pooler}}") == "'{{pooler}}' stands there twice");
  CHECK(says(Words() + "{{poolers}}") == "'{{poolers}}' is not known");
  CHECK(says(Words() + "{{pool") == "a part's name does not end: {{pool");
  std::string words = Words();
  words.erase(words.find("{{failures}}"), 12);
  CHECK(says(words) == "'{{failures}}' is missing");
}

TEST_CASE("page: figures have four digits") {
  CHECK(Figure(0) == "0");
  CHECK(Figure(1.4034) == "1.4");
  CHECK(Figure(99.96) == "100");
  CHECK(Figure(730) == "730");
  CHECK(Figure(2170.7) == "2,171");
  CHECK(Figure(1'048'576) == "1,049,000");
  CHECK(Figure(-0.0321) == "-0.0321");
  CHECK(Figure(0.0000456) == "4.6e-05");
}

TEST_CASE("page: docs/CAPACITY.md is what the command writes from the committed files") {
  const auto records = LoadMeasurements(MeasurementFiles(kRoot + "/docs/capacity"));
  REQUIRE_MESSAGE(std::holds_alternative<std::vector<Record>>(records), std::get<std::string>(records));
  const auto page = Render(Committed(), Model(std::get<std::vector<Record>>(records)), Words(),
                           {kTargetFile, "docs/capacity", "capacity"});
  REQUIRE(std::holds_alternative<Page>(page));
  const char* again = "write it again: lynxgrade-testbed capacity && gnuplot docs/capacity/curves.gp";
  CHECK_MESSAGE(std::get<Page>(page).text == Whole(kRoot + "/docs/CAPACITY.md"), again);
  CHECK_MESSAGE(std::get<Page>(page).data == Whole(kRoot + "/docs/capacity/curves.dat"), again);
  CHECK_MESSAGE(std::get<Page>(page).plot == Whole(kRoot + "/docs/capacity/curves.gp"), again);
  CHECK(std::filesystem::exists(kRoot + "/docs/capacity/curves.svg"));
}

TEST_CASE("command: a file that cannot be used ends it with one sentence before anything is written") {
  std::string folder = (std::filesystem::temp_directory_path() / "lynxgrade-capacity-XXXXXX").string();
  REQUIRE(mkdtemp(folder.data()) != nullptr);
  const auto run = [&](const std::string& options, int code, const std::string& sentence) {
    const std::string command = "cd " + kRoot + " && " + TESTBED + " capacity --out " + folder + "/page.md " +
                                options + " >" + folder + "/out 2>" + folder + "/err";
    const int status = std::system(command.c_str());
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == code);
    CHECK(Whole(folder + "/err") == sentence);
    CHECK(std::filesystem::exists(folder + "/page.md") == (code == 0));
  };
  std::ofstream(folder + "/bad.toml") << "[fleet]\npoolers = 0\n";
  std::ofstream(folder + "/bad.json") << "{}";
  run("--target " + folder + "/none.toml", 2,
      "lynxgrade-testbed: the target " + folder + "/none.toml cannot be read\n");
  run("--target " + folder + "/bad.toml", 2,
      "lynxgrade-testbed: the target " + folder + "/bad.toml: line 1, column 1: 'assumed' is missing\n");
  run("--measurements " + folder + "/bad.json", 2,
      "lynxgrade-testbed: the measurements " + folder +
          "/bad.json: the measurements are not a list of records\n");
  run("--plot " + folder, 2,
      "lynxgrade-testbed: the words of the page, " + folder + "/page.md.in, cannot be read\n");
  std::filesystem::copy(kRoot + "/docs/capacity/page.md.in", folder + "/page.md.in");
  run("--plot " + folder, 0, "");
  CHECK(std::filesystem::exists(folder + "/curves.gp"));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace lynxgrade::capacity
