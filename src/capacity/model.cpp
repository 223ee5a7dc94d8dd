#include "capacity/model.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "capacity/as_it_stands.h"
#include "fleet/discovery_retry_policy.h"

namespace lynxgrade::capacity {
namespace {

// A run below this fraction of the limit on packets was not throttled by it.
constexpr double kUnlimitedPacketsFraction = 0.9;
constexpr double kMaxStallsPerPooler = 1;  // per run; more mean that the machine was overloaded
constexpr double kMaxGrowth = 8;           // times the target; larger fleets would need another design

// Scripts without events, with the events of an ordinary day, and with the loss of a zone or a region.
const std::vector<std::string> kOrdinaryScripts = {"quiet", "load"};
const std::vector<std::string> kEventScripts = {"primaries", "replaced", "configuration"};
const std::vector<std::string> kZoneScripts = {"zone"};
const std::vector<std::string> kRegionScripts = {"region"};

// Poolers whose event loops stall answer late and receive retries, so their traffic reflects the overloaded
// machine.
bool IsOverloaded(const Record& record) {
  const auto stalls = record.figures.find("stalls");
  return stalls != record.figures.end() && stalls->second > record.size.poolers * kMaxStallsPerPooler;
}
bool IsOrdinary(const Record& record) {
  return !record.reads_limited && !IsOverloaded(record) && HasScript(record, kOrdinaryScripts);
}

// Without statements, databases are neither probed nor connected to, whatever their number.
bool IsLoaded(const Record& record) { return IsOrdinary(record) && record.size.statements_per_s > 0; }

using RecordFilter = std::function<bool(const Record&)>;

Cell Computed(double value) { return {Provenance::kComputed, value, 0, false}; }

Cell Sum(const std::vector<Cell>& cells) {
  Cell sum{Provenance::kMeasured, 0, 0, false};
  bool any = false;
  for (const Cell& cell : cells) {
    if (cell.provenance == Provenance::kNotMeasured) {
      sum.is_lower_bound = true;
      continue;
    }
    any = true;
    sum.provenance = std::max(sum.provenance, cell.provenance);
    sum.is_lower_bound = sum.is_lower_bound || cell.is_lower_bound;
    sum.value += cell.value;
    sum.error = std::hypot(sum.error, cell.error);
  }
  return any ? sum : Cell{};
}

Cell Scaled(Cell cell, double factor) {
  cell.value *= factor;
  cell.error *= factor;
  return cell;
}

// Builds the list of rows from the records.
class RowBuilder {
 public:
  explicit RowBuilder(const std::vector<Record>& records) : records_(records) {}

  std::vector<const Record*> Matching(const RecordFilter& filter) const {
    std::vector<const Record*> matching;
    for (const Record& record : records_) {
      if (filter(record)) matching.push_back(&record);
    }
    return matching;
  }

  // Selects the script's records of its latest generation.
  RecordFilter LatestGeneration(const std::string& script) const {
    double latest = 1;
    for (const Record& record : records_) {
      if (record.script == script) latest = std::max(latest, record.generation);
    }
    return [script, latest](const Record& record) {
      return record.script == script && record.generation == latest;
    };
  }

  // Whether any generation from `min_generation` on determines slopes for this way of replicating watermarks.
  bool HasSlopes(const std::string& marks, double min_generation, bool dedicated_managers) const {
    std::map<double, std::vector<const Record*>> matching;
    for (const Record& record : records_) {
      const bool matches = record.marks == marks && (record.size.lease_managers > 0) == dedicated_managers;
      if (matches && record.generation >= min_generation && IsOrdinary(record))
        matching[record.generation].push_back(&record);
    }
    return std::any_of(matching.begin(), matching.end(), [](const auto& one) {
      return Slopes({Term::kConstant, Term::kPoolers}, "membership_bytes_out_per_s", one.second)
          .fit()
          .has_value();
    });
  }

  // Adds a row computed from the slopes of a figure.
  Row& Fitted(Row row, const std::string& figure, const std::vector<Term>& terms,
              const RecordFilter& filter) {
    const Slopes slopes(terms, figure, Matching(filter));
    row.slopes = slopes;
    row.at = [slopes, scale = row.scale](const Target& target, Scenario scenario) {
      return Scaled(slopes.At(SizeAt(target, scenario)), scale);
    };
    return Add(std::move(row));
  }

  // The same with the load of events. A scenario without runs of its events is a lower bound.
  // `packets`: packets per second sent by one pooler, for terms that depend on them.
  using Packets = std::function<Cell(const Target&, Scenario)>;
  Row& FittedWithEvents(Row row, const std::string& figure, const std::vector<Term>& terms,
                        const RecordFilter& filter, const Packets& packets = {}) {
    const auto matching = Matching(filter);
    const Slopes slopes(terms, figure, Matching([&](const Record& r) { return filter(r) && IsOrdinary(r); }));
    row.slopes = slopes;
    row.events.emplace(slopes, figure, matching, kEventScripts);
    row.zone.emplace(slopes, figure, matching, kZoneScripts);
    row.regions.emplace(slopes, figure, matching, kRegionScripts);
    row.size = [packets](const Target& target, Scenario scenario) {
      FleetSize size = SizeAt(target, scenario);
      if (packets) size.packets_per_s = packets(target, scenario).value;
      return size;
    };
    row.at = [slopes, packets, events = *row.events, zone = *row.zone, regions = *row.regions,
              scale = row.scale](const Target& target, Scenario scenario) {
      const EventSurplus* added = scenario == Scenario::kWorstOrdinary        ? &events
                                  : scenario == Scenario::kZoneLost           ? &zone
                                  : scenario == Scenario::kRegionsPartitioned ? &regions
                                                                              : nullptr;
      FleetSize size = SizeAt(target, scenario);
      bool is_lower_bound = false;
      if (packets) {
        const Cell sent = packets(target, scenario);
        if (sent.provenance == Provenance::kNotMeasured) return Cell{};
        size.packets_per_s = sent.value;
        is_lower_bound = sent.is_lower_bound;
      }
      Cell plain = Scaled(slopes.At(size), scale);
      if (plain.provenance == Provenance::kNotMeasured) return plain;
      plain.is_lower_bound = plain.is_lower_bound || is_lower_bound;
      if (added == nullptr) return plain;
      Cell sum = Sum({plain, Scaled(added->At(target.poolers), scale)});
      sum.provenance = Provenance::kComputed;
      return sum;
    };
    return Add(std::move(row));
  }

