#include "capacity/model.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "capacity/as_it_stands.h"
#include "fleet/discovery_retry_policy.h"

namespace lynxgrade::capacity {
namespace {

constexpr double kDay = 86'400;
// What a fit's range holds and what lies beyond it: runs hit the rates that they are asked for within this.
constexpr double kSlack = 0.05;
// Changes in fewer than one second of a hundred are none in an ordinary one.
constexpr double kHardlyAny = 0.01;
constexpr double kBelowBound =
    0.9;                         // part of the bound on packets under which a run was surely not held by it
constexpr double kToldFrom = 2;  // errors from nothing on: a slope that is nearer is not told by the records
constexpr double kStallsAPooler = 1;  // in a run: more, and the machine was too busy for its size
constexpr double kMostGrowth = 8;     // times the target: beyond it the design is another

// Runs in which nothing happens but load; those in which an ordinary day's events do; and the losses.
const std::vector<std::string> kOrdinaryScripts = {"quiet", "load"};
const std::vector<std::string> kEventScripts = {"primaries", "replaced", "configuration"};
const std::vector<std::string> kZoneScripts = {"zone"};
const std::vector<std::string> kRegionScripts = {"region"};

bool OneOf(const Record& record, const std::vector<std::string>& scripts) {
  return std::any_of(scripts.begin(), scripts.end(),
                     [&](const std::string& script) { return record.script.starts_with(script); });
}
// Poolers whose loops stood still for a period answer late and are asked again: what is sent then is the busy
// machine's.
bool TooBusy(const Record& record) {
  const auto stalls = record.figures.find("stalls");
  return stalls != record.figures.end() && stalls->second > record.size.poolers * kStallsAPooler;
}
bool Ordinary(const Record& record) {
  return !record.held_back && !TooBusy(record) && OneOf(record, kOrdinaryScripts);
}

// Databases that nobody asks are neither probed nor connected to, however many they are.
bool Loaded(const Record& record) { return Ordinary(record) && record.size.statements_per_s > 0; }

using Keep = std::function<bool(const Record&)>;

Cell Worked(double value) { return {How::kWorkedOut, value, 0, false}; }

Cell Sum(const std::vector<Cell>& cells) {
  Cell sum{How::kMeasured, 0, 0, false};
  bool any = false;
  for (const Cell& cell : cells) {
    if (cell.how == How::kNotMeasured) {
      sum.at_least = true;
      continue;
    }
    any = true;
    sum.how = std::max(sum.how, cell.how);
    sum.at_least = sum.at_least || cell.at_least;
    sum.value += cell.value;
    sum.error = std::hypot(sum.error, cell.error);
  }
  return any ? sum : Cell{};
}

Cell Times(Cell cell, double by) {
  cell.value *= by;
  cell.error *= by;
  return cell;
}

double MachinesLeft(const Target& target, Column column) {
  if (column == Column::kZoneGone) return std::max(1.0, target.control_machines - 1);
  if (column == Column::kRegionsCut) return std::max(1.0, std::floor(target.control_machines / 2));
  return target.control_machines;
}

double ListChanges(const Target& target) {
  return (target.machine_failures_per_day + target.restarts_per_day + target.primary_changes_per_day) / kDay;
}

// A list of rows in the making; what the rows of a figure share is said once.
class Builder {
 public:
  explicit Builder(const std::vector<Record>& records) : records_(records) {}

  std::vector<const Record*> Kept(const Keep& keep) const {
    std::vector<const Record*> kept;
    for (const Record& record : records_) {
      if (keep(record)) kept.push_back(&record);
    }
    return kept;
  }

  // Records of this script, of the last generation that played it.
  Keep Newest(const std::string& script) const {
    double newest = 1;
    for (const Record& record : records_) {
      if (record.script == script) newest = std::max(newest, record.generation);
    }
    return [script, newest](const Record& record) {
      return record.script == script && record.generation == newest;
    };
  }

  // Whether some generation from this one on shows slopes of poolers that exchange marks so.
  bool Told(const std::string& marks, double from, bool owners_aside) const {
    std::map<double, std::vector<const Record*>> kept;
    for (const Record& record : records_) {
      const bool such = record.marks == marks && (record.size.owners > 0) == owners_aside;
      if (such && record.generation >= from && Ordinary(record)) kept[record.generation].push_back(&record);
    }
    return std::any_of(kept.begin(), kept.end(), [](const auto& one) {
      return Slopes({Term::kOne, Term::kPoolers}, "membership_bytes_out_per_s", one.second).fit().has_value();
    });
  }

  // A row by slopes of a figure.
  Row& Fitted(Row row, const std::string& figure, const std::vector<Term>& terms, const Keep& keep) {
    const Slopes slopes(terms, figure, Kept(keep));
    row.slopes = slopes;
    row.at = [slopes, scale = row.scale](const Target& target, Column column) {
      return Times(slopes.At(SizeIn(target, column)), scale);
    };
    return Add(std::move(row));
  }

  // The same of what events add to. Without a run of them a column is what the slopes say at least.
  // `packets`: how many one pooler sends, where the terms ask for them.
  using Packets = std::function<Cell(const Target&, Column)>;
  Row& FittedWithEvents(Row row, const std::string& figure, const std::vector<Term>& terms, const Keep& keep,
                        const Packets& packets = {}) {
    const auto kept = Kept(keep);
    const Slopes slopes(terms, figure, Kept([&](const Record& r) { return keep(r) && Ordinary(r); }));
    row.slopes = slopes;
    row.events.emplace(slopes, figure, kept, kEventScripts);
    row.zone.emplace(slopes, figure, kept, kZoneScripts);
    row.regions.emplace(slopes, figure, kept, kRegionScripts);
    row.size = [packets](const Target& target, Column column) {
      Size size = SizeIn(target, column);
      if (packets) size.packets_per_s = packets(target, column).value;
      return size;
    };
    row.at = [slopes, packets, events = *row.events, zone = *row.zone, regions = *row.regions,
              scale = row.scale](const Target& target, Column column) {
      const Surplus* added = column == Column::kWorstOrdinary ? &events
                             : column == Column::kZoneGone    ? &zone
                             : column == Column::kRegionsCut  ? &regions
                                                              : nullptr;
      Size size = SizeIn(target, column);
      bool at_least = false;
      if (packets) {
        const Cell sent = packets(target, column);
        if (sent.how == How::kNotMeasured) return Cell{};
        size.packets_per_s = sent.value;
        at_least = sent.at_least;
      }
      Cell plain = Times(slopes.At(size), scale);
      if (plain.how == How::kNotMeasured) return plain;
      plain.at_least = plain.at_least || at_least;
      if (added == nullptr) return plain;
      Cell sum = Sum({plain, Times(added->At(target.poolers), scale)});
      sum.how = How::kWorkedOut;
      return sum;
    };
    return Add(std::move(row));
  }

  // The first of these terms over whose quiet and loaded records a figure has slopes; the last where none
  // has.
  std::vector<Term> FirstTold(const std::vector<std::vector<Term>>& all, const std::string& figure,
                              const Keep& keep) const {
    const auto kept = Kept([&](const Record& r) { return keep(r) && Ordinary(r); });
    for (const std::vector<Term>& terms : all) {
      if (Slopes(terms, figure, kept).fit()) return terms;
    }
    return all.back();
  }

