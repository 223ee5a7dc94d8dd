#include "membership/member_table.h"

#include <algorithm>

namespace lynxgrade::membership {
namespace {

// SWIM's precedence: a higher incarnation number overrides, and so does a worse state of the same number. A
// member that reports itself alive overrides a suspicion or death of any incarnation number, but no leave.
bool Overrides(const proto::Member& reported, const proto::Member& known, ReportSource source) {
  const bool later_incarnation = reported.incarnation() > known.incarnation();
  const bool worse_state = reported.incarnation() == known.incarnation() && reported.state() > known.state();
  const bool alive_again = source == ReportSource::kMember && known.state() != proto::Member::ALIVE &&
                           known.state() != proto::Member::LEFT && reported.state() == proto::Member::ALIVE;
  return later_incarnation || worse_state || alive_again;
}

}  // namespace

MemberTable::MemberTable(proto::Member self, std::vector<std::string> seeds, GossipQueue& gossip,
                         LocalHealth& local_health, DeathVerifier& death_verifier)
    : self_(std::move(self)),
      unheard_seeds_(std::move(seeds)),
      gossip_(gossip),
      local_health_(local_health),
      death_verifier_(death_verifier) {
  std::erase(unheard_seeds_, self_.address());
}

ReportEffect MemberTable::ApplyReport(TimePoint now, const proto::Member& reported, ReportSource source) {
  if (reported.name().empty()) return ReportEffect::kNone;
  if (reported.name() != self_.name()) {
    ApplyReportOfPeer(now, reported, source);
    return ReportEffect::kNone;
  }
  if (reported.incarnation_id() != self_.incarnation_id()) return ApplyReportOfDuplicate(reported, source);
  Refute(reported.state(), reported.incarnation());
  return ReportEffect::kNone;
}

void MemberTable::Refute(proto::Member::State reported_state, std::uint32_t reported_incarnation) {
  if (reported_state == proto::Member::ALIVE || self_.state() != proto::Member::ALIVE) return;
  if (reported_incarnation < self_.incarnation()) return;
  self_.set_incarnation(reported_incarnation + 1);
  local_health_.Adjust(1);  // the probes of others expired, so its answers were late
}

// Of two running processes of one name the one that started later is kept. If the other one has ended but
// started later by its clock, that clock was ahead: this process moves its own start time beyond that one, as
// its reports would never apply otherwise.
ReportEffect MemberTable::ApplyReportOfDuplicate(const proto::Member& reported, ReportSource source) {
  if (reported.started_us() < self_.started_us()) {
    duplicate_name_reports_ += source == ReportSource::kMember ? 1 : 0;
    return ReportEffect::kNone;
  }
  if (!IsRunning(reported)) {
    self_.set_started_us(reported.started_us() + 1);
    superseded_ = false;
    return ReportEffect::kNone;
  }
  ++duplicate_name_reports_;
  superseded_ = true;
  return ReportEffect::kSuperseded;
}

void MemberTable::ApplyReportOfPeer(TimePoint now, const proto::Member& reported, ReportSource source) {
  auto [it, is_new_name] = peers_.try_emplace(reported.name());
  Peer& peer = it->second;
  // Seeds are searched only when an address is new: a scan for each report would be too slow.
  const bool is_new_address = is_new_name || peer.member.address() != reported.address();
  if (is_new_address && std::erase(unheard_seeds_, reported.address()) > 0) ++change_count_;
  const bool is_new_process = is_new_name || reported.started_us() > peer.member.started_us();
  if (!is_new_process) {
    if (reported.incarnation_id() != peer.member.incarnation_id()) {
      duplicate_name_reports_ += source == ReportSource::kMember ? 1 : 0;
      return;
    }
    if (TryConfirmSuspicion(peer, reported)) return gossip_.Enqueue(reported.name());
    if (!Overrides(reported, peer.member, source)) return;
    const bool is_death = reported.state() == proto::Member::DEAD && IsRunning(peer.member);
    if (source == ReportSource::kGossip && is_death && death_verifier_.DeferDeath(now, peer, reported))
      return;
  }
  ReplaceEntry(now, peer, reported, is_new_process);
}

bool MemberTable::TryConfirmSuspicion(Peer& peer, const proto::Member& reported) {
  const bool same_suspicion = reported.state() == proto::Member::SUSPECT && reported.suspected_by() != 0 &&
                              peer.member.state() == proto::Member::SUSPECT &&
                              reported.incarnation() == peer.member.incarnation();
  if (!same_suspicion || !peer.suspectors.insert(reported.suspected_by()).second) return false;
  peer.member.set_suspected_by(reported.suspected_by());
  return true;
}

void MemberTable::ReplaceEntry(TimePoint now, Peer& peer, const proto::Member& reported,
                               bool is_new_process) {
  RecordChange(reported.name());
  if (is_new_process) peer.round_trip.reset();  // the new process may run on another machine
  if (is_new_process || peer.member.state() != reported.state()) peer.state_changed_at = now;
  peer.member = reported;
  peer.suspectors.clear();
  if (reported.state() == proto::Member::SUSPECT && reported.suspected_by() != 0) {
    peer.suspectors.insert(reported.suspected_by());
  }
  gossip_.Enqueue(reported.name());
}

void MemberTable::RecordChange(const std::string& name) {
  running_changed_ = true;
  ++change_count_;
  changed_names_.push_back(name);
}

void MemberTable::SetState(TimePoint now, Peer& peer, proto::Member::State state) {
  peer.member.set_state(state);
  RecordChange(peer.member.name());
  if (state != proto::Member::SUSPECT) peer.suspectors.clear();
  peer.state_changed_at = now;
  gossip_.Enqueue(peer.member.name());
}

void MemberTable::Suspect(TimePoint now, Peer& peer) {
  const bool is_new_suspector = peer.suspectors.insert(self_.incarnation_id()).second;
  peer.member.set_suspected_by(self_.incarnation_id());
  if (peer.member.state() == proto::Member::ALIVE) {
    SetState(now, peer, proto::Member::SUSPECT);
  } else if (is_new_suspector) {
    gossip_.Enqueue(peer.member.name());
  }
}

void MemberTable::RecordPacket(TimePoint now, const proto::Member& sender, std::uint64_t view) {
  Peer* peer = Find(sender.name());
  if (peer == nullptr || peer->member.incarnation_id() != sender.incarnation_id()) return;
  peer->last_heard_at = now;
  peer->view = view;
}

void MemberTable::PostponeSuspicions(TimePoint now, Duration delay) {
  for (auto& [name, peer] : peers_) {
    if (peer.member.state() != proto::Member::SUSPECT) continue;
    peer.state_changed_at = std::min(now, peer.state_changed_at + delay);
  }
}

std::vector<std::string> MemberTable::RemoveExpired(TimePoint now, Duration retention) {
  std::vector<std::string> removed;
  std::erase_if(peers_, [&](const auto& item) {
    if (IsRunning(item.second.member) || now - item.second.state_changed_at < retention) return false;
    removed.push_back(item.first);
    RecordChange(item.first);
    return true;
  });
  return removed;
}

Peer* MemberTable::Find(const std::string& name) {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second;
}

const Peer* MemberTable::Find(const std::string& name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second;
}

std::size_t MemberTable::RunningCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(peers_, [](const auto& item) { return IsRunning(item.second.member); }));
}

}  // namespace lynxgrade::membership