  // The first list of terms whose slopes the ordinary records determine, or the last list.
  std::vector<Term> FirstFittingTerms(const std::vector<std::vector<Term>>& all, const std::string& figure,
                                      const RecordFilter& filter) const {
    const auto matching = Matching([&](const Record& r) { return filter(r) && IsOrdinary(r); });
    for (const std::vector<Term>& terms : all) {
      if (Slopes(terms, figure, matching).fit()) return terms;
    }
    return all.back();
  }

  // Whether any record of an ordinary run has the figure.
  bool HasFigure(const RecordFilter& filter, const std::string& figure) const {
    const auto has_figure = [&](const Record& r) {
      return filter(r) && IsOrdinary(r) && r.figures.contains(figure);
    };
    return !Matching(has_figure).empty();
  }

  Row& Arithmetic(Row row, std::function<Cell(const Target&, Scenario)> at) {
    row.at = std::move(at);
    return Add(std::move(row));
  }

  Row& NotMeasured(Row row) {
    row.at = [](const Target&, Scenario) { return Cell{}; };
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

Row MakeRow(Role role, const char* group, std::string name, const char* mechanism, const char* note = "") {
  Row row;
  row.role = role;
  row.group = group;
  row.name = std::move(name);
  row.mechanism = mechanism;
  row.note = note;
  return row;
}

// Interval between packets to the same peer if each pooler sends to all others.
double PacketIntervalMs(double poolers) { return (poolers - 1) / kMaxPacketsPerS * 1000; }

// Watermarks that a pooler could not send across a partition, limited by those that it retains.
double MissedWatermarks(const Target& target) {
  const FleetSize size = SizeAt(target, Scenario::kOrdinary);
  return std::min(TermValue(Term::kWrites, size) * target.region_cut_s, kRetainedWatermarks);
}

constexpr const char* kSharedSlopeNote =
    "writes and messages of sessions grew together in all runs: the slope holds for their share of each "
    "other";

// The statements of a session at one pooler, from the first one there until the session ends or roams, with
// writes and session reads in random order.
struct SessionVisit {
  double no_write = 0;            // probability that it has no write
  double reads_before_write = 0;  // expected number
};
double OwnReadsFraction(const FleetSize& size) {
  return size.own_reads_share / std::max(1e-12, size.own_reads_share + size.writes_share);
}
SessionVisit VisitFromFirstContact(const FleetSize& size) {
  const double reads = std::min(OwnReadsFraction(size), 1 - 1e-9);
  const double no_write = std::pow(reads, size.session_statements);
  return {no_write, reads * (1 - no_write) / (1 - reads)};
}
SessionVisit VisitFromRoaming(const FleetSize& size) {
  const double reads = std::min(OwnReadsFraction(size), 1 - 1e-9),
               continues = reads * (1 - size.roaming_share);
  return {reads * size.roaming_share / (1 - continues), reads / (1 - continues)};
}

// Lease messages if no lease acquire of a read is admitted: the first write of a visit acquires the lease.
double LeaseMessagesOfWrites(const FleetSize& size) {
  return kMessagesPerLeaseAcquire * TermValue(Term::kFirstContacts, size) *
             (1 - VisitFromFirstContact(size).no_write) +
         kMessagesPerLeaseTransfer * TermValue(Term::kRoamingStatements, size) *
             (1 - VisitFromRoaming(size).no_write);
}
// Share of session reads that then require the conservative position.
double UnadmittedReadsShare(const FleetSize& size) {
  const double all = size.statements_per_s * size.own_reads_share / size.poolers;
  if (all <= 0) return 0;
  return std::min(1.0,
                  (TermValue(Term::kFirstContacts, size) * VisitFromFirstContact(size).reads_before_write +
                   TermValue(Term::kRoamingStatements, size) * VisitFromRoaming(size).reads_before_write) /
                      all);
}

// A way of replicating watermarks that records were made with.
struct ReplicationMode {
  std::string marks;
  double generation = 1;
  bool dedicated_managers = false;  // leases are managed by the control machines
  bool has_later_records = false;   // of a later generation
  bool superseded = false;          // these determine slopes, so this mode is only for comparison
  bool Matches(const Record& record) const {
    return record.marks == marks && record.generation == generation &&
           (record.size.lease_managers > 0) == dedicated_managers;
  }
  std::string RowSuffix() const {
    return (marks == "none" ? " (without marks" : " (marks: " + marks) +
           (dedicated_managers ? ", owners set aside" : "") + (has_later_records ? ", former records" : "") +
           ")";
  }
};

// Kinds of message that records have figures of, other than the known ones.
std::set<std::string> OtherMessageKinds(const std::vector<const Record*>& records) {
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

// Adds the rows of modes with leases: bytes by cause, the minimum that remains if no read acquires a lease,
// and both with dedicated lease managers if no run had these. `per_message`: bytes of a lease message, sent
// and received.
void AddLeaseRows(RowBuilder& builder, const ReplicationMode& mode, const std::string& suffix, const Row& all,
                  double per_message) {
  constexpr Role role = Role::kPooler;
  const char* mechanism = "src/lease";
  const auto add_bytes_by_cause = [&](const char* name, Term term, double messages) {
    builder.Arithmetic(MakeRow(role, "messages", name + suffix + ", bytes a second", mechanism,
                               "a part of marks in and out, by the slope over messages of sessions"),
                       [=](const Target& target, Scenario scenario) {
                         if (per_message == 0) return Cell{};
                         return Computed(TermValue(term, SizeAt(target, scenario)) * messages * per_message);
                       });
  };
  add_bytes_by_cause("of it first meets", Term::kFirstContacts, kMessagesPerLeaseAcquire);
  add_bytes_by_cause("of it roaming statements", Term::kRoamingStatements, kMessagesPerLeaseTransfer);
  // With dedicated managers one end of each message is at a manager, and managers are members too.
  const auto control_bytes = [=](bool only_writes_acquire, bool dedicated_managers) {
    return [=, at = all.at](const Target& target, Scenario scenario) {
      const FleetSize size = SizeAt(target, scenario);
      const double messages = TermValue(Term::kLeaseMessages, size);
      Cell cell = at(target, scenario);
      if (cell.provenance == Provenance::kNotMeasured || per_message == 0) return Cell{};
      const double sent = only_writes_acquire ? LeaseMessagesOfWrites(size) : messages;
      if (dedicated_managers) {
        Target with_managers = target;
        with_managers.poolers += target.control_machines;
        with_managers.statements_per_s *=
            with_managers.poolers / target.poolers;  // keeps the load per pooler
        cell = at(with_managers, scenario);
      }
      cell.value -= per_message * (messages - (dedicated_managers ? sent / 2 : sent));
      cell.provenance = Provenance::kComputed;
      return cell;
    };
  };
  const auto add_control_row = [&](const std::string& name, const char* note, const auto& at) {
    Row row = all;
    row.name = name + ", bytes a second" + (name.starts_with("**") ? "**" : "");
    row.note = note;
    row.at = at;
    return builder.Arithmetic(row, row.at).at;
  };
  const auto add_conservative_reads = [&](const std::string& mode_suffix, const auto& demand,
                                          const auto& floor) {
    builder.Arithmetic(
        MakeRow(role, "messages",
                "own-reads on the conservative target for a budget of bytes to hold" + mode_suffix + ", %",
                mechanism,
                "as far as reads' asks have to be held back for it, evenly; where the row above is over the "
                "budget by itself, all of them, and it does not hold"),
        [=](const Target& target, Scenario scenario) {
          const Cell all_bytes = demand(target, scenario), min_bytes = floor(target, scenario);
          if (all_bytes.provenance == Provenance::kNotMeasured ||
              min_bytes.provenance == Provenance::kNotMeasured)
            return Cell{};
          const double excess = all_bytes.value - target.bytes_per_s,
                       max_reduction = all_bytes.value - min_bytes.value;
          const double limited_share = excess <= 0          ? 0
                                       : max_reduction <= 0 ? 1
                                                            : std::min(1.0, excess / max_reduction);
          return Cell{Provenance::kComputed,
                      100 * limited_share * UnadmittedReadsShare(SizeAt(target, scenario)), 0,
                      all_bytes.is_lower_bound};
        });
  };
  const char* floor_note =
      "what no budget takes off: what a read met and did not ask for is asked for by its next write there; "
      "writes and own-reads in any order";
  add_conservative_reads(
      suffix, all.at,
      add_control_row("control, no read's ask admitted" + suffix, floor_note, control_bytes(true, false)));
  if (!mode.dedicated_managers && !builder.HasSlopes(mode.marks, mode.generation, true)) {
    ReplicationMode other = mode;
    other.dedicated_managers = true;
    const std::string mode_suffix = other.RowSuffix();
    const auto demand = add_control_row(
        "**control, all kinds, both ways" + mode_suffix,
        "not played: half of the bytes of messages of sessions, as one end of each is at an owner; the "
        "machines are members as well",
        control_bytes(false, true));
    add_conservative_reads(mode_suffix, demand,
                           add_control_row("control, no read's ask admitted" + mode_suffix, floor_note,
                                           control_bytes(true, true)));
  }
  if (mode.dedicated_managers) return;
  Row held_leases =
      MakeRow(role, "state", "sessions held by one pooler" + suffix + ", entries", mechanism,
              "(first meets + roaming statements) x a lease of 30 s; a session that goes on stays longer");
  held_leases.budget = [](const Target&) { return kClientLeaseCapacity; };
  held_leases.issue = "none yet";
  builder.Arithmetic(held_leases, [](const Target& target, Scenario scenario) {
    const FleetSize size = SizeAt(target, scenario);
    const double acquires_per_s =
        TermValue(Term::kFirstContacts, size) + TermValue(Term::kRoamingStatements, size);
    return Cell{Provenance::kComputed, acquires_per_s * kLeaseDurationS, 0, true};
  });
  Row read_acquires =
      MakeRow(role, "messages", "asks of reads at first meets and moves" + suffix + ", a second", mechanism,
              "(first meets + roaming statements) x own-reads / session statements, beside `asks_per_s`; "
              "beyond it reads take the conservative target until a write has asked");
  read_acquires.budget = [](const Target&) { return kReadAcquiresPerS; };
  read_acquires.issue = "38";
  builder.Arithmetic(read_acquires, [](const Target& target, Scenario scenario) {
    const FleetSize size = SizeAt(target, scenario);
    const double acquires_per_s =
        TermValue(Term::kFirstContacts, size) + TermValue(Term::kRoamingStatements, size);
    return Computed(acquires_per_s * size.own_reads_share /
                    std::max(1e-12, size.own_reads_share + size.writes_share));
  });
}

// Adds a pooler's rows of control load in one mode of replication; `only`: records have no other mode.
void AddControlRows(RowBuilder& builder, const ReplicationMode& mode, bool only, const Row& discovery) {
  const std::string suffix = only ? "" : mode.RowSuffix();
  const bool without_marks = mode.marks == "none", to_each = mode.marks.empty() || mode.marks == "each";
  const RecordFilter filter = [mode](const Record& record) { return mode.Matches(record); };
  // In mode `each`, every write is sent to all other poolers, so each pooler receives the fleet's writes.
  // Packets go to the peers in turn, at most 2,000 per second: bytes and CPU time are linear in packets and
  // not in poolers.
  const std::vector<Term> by_writes = {Term::kConstant, Term::kPoolers, Term::kFleetWrites};
  const std::vector<Term> by_lease_messages = {Term::kConstant, Term::kPoolers, Term::kWrites,
                                               Term::kLeaseMessages};
  const std::vector<Term> by_packets = {Term::kConstant, Term::kPackets, Term::kFleetWrites};
  const std::vector<Term> peers = {Term::kConstant, Term::kPoolers};
  const std::size_t before = builder.rows.size();
  const std::vector<Term> timelines =
      to_each ? std::vector<Term>{Term::kConstant, Term::kTimelineReports} : by_lease_messages;
  RowBuilder::Packets packets;
  if (to_each) {
    // Runs below the limit determine how packets grow until they reach it.
    const Slopes below_limit(by_writes, "packets_out_per_s", builder.Matching([&](const Record& record) {
      return filter(record) && IsOrdinary(record) &&
             record.size.packets_per_s < kUnlimitedPacketsFraction * kMaxPacketsPerS;
    }));
    packets = [below_limit](const Target& target, Scenario scenario) {
      Cell cell = below_limit.At(SizeAt(target, scenario));
      if (cell.provenance == Provenance::kNotMeasured || cell.value < kMaxPacketsPerS) return cell;
      return Cell{Provenance::kComputed, kMaxPacketsPerS, 0, false};
    };
  }
  struct Kind {
    std::string figure, name, mechanism;
    std::vector<std::vector<Term>> terms;  // in order of preference
  };
  // With leases, messages depend on first contacts and on roaming statements. Runs that all have the same
  // shares of writes and of roaming statements determine one slope for both.
  const std::vector<std::vector<Term>> by_leases = {by_lease_messages,
                                                    {Term::kConstant, Term::kPoolers, Term::kLeaseMessages},
                                                    {Term::kConstant, Term::kLeaseMessages}};
  using Choices = std::vector<std::vector<Term>>;
  const auto terms_in_mode = [&](const std::vector<Term>& terms_to_each) {
    return without_marks ? Choices{peers} : to_each ? Choices{terms_to_each} : by_leases;
  };
  std::vector<Kind> kinds = {
      {"membership", "membership", "src/membership/swim", Choices{peers}},
      {"marks", "marks", "src/replication/watermark_replicator", terms_in_mode(by_packets)},
      {"reigns", "reigns of primaries", "src/replication/timeline_gossip", terms_in_mode(timelines)},
      {"ledger", "whole ledgers", "src/replication/snapshot_transfer", Choices{peers}}};
  for (const std::string& figure : OtherMessageKinds(builder.Matching(filter))) {
    kinds.push_back({figure, figure, "src/" + figure, terms_in_mode(by_packets)});
  }
  std::vector<Row> bytes = {discovery};
  std::vector<Row> membership, marks;
  for (const Kind& kind : kinds) {
    if (without_marks && kind.figure != "membership") continue;
    for (const char* direction : {"out", "in"}) {
      const std::string figure = kind.figure + "_bytes_" + direction + "_per_s";
      const std::vector<Term> selected = builder.FirstFittingTerms(kind.terms, figure, filter);
      const bool over_packets = std::count(selected.begin(), selected.end(), Term::kPackets) +
                                    std::count(selected.begin(), selected.end(), Term::kTimelineReports) >
                                0;
      Row& row = builder.FittedWithEvents(
          MakeRow(Role::kPooler, "messages", kind.name + " " + direction + suffix + ", bytes a second",
                  kind.mechanism.c_str()),
          figure, selected, filter, over_packets ? packets : RowBuilder::Packets());
      if (!to_each && !without_marks && selected != by_lease_messages &&
          row.slopes->SlopeOf(Term::kLeaseMessages)) {
        row.note = kSharedSlopeNote;
      }
      const auto per_mark = row.slopes->SlopeOf(Term::kFleetWrites);
      if (to_each && kind.figure == "marks" && per_mark && row.regions->records() == 0) {
        row.note = "regions cut: with what was missed, sent again after the cut";
        row.at = [before = row.at, per_mark = *per_mark](const Target& target, Scenario scenario) {
          Cell cell = before(target, scenario);
          if (cell.provenance == Provenance::kNotMeasured || scenario != Scenario::kRegionsPartitioned)
            return cell;
          const double across = target.poolers - target.poolers / target.regions;
          cell.value += per_mark * across * MissedWatermarks(target) / target.catch_up_s.assumed;
          return cell;
        };
      }
      bytes.push_back(row);
      if (kind.figure == "membership") membership.push_back(row);
      if (kind.figure == "marks") marks.push_back(row);
    }
  }
  const auto sum = [](const std::vector<Row>& summands) {
    return [summands](const Target& target, Scenario scenario) {
      std::vector<Cell> cells;
      for (const Row& row : summands) cells.push_back(row.at(target, scenario));
      return Sum(cells);
    };
  };
  const bool has_leases = !without_marks && !to_each;
  // The bytes of watermarks that depend on lease messages.
  const auto per_message = [marks] {
    double slope = 0;
    for (const Row& row : marks) slope += row.slopes->SlopeOf(Term::kLeaseMessages).value_or(0);
    return slope;
  }();
  Row membership_both_ways =
      MakeRow(Role::kPooler, "messages", "membership alone, both ways" + suffix + ", bytes a second",
              "src/membership/swim", "beside the budget of all kinds together");
  membership_both_ways.budget = [](const Target& target) { return target.bytes_per_s; };
  membership_both_ways.issue = "26";
  builder.Arithmetic(membership_both_ways, sum(membership));
  Row all =
      MakeRow(Role::kPooler, "messages", "**control, all kinds, both ways" + suffix + ", bytes a second**",
              "src/replication, src/discovery", "the rows of all kinds and discovery's list together");
  all.budget = [](const Target& target) { return target.bytes_per_s; };
  all.issue = "38";
  const Row all_control = builder.Arithmetic(all, sum(bytes));
  if (has_leases) AddLeaseRows(builder, mode, suffix, all_control, per_message);
  for (const char* direction : {"out", "in"}) {
    Row row = MakeRow(Role::kPooler, "messages", "packets " + std::string(direction) + suffix + ", a second",
                      "src/replication");
    if (to_each) {
      row.note = "by the slope, 2,000 at most";
      builder.Arithmetic(row, packets);
    } else {
      const std::string figure = std::string("packets_") + direction + "_per_s";
      builder.FittedWithEvents(row, figure,
                               builder.FirstFittingTerms(terms_in_mode(by_packets), figure, filter), filter);
    }
  }
  Row cpu = MakeRow(Role::kPooler, "processor", "control" + suffix + ", % of a core",
                    "src/replication, src/membership, src/consistency, src/discovery");
  cpu.scale = 100;
  cpu.budget = [](const Target& target) { return target.cpu_percent; };
  cpu.issue = "38";
  // Each tick examines all peers, whether it sends or not, and each statement consults the consistency guard.
  // Few records cannot separate this work from that of packets and writes.
  const std::vector<std::vector<Term>> by_all = {
      {Term::kConstant, Term::kPackets, Term::kFleetWrites, Term::kPoolers, Term::kStatements},
      {Term::kConstant, Term::kPackets, Term::kFleetWrites, Term::kPoolers},
      by_packets};
  const std::vector<Term> work =
      builder.FirstFittingTerms(to_each ? by_all : terms_in_mode(by_packets), "cpu_share", filter);
  builder.FittedWithEvents(cpu, "cpu_share", work, filter, packets);
  if (!to_each && builder.HasFigure(filter, "exchange_cpu_share")) {
    Row exchange = cpu;
    exchange.name = "of it the exchange, by its own account" + suffix + ", % of a core";
    exchange.note = "with a load the row above holds what serving costs as well";
    builder.FittedWithEvents(
        exchange, "exchange_cpu_share",
        builder.FirstFittingTerms(terms_in_mode(by_packets), "exchange_cpu_share", filter), filter, packets);
  }
  Row real_poolers = MakeRow(Role::kPooler, "memory", "a whole process without clients" + suffix + ", MB",
                             "src/replication, src/consistency, src/discovery, src/routing/balancer.cpp");
  real_poolers.budget = [](const Target& target) { return target.memory_mb; };
  real_poolers.issue = "none yet";
  const std::vector<Term> memory = {Term::kConstant, Term::kPoolers, Term::kDatabases};
  builder.FittedWithEvents(real_poolers, "real_memory_mb", memory, filter);
  Row added = real_poolers;
  added.name = "control, as one instance more adds to a process" + suffix + ", MB";
  builder.FittedWithEvents(added, "memory_mb", memory, filter);
  builder.Fitted(MakeRow(Role::kPooler, "descriptors", "control" + suffix + ", without clients and databases",
                         "src/replication, src/discovery"),
                 "descriptors", peers, [filter](const Record& r) { return filter(r) && IsOrdinary(r); });
  if (!without_marks) {
    builder.Fitted(
        MakeRow(Role::kPooler, "descriptors", "a whole process without clients" + suffix, "src/net"),
        "real_descriptors", peers, [filter](const Record& r) { return filter(r) && IsOrdinary(r); });
  }
  for (std::size_t i = before; (without_marks || mode.superseded) && i < builder.rows.size(); ++i) {
    builder.rows[i].comparison_only = true;
    builder.rows[i].superseded = mode.superseded;
  }
}

// The distinct modes of ordinary runs, in the order of the first record of their marks, then with the latest
// generation first.
std::vector<ReplicationMode> ReplicationModes(const RowBuilder& builder, const std::vector<Record>& records) {
  std::vector<std::string> marks;
  std::vector<ReplicationMode> modes;
  for (const Record& record : records) {
    if (!IsOrdinary(record)) continue;
    if (std::find(marks.begin(), marks.end(), record.marks) == marks.end()) marks.push_back(record.marks);
    if (std::none_of(modes.begin(), modes.end(),
                     [&](const ReplicationMode& mode) { return mode.Matches(record); })) {
      modes.push_back({record.marks, record.generation, record.size.lease_managers > 0});
    }
  }
  if (modes.empty()) return {ReplicationMode{}};
  const auto at = [&](const ReplicationMode& mode) {
    return std::find(marks.begin(), marks.end(), mode.marks);
  };
  std::stable_sort(modes.begin(), modes.end(), [&](const ReplicationMode& a, const ReplicationMode& b) {
    return std::tuple(at(a), -a.generation, a.dedicated_managers) <
           std::tuple(at(b), -b.generation, b.dedicated_managers);
  });
  // A mode is superseded only once the records of a later generation determine slopes.
  for (ReplicationMode& mode : modes) {
    for (const ReplicationMode& other : modes)
      mode.has_later_records |= other.marks == mode.marks && other.generation > mode.generation;
    mode.superseded = builder.HasSlopes(mode.marks, mode.generation + 1, mode.dedicated_managers);
  }
  return modes;
}

void AddPoolerRows(RowBuilder& builder, const std::vector<Record>& records) {
  constexpr Role role = Role::kPooler;
  const auto size_of = [](Term term, double less = 0) {
    return [term, less](const Target& target, Scenario scenario) {
      return Computed(TermValue(term, SizeAt(target, scenario)) - less);
    };
  };
  builder.Arithmetic(
      MakeRow(role, "state", "other poolers known, entries", "src/membership/swim", "poolers - 1"),
      [](const Target& target, Scenario) { return Computed(target.poolers - 1); });
  builder.Arithmetic(MakeRow(role, "state", "databases known, entries",
                             "src/discovery, src/routing/balancer.cpp", "databases"),
                     [](const Target& target, Scenario) { return Computed(target.databases); });
  Row sessions =
      MakeRow(role, "state", "sessions that wrote within `recall`, entries at most",
              "src/consistency/session_watermark_table",
              "the fleet's writes a second x 30 s; beside it what the ledger holds unless set: what is "
              "forgotten costs a read waiting");
  sessions.budget = [](const Target&) { return kSessionCapacity; };
  sessions.issue = "none: a setting";
  builder.Arithmetic(sessions, [](const Target& target, Scenario scenario) {
    return Computed(TermValue(Term::kFleetWrites, SizeAt(target, scenario)) * kWriteRetentionS);
  });
  const RecordFilter watermark_table = builder.LatestGeneration("ledger");
  const Row& session = builder.Fitted(
      MakeRow(role, "state", "a session in the ledger, bytes", "src/consistency/session_watermark_table"),
      "ledger_bytes_per_session", {Term::kConstant}, watermark_table);
  builder.Arithmetic(MakeRow(role, "memory", "the ledger with all these sessions, MB",
                             "src/consistency/session_watermark_table",
                             "those sessions x the bytes of one; beside what the row of control holds"),
                     [at = session.at](const Target& target, Scenario scenario) {
                       Cell cell = at(target, scenario);
                       if (cell.provenance == Provenance::kNotMeasured) return cell;
                       cell.provenance = Provenance::kComputed;
                       return Scaled(cell, TermValue(Term::kFleetWrites, SizeAt(target, scenario)) *
                                               kWriteRetentionS * 1e-6);
                     });
  builder.Arithmetic(
      MakeRow(role, "state", "own marks kept for others, entries", "src/replication/watermark_log",
              "writes of one pooler x the length of a cut, 65,536 at most"),
      [](const Target& target, Scenario) { return Computed(MissedWatermarks(target)); });

  const Row discovery = builder.FittedWithEvents(
      MakeRow(role, "messages", "discovery's list in, bytes a second", "src/discovery"),
      "discovery_bytes_in_per_s", {Term::kConstant, Term::kDatabases, Term::kListChanges},
      [](const Record&) { return true; });
  const std::vector<ReplicationMode> modes = ReplicationModes(builder, records);
  for (const ReplicationMode& mode : modes) AddControlRows(builder, mode, modes.size() == 1, discovery);
  builder.Fitted(MakeRow(role, "messages", "probes of databases out, a second",
                         "src/routing/balancer.cpp, src/upstream"),
                 "probes_per_s", {Term::kConstant, Term::kDatabases, Term::kStatements}, IsLoaded);
  const auto probes = builder.rows.back().at;
  const auto probe_bytes = [&](const char* direction, double payload, double packets) {
    builder.Arithmetic(
        MakeRow(
            role, "messages", std::string("probes of databases ") + direction + ", bytes a second",
            "src/routing/balancer.cpp, src/upstream",
            "19 bytes out and 83 in, on a connection that is open, and heads of 52 for each segment: query "
            "and acknowledgement out, answer in; traffic with databases, which the target's budget for "
            "control does not name: not counted in any row of control"),
        [=](const Target& target, Scenario scenario) {
          Cell cell = Scaled(probes(target, scenario), payload + packets * kTcpHeaderBytes);
          if (cell.provenance == Provenance::kMeasured) cell.provenance = Provenance::kComputed;
          return cell;
        });
  };
  probe_bytes("out", kProbeQueryBytes, 2);
  probe_bytes("in", kProbeAnswerBytes, 1);
  Row packet_intervals =
      MakeRow(role, "messages", "two pauses between packets to one pooler, ms",
              "src/replication/watermark_replicator",
              "from each to each, 2,000 packets a second at most; a word older than 240 ms is not waited "
              "for, and reads take a cautious target");
  packet_intervals.budget = [](const Target&) { return kMaxReadDelayMs * kMaxPeerSilenceInReadDelays; };
  packet_intervals.issue = "38";
  builder.Arithmetic(packet_intervals, [](const Target& target, Scenario scenario) {
    const double poolers = SizeAt(target, scenario).poolers;
    return Computed(2 * std::max(kIdleFlushIntervalMs, PacketIntervalMs(poolers)));
  });
  Row timeline_round = MakeRow(
      role, "messages", "round in which all reigns of primaries are told to one pooler again, s",
      "src/replication/timeline_gossip",
      "from each to each, databases / members of a group, 8 a packet; a reign that changed goes first, with "
      "the "
      "next packet, and one whose packet was lost is told again within a round: beside the time in which a "
      "change of primary is to be over");
  timeline_round.budget = [](const Target& target) { return target.primary_change_within_s; };
  timeline_round.issue = "38";
  builder.Arithmetic(timeline_round, [](const Target& target, Scenario scenario) {
    const FleetSize size = SizeAt(target, scenario);
    const double packets = std::ceil(size.groups / kTimelinesPerPacket);
    return Computed(std::max(kTimelineRoundIntervalMs,
                             packets * std::max(kIdleFlushIntervalMs, PacketIntervalMs(size.poolers))) /
                    1000);
  });
  Row read_wait = MakeRow(role, "messages", "wait of a read that asks poolers of the other region, ms",
                          "src/consistency/session_consistency_guard",
                          "one round trip, beside `hold_ms`; longer ones are not waited for");
  read_wait.budget = [](const Target&) { return kMaxReadDelayMs; };
  read_wait.issue = "38";
  builder.Arithmetic(read_wait, [](const Target& target, Scenario) {
    return Computed(target.region_round_trip_ms.assumed);
  });
  Row ping = MakeRow(role, "messages", "answer to a ping across regions, ms", "src/membership/swim",
                     "one round trip, beside the period `probe_ms`: slower ones leave the fleet in doubt");
  ping.budget = [](const Target&) { return kProbeIntervalMs; };
  ping.issue = "26";
  builder.Arithmetic(
      ping, [](const Target& target, Scenario) { return Computed(target.region_round_trip_ms.assumed); });
  builder.Arithmetic(
      MakeRow(role, "messages", "clients that connect anew, a second", "src/frontend",
              "as many as a pooler has, for each that is restarted or fails, all taken for poolers: a day's "
              "spread "
              "evenly (and so on a cut, which loses no pooler), or those that go at once; a zone gone: its "
              "clients; over the time in which they come again and the poolers left; clients' own coming and "
              "going is not told"),
      [](const Target& target, Scenario scenario) {
        const FleetSize size = SizeAt(target, scenario);
        const double clients_per_pooler = target.clients / target.poolers,
                     again = target.clients_again_s.assumed;
        const double a_day = target.restarts_per_day + target.machine_failures_per_day;
        const double at_once = target.restarts_at_once.assumed + 1;
        if (scenario == Scenario::kZoneLost)
          return Computed(target.clients / target.zones / again / size.poolers);
        if (scenario == Scenario::kWorstOrdinary) {
          return Computed(at_once * clients_per_pooler / again / std::max(1.0, target.poolers - at_once));
        }
        return Computed(a_day / kSecondsPerDay * clients_per_pooler / target.poolers);
      });
  builder.Arithmetic(
      MakeRow(role, "messages", "statements and answers, bytes a second", "src/frontend, src/upstream",
              "own statements x bytes of both; read and written once on each side; not control"),
      [](const Target& target, Scenario scenario) {
        return Computed(TermValue(Term::kStatements, SizeAt(target, scenario)) *
                        target.statement_bytes.assumed);
      });
  const RecordFilter decision = builder.LatestGeneration("decision");
  const Row& time = builder.Fitted(
      MakeRow(role, "processor", "a decision, microseconds a statement", "src/routing/balancer.cpp"),
      "module_cpu_us_per_statement", {Term::kConstant, Term::kDatabases}, decision);
  builder.Arithmetic(MakeRow(role, "processor", "decisions, % of a core", "src/routing/balancer.cpp",
                             "own statements x the time of a decision; not control"),
                     [at = time.at](const Target& target, Scenario scenario) {
                       Cell cell = at(target, scenario);
                       if (cell.provenance == Provenance::kNotMeasured) return cell;
                       cell.provenance = Provenance::kComputed;
                       return Scaled(cell,
                                     TermValue(Term::kStatements, SizeAt(target, scenario)) * 1e-6 * 100);
                     });
  const RecordFilter idle = builder.LatestGeneration("idle_clients");
  builder.Fitted(MakeRow(role, "memory", "a pooler with idle clients, MB", "src/frontend, src/net",
                         "one pooler, peers off; not control"),
                 "memory_mb", {Term::kConstant, Term::kClients}, idle);
  Row idle_clients = MakeRow(
      role, "descriptors", "needed so that clients idle for up to 15 s stay", "src/frontend",
      "8 x clients of one pooler and 40 for the program; where clients hold more than an eighth, "
      "they are closed after 2.2 s, over a quarter after 0.5 s; a client asks every 2.1 s on average");
  idle_clients.budget = [](const Target& target) { return target.descriptors.assumed; };
  idle_clients.issue = "9";
  builder.Arithmetic(idle_clients, [](const Target& target, Scenario scenario) {
    return Computed(kDescriptorsPerIdleClient * TermValue(Term::kClients, SizeAt(target, scenario)) +
                    kReservedDescriptors);
  });
  builder.Arithmetic(MakeRow(role, "descriptors", "clients", "src/frontend", "clients / poolers"),
                     size_of(Term::kClients));
  builder.Arithmetic(MakeRow(role, "descriptors", "databases with a connection open", "src/upstream",
                             "databases x the chance that one is asked within 10 s, asked alike"),
                     [](const Target& target, Scenario scenario) {
                       const FleetSize size = SizeAt(target, scenario);
                       const double database_rate = TermValue(Term::kStatements, size) / size.databases;
                       return Computed(size.databases * (1 - std::exp(-database_rate * kPooledIdleTimeoutS)));
                     });
  builder.Fitted(MakeRow(role, "descriptors", "all that the process holds, idle clients alone", "src/net"),
                 "descriptors", {Term::kConstant, Term::kClients}, idle);
}

void AddControlMachineRows(RowBuilder& builder, const std::vector<Record>& records) {
  constexpr Role role = Role::kControlMachines;
  double latest = 1;
  for (const Record& record : records) {
    if (record.size.lease_managers > 0) latest = std::max(latest, record.generation);
  }
  const RecordFilter latest_with_managers = [latest](const Record& record) {
    return record.size.lease_managers > 0 && record.generation == latest;
  };
  const std::vector<Term> by_manager_messages = {Term::kConstant, Term::kPoolers, Term::kManagerMessages};
  Row entries = MakeRow(
      role, "state", "sessions owned by one machine, entries", "src/lease",
      "first meets of all poolers x 63 s (a lease of 30 s, a tenth longer at the owner, and `recall`) / "
      "machines in reach; a session that goes on stays longer; needs owners set aside");
  entries.budget = [](const Target&) { return kLeaseManagerSessions; };
  entries.issue = "none yet";
  builder.Arithmetic(entries, [](const Target& target, Scenario scenario) {
    const FleetSize size = SizeAt(target, scenario);
    const double first_contacts_per_s = TermValue(Term::kFirstContacts, size) * size.poolers;
    return Cell{Provenance::kComputed, first_contacts_per_s * kLeaseManagerRetentionS / size.lease_managers,
                0, true};
  });
  builder.Arithmetic(MakeRow(role, "messages", "messages of sessions at one machine, in and out, a second",
                             "src/lease", "2 a first meet, 4 a roaming statement; needs owners set aside"),
                     [](const Target& target, Scenario scenario) {
                       return Computed(TermValue(Term::kManagerMessages, SizeAt(target, scenario)));
                     });
  builder.FittedWithEvents(
      MakeRow(role, "messages", "owners of sessions, both ways, bytes a second, one machine", "src/lease"),
      "owner_bytes_per_s", by_manager_messages, latest_with_managers);
  Row cpu = MakeRow(role, "processor", "owners of sessions, % of a core, one machine", "src/lease");
  cpu.scale = 100;
  builder.FittedWithEvents(cpu, "owner_cpu_share", by_manager_messages, latest_with_managers);
  builder.FittedWithEvents(MakeRow(role, "memory", "owners of sessions, MB, one machine", "src/lease"),
                           "owner_memory_mb", by_manager_messages, latest_with_managers);
  const auto machines = ReachableMachines;
  builder.Arithmetic(
      MakeRow(role, "state", "poolers followed by one machine, entries", "none",
              "poolers / machines in reach: one fewer without a zone, the smaller half on a cut"),
      [machines](const Target& target, Scenario scenario) {
        return Computed(SizeAt(target, scenario).poolers / machines(target, scenario));
      });
  builder.NotMeasured(MakeRow(role, "state", "an entry, bytes", "none"));
  builder.Arithmetic(MakeRow(role, "messages", "configuration out, messages a second, all machines", "none",
                             "changes x poolers; worst second: one change to all at once"),
                     [](const Target& target, Scenario scenario) {
                       const double changes = scenario == Scenario::kWorstOrdinary
                                                  ? 1
                                                  : target.configuration_changes_per_day / kSecondsPerDay;
                       return Computed(changes * SizeAt(target, scenario).poolers);
                     });
  builder.Arithmetic(
      MakeRow(role, "messages", "configuration out, bytes a second, all machines", "none",
              "messages x bytes of a change"),
      [](const Target& target, Scenario scenario) {
        const double changes =
            scenario == Scenario::kWorstOrdinary ? 1 : target.configuration_changes_per_day / kSecondsPerDay;
        return Computed(changes * SizeAt(target, scenario).poolers * target.configuration_bytes.assumed);
      });
  builder.NotMeasured(MakeRow(role, "messages", "acknowledgements in, a second", "none"));
  builder.NotMeasured(MakeRow(role, "processor", "all other control, % of a core", "none"));
  builder.NotMeasured(MakeRow(role, "memory", "all other control, MB", "none"));
  builder.Arithmetic(MakeRow(role, "descriptors", "connections of poolers to one machine", "none",
                             "one a pooler, should they be connections"),
                     [machines](const Target& target, Scenario scenario) {
                       return Computed(SizeAt(target, scenario).poolers / machines(target, scenario));
                     });
}

void AddDiscoveryRows(RowBuilder& builder) {
  constexpr Role role = Role::kDiscovery;
  const Row* list = nullptr;
  for (const Row& row : builder.rows) {
    if (row.name.starts_with("discovery's list in")) list = &row;
  }
  const auto list_at = list->at;
  builder.Arithmetic(MakeRow(role, "state", "databases listed, entries", "src/discovery (the pooler's side)"),
                     [](const Target& target, Scenario) { return Computed(target.databases); });
  builder.NotMeasured(MakeRow(role, "state", "an entry, bytes", "none"));
  builder.Arithmetic(MakeRow(role, "messages", "changes of the list out, lines a second, to all poolers",
                             "src/discovery (the pooler's side)", "changes x poolers"),
                     [](const Target& target, Scenario scenario) {
                       const FleetSize size = SizeAt(target, scenario);
                       return Computed(size.changes_per_s * size.poolers);
                     });
  builder.Arithmetic(MakeRow(role, "messages", "the list out, bytes a second, to all poolers",
                             "src/discovery (the pooler's side)", "poolers x what one receives"),
                     [list_at](const Target& target, Scenario scenario) {
                       Cell cell = Scaled(list_at(target, scenario), SizeAt(target, scenario).poolers);
                       if (cell.provenance == Provenance::kMeasured) cell.provenance = Provenance::kComputed;
                       return cell;
                     });
  builder.Arithmetic(
      MakeRow(
          role, "messages", "calls a second, `ask`, while watches stay open", "src/discovery",
          "a watch stays open, so one for each pooler that is restarted or fails, all taken for poolers: a "
          "day's spread evenly, or those that go at once; what an end of a watch by discovery itself adds "
          "is not told"),
      [](const Target& target, Scenario scenario) {
        if (scenario == Scenario::kWorstOrdinary) return Computed(target.restarts_at_once.assumed + 1);
        return Computed((target.restarts_per_day + target.machine_failures_per_day) / kSecondsPerDay);
      });
  builder.Arithmetic(
      MakeRow(role, "messages", "empty lines out, bytes a second, to all poolers", "src/discovery",
              "one of 6 bytes, chunked, every 2 s to each, so that a watch is known to live; a part "
              "of the list out"),
      [](const Target& target, Scenario scenario) {
        return Computed(SizeAt(target, scenario).poolers * kWatchHeartbeatBytes / kWatchHeartbeatIntervalS);
      });
  builder.Arithmetic(
      MakeRow(role, "messages", "calls a second, `ask`, first round after all fell silent",
              "src/fleet/discovery_retry_policy",
              "poolers / the window in which each draws its first wait; with `push` none"),
      [](const Target& target, Scenario scenario) {
        const double poolers = SizeAt(target, scenario).poolers;
        fleet::DiscoveryRetryPolicy waits(true, static_cast<std::uint32_t>(poolers),
                                          Duration(static_cast<std::int64_t>(kDrainGraceS * 1e6)));
        // A draw just below 1 gives the end of the window.
        const double window = static_cast<double>(waits.NextWait(0.999999, Duration{}).count()) / 1e6;
        return Computed(poolers / window);
      });
  builder.NotMeasured(MakeRow(role, "processor", "% of a core", "none"));
  builder.NotMeasured(MakeRow(role, "memory", "MB", "none"));
  builder.Arithmetic(
      MakeRow(role, "descriptors", "watches open, `ask`", "src/discovery (the pooler's side)",
              "one a pooler; with `push` one at each machine's agent"),
      [](const Target& target, Scenario scenario) { return Computed(SizeAt(target, scenario).poolers); });
}

void AddDatabaseRows(RowBuilder& builder) {
  constexpr Role role = Role::kDatabase;
  const Row* probes = nullptr;
  for (const Row& row : builder.rows) {
    if (row.name.starts_with("probes of databases out")) probes = &row;
  }
  const auto probes_at = probes->at;
  builder.Arithmetic(MakeRow(role, "messages", "statements in, a second", "src/routing/balancer.cpp",
                             "statements / databases"),
                     [](const Target& target, Scenario scenario) {
                       const FleetSize size = SizeAt(target, scenario);
                       return Computed(size.statements_per_s / size.databases);
                     });
  builder.Arithmetic(
      MakeRow(role, "messages", "statements of one pooler, a second", "src/routing/balancer.cpp",
              "statements / (poolers x databases): every pair is in use"),
      [](const Target& target, Scenario scenario) {
        const FleetSize size = SizeAt(target, scenario);
        return Computed(TermValue(Term::kStatements, size) / size.databases);
      });
  builder.Arithmetic(MakeRow(role, "messages", "probes in, a second",
                             "src/routing/balancer.cpp, src/upstream", "poolers x probes of one / databases"),
                     [probes_at](const Target& target, Scenario scenario) {
                       const FleetSize size = SizeAt(target, scenario);
                       Cell cell = Scaled(probes_at(target, scenario), size.poolers / size.databases);
                       if (cell.provenance == Provenance::kMeasured) cell.provenance = Provenance::kComputed;
                       return cell;
                     });
  Row connections =
      MakeRow(role, "descriptors", "connections of poolers to one database", "none",
              "poolers x the chance that each asks within 10 s; no pooler keeps to a part of them");
  connections.budget = [](const Target& target) { return target.database_connections.assumed; };
  connections.issue = "30";
  builder.Arithmetic(connections, [](const Target& target, Scenario scenario) {
    const FleetSize size = SizeAt(target, scenario);
    const double database_rate = TermValue(Term::kStatements, size) / size.databases;
    return Computed(size.poolers * (1 - std::exp(-database_rate * kPooledIdleTimeoutS)));
  });
  builder.Fitted(
      MakeRow(role, "descriptors", "connections asked for by one pooler, a second", "src/upstream"),
      "database_connections_asked_per_s", {Term::kConstant, Term::kDatabases, Term::kStatements}, IsLoaded);
}

void AddCommandRows(RowBuilder& builder) {
  constexpr Role role = Role::kCommand;
  const RecordFilter peers_command_records = builder.LatestGeneration("peers_command");
  Row answer = MakeRow(role, "messages", "answer of `lynxgrade peers`, bytes", "src/admin");
  answer.budget = [](const Target&) { return kMaxAdminResponseBytes; };
  answer.issue = "none yet";
  builder.Fitted(answer, "peers_answer_bytes", {Term::kConstant, Term::kPoolers}, peers_command_records);
  builder.Arithmetic(MakeRow(role, "messages", "poolers to be asked for the whole fleet's word", "none",
                             "each answers for itself, on its own machine alone"),
                     [](const Target& target, Scenario) { return Computed(target.poolers); });
  builder.Arithmetic(MakeRow(role, "descriptors", "questions that one pooler answers at once", "src/admin"),
                     [](const Target&, Scenario) { return Computed(4); });
  builder.Fitted(MakeRow(role, "processor", "the pooler's for one answer, ms", "src/admin"),
                 "peers_answer_cpu_ms", {Term::kConstant, Term::kPoolers}, peers_command_records);
}

}  // namespace

Model::Model(std::vector<Record> records) : records_(std::move(records)) {
  RowBuilder builder(records_);
  AddPoolerRows(builder, records_);
  AddControlMachineRows(builder, records_);
  AddDiscoveryRows(builder);
  AddDatabaseRows(builder);
  AddCommandRows(builder);
  rows_ = std::move(builder.rows);
}

std::optional<double> FirstSizeOverBudget(const Row& row, const Target& target, Scenario scenario) {
  if (!row.budget || row.at(target, scenario).provenance == Provenance::kNotMeasured) return std::nullopt;
  // Rows need not be monotonic, so each size is evaluated.
  for (double poolers = 2; poolers <= target.poolers * kMaxGrowth; ++poolers) {
    const Target grown = ScaledTo(target, poolers);
    if (row.at(grown, scenario).value > row.budget(grown)) return poolers;
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
    for (const Scenario scenario : kScenarios) {
      const Cell cell = row.at(changed, scenario);
      if (cell.provenance == Provenance::kNotMeasured) continue;
      if (cells[i].provenance == Provenance::kNotMeasured || cell.value > cells[i].value) cells[i] = cell;
    }
  }
  return cells;
}

}  // namespace lynxgrade::capacity