  // Whether any record of an ordinary run tells the figure.
  bool Tells(const Keep& keep, const std::string& figure) const {
    const auto tells = [&](const Record& r) { return keep(r) && Ordinary(r) && r.figures.contains(figure); };
    return !Kept(tells).empty();
  }

  Row& Arithmetic(Row row, std::function<Cell(const Target&, Column)> at) {
    row.at = std::move(at);
    return Add(std::move(row));
  }

  Row& NotMeasured(Row row) {
    row.at = [](const Target&, Column) { return Cell{}; };
    return Add(std::move(row));
  }

  std::vector<Row> rows;

 private:
  Row& Add(Row row) {
    rows.push_back(std::move(row));
    return rows.back();
  }

  const std::vector<Record>& records_;
};

Row Named(Role role, const char* group, std::string name, const char* mechanism, const char* note = "") {
  Row row;
  row.role = role;
  row.group = group;
  row.name = std::move(name);
  row.mechanism = mechanism;
  row.note = note;
  return row;
}

// From one packet to the next to the same pooler, from each to each.
double PauseMs(double poolers) { return (poolers - 1) / kPacketsPerS * 1000; }

// Marks that one pooler has not sent to one across the cut, the most that it keeps in sequence.
double MissedMarks(const Target& target) {
  const Size size = SizeIn(target, Column::kOrdinary);
  return std::min(ValueOf(Term::kWrites, size) * target.region_cut_s, kMarksKept);
}

constexpr const char* kOneSlope =
    "writes and messages of sessions grew together in all runs: the slope holds for their share of each "
    "other";

// A session's stay at a pooler, from its first statement there to its end or its next move, with writes and
// own-reads in any order: whether it writes at all, and how many reads come before the first write.
struct Stay {
  double unwritten = 0, reads_first = 0;
};
double ReadsPart(const Size& size) {
  return size.own_reads_share / std::max(1e-12, size.own_reads_share + size.writes_share);
}
Stay Met(const Size& size) {
  const double reads = std::min(ReadsPart(size), 1 - 1e-9);
  const double unwritten = std::pow(reads, size.session_statements);
  return {unwritten, reads * (1 - unwritten) / (1 - reads)};
}
Stay Moved(const Size& size) {
  const double reads = std::min(ReadsPart(size), 1 - 1e-9), goes_on = reads * (1 - size.roaming_share);
  return {reads * size.roaming_share / (1 - goes_on), reads / (1 - goes_on)};
}

// Messages of sessions that are left where no read's ask is admitted: a stay is asked for by its first write.
double WritesMessages(const Size& size) {
  return kMessagesAFirstMeet * ValueOf(Term::kFirstMeets, size) * (1 - Met(size).unwritten) +
         kMessagesAMove * ValueOf(Term::kRoaming, size) * (1 - Moved(size).unwritten);
}
// Of own-reads the part that then takes the conservative target.
double ReadsUnadmitted(const Size& size) {
  const double all = size.statements_per_s * size.own_reads_share / size.poolers;
  if (all <= 0) return 0;
  return std::min(1.0, (ValueOf(Term::kFirstMeets, size) * Met(size).reads_first +
                        ValueOf(Term::kRoaming, size) * Moved(size).reads_first) /
                           all);
}

// A way of exchanging marks, as records played it.
struct Way {
  std::string marks;
  double generation = 1;
  bool owners_aside = false;  // sessions are owned by the machines set aside for control
  bool later = false;         // there are records of a later generation
  bool former = false;        // and they show slopes, so that these are for comparison alone
  bool Has(const Record& record) const {
    return record.marks == marks && record.generation == generation &&
           (record.size.owners > 0) == owners_aside;
  }
  std::string Suffix() const {
    return (marks == "none" ? " (without marks" : " (marks: " + marks) +
           (owners_aside ? ", owners set aside" : "") + (later ? ", former records" : "") + ")";
  }
};

// Kinds of message that runs count beside those that are known here.
std::set<std::string> OtherKinds(const std::vector<const Record*>& records) {
  const std::string ending = "_bytes_out_per_s";
  std::set<std::string> kinds;
  for (const Record* record : records) {
    for (const auto& [figure, value] : record->figures) {
      if (figure.ends_with(ending)) kinds.insert(figure.substr(0, figure.size() - ending.size()));
    }
  }
  for (const char* known : {"membership", "marks", "reigns", "ledger"}) kinds.erase(known);
  return kinds;
}

// What of a directory's bytes comes from what; what reads cannot take off it; and the same with owners on the
// machines set aside, where nobody has played that. `per_message`: bytes of a message of sessions, in and
// out.
void AddDirectory(Builder& build, const Way& way, const std::string& suffix, const Row& all,
                  double per_message) {
  constexpr Role role = Role::kPooler;
  const char* mechanism = "src/lease";
  const auto part = [&](const char* name, Term term, double messages) {
    build.Arithmetic(Named(role, "messages", name + suffix + ", bytes a second", mechanism,
                           "a part of marks in and out, by the slope over messages of sessions"),
                     [=](const Target& target, Column column) {
                       if (per_message == 0) return Cell{};
                       return Worked(ValueOf(term, SizeIn(target, column)) * messages * per_message);
                     });
  };
  part("of it first meets", Term::kFirstMeets, kMessagesAFirstMeet);
  part("of it roaming statements", Term::kRoaming, kMessagesAMove);
  // `aside`: owners are on machines of their own, so that one end of each message is there; these are members
  // as well.
  const auto with = [=](bool writes_alone, bool aside) {
    return [=, at = all.at](const Target& target, Column column) {
      const Size size = SizeIn(target, column);
      const double messages = ValueOf(Term::kDirectoryMessages, size);
      Cell cell = at(target, column);
      if (cell.how == How::kNotMeasured || per_message == 0) return Cell{};
      const double sent = writes_alone ? WritesMessages(size) : messages;
      if (aside) {
        Target more = target;
        more.poolers += target.control_machines;
        more.statements_per_s *= more.poolers / target.poolers;  // so that a pooler's own stay what they are
        cell = at(more, column);
      }
      cell.value -= per_message * (messages - (aside ? sent / 2 : sent));
      cell.how = How::kWorkedOut;
      return cell;
    };
  };
  const auto add = [&](const std::string& name, const char* note, const auto& at) {
    Row row = all;
    row.name = name + ", bytes a second" + (name.starts_with("**") ? "**" : "");
    row.note = note;
    row.at = at;
    return build.Arithmetic(row, row.at).at;
  };
  const auto held = [&](const std::string& named, const auto& demand, const auto& floor) {
    build.Arithmetic(
        Named(role, "messages",
              "own-reads on the conservative target for a budget of bytes to hold" + named + ", %", mechanism,
              "as far as reads' asks have to be held back for it, evenly; where the row above is over the "
              "budget by itself, all of them, and it does not hold"),
        [=](const Target& target, Column column) {
          const Cell all_bytes = demand(target, column), least = floor(target, column);
          if (all_bytes.how == How::kNotMeasured || least.how == How::kNotMeasured) return Cell{};
          const double over = all_bytes.value - target.bytes_per_s, most = all_bytes.value - least.value;
          const double back = over <= 0 ? 0 : most <= 0 ? 1 : std::min(1.0, over / most);
          return Cell{How::kWorkedOut, 100 * back * ReadsUnadmitted(SizeIn(target, column)), 0,
                      all_bytes.at_least};
        });
  };
  const char* no_budget =
      "what no budget takes off: what a read met and did not ask for is asked for by its next write there; "
      "writes and own-reads in any order";
  held(suffix, all.at, add("control, no read's ask admitted" + suffix, no_budget, with(true, false)));
  if (!way.owners_aside && !build.Told(way.marks, way.generation, true)) {
    Way other = way;
    other.owners_aside = true;
    const std::string named = other.Suffix();
    const auto demand =
        add("**control, all kinds, both ways" + named,
            "not played: half of the bytes of messages of sessions, as one end of each is at an owner; the "
            "machines are members as well",
            with(false, true));
    held(named, demand, add("control, no read's ask admitted" + named, no_budget, with(true, true)));
  }
  if (way.owners_aside) return;
  Row holds =
      Named(role, "state", "sessions held by one pooler" + suffix + ", entries", mechanism,
            "(first meets + roaming statements) x a lease of 30 s; a session that goes on stays longer");
  holds.budget = [](const Target&) { return kSessionsHeld; };
  holds.issue = "none yet";
  build.Arithmetic(holds, [](const Target& target, Column column) {
    const Size size = SizeIn(target, column);
    const double come = ValueOf(Term::kFirstMeets, size) + ValueOf(Term::kRoaming, size);
    return Cell{How::kWorkedOut, come * kLeaseS, 0, true};
  });
  Row asks =
      Named(role, "messages", "asks of reads at first meets and moves" + suffix + ", a second", mechanism,
            "(first meets + roaming statements) x own-reads / session statements, beside `asks_per_s`; "
            "beyond it reads take the conservative target until a write has asked");
  asks.budget = [](const Target&) { return kAsksPerS; };
  asks.issue = "38";
  build.Arithmetic(asks, [](const Target& target, Column column) {
    const Size size = SizeIn(target, column);
    const double all_asks = ValueOf(Term::kFirstMeets, size) + ValueOf(Term::kRoaming, size);
    return Worked(all_asks * size.own_reads_share /
                  std::max(1e-12, size.own_reads_share + size.writes_share));
  });
}

// A pooler's rows of control, as played with one way of exchanging marks; `only`: there is no other.
void AddControl(Builder& build, const Way& way, bool only, const Row& discovery) {
  const std::string suffix = only ? "" : way.Suffix();
  const bool none = way.marks == "none", each = way.marks.empty() || way.marks == "each";
  const Keep keep = [way](const Record& record) { return way.Has(record); };
  // From each to each a write goes to every other pooler, so the fleet's writes come to each. Packets go to
  // each in turn, 2,000 a second at most: over them, and not over poolers, bytes and work grow in a line.
  const std::vector<Term> by_writes = {Term::kOne, Term::kPoolers, Term::kFleetWrites};
  const std::vector<Term> by_owners = {Term::kOne, Term::kPoolers, Term::kWrites, Term::kDirectoryMessages};
  const std::vector<Term> by_packets = {Term::kOne, Term::kPackets, Term::kFleetWrites};
  const std::vector<Term> peers = {Term::kOne, Term::kPoolers};
  const std::size_t before = build.rows.size();
  const std::vector<Term> timelines = each ? std::vector<Term>{Term::kOne, Term::kReignsTold} : by_owners;
  Builder::Packets packets;
  if (each) {
    // Those that were not yet at the bound show how packets grow up to it.
    const Slopes below(by_writes, "packets_out_per_s", build.Kept([&](const Record& record) {
      return keep(record) && Ordinary(record) && record.size.packets_per_s < kBelowBound * kPacketsPerS;
    }));
    packets = [below](const Target& target, Column column) {
      Cell cell = below.At(SizeIn(target, column));
      if (cell.how == How::kNotMeasured || cell.value < kPacketsPerS) return cell;
      return Cell{How::kWorkedOut, kPacketsPerS, 0, false};
    };
  }
  struct Kind {
    std::string figure, name, mechanism;
    std::vector<std::vector<Term>> terms;  // the first that the records can tell apart
  };
  // Where sessions have owners, messages go by those that are met and those that move. Runs that always play
  // the same shares of writes and of roaming statements tell one slope for both.
  const std::vector<std::vector<Term>> by_meets = {by_owners,
                                                   {Term::kOne, Term::kPoolers, Term::kDirectoryMessages},
                                                   {Term::kOne, Term::kDirectoryMessages}};
  using Choices = std::vector<std::vector<Term>>;
  const auto either = [&](const std::vector<Term>& as_each) {
    return none ? Choices{peers} : each ? Choices{as_each} : by_meets;
  };
  std::vector<Kind> kinds = {
      {"membership", "membership", "src/membership/swim", Choices{peers}},
      {"marks", "marks", "src/replication/watermark_replicator", either(by_packets)},
      {"reigns", "reigns of primaries", "src/replication/timeline_gossip", either(timelines)},
      {"ledger", "whole ledgers", "src/replication/snapshot_transfer", Choices{peers}}};
  for (const std::string& figure : OtherKinds(build.Kept(keep))) {
    kinds.push_back({figure, figure, "src/" + figure, either(by_packets)});
  }
  std::vector<Row> bytes = {discovery};
  std::vector<Row> membership, marks;
  for (const Kind& kind : kinds) {
    if (none && kind.figure != "membership") continue;
    for (const char* direction : {"out", "in"}) {
      const std::string figure = kind.figure + "_bytes_" + direction + "_per_s";
      const std::vector<Term> told = build.FirstTold(kind.terms, figure, keep);
      const bool over_packets = std::count(told.begin(), told.end(), Term::kPackets) +
                                    std::count(told.begin(), told.end(), Term::kReignsTold) >
                                0;
      Row& row = build.FittedWithEvents(
          Named(Role::kPooler, "messages", kind.name + " " + direction + suffix + ", bytes a second",
                kind.mechanism.c_str()),
          figure, told, keep, over_packets ? packets : Builder::Packets());
      if (!each && !none && told != by_owners && row.slopes->SlopeOf(Term::kDirectoryMessages)) {
        row.note = kOneSlope;
      }
      const auto per_mark = row.slopes->SlopeOf(Term::kFleetWrites);
      if (each && kind.figure == "marks" && per_mark && row.regions->records() == 0) {
        row.note = "regions cut: with what was missed, sent again after the cut";
        row.at = [before = row.at, per_mark = *per_mark](const Target& target, Column column) {
          Cell cell = before(target, column);
          if (cell.how == How::kNotMeasured || column != Column::kRegionsCut) return cell;
          const double across = target.poolers - target.poolers / target.regions;
          cell.value += per_mark * across * MissedMarks(target) / target.catch_up_s.assumed;
          return cell;
        };
      }
      bytes.push_back(row);
      if (kind.figure == "membership") membership.push_back(row);
      if (kind.figure == "marks") marks.push_back(row);
    }
  }
  const auto sum = [](const std::vector<Row>& of) {
    return [of](const Target& target, Column column) {
      std::vector<Cell> cells;
      for (const Row& row : of) cells.push_back(row.at(target, column));
      return Sum(cells);
    };
  };
  const bool owned = !none && !each;
  // What of marks goes by messages of sessions: less where some of them are not sent or end elsewhere.
  const auto per_message = [marks] {
    double slope = 0;
    for (const Row& row : marks) slope += row.slopes->SlopeOf(Term::kDirectoryMessages).value_or(0);
    return slope;
  }();
  Row both = Named(Role::kPooler, "messages", "membership alone, both ways" + suffix + ", bytes a second",
                   "src/membership/swim", "beside the budget of all kinds together");
  both.budget = [](const Target& target) { return target.bytes_per_s; };
  both.issue = "26";
  build.Arithmetic(both, sum(membership));
  Row all =
      Named(Role::kPooler, "messages", "**control, all kinds, both ways" + suffix + ", bytes a second**",
            "src/replication, src/discovery", "the rows of all kinds and discovery's list together");
  all.budget = [](const Target& target) { return target.bytes_per_s; };
  all.issue = "38";
  const Row together = build.Arithmetic(all, sum(bytes));
  if (owned) AddDirectory(build, way, suffix, together, per_message);
  for (const char* direction : {"out", "in"}) {
    Row row = Named(Role::kPooler, "messages", "packets " + std::string(direction) + suffix + ", a second",
                    "src/replication");
    if (each) {
      row.note = "by the slope, 2,000 at most";
      build.Arithmetic(row, packets);
    } else {
      const std::string figure = std::string("packets_") + direction + "_per_s";
      build.FittedWithEvents(row, figure, build.FirstTold(either(by_packets), figure, keep), keep);
    }
  }
  Row cpu = Named(Role::kPooler, "processor", "control" + suffix + ", % of a core",
                  "src/replication, src/membership, src/consistency, src/discovery");
  cpu.scale = 100;
  cpu.budget = [](const Target& target) { return target.cpu_percent; };
  cpu.issue = "38";
  // Each tick looks at all others, whether it sends or not, and a statement asks the keeper; few records
  // cannot tell these from packets and writes.
  const std::vector<std::vector<Term>> by_all = {
      {Term::kOne, Term::kPackets, Term::kFleetWrites, Term::kPoolers, Term::kStatements},
      {Term::kOne, Term::kPackets, Term::kFleetWrites, Term::kPoolers},
      by_packets};
  const std::vector<Term> work = build.FirstTold(each ? by_all : either(by_packets), "cpu_share", keep);
  build.FittedWithEvents(cpu, "cpu_share", work, keep, packets);
  if (!each && build.Tells(keep, "exchange_cpu_share")) {
    Row exchange = cpu;
    exchange.name = "of it the exchange, by its own account" + suffix + ", % of a core";
    exchange.note = "with a load the row above holds what serving costs as well";
    build.FittedWithEvents(exchange, "exchange_cpu_share",
                           build.FirstTold(either(by_packets), "exchange_cpu_share", keep), keep, packets);
  }
  Row real = Named(Role::kPooler, "memory", "a whole process without clients" + suffix + ", MB",
                   "src/replication, src/consistency, src/discovery, src/routing/balancer.cpp");
  real.budget = [](const Target& target) { return target.memory_mb; };
  real.issue = "none yet";
  const std::vector<Term> memory = {Term::kOne, Term::kPoolers, Term::kDatabases};
  build.FittedWithEvents(real, "real_memory_mb", memory, keep);
  Row added = real;
  added.name = "control, as one instance more adds to a process" + suffix + ", MB";
  build.FittedWithEvents(added, "memory_mb", memory, keep);
  build.Fitted(Named(Role::kPooler, "descriptors", "control" + suffix + ", without clients and databases",
                     "src/replication, src/discovery"),
               "descriptors", peers, [keep](const Record& r) { return keep(r) && Ordinary(r); });
  if (!none) {
    build.Fitted(Named(Role::kPooler, "descriptors", "a whole process without clients" + suffix, "src/net"),
                 "real_descriptors", peers, [keep](const Record& r) { return keep(r) && Ordinary(r); });
  }
  for (std::size_t i = before; (none || way.former) && i < build.rows.size(); ++i) {
    build.rows[i].aside = true;
    build.rows[i].former = way.former;
  }
}

// The ways that runs of load and of quiet played, each once, in the order of their marks' first record and of
// generations from the last back.
std::vector<Way> WaysOf(const Builder& build, const std::vector<Record>& records) {
  std::vector<std::string> marks;
  std::vector<Way> ways;
  for (const Record& record : records) {
    if (!Ordinary(record)) continue;
    if (std::find(marks.begin(), marks.end(), record.marks) == marks.end()) marks.push_back(record.marks);
    if (std::none_of(ways.begin(), ways.end(), [&](const Way& way) { return way.Has(record); })) {
      ways.push_back({record.marks, record.generation, record.size.owners > 0});
    }
  }
  if (ways.empty()) return {Way{}};
  const auto at = [&](const Way& way) { return std::find(marks.begin(), marks.end(), way.marks); };
  std::stable_sort(ways.begin(), ways.end(), [&](const Way& a, const Way& b) {
    return std::tuple(at(a), -a.generation, a.owners_aside) <
           std::tuple(at(b), -b.generation, b.owners_aside);
  });
  // One record of a later generation shows no slopes yet: until some do, the former ones are what is known.
  for (Way& way : ways) {
    for (const Way& other : ways) way.later |= other.marks == way.marks && other.generation > way.generation;
    way.former = build.Told(way.marks, way.generation + 1, way.owners_aside);
  }
  return ways;
}

void AddPooler(Builder& build, const std::vector<Record>& records) {
  constexpr Role role = Role::kPooler;
  const auto size_of = [](Term term, double less = 0) {
    return [term, less](const Target& target, Column column) {
      return Worked(ValueOf(term, SizeIn(target, column)) - less);
    };
  };
  build.Arithmetic(Named(role, "state", "other poolers known, entries", "src/membership/swim", "poolers - 1"),
                   [](const Target& target, Column) { return Worked(target.poolers - 1); });
  build.Arithmetic(Named(role, "state", "databases known, entries", "src/discovery, src/routing/balancer.cpp",
                         "databases"),
                   [](const Target& target, Column) { return Worked(target.databases); });
  Row sessions =
      Named(role, "state", "sessions that wrote within `recall`, entries at most",
            "src/consistency/session_watermark_table",
            "the fleet's writes a second x 30 s; beside it what the ledger holds unless set: what is "
            "forgotten costs a read waiting");
  sessions.budget = [](const Target&) { return kLedgerSessions; };
  sessions.issue = "none: a setting";
  build.Arithmetic(sessions, [](const Target& target, Column column) {
    return Worked(ValueOf(Term::kFleetWrites, SizeIn(target, column)) * kRecallS);
  });
  const Keep watermark_table = build.Newest("ledger");
  const Row& session = build.Fitted(
      Named(role, "state", "a session in the ledger, bytes", "src/consistency/session_watermark_table"),
      "ledger_bytes_per_session", {Term::kOne}, watermark_table);
  build.Arithmetic(Named(role, "memory", "the ledger with all these sessions, MB",
                         "src/consistency/session_watermark_table",
                         "those sessions x the bytes of one; beside what the row of control holds"),
                   [at = session.at](const Target& target, Column column) {
                     Cell cell = at(target, column);
                     if (cell.how == How::kNotMeasured) return cell;
                     cell.how = How::kWorkedOut;
                     return Times(cell,
                                  ValueOf(Term::kFleetWrites, SizeIn(target, column)) * kRecallS * 1e-6);
                   });
  build.Arithmetic(Named(role, "state", "own marks kept for others, entries", "src/replication/watermark_log",
                         "writes of one pooler x the length of a cut, 65,536 at most"),
                   [](const Target& target, Column) { return Worked(MissedMarks(target)); });

  const Row discovery =
      build.FittedWithEvents(Named(role, "messages", "discovery's list in, bytes a second", "src/discovery"),
                             "discovery_bytes_in_per_s", {Term::kOne, Term::kDatabases, Term::kChanges},
                             [](const Record&) { return true; });
  const std::vector<Way> ways = WaysOf(build, records);
  for (const Way& way : ways) AddControl(build, way, ways.size() == 1, discovery);
  build.Fitted(
      Named(role, "messages", "probes of databases out, a second", "src/routing/balancer.cpp, src/upstream"),
      "probes_per_s", {Term::kOne, Term::kDatabases, Term::kStatements}, Loaded);
  const auto probes = build.rows.back().at;
  const auto probe_bytes = [&](const char* direction, double payload, double packets) {
    build.Arithmetic(
        Named(role, "messages", std::string("probes of databases ") + direction + ", bytes a second",
              "src/routing/balancer.cpp, src/upstream",
              "19 bytes out and 83 in, on a connection that is open, and heads of 52 for each segment: query "
              "and acknowledgement out, answer in; traffic with databases, which the target's budget for "
              "control does not name: not counted in any row of control"),
        [=](const Target& target, Column column) {
          Cell cell = Times(probes(target, column), payload + packets * kTcpHeads);
          if (cell.how == How::kMeasured) cell.how = How::kWorkedOut;
          return cell;
        });
  };
  probe_bytes("out", kProbeQueryBytes, 2);
  probe_bytes("in", kProbeAnswerBytes, 1);
  Row pause =
      Named(role, "messages", "two pauses between packets to one pooler, ms",
            "src/replication/watermark_replicator",
            "from each to each, 2,000 packets a second at most; a word older than 240 ms is not waited "
            "for, and reads take a cautious target");
  pause.budget = [](const Target&) { return kHoldMs * kHeardLately; };
  pause.issue = "38";
  build.Arithmetic(pause, [](const Target& target, Column column) {
    const double poolers = SizeIn(target, column).poolers;
    return Worked(2 * std::max(kIdleFlushMs, PauseMs(poolers)));
  });
  Row timelines = Named(
      role, "messages", "round in which all reigns of primaries are told to one pooler again, s",
      "src/replication/timeline_gossip",
      "from each to each, databases / members of a group, 8 a packet; a reign that changed goes first, with "
      "the "
      "next packet, and one whose packet was lost is told again within a round: beside the time in which a "
      "change of primary is to be over");
  timelines.budget = [](const Target& target) { return target.primary_change_within_s; };
  timelines.issue = "38";
  build.Arithmetic(timelines, [](const Target& target, Column column) {
    const Size size = SizeIn(target, column);
    const double packets = std::ceil(size.groups / kReignsAPacket);
    return Worked(std::max(kReignsEveryMs, packets * std::max(kIdleFlushMs, PauseMs(size.poolers))) / 1000);
  });
  Row wait = Named(role, "messages", "wait of a read that asks poolers of the other region, ms",
                   "src/consistency/session_consistency_guard",
                   "one round trip, beside `hold_ms`; longer ones are not waited for");
  wait.budget = [](const Target&) { return kHoldMs; };
  wait.issue = "38";
  build.Arithmetic(wait,
                   [](const Target& target, Column) { return Worked(target.region_round_trip_ms.assumed); });
  Row ping = Named(role, "messages", "answer to a ping across regions, ms", "src/membership/swim",
                   "one round trip, beside the period `probe_ms`: slower ones leave the fleet in doubt");
  ping.budget = [](const Target&) { return kProbeMs; };
  ping.issue = "26";
  build.Arithmetic(ping,
                   [](const Target& target, Column) { return Worked(target.region_round_trip_ms.assumed); });
  build.Arithmetic(
      Named(role, "messages", "clients that connect anew, a second", "src/frontend",
            "as many as a pooler has, for each that is restarted or fails, all taken for poolers: a day's "
            "spread "
            "evenly (and so on a cut, which loses no pooler), or those that go at once; a zone gone: its "
            "clients; over the time in which they come again and the poolers left; clients' own coming and "
            "going is not told"),
      [](const Target& target, Column column) {
        const Size size = SizeIn(target, column);
        const double each = target.clients / target.poolers, again = target.clients_again_s.assumed;
        const double a_day = target.restarts_per_day + target.machine_failures_per_day;
        const double at_once = target.restarts_at_once.assumed + 1;
        if (column == Column::kZoneGone) return Worked(target.clients / target.zones / again / size.poolers);
        if (column == Column::kWorstOrdinary) {
          return Worked(at_once * each / again / std::max(1.0, target.poolers - at_once));
        }
        return Worked(a_day / kDay * each / target.poolers);
      });
  build.Arithmetic(
      Named(role, "messages", "statements and answers, bytes a second", "src/frontend, src/upstream",
            "own statements x bytes of both; read and written once on each side; not control"),
      [](const Target& target, Column column) {
        return Worked(ValueOf(Term::kStatements, SizeIn(target, column)) * target.statement_bytes.assumed);
      });
  const Keep decision = build.Newest("decision");
  const Row& time = build.Fitted(
      Named(role, "processor", "a decision, microseconds a statement", "src/routing/balancer.cpp"),
      "module_cpu_us_per_statement", {Term::kOne, Term::kDatabases}, decision);
  build.Arithmetic(Named(role, "processor", "decisions, % of a core", "src/routing/balancer.cpp",
                         "own statements x the time of a decision; not control"),
                   [at = time.at](const Target& target, Column column) {
                     Cell cell = at(target, column);
                     if (cell.how == How::kNotMeasured) return cell;
                     cell.how = How::kWorkedOut;
                     return Times(cell, ValueOf(Term::kStatements, SizeIn(target, column)) * 1e-6 * 100);
                   });
  const Keep idle = build.Newest("idle_clients");
  build.Fitted(Named(role, "memory", "a pooler with idle clients, MB", "src/frontend, src/net",
                     "one pooler, peers off; not control"),
               "memory_mb", {Term::kOne, Term::kClients}, idle);
  Row stay =
      Named(role, "descriptors", "needed so that clients idle for up to 15 s stay", "src/frontend",
            "8 x clients of one pooler and 40 for the program; where clients hold more than an eighth, "
            "they are closed after 2.2 s, over a quarter after 0.5 s; a client asks every 2.1 s on average");
  stay.budget = [](const Target& target) { return target.descriptors.assumed; };
  stay.issue = "9";
  build.Arithmetic(stay, [](const Target& target, Column column) {
    return Worked(kIdlePart * ValueOf(Term::kClients, SizeIn(target, column)) + kReserved);
  });
  build.Arithmetic(Named(role, "descriptors", "clients", "src/frontend", "clients / poolers"),
                   size_of(Term::kClients));
  build.Arithmetic(Named(role, "descriptors", "databases with a connection open", "src/upstream",
                         "databases x the chance that one is asked within 10 s, asked alike"),
                   [](const Target& target, Column column) {
                     const Size size = SizeIn(target, column);
                     const double asked = ValueOf(Term::kStatements, size) / size.databases;
                     return Worked(size.databases * (1 - std::exp(-asked * kPooledS)));
                   });
  build.Fitted(Named(role, "descriptors", "all that the process holds, idle clients alone", "src/net"),
               "descriptors", {Term::kOne, Term::kClients}, idle);
}

void AddControlMachines(Builder& build, const std::vector<Record>& records) {
  constexpr Role role = Role::kControlMachines;
  double newest = 1;
  for (const Record& record : records) {
    if (record.size.owners > 0) newest = std::max(newest, record.generation);
  }
  const Keep owned = [newest](const Record& record) {
    return record.size.owners > 0 && record.generation == newest;
  };
  const std::vector<Term> by_owner = {Term::kOne, Term::kPoolers, Term::kOwnerMessages};
  Row entries = Named(
      role, "state", "sessions owned by one machine, entries", "src/lease",
      "first meets of all poolers x 63 s (a lease of 30 s, a tenth longer at the owner, and `recall`) / "
      "machines in reach; a session that goes on stays longer; needs owners set aside");
  entries.budget = [](const Target&) { return kSessionsOwned; };
  entries.issue = "none yet";
  build.Arithmetic(entries, [](const Target& target, Column column) {
    const Size size = SizeIn(target, column);
    const double met = ValueOf(Term::kFirstMeets, size) * size.poolers;
    return Cell{How::kWorkedOut, met * kOwnedForS / size.owners, 0, true};
  });
  build.Arithmetic(Named(role, "messages", "messages of sessions at one machine, in and out, a second",
                         "src/lease", "2 a first meet, 4 a roaming statement; needs owners set aside"),
                   [](const Target& target, Column column) {
                     return Worked(ValueOf(Term::kOwnerMessages, SizeIn(target, column)));
                   });
  build.FittedWithEvents(
      Named(role, "messages", "owners of sessions, both ways, bytes a second, one machine", "src/lease"),
      "owner_bytes_per_s", by_owner, owned);
  Row share = Named(role, "processor", "owners of sessions, % of a core, one machine", "src/lease");
  share.scale = 100;
  build.FittedWithEvents(share, "owner_cpu_share", by_owner, owned);
  build.FittedWithEvents(Named(role, "memory", "owners of sessions, MB, one machine", "src/lease"),
                         "owner_memory_mb", by_owner, owned);
  const auto left = MachinesLeft;
  build.Arithmetic(Named(role, "state", "poolers followed by one machine, entries", "none",
                         "poolers / machines in reach: one fewer without a zone, the smaller half on a cut"),
                   [left](const Target& target, Column column) {
                     return Worked(SizeIn(target, column).poolers / left(target, column));
                   });
  build.NotMeasured(Named(role, "state", "an entry, bytes", "none"));
  build.Arithmetic(Named(role, "messages", "configuration out, messages a second, all machines", "none",
                         "changes x poolers; worst second: one change to all at once"),
                   [](const Target& target, Column column) {
                     const double changes =
                         column == Column::kWorstOrdinary ? 1 : target.configuration_changes_per_day / kDay;
                     return Worked(changes * SizeIn(target, column).poolers);
                   });
  build.Arithmetic(
      Named(role, "messages", "configuration out, bytes a second, all machines", "none",
            "messages x bytes of a change"),
      [](const Target& target, Column column) {
        const double changes =
            column == Column::kWorstOrdinary ? 1 : target.configuration_changes_per_day / kDay;
        return Worked(changes * SizeIn(target, column).poolers * target.configuration_bytes.assumed);
      });
  build.NotMeasured(Named(role, "messages", "acknowledgements in, a second", "none"));
  build.NotMeasured(Named(role, "processor", "all other control, % of a core", "none"));
  build.NotMeasured(Named(role, "memory", "all other control, MB", "none"));
  build.Arithmetic(Named(role, "descriptors", "connections of poolers to one machine", "none",
                         "one a pooler, should they be connections"),
                   [left](const Target& target, Column column) {
                     return Worked(SizeIn(target, column).poolers / left(target, column));
                   });
}

void AddDiscovery(Builder& build) {
  constexpr Role role = Role::kDiscovery;
  const Row* list = nullptr;
  for (const Row& row : build.rows) {
    if (row.name.starts_with("discovery's list in")) list = &row;
  }
  const auto list_at = list->at;
  build.Arithmetic(Named(role, "state", "databases listed, entries", "src/discovery (the pooler's side)"),
                   [](const Target& target, Column) { return Worked(target.databases); });
  build.NotMeasured(Named(role, "state", "an entry, bytes", "none"));
  build.Arithmetic(Named(role, "messages", "changes of the list out, lines a second, to all poolers",
                         "src/discovery (the pooler's side)", "changes x poolers"),
                   [](const Target& target, Column column) {
                     const Size size = SizeIn(target, column);
                     return Worked(size.changes_per_s * size.poolers);
                   });
  build.Arithmetic(Named(role, "messages", "the list out, bytes a second, to all poolers",
                         "src/discovery (the pooler's side)", "poolers x what one receives"),
                   [list_at](const Target& target, Column column) {
                     Cell cell = Times(list_at(target, column), SizeIn(target, column).poolers);
                     if (cell.how == How::kMeasured) cell.how = How::kWorkedOut;
                     return cell;
                   });
  build.Arithmetic(
      Named(role, "messages", "calls a second, `ask`, while watches stay open", "src/discovery",
            "a watch stays open, so one for each pooler that is restarted or fails, all taken for poolers: a "
            "day's spread evenly, or those that go at once; what an end of a watch by discovery itself adds "
            "is not told"),
      [](const Target& target, Column column) {
        if (column == Column::kWorstOrdinary) return Worked(target.restarts_at_once.assumed + 1);
        return Worked((target.restarts_per_day + target.machine_failures_per_day) / kDay);
      });
  build.Arithmetic(
      Named(role, "messages", "empty lines out, bytes a second, to all poolers", "src/discovery",
            "one of 6 bytes, chunked, every 2 s to each, so that a watch is known to live; a part "
            "of the list out"),
      [](const Target& target, Column column) {
        return Worked(SizeIn(target, column).poolers * kBlankLineBytes / kBlankLineS);
      });
  build.Arithmetic(
      Named(role, "messages", "calls a second, `ask`, first round after all fell silent",
            "src/fleet/discovery_retry_policy",
            "poolers / the window in which each draws its first wait; with `push` none"),
      [](const Target& target, Column column) {
        const double poolers = SizeIn(target, column).poolers;
        fleet::DiscoveryRetryPolicy waits(true, static_cast<std::uint32_t>(poolers),
                                          Duration(static_cast<std::int64_t>(kDrainGraceS * 1e6)));
        // All that draw just under one draw the window's end.
        const double window = static_cast<double>(waits.NextWait(0.999999, Duration{}).count()) / 1e6;
        return Worked(poolers / window);
      });
  build.NotMeasured(Named(role, "processor", "% of a core", "none"));
  build.NotMeasured(Named(role, "memory", "MB", "none"));
  build.Arithmetic(
      Named(role, "descriptors", "watches open, `ask`", "src/discovery (the pooler's side)",
            "one a pooler; with `push` one at each machine's agent"),
      [](const Target& target, Column column) { return Worked(SizeIn(target, column).poolers); });
}

void AddDatabase(Builder& build) {
  constexpr Role role = Role::kDatabase;
  const Row* probes = nullptr;
  for (const Row& row : build.rows) {
    if (row.name.starts_with("probes of databases out")) probes = &row;
  }
  const auto probes_at = probes->at;
  build.Arithmetic(Named(role, "messages", "statements in, a second", "src/routing/balancer.cpp",
                         "statements / databases"),
                   [](const Target& target, Column column) {
                     const Size size = SizeIn(target, column);
                     return Worked(size.statements_per_s / size.databases);
                   });
  build.Arithmetic(Named(role, "messages", "statements of one pooler, a second", "src/routing/balancer.cpp",
                         "statements / (poolers x databases): every pair is in use"),
                   [](const Target& target, Column column) {
                     const Size size = SizeIn(target, column);
                     return Worked(ValueOf(Term::kStatements, size) / size.databases);
                   });
  build.Arithmetic(Named(role, "messages", "probes in, a second", "src/routing/balancer.cpp, src/upstream",
                         "poolers x probes of one / databases"),
                   [probes_at](const Target& target, Column column) {
                     const Size size = SizeIn(target, column);
                     Cell cell = Times(probes_at(target, column), size.poolers / size.databases);
                     if (cell.how == How::kMeasured) cell.how = How::kWorkedOut;
                     return cell;
                   });
  Row connections =
      Named(role, "descriptors", "connections of poolers to one database", "none",
            "poolers x the chance that each asks within 10 s; no pooler keeps to a part of them");
  connections.budget = [](const Target& target) { return target.database_connections.assumed; };
  connections.issue = "30";
  build.Arithmetic(connections, [](const Target& target, Column column) {
    const Size size = SizeIn(target, column);
    const double asked = ValueOf(Term::kStatements, size) / size.databases;
    return Worked(size.poolers * (1 - std::exp(-asked * kPooledS)));
  });
  build.Fitted(Named(role, "descriptors", "connections asked for by one pooler, a second", "src/upstream"),
               "database_connections_asked_per_s", {Term::kOne, Term::kDatabases, Term::kStatements}, Loaded);
}

void AddCommand(Builder& build) {
  constexpr Role role = Role::kCommand;
  const Keep asked = build.Newest("peers_command");
  Row answer = Named(role, "messages", "answer of `lynxgrade peers`, bytes", "src/admin");
  answer.budget = [](const Target&) { return kAnswerBytes; };
  answer.issue = "none yet";
  build.Fitted(answer, "peers_answer_bytes", {Term::kOne, Term::kPoolers}, asked);
  build.Arithmetic(Named(role, "messages", "poolers to be asked for the whole fleet's word", "none",
                         "each answers for itself, on its own machine alone"),
                   [](const Target& target, Column) { return Worked(target.poolers); });
  build.Arithmetic(Named(role, "descriptors", "questions that one pooler answers at once", "src/admin"),
                   [](const Target&, Column) { return Worked(4); });
  build.Fitted(Named(role, "processor", "the pooler's for one answer, ms", "src/admin"),
               "peers_answer_cpu_ms", {Term::kOne, Term::kPoolers}, asked);
}

}  // namespace

const char* NameOf(Term term) {
  switch (term) {
    case Term::kOne:
      return "1";
    case Term::kPoolers:
      return "poolers";
    case Term::kDatabases:
      return "databases";
    case Term::kClients:
      return "own clients";
    case Term::kStatements:
      return "own statements";
    case Term::kWrites:
      return "own writes";
    case Term::kFleetWrites:
      return "poolers x own writes";
    case Term::kSessionStatements:
      return "own session statements";
    case Term::kFirstMeets:
      return "own first meets";
    case Term::kRoaming:
      return "own roaming statements";
    case Term::kDirectoryMessages:
      return "own messages of sessions";
    case Term::kOwnerMessages:
      return "messages of sessions at one machine";
    case Term::kPackets:
      return "own packets";
    case Term::kReignsTold:
      return "reigns told";
    case Term::kChanges:
      return "changes";
  }
  return "";
}

double ValueOf(Term term, const Size& size) {
  const double own = size.poolers > 0 ? 1 / size.poolers : 0;
  switch (term) {
    case Term::kOne:
      return 1;
    case Term::kPoolers:
      return size.poolers;
    case Term::kDatabases:
      return size.databases;
    case Term::kClients:
      return size.clients * own;
    case Term::kStatements:
      return size.statements_per_s * own;
    case Term::kWrites:
      return size.statements_per_s * size.writes_share * own;
    case Term::kFleetWrites:
      return size.statements_per_s * size.writes_share;
    case Term::kSessionStatements:
      return size.statements_per_s * (size.writes_share + size.own_reads_share) * own;
    case Term::kFirstMeets:
      return size.session_statements > 0 ? ValueOf(Term::kSessionStatements, size) / size.session_statements
                                         : 0;
    case Term::kRoaming:
      return ValueOf(Term::kSessionStatements, size) * size.roaming_share;
    case Term::kDirectoryMessages:
      return kMessagesAFirstMeet * ValueOf(Term::kFirstMeets, size) +
             kMessagesAMove * ValueOf(Term::kRoaming, size);
    case Term::kOwnerMessages:
      return size.owners > 0 ? ValueOf(Term::kDirectoryMessages, size) * size.poolers / size.owners : 0;
    case Term::kPackets:
      return size.packets_per_s;
    case Term::kReignsTold:
      // Every group's to each, or as many as packets have room for.
      return std::min((size.poolers - 1) * size.groups / (kReignsEveryMs / 1000),
                      kReignsAPacket * size.packets_per_s);
    case Term::kChanges:
      return size.changes_per_s;
  }
  return 0;
}

namespace {

bool Flat(const std::vector<const Record*>& held, const std::string& figure) {
  const double first = held[0]->figures.at(figure);
  return std::all_of(held.begin(), held.end(),
                     [&](const Record* record) { return record->figures.at(figure) == first; });
}

}  // namespace

Slopes::Slopes(const std::vector<Term>& terms, const std::string& figure,
               const std::vector<const Record*>& records) {
  std::vector<const Record*> held;
  for (const Record* record : records) {
    if (record->figures.contains(figure)) held.push_back(record);
  }
  if (held.empty()) {
    refused_ = "no record tells `" + figure + "`";
    return;
  }
  for (const Term term : terms) {
    if (term == Term::kOne) continue;
    Range range{term, ValueOf(term, held[0]->size), ValueOf(term, held[0]->size)};
    for (const Record* record : held) {
      range.least = std::min(range.least, ValueOf(term, record->size));
      range.most = std::max(range.most, ValueOf(term, record->size));
    }
    (range.least == range.most ? unvaried_ : varied_).push_back(range);
  }
  while (true) {
    std::vector<std::string> names = {"the constant"};
    for (const Range& range : varied_) names.push_back(NameOf(range.term));
    std::vector<Sample> samples;
    for (const Record* record : held) samples.push_back({Point(record->size), record->figures.at(figure)});
    auto fit = LeastSquares(names, samples);
    if (auto* wrong = std::get_if<std::string>(&fit)) {
      refused_ = std::move(*wrong);
      return;
    }
    fit_ = std::get<Fit>(std::move(fit));
    // A figure that is the same throughout has no slope, which is told as surely as any other.
    if (Flat(held, figure)) {
      std::fill(fit_->slopes.begin() + 1, fit_->slopes.end(), 0);
      std::fill(fit_->errors.begin(), fit_->errors.end(), 0);
      for (auto& line : fit_->covariance) std::fill(line.begin(), line.end(), 0);
      fit_->slopes[0] = held[0]->figures.at(figure);
      fit_->residual = 0;
      return;
    }
    // The slope that stands out least from its error goes first; before it those below nothing, as no part of
    // the program costs less for more: such a one makes up for another that was taken for too much.
    std::size_t least = 0;
    double ratio = kToldFrom;
    for (std::size_t i = 0; i < varied_.size(); ++i) {
      const double slope = fit_->slopes[i + 1], error = fit_->errors[i + 1];
      if (slope >= ratio * error) continue;
      ratio = slope / error;
      least = i + 1;
    }
    if (least == 0) return;
    untold_.push_back(varied_[least - 1]);
    varied_.erase(varied_.begin() + static_cast<std::ptrdiff_t>(least - 1));
  }
}

std::vector<double> Slopes::Point(const Size& size) const {
  std::vector<double> point = {1};
  for (const Range& range : varied_) point.push_back(ValueOf(range.term, size));
  return point;
}

Cell Slopes::At(const Size& size) const {
  if (!fit_) return {};
  const std::vector<double> point = Point(size);
  Cell cell{How::kMeasured, fit_->At(point), fit_->ErrorAt(point), false};
  // No figure here can be below nothing: such a line was carried too far.
  if (cell.value < 0) return {};
  for (const std::vector<Range>& ranges : {varied_, unvaried_, untold_}) {
    for (const Range& range : ranges) {
      const double value = ValueOf(range.term, size);
      if (range.term == Term::kChanges && value < kHardlyAny && range.least == 0) continue;
      if (value > range.most * (1 + kSlack) || value < range.least * (1 - kSlack)) cell.how = How::kWorkedOut;
    }
  }
  for (const std::vector<Range>& ranges : {unvaried_, untold_}) {
    for (const Range& range : ranges) {
      if (range.term == Term::kChanges && ValueOf(range.term, size) < kHardlyAny) continue;
      if (ValueOf(range.term, size) > range.most * (1 + kSlack)) cell.at_least = true;
    }
  }
  return cell;
}

std::optional<double> Slopes::SlopeOf(Term term) const {
  if (!fit_) return std::nullopt;
  for (std::size_t i = 0; i < varied_.size(); ++i) {
    if (varied_[i].term == term) return fit_->slopes[i + 1];
  }
  return std::nullopt;
}

Surplus::Surplus(const Slopes& slopes, const std::string& figure, const std::vector<const Record*>& records,
                 const std::vector<std::string>& scripts) {
  // What the run tells of its worst second, by the figure's name or by the sum's that it is a part of.
  const std::string peak = figure == "cpu_share" ? "control_cpu_share_peak" : figure + "_peak";
  std::vector<Sample> samples;
  for (const Record* record : records) {
    if (!OneOf(*record, scripts) || !slopes.fit()) continue;
    auto told = record->figures.find(peak);
    if (told == record->figures.end()) told = record->figures.find(figure);
    if (told == record->figures.end()) continue;
    const double poolers = record->size.poolers;
    samples.push_back({{1, poolers}, std::max(0.0, told->second - slopes.At(record->size).value)});
    largest_ = std::max(largest_, samples.back().y);
    least_poolers_ = samples.size() == 1 ? poolers : std::min(least_poolers_, poolers);
    most_poolers_ = std::max(most_poolers_, poolers);
  }
  records_ = samples.size();
  auto fit = LeastSquares({"the constant", NameOf(Term::kPoolers)}, samples);
  if (auto* found = std::get_if<Fit>(&fit)) fit_ = std::move(*found);
}

Cell Surplus::At(double poolers) const {
  // Without a line nothing is known of sizes below those that were played.
  if (records_ == 0 || (!fit_ && poolers < least_poolers_ * (1 - kSlack))) return {};
  Cell cell{How::kWorkedOut, largest_, 0, poolers > most_poolers_ * (1 + kSlack)};
  if (fit_) {
    cell.value = std::max(0.0, fit_->At({1, poolers}));
    cell.error = fit_->ErrorAt({1, poolers});
  }
  return cell;
}

Model::Model(std::vector<Record> records) : records_(std::move(records)) {
  Builder build(records_);
  AddPooler(build, records_);
  AddControlMachines(build, records_);
  AddDiscovery(build);
  AddDatabase(build);
  AddCommand(build);
  rows_ = std::move(build.rows);
}

Size SizeIn(const Target& target, Column column) {
  Size size;
  size.poolers = target.poolers;
  size.databases = target.databases;
  size.groups = target.databases / target.members_of_a_group.assumed;
  size.clients = target.clients;
  size.statements_per_s = target.statements_per_s;
  size.writes_share = target.writes_percent.assumed / 100;
  size.own_reads_share = target.own_reads_percent.assumed / 100;
  size.session_statements = target.session_statements.assumed;
  size.roaming_share = target.roaming_percent.assumed / 100;
  size.changes_per_s = ListChanges(target);
  size.owners = MachinesLeft(target, column);
  switch (column) {
    case Column::kOrdinary:
      break;
    case Column::kWorstOrdinary:
      size.statements_per_s *= target.busiest_second_ratio.assumed;
      // Each that is replaced goes and comes; one machine fails; one primary gives up its part to another.
      size.changes_per_s = 2 * target.restarts_at_once.assumed + 1 + 2;
      break;
    case Column::kZoneGone: {
      const double left = 1 - 1 / target.zones;
      size.changes_per_s = size.databases / target.zones;
      size.poolers *= left;
      size.databases *= left;
      size.groups *= left;
      break;
    }
    case Column::kRegionsCut: {
      const double part = 1 / target.regions;
      size.poolers *= part;
      size.databases *= part;
      size.groups *= part;
      size.clients *= part;
      size.statements_per_s *= part;
      break;
    }
  }
  return size;
}

Target Grown(const Target& target, double poolers) {
  const double by = poolers / target.poolers;
  Target grown = target;
  grown.poolers = poolers;
  grown.databases *= by;
  grown.clients *= by;
  grown.statements_per_s *= by;
  grown.machine_failures_per_day *= by;
  grown.restarts_per_day *= by;
  grown.primary_changes_per_day *= by;
  return grown;
}

std::optional<double> LeavesAt(const Row& row, const Target& target, Column column) {
  if (!row.budget || row.at(target, column).how == How::kNotMeasured) return std::nullopt;
  // Rows need not rise steadily, so each number is tried.
  for (double poolers = 2; poolers <= target.poolers * kMostGrowth; ++poolers) {
    const Target grown = Grown(target, poolers);
    if (row.at(grown, column).value > row.budget(grown)) return poolers;
  }
  return 0;
}

std::array<Cell, 3> Sensitivity(const Row& row, const Target& target, const AssumptionField& field) {
  std::array<Cell, 3> cells;
  const Assumption& all = target.*field.value;
  const std::array values = {all.low, all.assumed, all.high};
  for (std::size_t i = 0; i < values.size(); ++i) {
    Target changed = target;
    (changed.*field.value).assumed = values[i];
    for (const Column column : kColumns) {
      const Cell cell = row.at(changed, column);
      if (cell.how == How::kNotMeasured) continue;
      if (cells[i].how == How::kNotMeasured || cell.value > cells[i].value) cells[i] = cell;
    }
  }
  return cells;
}

}  // namespace lynxgrade::capacity
