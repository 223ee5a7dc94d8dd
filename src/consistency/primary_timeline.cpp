#include "consistency/primary_timeline.h"

#include <algorithm>
#include <iterator>

namespace lynxgrade::consistency {

std::optional<ServerId> PrimaryTimeline::primary() const {
  if (terms_.empty()) return std::nullopt;
  return terms_.back().primary;
}

LogPosition PrimaryTimeline::replicated_through() const {
  return terms_.empty() ? LogPosition{} : terms_.back().replicated_through;
}

// ---- Observations -------------------------------------------------------------------------------------

bool PrimaryTimeline::HandlePrimaryPosition(ServerId server, LogPosition position, TimePoint received) {
  if (!AddObservation(server, position, position)) return false;
  ProveReplication(position, received);
  return true;
}

bool PrimaryTimeline::HandleReplicaPosition(ServerId server, LogPosition position, TimePoint requested,
                                            TimePoint received) {
  if (terms_.empty()) return false;
  PrimaryTerm& present = terms_.back();
  const bool proven = FollowsKnownPrimary(position, received);
  if (server == present.primary) {
    if (position < present.confirmed) return proven;  // may be older than its last report as primary
    stepped_down_ = true;
  }
  if (proven) {
    // The replica has replayed what the primary logged at that position, so the primary was in office.
    if (!stepped_down_ && position > present.since) present.confirmed = std::max(present.confirmed, position);
    ReplicaReport& newest = replicas_.try_emplace(server).first->second;
    if (requested >= newest.requested) newest = {position, requested};
    return true;
  }
  const auto known = replicas_.find(server);
  if (known == replicas_.end()) return false;
  const bool discarded = position < known->second.position && requested > known->second.requested;
  if (discarded) replicas_.erase(known);
  if (discarded || position != known->second.position) return false;
  known->second.requested = std::max(known->second.requested, requested);
  return true;
}

bool PrimaryTimeline::FollowsKnownPrimary(LogPosition position, TimePoint received) const {
  if (std::max(received, position) > confirmed() + min_failover_time_) return false;
  std::size_t first = terms_.size() - 1;
  while (first > 0 && terms_[first].since - terms_[first - 1].confirmed < min_failover_time_ * 2) --first;
  return position > terms_[first].since - min_failover_time_;
}

bool PrimaryTimeline::IsUnheardAt(LogPosition position) const {
  return !terms_.empty() && position - confirmed() >= min_failover_time_;
}

bool PrimaryTimeline::IsReplacedAt(ServerId server, LogPosition position) const {
  return !terms_.empty() && server != terms_.back().primary && position >= terms_.back().since;
}

void PrimaryTimeline::ProveReplication(LogPosition position, TimePoint received) {
  if (terms_.size() < 2) return;
  PrimaryTerm& present = terms_.back();
  if (present.since != position) return;
  const auto report = replicas_.find(present.primary);
  if (report == replicas_.end()) return;
  const TimePoint requested = report->second.requested;
  if (requested > position) return;  // it may have been a replica again after this term
  const TimePoint reported = requested - kMaxReportAge;
  if (std::max(received, position) - reported >= min_failover_time_) return;
  present.replicated_through =
      std::max(present.replicated_through, std::min(report->second.position, position));
}

// ---- Terms --------------------------------------------------------------------------------------------

bool PrimaryTimeline::AddObservation(ServerId server, LogPosition since, LogPosition confirmed) {
  if (confirmed < forgotten_before_) return false;
  if (IsWithinOtherTerm(server, since, confirmed)) {
    return AddContradictingObservation(server, since, confirmed);
  }
  return Insert({server, since, confirmed, {}});
}

bool PrimaryTimeline::IsWithinOtherTerm(ServerId server, LogPosition since, LogPosition confirmed) const {
  return std::ranges::any_of(terms_, [&](const PrimaryTerm& term) {
    return term.primary != server && since <= term.confirmed && confirmed >= term.since;
  });
}

// A primary that was replaced may not have noticed yet. Within a term of its successor it was not in office.
bool PrimaryTimeline::AddContradictingObservation(ServerId server, LogPosition since, LogPosition confirmed) {
  bool added = false;
  for (const LogPosition position : {since, confirmed}) {
    if (position < forgotten_before_ || IsWithinOtherTerm(server, position, position)) continue;
    added = Insert({server, position, position, {}}) || added;
  }
  return added;
}

bool PrimaryTimeline::Insert(const PrimaryTerm& term) {
  const auto next = std::ranges::upper_bound(terms_, term.since, {}, &PrimaryTerm::since);
  const auto index = static_cast<std::size_t>(next - terms_.begin());
  const bool newest = next == terms_.end();
  const bool after_step_down = stepped_down_ && newest && term.since > confirmed();
  if (newest && term.confirmed > confirmed()) stepped_down_ = false;
  terms_.insert(next, term);
  const bool continued = JoinWithSuccessors(index);
  const bool continues = index > 0 && !after_step_down && IsOneTerm(terms_[index - 1], terms_[index]);
  if (continues) {
    Extend(terms_[index - 1], terms_[index]);
    EraseTerm(index);
  }
  if (terms_.size() > kMaxTerms) EraseOldestTerm();
  return !continues && !continued;
}

// Joins the term with those after it that are the same term. Returns whether there were any.
bool PrimaryTimeline::JoinWithSuccessors(std::size_t index) {
  PrimaryTerm& term = terms_[index];
  bool joined = false;
  while (index + 1 < terms_.size() && IsOneTerm(term, terms_[index + 1])) {
    const PrimaryTerm& next = terms_[index + 1];
    if (!joined) term.replicated_through = std::min(next.replicated_through, term.since);
    Extend(term, next);
    EraseTerm(index + 1);
    joined = true;
  }
  return joined;
}

// Whether two consecutive terms are one, as there was no time for another in between.
bool PrimaryTimeline::IsOneTerm(const PrimaryTerm& term, const PrimaryTerm& next) const {
  return term.primary == next.primary && next.since - term.confirmed < min_failover_time_ * 2;
}

void PrimaryTimeline::Extend(PrimaryTerm& term, const PrimaryTerm& continuation) {
  term.confirmed = std::max(term.confirmed, continuation.confirmed);
}

void PrimaryTimeline::EraseTerm(std::size_t index) {
  terms_.erase(terms_.begin() + static_cast<std::ptrdiff_t>(index));
}

void PrimaryTimeline::EraseOldestTerm() {
  EraseTerm(0);
  terms_.front().replicated_through = LogPosition{};  // the logs to which it refers are no longer known
}

std::size_t PrimaryTimeline::ForgetTermsBefore(LogPosition position) {
  forgotten_before_ = std::max(forgotten_before_, position);
  std::size_t forgotten = 0;
  while (forgotten + 1 < terms_.size() && terms_[forgotten + 1].since < position) ++forgotten;
  for (std::size_t i = 0; i < forgotten; ++i) EraseOldestTerm();
  return forgotten;
}

// ---- Possible losses ----------------------------------------------------------------------------------

// The earliest term of the server to which a write at `position` can belong.
std::optional<std::size_t> PrimaryTimeline::FindTerm(ServerId server, LogPosition position) const {
  const Duration joined_below = min_failover_time_ * 2;
  for (std::size_t i = 0; i < terms_.size(); ++i) {
    const PrimaryTerm& term = terms_[i];
    if (term.primary != server) continue;
    const bool after_former = i == 0 || position > terms_[i - 1].confirmed;
    const bool before_next = i + 1 == terms_.size() || position < terms_[i + 1].since;
    if (position >= term.since && position <= term.confirmed) return i;
    if (position < term.since && after_former && term.since - position < joined_below) return i;
    if (position > term.confirmed && before_next && position - term.confirmed < joined_below) return i;
  }
  return std::nullopt;
}

bool PrimaryTimeline::MayBeLost(const WriteWatermark& watermark) const {
  if (terms_.empty()) return false;
  const std::optional<std::size_t> own =
      watermark.server ? FindTerm(*watermark.server, watermark.position) : std::nullopt;
  // A write of no known term is lost if the primary that answered it was replaced before it.
  const bool after_all_terms = watermark.position > terms_.back().since;
  if (!own && watermark.server && after_all_terms) return watermark.server != terms_.back().primary;
  for (std::size_t i = 0; i < terms_.size(); ++i) {
    const bool later = own ? i > *own : terms_[i].since >= watermark.position;
    if (later && watermark.position > terms_[i].replicated_through) return true;
  }
  return false;
}

bool PrimaryTimeline::MayBeLost(const WriteInterval& interval) const {
  return std::ranges::any_of(terms_, [&](const PrimaryTerm& term) {
    return term.replicated_through < interval.through && interval.after < term.since;
  });
}

// ---- Reports of peers and of the disk -----------------------------------------------------------------

bool PrimaryTimeline::Merge(const PrimaryTermReport& report, TimePoint received) {
  const PrimaryTerm& term = report.term;
  bool added = false;
  if (report.predecessor) {
    const PrimaryTerm& predecessor = *report.predecessor;
    added = AddObservation(predecessor.primary, predecessor.since, predecessor.confirmed);
  }
  if (report.continuous && term.since <= term.confirmed) {
    added = AddObservation(term.primary, term.since, term.confirmed) || added;
  } else {
    added = AddObservation(term.primary, term.since, term.since) || added;
    added = AddObservation(term.primary, term.confirmed, term.confirmed) || added;
  }
  ProveReplication(term.since, received);
  AdoptReplication(report);
  return added;
}

// What is proven of the log of one term holds for the logs of later ones too, as these share all that lies
// before they began.
void PrimaryTimeline::AdoptReplication(const PrimaryTermReport& report) {
  if (!report.predecessor) return;
  const std::optional<std::size_t> own = FindTerm(report.term.primary, report.term.since);
  const std::optional<std::size_t> base =
      FindTerm(report.predecessor->primary, report.predecessor->confirmed);
  if (!own || !base || *base >= *own) return;
  const LogPosition proven = std::min(report.term.replicated_through, terms_[*own].since);
  if (*base + 1 < *own && terms_[*base + 1].since <= proven) return;
  terms_[*own].replicated_through = std::max(terms_[*own].replicated_through, proven);
}

std::vector<PrimaryTermReport> PrimaryTimeline::ReportsSince(LogPosition oldest) const {
  std::vector<PrimaryTermReport> reports;
  for (std::size_t i = 0; i < terms_.size(); ++i) {
    const bool replaced_before = i + 1 < terms_.size() && terms_[i + 1].since < oldest;
    if (replaced_before || i + kMaxReportedTerms < terms_.size()) continue;
    PrimaryTermReport report{terms_[i], true, std::nullopt};
    if (i > 0 && terms_[i].since >= oldest) report.predecessor = terms_[i - 1];
    reports.push_back(report);
  }
  return reports;
}

}  // namespace lynxgrade::consistency
