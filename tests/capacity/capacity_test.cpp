// Tests of the capacity page: targets and records are validated, slopes are fitted only where records
// determine them, unmeasured figures are never shown as numbers, and docs/CAPACITY.md is what the command
// writes.
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

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

Target CommittedTarget() {
  const auto target = LoadTarget(kRoot + "/" + kTargetFile);
  REQUIRE_MESSAGE(std::holds_alternative<Target>(target), std::get<std::string>(target));
  return std::get<Target>(target);
}

std::string PageTemplate() { return ReadFile(kRoot + "/docs/capacity/page.md.in"); }

// The error message for the committed target with `from` replaced by `to`; empty if it is valid.
std::string ErrorAfterReplacing(const std::string& from, const std::string& to) {
  std::string text = ReadFile(kRoot + "/" + kTargetFile);
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  text.replace(at, from.size(), to);
  const auto target = ParseTarget(text);
  return std::holds_alternative<std::string>(target) ? std::get<std::string>(target) : "";
}

// A record of the given size whose figures have known slopes.
Record SampleRecord(double poolers, double writes_per_s, double changes = 0) {
  Record record;
  record.size.poolers = poolers;
  record.size.databases = 730;
  record.size.groups = 730 / kTestbedMembersPerGroup;
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

std::vector<Record> SampleFleet() {
  std::vector<Record> records;
  for (const double poolers : {20.0, 50.0, 100.0, 205.0, 410.0, 820.0}) {
    for (const double writes : {0.0, 10.0, 1'000.0, 21'000.0, 32'000.0}) {
      records.push_back(SampleRecord(poolers, writes, records.size() % 2 == 0 ? 0 : 15));
    }
  }
  return records;
}

const Row& FindRow(const Model& model, const std::string& name) {
  for (const Row& row : model.rows()) {
    if (row.name.find(name) != std::string::npos) return row;
  }
  FAIL("no row " << name);
  std::abort();
}

bool IsNear(double a, double b, double part = 1e-6) {
  return std::abs(a - b) <= part * std::max(1.0, std::abs(b));
}

std::string RenderedText(const Target& target, const Model& model) {
  const auto page = RenderPage(target, model, PageTemplate(), {kTargetFile, "docs/capacity", "capacity"});
  REQUIRE_MESSAGE(std::holds_alternative<Page>(page), std::get<std::string>(page));
  return std::get<Page>(page).text;
}

TEST_CASE("target: the committed file has the values required by issue 38") {
  const Target target = CommittedTarget();
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

TEST_CASE("target: an invalid file gives an error with line and column") {
  const auto expect_error = [](const std::string& from, const std::string& to, const std::string& expected) {
    const std::string message = ErrorAfterReplacing(from, to);
    CAPTURE(message);
    CHECK(message.starts_with("line "));
    CHECK(message.find(", column ") != std::string::npos);
    CHECK(message.find(expected) != std::string::npos);
    CHECK(message.find('\n') == std::string::npos);
  };
  expect_error("poolers = 410", "poolers = \"410\"", "'fleet.poolers' is not a whole number");
  expect_error("poolers = 410", "poolers = 410.5", "'fleet.poolers' is not a whole number");
  expect_error("poolers = 410", "poolers = 1", "'fleet.poolers' lies outside 2 to 100000");
  expect_error("poolers = 410", "pooler = 410", "'fleet.pooler' is not a known key");
  expect_error("databases = 730", "", "'fleet.databases' is missing");
  expect_error("zones = 7 ", "zones = 1 ", "lies outside");
  expect_error("regions = 2", "regions = 9", "'fleet.zones' is smaller than 'fleet.regions'");
  expect_error("cpu_percent = 2.4", "cpu_percent = nan", "'budget.cpu_percent' lies outside");
  expect_error("memory_mb = 256", "memory_mb = true", "'budget.memory_mb' is not a number");
  expect_error("[budget]", "[budgets]", "'budgets' is not a known key");
  expect_error("[budget]", "[other]", "'other' is not a known key");
  expect_error("high = 3\n", "high = 1.2\n", "low, assumed and high are not in ascending order");
  expect_error("high = 3\n", "highest = 3\n", "'assumed.busiest_second_ratio.highest' is not a known key");
  expect_error("[assumed.writes_percent]", "[assumed.writes]", "'assumed.writes' is not a known key");
  expect_error("high = 20\n", "high = 200\n", "'assumed.writes_percent.high' lies outside 0 to 100");
  expect_error("high = 20\n", "high = 90\n", "exceed 100 % of all statements together");
  expect_error("high = 33\n", "high = 96\n", "exceed 100 % of all statements together");
  expect_error("low = 3\nassumed = 11", "low = 0\nassumed = 11",
               "'assumed.session_statements.low' lies outside 1 to 1000000000");
  expect_error("why = \"nothing paces", "whys = \"nothing paces",
               "'assumed.catch_up_s.whys' is not a known key");
  expect_error("[fleet]", "[fleet", "line 4");
  CHECK(std::get<std::string>(LoadTarget("/nowhere/x.toml")) == "the target /nowhere/x.toml cannot be read");
}

TEST_CASE("target: removing any line but a comment or blank line makes the file invalid") {
  CHECK(rc::check("one line out", [](std::uint16_t pick) {
    std::string text = ReadFile(kRoot + "/" + kTargetFile);
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t end = text.find('\n', at);
      lines.push_back(text.substr(at, end - at + 1));
      at = end + 1;
    }
    const std::size_t removed = pick % lines.size();
    const bool stays_valid = lines[removed].starts_with('#') || lines[removed] == "\n";
    text.clear();
    for (std::size_t i = 0; i < lines.size(); ++i) text += i == removed ? "" : lines[i];
    RC_ASSERT(std::holds_alternative<Target>(ParseTarget(text)) == stays_valid);
  }));
}

TEST_CASE("measurements: invalid records give an error; unknown keys are ignored") {
  const std::string run =
      R"("run":{"poolers":2,"databases":3,"real":1,"script":"quiet","seed":1,"seconds":9,)"
      R"("clients":0,"statements_per_s":0,"writes_share":0,"roam_share":0,)"
      R"("changes_per_s":0,"marks":"each","commit":"abc","more":[1]})";
  const auto error_of = [](const std::string& text) {
    const auto read = ParseMeasurements(text);
    return std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : "";
  };
  const auto read =
      ParseMeasurements("[{" + run + R"(,"figures":{"x":1.5,"y":null,"z_never_heard_of":2},"w":1}])");
  REQUIRE(std::holds_alternative<std::vector<Record>>(read));
  const Record& record = std::get<std::vector<Record>>(read).at(0);
  CHECK(record.size.databases == 3);
  CHECK(record.figures.size() == 2);
  const auto alone = ParseMeasurements("{" + run + R"(,"figures":{"memory_mb":0,"crashed":0,"x":0}})");
  REQUIRE(std::holds_alternative<std::vector<Record>>(alone));
  // Zero memory means not measured; zero crashes are a measurement.
  CHECK(std::get<std::vector<Record>>(alone).at(0).figures ==
        std::map<std::string, double>{{"crashed", 0}, {"x", 0}});
  CHECK(error_of("{}") == "the measurements are not a list of records");
  CHECK(error_of("[\n\n{]") == "line 3: invalid JSON");
  CHECK(error_of("[1]") == "record 1: has no 'run'");
  CHECK(error_of("[{" + run + "}]") == "record 1: has no 'figures'");
  CHECK(error_of("[{" + run + R"(,"figures":{"x":"1"}}])") == "record 1: 'figures.x' is not a number");
  const auto without = [&](const std::string& from, const std::string& to) {
    std::string text = "[{" + run + R"(,"figures":{}}])";
    text.replace(text.find(from), from.size(), to);
    return error_of(text);
  };
  CHECK(without("\"poolers\":2,", "") == "record 1: 'run.poolers' is missing");
  CHECK(without("\"poolers\":2", "\"poolers\":\"2\"") == "record 1: 'run.poolers' is not a number");
  CHECK(without("\"writes_share\":0", "\"writes_share\":5") ==
        "record 1: 'run.writes_share' is out of range");
  CHECK(without("\"seconds\":9", "\"seconds\":-1") == "record 1: 'run.seconds' is out of range");
}

TEST_CASE("fit: recovers known slopes") {
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

TEST_CASE("fit: the standard error matches the actual error under noise") {
  // Over many draws the mean square of the slope's error, in units of its standard error, must be about 1.
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
    CHECK(fit.ErrorAt({1, 4'000}) > fit.ErrorAt({1, 400}));  // the uncertainty grows with the distance
  }
  CHECK(squares / kDraws > 0.8);
  CHECK(squares / kDraws < 1.3);
}

TEST_CASE("fit: too few records or collinear terms give an error") {
  const auto error_of = [](const std::vector<std::string>& terms, const std::vector<Sample>& samples) {
    const auto fit = LeastSquares(terms, samples);
    return std::holds_alternative<std::string>(fit) ? std::get<std::string>(fit) : "";
  };
  CHECK(error_of({"1", "poolers"}, {{{1, 5}, 1}, {{1, 9}, 2}}) ==
        "2 records for 2 slopes: one more than slopes is needed at least");
  CHECK(error_of({"1"}, {{{1}, 1}}) == "1 record for 1 slope: one more than slopes is needed at least");
  std::vector<Sample> collinear, nearly_collinear, narrow_range, independent;
  for (int i = 1; i <= 10; ++i) {
    collinear.push_back({{1, 10.0 * i, 17.8 * i}, 1.0 * i});
    nearly_collinear.push_back({{1, 10.0 * i, 17.8 * i + (i % 2) * 0.1}, 1.0 * i});
    narrow_range.push_back({{1, 1000.0 + i}, 1.0 * i});
    independent.push_back({{1, 10.0 * i, 17.8 * ((i * 7) % 11)}, 1.0 * i});
  }
  const std::string sentence =
      "databases cannot be told from 1 and poolers: they grew together in all 10 records";
  CHECK(error_of({"1", "poolers", "databases"}, collinear) == sentence);
  CHECK(error_of({"1", "poolers", "databases"}, nearly_collinear) == sentence);
  CHECK(error_of({"1", "poolers"}, narrow_range) ==
        "poolers cannot be told from 1: they grew together in all 10 records");
  CHECK(error_of({"1", "poolers", "databases"}, independent).empty());
}

TEST_CASE("slopes: a term without variation is reported and gets no slope") {
  std::vector<Record> records;
  for (const double poolers : {20.0, 50.0, 100.0, 300.0}) records.push_back(SampleRecord(poolers, 0));
  std::vector<const Record*> all;
  for (const Record& record : records) all.push_back(&record);
  const std::vector<Term> terms = {Term::kConstant, Term::kPoolers, Term::kFleetWrites};
  const Slopes slopes(terms, "membership_bytes_out_per_s", all);
  REQUIRE(slopes.fit());
  CHECK(IsNear(*slopes.SlopeOf(Term::kPoolers), 5));
  CHECK_FALSE(slopes.SlopeOf(Term::kFleetWrites));
  REQUIRE(slopes.constant().size() == 1);
  const Cell quiet = slopes.At(SampleRecord(200, 0).size);
  CHECK(quiet.provenance == Provenance::kMeasured);
  CHECK_FALSE(quiet.is_lower_bound);
  CHECK(slopes.At(SampleRecord(400, 0).size).provenance == Provenance::kComputed);
  const Cell busy = slopes.At(SampleRecord(200, 21'000).size);
  CHECK(busy.provenance == Provenance::kComputed);
  CHECK(busy.is_lower_bound);
  CHECK(Slopes(terms, "nobody_tells_this", all).At(records[0].size).provenance == Provenance::kNotMeasured);
}

TEST_CASE("slopes: an insignificant slope is not extrapolated") {
  std::mt19937 random(3);
  std::normal_distribution<double> noise(0, 50);
  std::vector<Record> records;
  for (const double poolers : {20.0, 50.0, 100.0, 200.0, 300.0, 400.0}) {
    for (const double writes : {0.0, 5.0, 9.0}) {
      records.push_back(SampleRecord(poolers, writes));
      records.back().figures["marks_bytes_out_per_s"] =
          1'000 + 200 * poolers + noise(random);  // independent of writes
    }
  }
  std::vector<const Record*> all;
  for (const Record& record : records) all.push_back(&record);
  const Slopes slopes({Term::kConstant, Term::kPoolers, Term::kFleetWrites}, "marks_bytes_out_per_s", all);
  REQUIRE(slopes.insignificant().size() == 1);
  CHECK(slopes.insignificant()[0].term == Term::kFleetWrites);
  CHECK(IsNear(*slopes.SlopeOf(Term::kPoolers), 200, 0.01));
  const Cell within = slopes.At(SampleRecord(400, 9).size),
             beyond = slopes.At(SampleRecord(400, 21'000).size);
  CHECK_FALSE(within.is_lower_bound);
  CHECK(within.provenance == Provenance::kMeasured);
  CHECK(beyond.is_lower_bound);
  CHECK(beyond.value == within.value);
  CHECK(beyond.provenance == Provenance::kComputed);
  // Negative extrapolations are not figures, and negative slopes are dropped.
  for (Record& record : records) {
    record.figures["late"] = 10 * record.size.poolers - 100;
    record.figures["falling"] = 500 - record.size.poolers;
  }
  const Slopes late({Term::kConstant, Term::kPoolers}, "late", all);
  CHECK(late.At(SampleRecord(20, 0).size).provenance == Provenance::kMeasured);
  CHECK(late.At(SampleRecord(5, 0).size).provenance == Provenance::kNotMeasured);
  const Slopes falling({Term::kConstant, Term::kPoolers}, "falling", all);
  CHECK(falling.insignificant().size() == 1);
  CHECK(falling.At(SampleRecord(600, 0).size).is_lower_bound);
}

TEST_CASE("model: rows, budgets and the order of failures follow the records") {
  const Target target = CommittedTarget();
  const Model model(SampleFleet());
  const Row& marks = FindRow(model, "marks out");
  CHECK(IsNear(marks.at(target, Scenario::kOrdinary).value, 100 + 20 * 2'000 + 30 * 21'000));
  CHECK(marks.at(target, Scenario::kOrdinary).provenance == Provenance::kMeasured);
  CHECK(IsNear(marks.at(target, Scenario::kWorstOrdinary).value, 100 + 20 * 2'000 + 30 * 31'500));
  const Row& all = FindRow(model, "control, all kinds");
  const Cell sum = all.at(target, Scenario::kOrdinary);
  CHECK(IsNear(sum.value, 2 * (600 + 5 * 410 + 100 + 24 * 2'000 + 30 * 21'000) + 12));
  // 2 x (700 + 5 P + 24 x 10 (P - 1) + 30 x 21,000 / 410 x P) + 12 > 12,000 first at 4 poolers.
  CHECK(FirstSizeOverBudget(all, target, Scenario::kOrdinary) == 4);
  const Row& cpu = FindRow(model, "control, % of a core");
  CHECK(IsNear(cpu.at(target, Scenario::kOrdinary).value, 100 * (0.001 + 0.2 + 0.0041 + 0.021)));
  const Row& memory = FindRow(model, "control, as one instance more");
  CHECK(IsNear(memory.at(target, Scenario::kOrdinary).value, 18.2));
  CHECK(FirstSizeOverBudget(memory, target, Scenario::kOrdinary) == 0);
  // Watermarks missed in a partition are sent again: to 205 poolers, 51.2 per second for 300 s, within 10 s.
  const double resent = 30.0 * 205 * (21'000.0 / 410 * 300) / 10;
  CHECK(
      IsNear(marks.at(target, Scenario::kRegionsPartitioned).value, 100 + 20 * 2'000 + 30 * 10'500 + resent));
  CHECK(marks.at(target, Scenario::kRegionsPartitioned).is_lower_bound);
  const std::string text = RenderedText(target, model);
  const std::size_t bytes =
      text.find("**fails** | pooler, messages: **control, all kinds, both ways, bytes a second** | 4 |");
  const std::size_t connections = text.find("**fails** | database, descriptors: connections of poolers");
  CHECK(bytes != std::string::npos);
  CHECK(connections != std::string::npos);
  CHECK(bytes < connections);  // sorted by the size at which the budget is exceeded
}

TEST_CASE("model: rows that depend on the target alone") {
  const Target target = CommittedTarget();
  const Model model({});
  const auto at = [&](const char* name, Scenario scenario) {
    return FindRow(model, name).at(target, scenario).value;
  };
  const FleetSize ordinary = SizeAt(target, Scenario::kOrdinary);
  CHECK(IsNear(ordinary.poolers * ordinary.databases, 299'300));
  CHECK(IsNear(at("statements of one pooler", Scenario::kOrdinary), 1.403, 0.001));
  CHECK(std::round(TermValue(Term::kClients, ordinary)) == 2'171);
  CHECK(IsNear(at("clients that connect anew", Scenario::kZoneLost), 890'000.0 / 7 / 10 / (410.0 * 6 / 7)));
  // 93 poolers a day, each with 2,171 clients; five at once in the worst second.
  CHECK(IsNear(at("clients that connect anew", Scenario::kOrdinary), 93.0 / 86'400 * 890'000 / 410 / 410));
  CHECK(IsNear(at("clients that connect anew", Scenario::kWorstOrdinary), 5 * 890'000.0 / 410 / 10 / 405));
  CHECK(at("clients that connect anew", Scenario::kRegionsPartitioned) ==
        at("clients that connect anew", Scenario::kOrdinary));
  CHECK(IsNear(at("calls a second, `ask`, while", Scenario::kOrdinary), 93.0 / 86'400));
  CHECK(IsNear(at("empty lines out", Scenario::kOrdinary), 410 * 3));
  // 19 % of the 1,024 statements are session statements; other reads need no watermark.
  CHECK(IsNear(TermValue(Term::kSessionStatements, ordinary), 0.19 * 420'000 / 410));
  CHECK(IsNear(TermValue(Term::kFirstContacts, ordinary), 0.19 * 420'000 / 410 / 11));
  CHECK(IsNear(TermValue(Term::kRoamingStatements, ordinary), 0.019 * 420'000 / 410));
  CHECK(IsNear(TermValue(Term::kManagerMessages, ordinary), 0.19 * 420'000 * (2.0 / 11 + 0.4) / 7));
  // 2 x 240 / 2,000 s is 240 ms, so 242 poolers exceed the limit.
  CHECK(FirstSizeOverBudget(FindRow(model, "two pauses"), target, Scenario::kOrdinary) == 242);
  CHECK(IsNear(at("needed so that clients idle", Scenario::kOrdinary), 8 * 890'000.0 / 410 + 40));
  // 243.3 groups are 31 packets, one every 204.5 ms; 216.04 with 364 poolers are 28, one every 181.5 ms: 5.08
  // s.
  const Row& round = FindRow(model, "round in which all reigns");
  CHECK(IsNear(round.at(target, Scenario::kOrdinary).value, 31 * 0.2045));
  CHECK(IsNear(round.at(ScaledTo(target, 2), Scenario::kOrdinary).value, 0.5));
  CHECK(FirstSizeOverBudget(round, target, Scenario::kOrdinary) == 364);
}

TEST_CASE("model: runs with a lost zone or a partition do not affect the ordinary scenario") {
  const Target target = CommittedTarget();
  std::vector<Record> records = SampleFleet();
  for (const double poolers : {50.0, 100.0, 205.0, 410.0, 820.0}) {
    Record record = SampleRecord(poolers, 0);
    record.script = "zone";
    record.figures = {{"membership_bytes_out_per_s", 20 * poolers}};
    records.push_back(record);
  }
  const Model model(records);
  const Row& row = FindRow(model, "membership out");
  CHECK(IsNear(row.at(target, Scenario::kOrdinary).value, 600 + 5 * 410, 1e-4));
  // The slope for the remaining poolers plus the surplus of the runs: 20 P - (600 + 5 P).
  const double left = 600 + 5 * 410.0 * 6 / 7, added = 20 * 410 - (600 + 5 * 410);
  CHECK(IsNear(row.at(target, Scenario::kZoneLost).value, left + added, 1e-4));
  CHECK_FALSE(row.at(target, Scenario::kZoneLost).is_lower_bound);
  CHECK(row.at(target, Scenario::kRegionsPartitioned).is_lower_bound);  // no such run

  // A recorded peak replaces the mean, and runs of a single size determine no slope.
  std::vector<Record> with_peaks = SampleFleet();
  for (const double seed : {1.0, 2.0}) {
    Record record = SampleRecord(100, 0);
    record.script = "replaced";
    record.seed = seed;
    record.figures = {{"membership_bytes_out_per_s", 1'200},
                      {"membership_bytes_out_per_s_peak", 5'000 + seed}};
    with_peaks.push_back(record);
  }
  const Row row_with_peaks = FindRow(Model(with_peaks), "membership out");
  const Cell worst = row_with_peaks.at(target, Scenario::kWorstOrdinary);
  CHECK(IsNear(worst.value, 600 + 5 * 410 + 5'002 - (600 + 5 * 100), 1e-4));
  // Smaller fleets than those of the runs are unknown, so nothing is added.
  CHECK(IsNear(row_with_peaks.at(ScaledTo(target, 50), Scenario::kWorstOrdinary).value, 600 + 5 * 50, 1e-4));
  CHECK(row_with_peaks.at(ScaledTo(target, 50), Scenario::kWorstOrdinary).is_lower_bound);
  CHECK(worst.is_lower_bound);  // no run replaced poolers in a fleet of 410
  CHECK(worst.provenance == Provenance::kComputed);
}

TEST_CASE("measurements: counted statements replace the requested rates") {
  const std::string run =
      R"([{"run":{"poolers":20,"databases":3,"real":0,"script":"load","seed":1,"seconds":9,)"
      R"("clients":0,"statements_per_s":50,"writes_share":0.05,"roam_share":0,)"
      R"("changes_per_s":0,"commit":"abc"},"figures":)";
  const auto size = [&](const std::string& figures) {
    return std::get<std::vector<Record>>(ParseMeasurements(run + figures + "}]")).at(0).size;
  };
  CHECK(size("{}").statements_per_s == 50);
  CHECK(size(R"({"statements":9000,"measured_s":10})").statements_per_s == 900);
  CHECK(size(R"({"statements":9000,"measured_s":10})").writes_share == 0.05);
  CHECK(size(R"({"statements":9000,"writes":90,"measured_s":10})").writes_share == 0.01);
  CHECK(size(R"({"statements":0,"writes":0,"measured_s":10})").statements_per_s == 0);
}

TEST_CASE("measurements: shares are converted to those of session statements") {
  const auto read = [](double poolers, const std::string& more, const std::string& figures = "{}") {
    const auto records = ParseMeasurements(
        R"({"run":{"databases":3,"real":0,"script":"load","seed":1,"seconds":9,"clients":0,)"
        R"("statements_per_s":50,"writes_share":0.05,"roam_share":0.1,"changes_per_s":0,"commit":"abc",)"
        R"("poolers":)" +
        std::to_string(poolers) + more + R"(},"figures":)" + figures + "}");
    REQUIRE_MESSAGE(std::holds_alternative<std::vector<Record>>(records), std::get<std::string>(records));
    return std::get<std::vector<Record>>(records).at(0);
  };
  const Record plain = read(64, "");
  CHECK(IsNear(plain.size.own_reads_share, 0.475));  // half of the reads
  CHECK(plain.size.session_statements == 0);
  CHECK(plain.size.lease_managers == 0);
  CHECK(plain.generation == 1);
  CHECK(TermValue(Term::kFirstContacts, plain.size) == 0);
  CHECK(read(1, "").size.roaming_share == 0);
  // Compares with random draws as the testbed's load makes them: a pooler, then its own home or a random one.
  // Counts the statements of a session that reach another pooler than the previous one.
  std::mt19937 random(11);
  for (const int lease_managers : {0, 3}) {
    for (const int poolers : {2, 8, 40}) {
      std::vector<int> last(static_cast<std::size_t>(poolers + lease_managers), -1);
      int moved = 0;
      constexpr int kDraws = 400'000;
      for (int i = 0; i < kDraws; ++i) {
        const int at = std::uniform_int_distribution<int>(0, poolers - 1)(random);
        const bool drawn = std::uniform_real_distribution<double>(0, 1)(random) < 0.1;
        const int home =
            drawn ? std::uniform_int_distribution<int>(0, poolers + lease_managers - 1)(random) : at;
        moved += at != std::exchange(last[static_cast<std::size_t>(home)], at);
      }
      const std::string more = R"(,"owners":)" + std::to_string(lease_managers);
      CHECK(IsNear(read(poolers + lease_managers, more).size.roaming_share,
                   static_cast<double>(moved) / kDraws, 0.003));
    }
  }
  const Record told = read(64, R"(,"own_reads_share":0.14,"session_statements":11,"owners":7)");
  CHECK(told.size.own_reads_share == 0.14);
  CHECK(IsNear(TermValue(Term::kFirstContacts, told.size), 50 * 0.19 / 57 / 11));
  CHECK(told.size.lease_managers == 7);
  CHECK(told.generation == 2);
  CHECK(read(64, R"(,"owners":0,"generation":3)").generation == 3);
  CHECK(told.size.poolers == 57);  // dedicated lease managers are not poolers
  CHECK(std::get<std::string>(ParseMeasurements(
            R"([{"run":{"poolers":7,"databases":3,"real":0,"script":"load","seed":1,"seconds":9,"clients":0,)"
            R"("statements_per_s":50,"writes_share":0.05,"roam_share":0.1,"changes_per_s":0,"commit":"abc",)"
            R"("owners":7},"figures":{}}])")) == "record 1: 'run.owners' is out of range");
  CHECK(read(64, R"(,"bytes_per_s":9000)").bytes_budget == 9'000);
  // Many session reads with the conservative position mean that their lease acquires were limited.
  CHECK(read(64, "", R"({"conservative_share":0.2})").reads_limited);
  CHECK_FALSE(read(64, "", R"({"conservative_share":0.002})").reads_limited);
  CHECK_FALSE(read(64, "").reads_limited);
}

// Records of mode `directory`: membership, and `per_message` bytes out and in for each lease message.
std::vector<Record> LeaseRecords(double generation, double per_message, double lease_managers = 0) {
  std::vector<Record> records;
  for (const double poolers : {16.0, 64.0, 205.0, 410.0}) {
    for (const double roaming : {0.0, 0.02, 0.2, 0.8}) {
      Record record = SampleRecord(poolers, 20 * poolers);
      record.marks = "directory";
      record.generation = generation;
      record.size.lease_managers = lease_managers;
      record.size.own_reads_share = 0.475;
      record.size.roaming_share = roaming;
      const double messages = TermValue(Term::kLeaseMessages, record.size) * (lease_managers > 0 ? 0.5 : 1);
      for (const char* direction : {"out", "in"}) {
        record.figures["membership_bytes_" + std::string(direction) + "_per_s"] = 600 + poolers;
        record.figures["marks_bytes_" + std::string(direction) + "_per_s"] = per_message * messages;
        record.figures["reigns_bytes_" + std::string(direction) + "_per_s"] = 0;
      }
      if (lease_managers > 0) {
        const double manager_messages = TermValue(Term::kManagerMessages, record.size);
        record.figures["owner_bytes_per_s"] = 700 + 92 * manager_messages;
        record.figures["owner_cpu_share"] = 0.01 + 1e-6 * manager_messages;
        record.figures["owner_memory_mb"] = 10 + 1e-4 * manager_messages;
      }
      records.push_back(record);
    }
  }
  return records;
}

TEST_CASE("model: lease bytes by cause, and with dedicated managers at one end of each message") {
  const Target target = CommittedTarget();
  const double statements = 0.19 * 420'000 / 410, meets = statements / 11, moves = statements / 10;
  const double discovery = 12, messages = 2 * meets + 4 * moves;
  const Model model(LeaseRecords(2, 90));
  const auto at = [&](const Model& of, const std::string& name) {
    return FindRow(of, name).at(target, Scenario::kOrdinary).value;
  };
  CHECK(IsNear(at(model, "of it first meets"), 2 * 90 * 2 * meets, 1e-4));
  CHECK(IsNear(at(model, "of it roaming statements"), 2 * 90 * 4 * moves, 1e-4));
  const double all = 2 * (600 + 410) + 2 * 90 * messages + discovery;
  CHECK(IsNear(at(model, "control, all kinds, both ways, "), all, 1e-4));
  // Seven more members, and half of the bytes of lease messages.
  CHECK(IsNear(at(model, "control, all kinds, both ways (marks: directory, owners set aside)"),
               2 * (600 + 417) + 90 * messages + discovery, 1e-4));
  CHECK(FindRow(model, "owners of sessions, both ways").at(target, Scenario::kOrdinary).provenance ==
        Provenance::kNotMeasured);
  CHECK(IsNear(at(model, "asks of reads at first meets and moves, "), (meets + moves) * 14 / 19, 1e-4));
  CHECK(IsNear(at(model, "sessions held by one pooler, "), (meets + moves) * 30, 1e-4));
  CHECK(IsNear(at(model, "sessions owned by one machine, "), meets * 410 * 63 / 7, 1e-4));

  // The minimum without lease acquires by reads, from simulated sessions: the first write acquires the lease.
  std::mt19937 random(5);
  const auto drawn = [&random](double share) {
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
  };
  constexpr int kDraws = 200'000;
  int visits_with_write = 0, roams_with_write = 0, contact_reads = 0, roam_reads = 0;
  for (int i = 0; i < kDraws; ++i) {
    bool wrote = false;
    for (int statement = 0; statement < 11; ++statement) {
      wrote |= drawn(5.0 / 19);
      contact_reads += !wrote;
    }
    visits_with_write += wrote;
    wrote = false;
    do {
      wrote |= drawn(5.0 / 19);
      roam_reads += !wrote;
    } while (!drawn(0.1));
    roams_with_write += wrote;
  }
  const double floor = 2 * 90 * (2 * meets * visits_with_write + 4 * moves * roams_with_write) / kDraws;
  const double least = 2 * (600 + 410) + floor + discovery;
  CHECK(IsNear(at(model, "control, no read's ask admitted, "), least, 0.005));
  // A budget of bytes between the two is kept if this share of reads does not acquire leases.
  Target bounded = target;
  bounded.bytes_per_s = all - (all - least) / 4;
  const Row& conservative = FindRow(model, "own-reads on the conservative target for a budget");
  const double unadmitted_share =
      (meets * contact_reads + moves * roam_reads) / kDraws / (0.14 * 420'000 / 410);
  CHECK(IsNear(conservative.at(bounded, Scenario::kOrdinary).value, 25 * unadmitted_share, 0.02));
  bounded.bytes_per_s = 2 * all;
  CHECK(conservative.at(bounded, Scenario::kOrdinary).value == 0);
  bounded.bytes_per_s = least / 2;
  CHECK(IsNear(conservative.at(bounded, Scenario::kOrdinary).value, 100 * unadmitted_share, 0.02));

  // Runs with dedicated lease managers replace the computed rows by measured ones.
  std::vector<Record> records = LeaseRecords(2, 90);
  for (const Record& record : LeaseRecords(2, 90, 7)) records.push_back(record);
  const Model measured(records);
  const std::string dedicated = "control, all kinds, both ways (marks: directory, owners set aside)";
  CHECK(IsNear(at(measured, dedicated), 2 * (600 + 410) + 90 * messages + discovery, 1e-4));
  CHECK(IsNear(at(measured, "owners of sessions, both ways"), 700 + 92 * messages * 410 / 7, 1e-4));
  CHECK(IsNear(at(measured, "owners of sessions, % of a core"), 1 + 1e-4 * messages * 410 / 7, 1e-4));
  CHECK(IsNear(at(measured, "owners of sessions, MB"), 10 + 1e-4 * messages * 410 / 7, 1e-4));
  int rows = 0;
  for (const Row& row : measured.rows()) rows += row.name.find(dedicated) != std::string::npos;
  CHECK(rows == 1);
}

TEST_CASE("model: records of different generations of messages are not fitted together") {
  const Target target = CommittedTarget();
  std::vector<Record> records = LeaseRecords(1, 200);
  for (const Record& record : LeaseRecords(2, 90)) records.push_back(record);
  const Model model(records);
  const double messages = 0.19 * 420'000 / 410 * (2.0 / 11 + 0.4);
  const Row& now = FindRow(model, "marks out (marks: directory)");
  const Row& superseded = FindRow(model, "marks out (marks: directory, former records)");
  CHECK(IsNear(now.at(target, Scenario::kOrdinary).value, 90 * messages, 1e-4));
  CHECK(IsNear(superseded.at(target, Scenario::kOrdinary).value, 200 * messages, 1e-4));
  CHECK_FALSE(now.comparison_only);
  CHECK(superseded.comparison_only);
  const std::string text = RenderedText(target, model);
  const std::string failing = text.substr(text.find("## What fails, in"));
  CHECK(failing.substr(0, failing.find("## What is assumed")).find("former records") == std::string::npos);
  // One record of the later generation determines no slope, so the former ones stay in force.
  records.resize(LeaseRecords(1, 200).size());
  records.push_back(LeaseRecords(2, 90).front());
  const Model few(records);
  CHECK_FALSE(FindRow(few, "control, all kinds, both ways (marks: directory)").comparison_only);
  CHECK_FALSE(
      FindRow(few, "control, all kinds, both ways (marks: directory, former records)").comparison_only);
}

TEST_CASE("model: a later generation with dedicated managers does not supersede poolers that manage leases") {
  std::vector<Record> records = LeaseRecords(1, 200);
  for (const Record& record : LeaseRecords(2, 90, 7)) records.push_back(record);
  const Model model(records);
  CHECK_FALSE(
      FindRow(model, "control, all kinds, both ways (marks: directory, former records)").comparison_only);
  const std::string dedicated = "control, all kinds, both ways (marks: directory, owners set aside";
  CHECK(FindRow(model, dedicated).name.find("former") == std::string::npos);
  int rows = 0;  // measured rows replace those computed from the former records
  for (const Row& row : model.rows()) rows += row.name.find(dedicated) != std::string::npos;
  CHECK(rows == 1);
}

TEST_CASE("model: separately measured figures use the latest generation") {
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
  CHECK(IsNear(FindRow(model, "answer of `lynxgrade peers`").at(CommittedTarget(), Scenario::kOrdinary).value,
               200 + 132 * 410));
}

TEST_CASE("model: runs on an overloaded machine are not fitted") {
  const Target target = CommittedTarget();
  std::vector<Record> records = LeaseRecords(2, 90);
  const double before = FindRow(Model(records), "membership out").at(target, Scenario::kOrdinary).value;
  for (Record record : LeaseRecords(2, 90)) {
    record.figures["membership_bytes_out_per_s"] *= 3;
    record.figures["stalls"] = 2 * record.size.poolers;
    records.push_back(record);
  }
  CHECK(FindRow(Model(records), "membership out").at(target, Scenario::kOrdinary).value == before);
  // A few event loops that stall once in a large fleet do not invalidate a run.
  for (Record& record : records) record.figures["stalls"] = 0.1 * record.size.poolers;
  CHECK(FindRow(Model(records), "membership out").at(target, Scenario::kOrdinary).value > before);
}

TEST_CASE("model: runs limited by a budget of bytes are not fitted") {
  const Target target = CommittedTarget();
  std::vector<Record> records = LeaseRecords(2, 90);
  const double before = FindRow(Model(records), "marks out").at(target, Scenario::kOrdinary).value;
  for (Record record : LeaseRecords(2, 10)) {
    record.reads_limited = true;
    records.push_back(record);
  }
  CHECK(FindRow(Model(records), "marks out").at(target, Scenario::kOrdinary).value == before);
}

TEST_CASE("slopes: a figure that is the same at all sizes has zero slopes") {
  std::vector<Record> records = SampleFleet();
  std::vector<const Record*> all;
  for (Record& record : records) {
    record.figures["descriptors"] = 2;
    if (record.size.poolers <= 100) all.push_back(&record);
  }
  const Cell cell =
      Slopes({Term::kConstant, Term::kPoolers}, "descriptors", all).At(SampleRecord(410, 0).size);
  CHECK(cell.value == 2);
  CHECK_FALSE(cell.is_lower_bound);
  CHECK(cell.provenance == Provenance::kComputed);
}

TEST_CASE("model: the constants that rows rely on match the program") {
  const replication::ReplicationEngine::Options engine;
  CHECK(engine.packets_per_s == kMaxPacketsPerS);
  CHECK(engine.idle_interval == Duration(static_cast<std::int64_t>(kIdleFlushIntervalMs * 1000)));
  CHECK(static_cast<double>(engine.retained_watermarks) == kRetainedWatermarks);
  const auto setup = ParseProgramSettings("");
  REQUIRE(setup);
  const ProgramSettings& set = *setup;
  CHECK(set.sessions.max_read_delay == Duration(static_cast<std::int64_t>(kMaxReadDelayMs * 1000)));
  CHECK(set.sessions.write_retention == Duration(static_cast<std::int64_t>(kWriteRetentionS * 1e6)));
  CHECK(static_cast<double>(set.sessions.session_capacity) == kSessionCapacity);
  CHECK(set.replication.probe_interval == Duration(static_cast<std::int64_t>(kProbeIntervalMs * 1000)));
  net::DescriptorBudget budget(1'000);
  CHECK(static_cast<double>(budget.total()) == 1'000 - kReservedDescriptors);
  CHECK(set.replication.read_acquires_per_s == kReadAcquiresPerS);
  CHECK(set.replication.bytes_per_s == 0);  // rows of leases assume no budget
  const lease::SessionLeaseManager::Options owner;
  CHECK(owner.lease_duration == Duration(static_cast<std::int64_t>(kLeaseDurationS * 1e6)));
  CHECK(owner.lease_duration * 11 / 10 + owner.write_retention ==
        Duration(static_cast<std::int64_t>(kLeaseManagerRetentionS * 1e6)));
  CHECK(static_cast<double>(lease::SessionLeaseClient::Options().lease_capacity) == kClientLeaseCapacity);
  // A probe, and the row with one column `body` that the testbed's data servers answer.
  std::string query, answer;
  pg::AppendQuery(query, "SHOW pressure");
  CHECK(static_cast<double>(query.size()) == kProbeQueryBytes);
  pg::AppendMessage(answer, 'T', std::string(2 + 5 + 18, '\0'));
  pg::AppendMessage(answer, 'D', std::string(2 + 4, '\0') + "x0=1764656571.123,x1=1");
  pg::AppendCommandComplete(answer, "SELECT 1");
  pg::AppendReadyForQuery(answer);
  CHECK(static_cast<double>(answer.size()) == kProbeAnswerBytes);
}

TEST_CASE("model: rows for comparison only are not checked against budgets") {
  const Target target = CommittedTarget();
  std::vector<Record> records = SampleFleet();
  for (const double poolers : {16.0, 40.0, 100.0}) {
    Record record = SampleRecord(poolers, 0);
    record.marks = "none";
    record.figures = {{"membership_bytes_out_per_s", 900 + 8 * poolers}, {"cpu_share", 0.5}};
    records.push_back(record);
  }
  const Model model(records);
  const Row& bytes = FindRow(model, "control, all kinds, both ways (without marks)");
  CHECK(bytes.comparison_only);
  CHECK(IsNear(bytes.at(target, Scenario::kOrdinary).value, 900 + 8 * 410 + 12, 1e-3));
  CHECK_FALSE(FindRow(model, "control, all kinds, both ways (marks: each)").comparison_only);
  const std::string text = RenderedText(target, model);
  const std::string failing = text.substr(text.find("## What fails"));
  CHECK(text.find("membership out (without marks)") != std::string::npos);
  CHECK(failing.substr(0, failing.find("## What is assumed")).find("without marks") == std::string::npos);
}

TEST_CASE("model: each replication mode has its own rows and slopes, with new kinds of message") {
  const Target target = CommittedTarget();
  std::vector<Record> records = SampleFleet();
  // Writes and lease messages that grow together determine one slope; independent ones determine two.
  const auto play = [&](const char* way, double messages_per_write) {
    for (const double poolers : {16.0, 64.0, 205.0}) {
      for (const double own : {0.0, 1.0, 10.0}) {
        Record record = SampleRecord(poolers, own * poolers);
        record.marks = way;
        // Of 20 statements, 1 is a write and 4 are session statements. These roam at the rate that gives
        // `messages_per_write` lease messages per write.
        record.size.own_reads_share = 3 * record.size.writes_share;
        record.size.roaming_share = (own > 5 ? messages_per_write : 2) / (4 * kMessagesPerLeaseTransfer);
        const double messages = TermValue(Term::kLeaseMessages, record.size);
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
  const Row& apart = FindRow(model, "asked out (marks: apart)");
  // 51.2 own writes per second, 17.7 first contacts of two messages and 19.5 roaming statements of four.
  const double statements = 0.19 * 420'000 / 410, messages = 2 * statements / 11 + 4 * statements / 10;
  CHECK(IsNear(apart.at(target, Scenario::kOrdinary).value, 50 * 21'000.0 / 410 + 70 * messages, 1e-4));
  CHECK(apart.note.empty());
  const Row& alike = FindRow(model, "asked out (marks: alike)");
  CHECK_FALSE(alike.note.empty());
  CHECK(IsNear(alike.at(target, Scenario::kOrdinary).value, (50.0 / 2 + 70) * messages, 1e-4));
  const Cell all =
      FindRow(model, "control, all kinds, both ways (marks: apart)").at(target, Scenario::kOrdinary);
  CHECK(IsNear(all.value, 2 * (600 + 5 * 410 + apart.at(target, Scenario::kOrdinary).value) + 12, 1e-3));
}

TEST_CASE("model: timelines go to all peers, limited by the room in packets") {
  FleetSize size;
  size.poolers = 40;
  size.groups = 33;
  size.packets_per_s = 388;
  CHECK(TermValue(Term::kTimelineReports, size) == 39 * 33 * 2);
  size.groups = 243;
  CHECK(TermValue(Term::kTimelineReports, size) == 388 * 8);
}

TEST_CASE("model: an assumption affects only the rows that depend on it") {
  const Target target = CommittedTarget();
  const Model model(SampleFleet());
  for (const AssumptionField& field : AssumptionFields()) {
    const auto marks = Sensitivity(FindRow(model, "marks out"), target, field);
    const std::string key = field.key;
    const bool moves = key == "writes_percent" || key == "busiest_second_ratio" || key == "catch_up_s";
    CAPTURE(key);
    // The partition may have the largest load of all scenarios and hide the effect of a busier second.
    if (key != "busiest_second_ratio") CHECK((marks[0].value != marks[2].value) == moves);
    const auto memory = Sensitivity(FindRow(model, "control, as one instance more"), target, field);
    CHECK(memory[0].value == memory[2].value);
  }
}

TEST_CASE("page: an unmeasured figure is 'not measured', never zero and never within a budget") {
  const Target target = CommittedTarget();
  const Model none({});
  for (const Row& row : none.rows()) {
    if (!row.slopes) continue;
    for (const Scenario scenario : kScenarios)
      CHECK(row.at(target, scenario).provenance == Provenance::kNotMeasured);
    CHECK_FALSE(FirstSizeOverBudget(row, target, Scenario::kOrdinary));
  }
  const std::string text = RenderedText(target, none);
  CHECK(text.find("| membership out, bytes a second | *not measured* | *not measured* |") !=
        std::string::npos);
  CHECK(text.find("control, % of a core: open") != std::string::npos);

  CHECK(rc::check("one figure out", [&](std::uint8_t pick) {
    std::vector<Record> records = SampleFleet();
    auto it = records[0].figures.begin();
    std::advance(it, pick % records[0].figures.size());
    const std::string gone = it->first;
    for (Record& record : records) record.figures.erase(gone);
    const Model model(records);
    for (const Row& row : model.rows()) {
      if (!row.slopes || row.slopes->fit_error() != "no record tells `" + gone + "`") continue;
      RC_ASSERT(row.at(target, Scenario::kOrdinary).provenance == Provenance::kNotMeasured);
    }
    const Cell sum = FindRow(model, "control, all kinds").at(target, Scenario::kOrdinary);
    RC_ASSERT(sum.provenance != Provenance::kNotMeasured);
    // Bytes of watermarks depend on packets.
    const bool part = gone.find("bytes") != std::string::npos || gone == "packets_out_per_s";
    RC_ASSERT(sum.is_lower_bound == part);
    // A sum with a missing part must not be reported as within its budget.
    const std::string page = RenderedText(target, model);
    if (sum.is_lower_bound)
      RC_ASSERT(page.find("all kinds, both ways, bytes a second**: within") == std::string::npos);
  }));
}

TEST_CASE("page: a sum with an unmeasured part is open, even if the rest is within the budget") {
  const Target target = CommittedTarget();
  std::vector<Record> records = SampleFleet();
  for (Record& record : records) {
    std::erase_if(record.figures, [](const auto& figure) {
      return !figure.first.starts_with("membership") && !figure.first.starts_with("discovery");
    });
  }
  const std::string text = RenderedText(target, Model(records));
  const std::string row = "pooler, messages: **control, all kinds, both ways, bytes a second**";
  CHECK(text.find("| open: a part is not measured | " + row) != std::string::npos);
  CHECK(text.find("| holds | " + row) == std::string::npos);
  CHECK(text.find("- " + row + ": open, ") != std::string::npos);
  // Membership is measured completely in an ordinary second, and no run covers its worst second.
  CHECK(text.find("| holds | pooler, messages: membership alone") == std::string::npos);
}

TEST_CASE("page: compares hollow with real poolers, also by bytes alone") {
  Record record = SampleRecord(40, 20);
  record.real_poolers = 2;
  record.seed = 7;
  record.figures["hollow_vs_real_bytes_ratio"] = 0.95;
  const auto line = [&] {
    const std::string text = RenderedText(CommittedTarget(), Model({record}));
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

TEST_CASE("page: the template must have each placeholder once") {
  const Target target = CommittedTarget();
  const Model model({});
  const PagePaths names{kTargetFile, "docs/capacity", "capacity"};
  const auto error_of = [&](const std::string& words) {
    const auto page = RenderPage(target, model, words, names);
    return std::holds_alternative<std::string>(page) ? std::get<std::string>(page) : "";
  };
  CHECK(error_of(PageTemplate()).empty());
  CHECK(error_of(PageTemplate() + "{{pooler}}") == "'{{pooler}}' occurs twice");
  CHECK(error_of(PageTemplate() + "{{poolers}}") == "'{{poolers}}' is not known");
  CHECK(error_of(PageTemplate() + "{{pool") == "unterminated placeholder: {{pool");
  std::string words = PageTemplate();
  words.erase(words.find("{{failures}}"), 12);
  CHECK(error_of(words) == "'{{failures}}' is missing");
}

TEST_CASE("page: figures have at most four significant digits") {
  CHECK(FormatFigure(0) == "0");
  CHECK(FormatFigure(1.4034) == "1.4");
  CHECK(FormatFigure(99.96) == "100");
  CHECK(FormatFigure(730) == "730");
  CHECK(FormatFigure(2170.7) == "2,171");
  CHECK(FormatFigure(1'048'576) == "1,049,000");
  CHECK(FormatFigure(-0.0321) == "-0.0321");
  CHECK(FormatFigure(0.0000456) == "4.6e-05");
}

TEST_CASE("page: docs/CAPACITY.md is what the command writes from the committed files") {
  const auto records = LoadMeasurements(ListMeasurementFiles(kRoot + "/docs/capacity"));
  REQUIRE_MESSAGE(std::holds_alternative<std::vector<Record>>(records), std::get<std::string>(records));
  const auto page = RenderPage(CommittedTarget(), Model(std::get<std::vector<Record>>(records)),
                               PageTemplate(), {kTargetFile, "docs/capacity", "capacity"});
  REQUIRE(std::holds_alternative<Page>(page));
  const char* again = "write it again: lynxgrade-testbed capacity && gnuplot docs/capacity/curves.gp";
  CHECK_MESSAGE(std::get<Page>(page).text == ReadFile(kRoot + "/docs/CAPACITY.md"), again);
  CHECK_MESSAGE(std::get<Page>(page).data == ReadFile(kRoot + "/docs/capacity/curves.dat"), again);
  CHECK_MESSAGE(std::get<Page>(page).plot == ReadFile(kRoot + "/docs/capacity/curves.gp"), again);
  CHECK(std::filesystem::exists(kRoot + "/docs/capacity/curves.svg"));
}

TEST_CASE("command: an invalid file ends it with an error before anything is written") {
  std::string folder = (std::filesystem::temp_directory_path() / "lynxgrade-capacity-XXXXXX").string();
  REQUIRE(mkdtemp(folder.data()) != nullptr);
  const auto run = [&](const std::string& options, int code, const std::string& sentence) {
    const std::string command = "cd " + kRoot + " && " + TESTBED + " capacity --out " + folder + "/page.md " +
                                options + " >" + folder + "/out 2>" + folder + "/err";
    const int status = std::system(command.c_str());
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == code);
    CHECK(ReadFile(folder + "/err") == sentence);
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
      "lynxgrade-testbed: the page template " + folder + "/page.md.in cannot be read\n");
  std::filesystem::copy(kRoot + "/docs/capacity/page.md.in", folder + "/page.md.in");
  run("--plot " + folder, 0, "");
  CHECK(std::filesystem::exists(folder + "/curves.gp"));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace lynxgrade::capacity
