// The decisions of lynxgrade: every rule, table and tuned value. The interface is balance.h.
#include "routing/balancer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

#include "estimation/client_patience_estimator.h"
#include "estimation/first_attempt_estimator.h"
#include "estimation/replica_position.h"
#include "fleet/capped_weighted_choice.h"
#include "fleet/demand.h"
#include "fleet/fleet_size.h"
#include "fleet/latency.h"
#include "fleet/slow_start.h"
#include "fleet/warm_server_throughput.h"
#include "limits/aimd_window.h"

namespace lynxgrade {
namespace {

// ---- Named constants --------------------------------------------------------------------------------
constexpr Duration kPause{50000};       // between tries of a waiting request: the design's pause
constexpr double kClassGain = 0.02;     // EWMA gain of a class's latency over all members: slow, a yardstick,
constexpr double kClassRise = 0.2;      // and this part of it upwards: queueing must not pass for work
constexpr double kFailGain = 0.15;      // EWMA gain of a member's failures
constexpr double kEjectAt = 0.45;       // failing share at which a member leaves the draw
constexpr double kFailAfterRest = 0.3;  // what a member returns with: one more failure ejects it again
constexpr int kRestPauses = 10;         // first rest of an ejected member, in pauses; doubles
constexpr int kDownPauses = 2;          // first rest of an unreachable member, in pauses; doubles
constexpr int kMostFull = 4;            // longest rest of a member that turns work away, in pauses
constexpr int kShortPauses = 100;       // how long connections are given back after one was not to be had
constexpr int kMostDoublings = 4;       // of either rest
constexpr int kMostRefusedDoublings = 6;  // of the rest of one that refuses connections
constexpr double kRetryShare = 0.2;       // retry budget earned by a request: a fifth of it again
constexpr double kRetryBurst = 20;        // most retries saved up
constexpr double kNominalPart = 0.4;      // of the tenants' shares: what warm members surely carry
constexpr double kProbePoints = 0.004;    // of the goal spent on routine probes at most
constexpr std::size_t kMostProbes = 3;    // routine probes a beat
constexpr double kFreeProbes = 1;         // routine probes a request where they cost nothing
constexpr int kStalePauses = 3;           // a position this old is asked for, where answers tell none
constexpr int kStaleToldPauses = 20;      // and where they do
constexpr double kFarBehind = 0.02;       // share of its draw left to a replica expected to miss
constexpr double kMissGain = 0.03;        // EWMA gain of the share missed by replicas of unknown position
constexpr double kTogether = 30;          // draw of the replica that takes a group's long any-reads
constexpr double kLongRead = 3;           // what is long: so many times the shortest class
constexpr double kSharpness = 2;          // exponent of the draw
constexpr double kHopeless = 0.35;     // refusing starts where the expected latency is this part of the rest
constexpr double kHopelessRamp = 0.4;  // and is (almost) full so much later
constexpr double kQuicker = 0.7;       // of what the drawn member takes: where another may stand in
constexpr double kMostRefused = 0.95;  // some go through still, or recovery would not be seen
constexpr double kWorkedOff = 0.5;     // of its length a queue takes to go, as refusals thin out the rest
constexpr double kSpareAim = 0.6;      // of its aim: a primary whose work takes less has room to spare
constexpr double kLateMatters = 0.5;   // a class worth this part when late is waited for after its aim
constexpr double kCheapLow = 0.8;      // bounds of that judgement: no class is to be starved
constexpr double kCheapHigh = 1.6;
constexpr double kLate = 8;               // latencies of its class that an attempt called off counts at most
constexpr int kRolePauses = 10;           // how long a write takes a member that was heard as replica for one
constexpr std::size_t kKeptForFound = 2;  // attempts that a write does not spend on looking for its primary
constexpr Duration kListAge{5000000};     // a late list's word on the role is this old
constexpr Duration kGoneKept{30000000};   // a member that is gone; longer than one has been seen to be away

double Seconds(Duration d) { return static_cast<double>(d.count()) * 1e-6; }
Duration Times(Duration d, double by) {
  return Duration(static_cast<std::int64_t>(by * static_cast<double>(d.count())));
}

enum class TimerKind : std::uint64_t { kEnd = 1, kBeat = 2, kWatch = 3 };

struct Outstanding {
  TimePoint sent{};
  ClassIndex cls = 0;
  bool spilled = false;
  std::optional<LogPosition> target;
  bool blind = false;      // sent though it was not known how far the member has come
  std::size_t beside = 0;  // this proxy's others there, when it was sent
};

struct Member {
  ServerId id{};
  GroupId group{};
  ZoneIndex zone = 0;
  double weight = 1;
  bool leaving = false;           // told that it drains or is gone
  std::optional<TimePoint> gone;  // since when, where it does not merely drain
  std::optional<TimePoint> started;
  estimation::ReplicaPosition position;
  std::optional<TimePoint> primary_at;  // newest proof or claim of being primary
  std::optional<TimePoint> replica_at;  // and of not being it
  fleet::ServerLatencyEstimator latency;
  double fail = 0;
  int failures = 0;   // in a row
  int lost = 0;       // of them the newest, in a row, that brought no answer at all
  bool down = false;  // one of them while an attempt was out, or a probe found nothing there
  int rests = 0;
  TimePoint answered{};  // when the newest attempt that it answered was sent
  TimePoint resting_until{};
  TimePoint short_until{};  // of connections
  double queued = 0;
  std::map<std::pair<RequestId, AttemptNumber>, Outstanding> out;
  fleet::WarmingTokenBucket cold;
  TimePoint probed{};
  bool probing = false;
  limits::AimdWindow spare;  // for waiting reads that a primary may hold for this proxy
};

struct Group {
  std::vector<ServerId> servers;
  std::uint64_t role_changes = 0;
  bool searching = false;
  fleet::DemandEstimator demand[2];       // for its replicas, and for its primary
  fleet::GroupLatencyEstimator crowd[2];  // likewise
};

struct Attempt {
  ServerId server{};
  ZoneIndex zone = 0;  // of the member
  TimePoint sent{};
  bool pending = true;
  bool may_have_run = true;
  bool arrived = true;  // at its member, as far as is known
};

struct Request {
  RequestEvent ask;
  TimePoint arrived{};
  TimePoint asked{};  // by the client for the first time, as far as can be told: from then on its aim counts
  TimePoint deadline{};
  std::vector<Attempt> attempts;
  TimePoint next_try{};
  std::set<ServerId> missed;
  int role_misses = 0;
  std::uint64_t missed_at_change = 0;
};

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : s_(std::move(settings)), random_(seed) {
    for (const RequestClass& cls : s_.classes)
      class_latency_.push_back(std::max(1e-3, Seconds(cls.latency_objective) / 4));
  }

  void Handle(TimePoint now, const Event& event, Actions& actions) {
    now_ = now;
    out_ = &actions;
    ForgiveOwnStall();
    std::visit([this](const auto& e) { On(e); }, event);
    if (stirred_) RetryWaiting();
    stirred_ = false;
  }

 private:
  // ---- Member view: list, drain, restart, warm-up ---------------------------------------------------
  void On(const ListEvent& event) {
    if (event.kind == ListKind::kPersisted) {
      SetTimer(TimerKind::kBeat, Jittered(kPause));  // proxies that start together do not beat together
      if (s_.poll_endpoint_list) SetTimer(TimerKind::kWatch, Jittered(kPause));
    }
    if (event.kind == ListKind::kError) {
      watch_failures_ = std::min(watch_failures_ + 1, kMostDoublings);
      if (s_.poll_endpoint_list) SetTimer(TimerKind::kWatch, Jittered(kPause * 4 * (1 << watch_failures_)));
      return;
    }
    watch_failures_ = 0;
    std::set<ServerId> named;
    for (const ListEntry& entry : event.entries) {
      named.insert(entry.server);
      TakeEntry(entry, event.kind == ListKind::kPersisted);
    }
    if (event.kind != ListKind::kPartial) {
      for (auto& [id, m] : members_) {
        if (!named.contains(id) && !s_.unlisted_stay_usable) {
          m.leaving = true;
          if (!m.gone) m.gone = now_;
        }
      }
    }
    stirred_ = true;
  }

  void TakeEntry(const ListEntry& entry, bool old) {
    const auto [it, fresh] = members_.try_emplace(entry.server);
    Member& m = it->second;
    if (fresh) {
      m.id = entry.server;
      m.group = entry.group;
      m.zone = entry.zone;
      groups_[m.group].servers.push_back(m.id);
    }
    m.weight = entry.weight > 0 ? entry.weight : 1;
    // What was told to drain is out until it is listed as serving again: gone after that changes nothing.
    m.leaving = entry.lifecycle == Lifecycle::kDraining ||
                (entry.lifecycle == Lifecycle::kDeleted && (m.leaving || !s_.unlisted_stay_usable));
    if (!m.leaving || entry.lifecycle != Lifecycle::kDeleted)
      m.gone.reset();
    else if (!m.gone)
      m.gone = now_;
    if (entry.started && (!m.started || *entry.started > *m.started)) StartedAt(m, *entry.started);
    if (s_.listed_role == ListedRole::kNone) return;
    // A list's word on the role is as old as the list may be: any answer or report outweighs it.
    const TimePoint age = old || s_.listed_role == ListedRole::kInitial ? TimePoint{} : now_ - kListAge;
    if (entry.primary && (!m.primary_at || *m.primary_at < age)) RoleSeen(m, true, age);
  }

  void StartedAt(Member& m, TimePoint when) {
    m.started = when;
    m.resting_until = now_;
    m.latency = {};
    m.fail = 0;
    m.failures = m.lost = m.rests = 0;
    m.cold.Begin(now_.time_since_epoch(), warm_up_);
  }

  // Members are replaced under new ids as long as the service runs: what is gone for good must not stay. One
  // that comes back soon is known by what it was.
  bool Forgotten(const Member& m) {
    if (!m.gone || now_ - *m.gone < kGoneKept || m.probing || !m.out.empty()) return false;
    std::erase(groups_[m.group].servers, m.id);
    return true;
  }

  bool Cold(const Member& m) const { return m.started && now_ < *m.started + s_.slow_start_duration; }

  double WarmShare(const Member& m) const { return Cold(m) ? warm_up_.Share(now_ - *m.started) : 1; }

  // What an even part of the fleet's traffic is for a member: a good part of what the tenants' shares come
  // to, or one core's work. A proxy that has just started, or refuses much, carries little, and would take
  // a cold member for one that can do less, and refuse more.
  double Nominal() const {
    double quota = 0;
    for (const Tenant& tenant : s_.tenants) quota += tenant.quota_per_s;
    const double servers = static_cast<double>(std::max<std::size_t>(1, members_.size()));
    return std::max(1.0, kNominalPart * quota * ShortestWork() / servers) / fleet::Size(s_.peers_total);
  }

  // This proxy's part of what a cold member may be sent, in work a second.
  double ColdRate(const Member& m) const {
    return warm_up_.Rate(now_ - *m.started, std::max(carried_.PerSecond(), Nominal()));
  }

  // Where the part is below one request it is kept by chance: the most of all draws in a group that may
  // fall on the member is what the part is of the work drawn for. A store of whole requests was empty or
  // stale when one came: most writes to a cold primary were refused though all of them fitted.
  bool ColdByChance(const Member& m) const {
    return Cold(m) && ColdRate(m) * warm_up_.Hold() < ShortestWork();
  }

  // Each draw counts as work that is wanted, a repeated or a held request's too.
  double Wanted(const Request& r) {
    Group& g = groups_[r.ask.group];
    const bool primary = NeedsPrimary(r);
    const Duration now = now_.time_since_epoch();
    demand_[primary].Add(now, Cost(r));
    g.demand[primary].Add(now, Cost(r));
    const double prior = demand_[primary].PerSecond(now) / static_cast<double>(groups_.size());
    return g.demand[primary].PerSecond(now, prior);
  }

  // Whether a request that has nowhere else to go may go to this member.
  Member* IfPartAllows(const Request& r, Member* m) {
    if (m == nullptr) return nullptr;
    const double wanted = Wanted(r);
    return !ColdByChance(*m) || Chance(fleet::Odds(ColdRate(*m), wanted)) ? m : nullptr;
  }

  double ShortestWork() const { return *std::min_element(class_latency_.begin(), class_latency_.end()); }

  bool Chance(double odds) { return std::uniform_real_distribution<double>(0, 1)(random_) < odds; }

  // Whether its process seems to have ended: one refused connection may be a shortage.
  static bool Lost(const Member& m) { return m.down || m.lost > 1; }

  bool Usable(const Member& m) const { return !m.leaving && now_ >= m.resting_until; }

  // ---- Roles and positions --------------------------------------------------------------------------
  void RoleSeen(Member& m, bool primary, TimePoint when) {
    std::optional<TimePoint>& mark = primary ? m.primary_at : m.replica_at;
    const bool was = IsPrimary(m);
    if (!mark || when > *mark) mark = when;
    if (was == IsPrimary(m)) return;
    Group& g = groups_[m.group];
    g.role_changes += !was;
    g.searching = was;
    stirred_ = true;
  }

  static bool IsPrimary(const Member& m) {
    return m.primary_at && (!m.replica_at || *m.primary_at > *m.replica_at);
  }

  // The member with the newest evidence of being primary.
  Member* Primary(GroupId group) {
    Member* best = nullptr;
    for (ServerId id : groups_[group].servers) {
      Member& m = members_.at(id);
      if (IsPrimary(m) && (best == nullptr || *m.primary_at > *best->primary_at)) best = &m;
    }
    return best;
  }

  void PositionSeen(Member& m, LogPosition position) {
    stirred_ = m.position.Seen(Since(now_), Since(position)) || stirred_;
  }

  void TakeReport(Member& m, const LoadReport& report) {
    if (report.queued) m.queued = *report.queued;
    if (report.primary && report.position) {
      // A primary stands at the present and a replica not past it: the position dates the claim.
      RoleSeen(m, *report.primary, *report.position);
    }
    if (report.position) PositionSeen(m, *report.position);
  }

  static Duration Since(TimePoint t) { return t.time_since_epoch(); }
  LogPosition Expected(const Member& m) const { return LogPosition(m.position.Expected(Since(now_))); }
  bool Known(const Member& m, const std::optional<LogPosition>& target) const {
    return !target || m.position.Known(Since(now_), Since(*target));
  }

  // Whether a read may be expected to find its target there; members that check guard the rule themselves.
  bool Reached(const Member& m, const std::optional<LogPosition>& target) const {
    return Proven(m, target) ||
           (s_.position_check != PositionCheck::kNone && Known(m, target) && Expected(m) >= *target);
  }

  std::optional<LogPosition> Target(const Request& r) const {
    const RequestClass& cls = Class(r);
    if (cls.kind == AccessKind::kBoundedRead) return now_ - cls.staleness_bound;
    if (cls.kind == AccessKind::kSessionRead) return r.ask.required_position;
    return std::nullopt;
  }

  // ---- Eligibility ----------------------------------------------------------------------------------
  const RequestClass& Class(const Request& r) const { return s_.classes[r.ask.request_class]; }
  static bool NeedsPrimary(const RequestClass& cls) {
    return cls.kind == AccessKind::kWrite || cls.kind == AccessKind::kStrongRead;
  }
  bool NeedsPrimary(const Request& r) const { return NeedsPrimary(Class(r)); }
  double Cost(const Request& r) const { return class_latency_[r.ask.request_class]; }

  static bool Proven(const Member& m, const std::optional<LogPosition>& target) {
    return !target || m.position.Proven(Since(*target));
  }
  static bool Tried(const Request& r, ServerId id) {
    return std::ranges::any_of(r.attempts, [id](const Attempt& a) { return a.server == id; });
  }
  static bool Pending(const Request& r) {
    return std::ranges::any_of(r.attempts, [](const Attempt& a) { return a.pending; });
  }

  // The one check of every rule before a send.
  bool MaySend(const Request& r, Member& m) {
    const RequestClass& cls = Class(r);
    if (m.group != r.ask.group || m.leaving) return false;
    if (r.attempts.size() >= s_.max_attempts || r.deadline <= now_) return false;
    if (Pending(r) && (!s_.may_hedge || cls.idempotency != Idempotency::kIdempotent)) return false;
    if (!MayRepeat(r) || (cls.deduplicated_in_zone && RanElsewhere(r, m.zone))) return false;
    if (MustProve(r) && !IsPrimary(m)) {
      if (cls.kind == AccessKind::kStrongRead || !Proven(m, Target(r))) return false;
    }
    return HasRoom(r, m);
  }

  bool MustProve(const Request& r) const {
    return s_.position_check == PositionCheck::kNone || r.ask.require_proven_position;
  }

  bool HasRoom(const Request& r, Member& m) {
    if (!Cold(m) || ColdByChance(m)) return true;  // by chance: as it is drawn
    // Held writes come at once when a primary is found, reads as they come: what they did not use adds up.
    const double count = IsPrimary(m) ? warm_up_.Hold() : Seconds(s_.slow_start_duration);
    const double most = m.cold.Fill(now_.time_since_epoch(), ColdRate(m), warm_up_.Hold(), count);
    return m.cold.work() >= std::min(Cost(r), most);
  }

  // The replicas that a read may be drawn from now: those proven to reach its target, else, where members
  // check, all of them.
  std::vector<Member*> Candidates(const Request& r) {
    const std::optional<LogPosition> target = Target(r);
    std::vector<Member*> proven, others, resting;
    bool any_usable = false;
    Member* primary = Primary(r.ask.group);
    for (ServerId id : groups_[r.ask.group].servers) {
      Member& m = members_.at(id);
      if (&m == primary) continue;
      any_usable = any_usable || (Usable(m) && HasRoom(r, m));
      if (!MaySend(r, m)) continue;
      if (!Usable(m)) {
        resting.push_back(&m);
      } else if (Reached(m, target)) {
        proven.push_back(&m);
      } else {
        others.push_back(&m);
      }
    }
    if (!proven.empty()) return proven;
    if (!others.empty()) return others;
    if (any_usable) return {};
    // Exception 'bare group': no replica can serve at all. The primary does, then members at rest.
    if (primary != nullptr && Usable(*primary) && MaySend(r, *primary)) return {primary};
    return resting;
  }

  // ---- Draw -----------------------------------------------------------------------------------------
  // Latency against the class's, counting the age of what has not come back. What was sent before something
  // that was answered is not counted: the member works, and that one's connection has fallen silent, or its
  // work is long. One such attempt made a sound member look lost for as long as it was waited for.
  double Slowness(const Member& m) const {
    double ages = 0, count = 0;
    for (const auto& [key, sent] : m.out) {
      if (sent.sent < m.answered) continue;
      ages += Seconds(now_ - sent.sent) / class_latency_[sent.cls];
      ++count;
    }
    const double heard = m.latency.Slowness(now_.time_since_epoch(), groups_.at(m.group).crowd[IsPrimary(m)]);
    return std::max({0.05, heard, count > 0 ? ages / count : 0});
  }

  // Long any-reads may halt the apply of the replica that holds them. Spread evenly they would hold back
  // every replica of a group, so all proxies draw the same one, the first by id that is not busy already.
  // Costs an uneven load where such reads halt nothing.
  bool LongAny(const Request& r) const {
    return Class(r).kind == AccessKind::kEventualRead &&
           class_latency_[r.ask.request_class] > kLongRead * ShortestWork();
  }

  // The replica that takes the long reads: the first by id.
  const Member* HostOf(const Group& g) const {
    const Member* host = nullptr;
    for (ServerId id : g.servers) {
      const Member& m = members_.at(id);
      if (Usable(m) && !IsPrimary(m) && (host == nullptr || id < host->id)) host = &m;
    }
    return host;
  }

  Member* Draw(const Request& r, const std::vector<Member*>& from) {
    if (from.empty()) return nullptr;
    const std::optional<LogPosition> target = Target(r);
    const Member* host = HostOf(groups_[r.ask.group]);
    const bool together = LongAny(r) && host != nullptr &&
                          class_latency_[r.ask.request_class] * Slowness(*host) <=
                              kSpareAim * Seconds(Class(r).latency_objective);
    std::vector<fleet::WeightedCandidate> lots;
    const double wanted = Wanted(r);
    for (const Member* m : from) {
      double o =
          m->weight * (1 - m->fail) / (Slowness(*m) * (1 + static_cast<double>(m->out.size()) + m->queued));
      // Little is heard of each member at a small proxy, but much of all: what replicas of unknown position
      // missed lately is told apart only by whether they take the long reads.
      if (target && !Known(*m, target)) o *= 1 - miss_share_[m == host];
      o = std::pow(o, kSharpness) * WarmShare(*m);
      const bool behind = target && Known(*m, target) && Expected(*m) + s_.replica_wait_limit / 2 < *target;
      if (behind || Tried(r, m->id)) o *= kFarBehind;
      if (together && m == host) o *= kTogether;
      lots.push_back({o, ColdByChance(*m) ? fleet::Odds(ColdRate(*m), wanted) : 1});
    }
    const auto drawn = fleet::ChooseCapped(lots, std::uniform_real_distribution<double>(0, 1)(random_));
    return drawn ? from[*drawn] : nullptr;
  }

  // ---- Waiting reads and held writes ----------------------------------------------------------------
  void Wait(Request& r, Duration pause) {
    r.next_try = now_ + pause;
    waiting_.insert(r.ask.id);
  }

  void RetryWaiting() {
    std::vector<std::pair<double, RequestId>> order;
    for (RequestId id : waiting_) order.emplace_back(Cheapness(requests_.at(id)), id);
    std::sort(order.begin(), order.end());
    for (const auto& [cheapness, id] : order) {
      if (!waiting_.contains(id)) continue;
      Request& r = requests_.at(id);
      if (TooLate(r) || HeldTooLong(r)) {
        Finish(r);
      } else if (now_ >= r.next_try || PositionReached(r)) {
        Route(r);
      }
    }
  }

  // Not even a quick answer would be of use: it would take the place of one that can still be served.
  bool TooLate(const Request& r) const { return Seconds(UsefulUntil(r) - now_) < Cost(r) / 2; }

  // Half of a client's time is its own: where nobody could be asked by then, it is better told when to come
  // back.
  bool HeldTooLong(const Request& r) const {
    if (now_ + kPause < r.arrived + (r.deadline - r.arrived) / 2) return false;
    return std::ranges::none_of(r.attempts, [](const Attempt& a) { return a.arrived; });
  }

  bool PositionReached(const Request& r) {
    if (NeedsPrimary(r)) return groups_[r.ask.group].role_changes != r.missed_at_change;
    const std::optional<LogPosition> target = Target(r);
    if (!target) return false;
    for (ServerId id : groups_[r.ask.group].servers) {
      const Member& m = members_.at(id);
      if (Usable(m) && !IsPrimary(m) && Reached(m, target)) return true;
    }
    return false;
  }

  // Whether a replica may yet come to the target of a read that must be proven, while an answer is of use.
  // Else it is given up at once: it would be refused all the same, and its client come again too late.
  bool AnyMayReach(const Request& r) {
    const std::optional<LogPosition> target = Target(r);
    const Duration within = UsefulUntil(r) - now_ - Times(Duration(1000000), Cost(r) / 2);
    bool none = true;
    for (ServerId id : groups_[r.ask.group].servers) {
      const Member& m = members_.at(id);
      if (m.leaving || IsPrimary(m)) continue;
      const bool moves = Class(r).kind == AccessKind::kBoundedRead;
      if (!target || m.position.MayReach(Since(now_), within, Since(*target), moves)) return true;
      none = false;
    }
    return none;
  }

  // Where a request goes now: to a member, or back to waiting.
  void Route(Request& r) {
    waiting_.erase(r.ask.id);
    if (r.attempts.size() >= s_.max_attempts) return Finish(r);
    bool spill = false;
    Member* m = nullptr;
    std::vector<Member*> from;
    if (NeedsPrimary(r)) {
      m = IfPartAllows(r, PrimaryFor(r));
    } else if (r.missed.empty() || AnyInReach(r)) {
      from = Candidates(r);
      m = Draw(r, from);
    } else {
      m = IfPartAllows(r, SpareOf(r));
      spill = m != nullptr;
    }
    if (m == nullptr) {
      if (!NeedsPrimary(r) && MustProve(r)) {
        if (!AnyMayReach(r)) return Finish(r);
        Ask(r);
      }
      return Wait(r, kPause);
    }
    if (Hopeless(r, *m)) {
      // The draw may fall on a member that is slow just now. What counts is whether any is quick enough.
      const auto quickest = std::min_element(from.begin(), from.end(), [&](const Member* a, const Member* b) {
        return Expects(r, *a) < Expects(r, *b);
      });
      if (quickest == from.end() || ColdByChance(**quickest)) return Finish(r);
      if (Expects(r, **quickest) > kQuicker * Expects(r, *m) || Hopeless(r, **quickest)) return Finish(r);
      m = *quickest;
    }
    SendTo(r, *m, spill);
  }

  // Whether a replica may reach the read's target while it would hold the read.
  bool AnyInReach(const Request& r) {
    const std::optional<LogPosition> target = Target(r);
    for (ServerId id : groups_[r.ask.group].servers) {
      const Member& m = members_.at(id);
      if (!Usable(m) || IsPrimary(m)) continue;
      if (!target || !s_.may_health_check) return true;
      // Where little is heard a miss is news too: the member that missed this read is not asked blindly
      // again.
      if (!Known(m, target) ? !r.missed.contains(id) : Expected(m) + s_.replica_wait_limit >= *target)
        return true;
    }
    return false;
  }

  // Exception 'spill': a read that a replica has tried and missed, while no replica is expected to reach its
  // target, may use what the primary has to spare: a window that grows with answers and is cut as soon as
  // the primary's own work slows down.
  Member* SpareOf(const Request& r) {
    Member* m = Primary(r.ask.group);
    if (m == nullptr || !Usable(*m) || !MaySend(r, *m) || !HasSpare(*m)) return nullptr;
    return m->spare.Open() ? m : nullptr;
  }

  bool HasSpare(Member& m) {
    for (std::size_t i = 0; i < s_.classes.size(); ++i) {
      if (!NeedsPrimary(s_.classes[i])) continue;
      if (class_latency_[i] * Slowness(m) <= kSpareAim * Seconds(s_.classes[i].latency_objective)) continue;
      m.spare.Cut(Since(now_));
      return false;
    }
    return true;
  }

  Member* PrimaryFor(Request& r) {
    Group& g = groups_[r.ask.group];
    Member* m = Primary(r.ask.group);
    const bool new_role = g.role_changes != r.missed_at_change;
    const bool untried =
        m != nullptr && (r.role_misses == 0 || (r.role_misses == 1 && !r.missed.contains(m->id)));
    if (m != nullptr && Usable(*m) && MaySend(r, *m) && (untried || new_role)) return m;
    if (m == nullptr || !Usable(*m)) g.searching = true;
    const bool shown = m != nullptr && !Lost(*m) && !m->leaving;  // it only rests, or is cold
    return new_role || (shown && r.role_misses == 0) ? nullptr : Unasked(r, m);
  }

  // Nobody is shown as primary, or it missed: the write itself asks whose role was not heard lately, those
  // never heard first. A miss costs a member nothing, a probe has its price, and one proxy of many hears
  // of a role too seldom to wait for it.
  Member* Unasked(const Request& r, const Member* shown) {
    if (r.attempts.size() + kKeptForFound >= s_.max_attempts) return nullptr;
    std::vector<Member*> unheard, others;
    for (ServerId id : groups_[r.ask.group].servers) {
      Member& m = members_.at(id);
      if (&m == shown || r.missed.contains(id) || !Usable(m) || !MaySend(r, m)) continue;
      if (m.replica_at && now_ - *m.replica_at < kPause * kRolePauses) continue;
      (m.replica_at ? others : unheard).push_back(&m);
    }
    const std::vector<Member*>& from = unheard.empty() ? others : unheard;
    return from.empty() ? nullptr : from[random_() % from.size()];
  }

  // How little a request earns for its work, against classes that want the same members: least goes first.
  double Cheapness(const Request& r) const {
    double sum = 0, count = 0;
    for (std::size_t i = 0; i < s_.classes.size(); ++i) {
      if (NeedsPrimary(s_.classes[i]) != NeedsPrimary(Class(r))) continue;
      sum += s_.classes[i].priority_weight / class_latency_[i];
      ++count;
    }
    const double own = std::max(1e-9, Class(r).priority_weight / class_latency_[r.ask.request_class]);
    return std::clamp(std::sqrt(sum / count / own), kCheapLow, kCheapHigh);
  }

  // Clients may leave long before their word; an answer after that is work wasted, and they come back.
  Duration Aim(const Request& r) const { return Times(Class(r).latency_objective, stay_.Part()); }

  void StaySeen(const Request& r, bool left) {
    stay_.Seen(Seconds(now_ - r.arrived) / std::max(1e-6, Seconds(Class(r).latency_objective)), left);
  }

  TimePoint UsefulUntil(const Request& r) const {
    if (Class(r).late_response_value >= kLateMatters) return r.deadline;
    return std::min(r.deadline, r.asked + Aim(r));
  }

  // A request that is expected to come too late is refused early; the more so, the later.
  bool Hopeless(const Request& r, const Member& m) {
    // Once the aim has passed, what is left of the usefulness counts.
    const TimePoint aim = r.asked + Aim(r);
    const double left =
        std::max(1e-4, Seconds((now_ < aim ? std::min(aim, r.deadline) : UsefulUntil(r)) - now_));
    return Chance(std::min(kMostRefused, (Expects(r, m) / left * Cheapness(r) - kHopeless) / kHopelessRamp));
  }

  // How long the request would take there. What is in flight now tells of a queue before its latencies do.
  double Expects(const Request& r, const Member& m) const {
    const double queue = m.latency.each() * static_cast<double>(m.out.size() + 1);
    return class_latency_[r.ask.request_class] * std::max(Slowness(m), queue);
  }

  // ---- Attempts and outcomes ------------------------------------------------------------------------
  void SendTo(Request& r, Member& m, bool spill) {
    if (!MaySend(r, m)) return Wait(r, kPause);
    if (Cold(m) && !ColdByChance(m)) m.cold.Take(Cost(r));
    const auto target = Target(r);
    m.out[{r.ask.id, static_cast<AttemptNumber>(r.attempts.size())}] = {
        now_, r.ask.request_class, spill, target, !Known(m, target), m.out.size()};
    if (spill) m.spare.Take();
    out_->push_back(StartAttempt{r.ask.id, m.id, r.deadline - now_, RepeatWithin(r)});
    r.attempts.push_back({m.id, m.zone, now_});
  }

  void On(const RequestEvent& event) {
    if (event.request_class >= s_.classes.size()) throw std::out_of_range("request of an unknown class");
    // A group that no list has named has no members, and clients could fill the table with such.
    if (!groups_.contains(event.group)) {
      out_->push_back(Reject{event.id, s_.clients_honor_retry_after ? kPause : Duration{0}});
      return;
    }
    Request& r = requests_[event.id];
    r.ask = event;
    r.arrived = now_ - event.waited;
    estimation::FirstAttemptEstimator& first = first_tries_[event.request_class];
    r.deadline = now_ + event.time_left;
    r.asked = r.arrived - first.Age(Class(r).deadline, r.deadline - r.arrived, event.is_retry);
    retry_tokens_ = std::min(kRetryBurst, retry_tokens_ + kRetryShare);
    probe_tokens_ +=
        std::min({kFreeProbes, kProbePoints / s_.health_check_price, kRetryBurst - probe_tokens_});
    Group& g = groups_[event.group];
    r.missed_at_change = g.role_changes;
    const Duration left = event.time_left - s_.tick * 2;
    if (left <= Duration{0} || TooLate(r)) return Finish(r);
    SetTimer(TimerKind::kEnd, left, static_cast<std::uint64_t>(event.id));
    Route(r);
  }

  void On(const AttemptEndedEvent& event) {
    const auto found = members_.find(event.server);
    if (found == members_.end() || !found->second.out.contains({event.id, event.attempt})) return;
    Member& m = found->second;
    const Outstanding was = m.out.extract({event.id, event.attempt}).mapped();
    if (was.spilled) {
      m.spare.Return(event.outcome == Outcome::kOk && HasSpare(m));
      stirred_ = true;
    }
    if (was.target && !IsPrimary(m) &&
        (event.outcome == Outcome::kOk || event.outcome == Outcome::kMisrouted)) {
      double& share = miss_share_[&m == HostOf(groups_[m.group])];
      if (was.blind) share += kMissGain * ((event.outcome == Outcome::kMisrouted ? 1 : 0) - share);
      // Members that check answer only from the target on.
      if (event.outcome == Outcome::kOk && s_.position_check != PositionCheck::kNone)
        PositionSeen(m, *was.target);
    }
    if (event.metadata.primary) RoleSeen(m, *event.metadata.primary, now_);
    const bool write = s_.classes[was.cls].kind == AccessKind::kWrite;
    if (event.metadata.position && (s_.responses_report_position || write)) {
      if (!write || event.metadata.primary.value_or(true)) PositionSeen(m, *event.metadata.position);
    }
    if (event.report) TakeReport(m, *event.report);
    Judge(m, was, event.outcome, std::min(event.elapsed, now_ - was.sent));
    if (now_ < m.short_until && m.out.empty()) out_->push_back(CloseIdleConnections{m.id});
    const auto it = requests_.find(event.id);
    if (it == requests_.end()) return;
    Request& r = it->second;
    if (event.attempt < r.attempts.size()) {
      Attempt& a = r.attempts[event.attempt];
      a.pending = false;
      a.arrived = event.outcome != Outcome::kUnreachable && event.outcome != Outcome::kNotRun;
      a.may_have_run = event.outcome != Outcome::kOverloaded && event.outcome != Outcome::kUnreachable &&
                       event.outcome != Outcome::kNotRun && event.outcome != Outcome::kMisrouted;
    }
    if (event.outcome == Outcome::kOk) StaySeen(r, false);
    if (event.request_done) return Forget(r);
    After(r, m, event.outcome);
  }

  // What an outcome says of the member.
  void Judge(Member& m, const Outstanding& was, Outcome outcome, Duration time) {
    double& usual = class_latency_[was.cls];
    fleet::GroupLatencyEstimator& crowd = groups_[m.group].crowd[IsPrimary(m)];
    const Duration now = now_.time_since_epoch();
    if (outcome == Outcome::kOk) {
      const double taken = std::max(1e-4, Seconds(time));
      m.latency.Answered(now, taken / usual, was.beside);
      crowd.Add(now, taken / usual);
      usual += kClassGain * (taken > usual ? kClassRise : 1) * (taken - usual);
      m.fail -= kFailGain * m.fail;
      m.failures = m.lost = 0;
      m.down = false;
      m.answered = std::max(m.answered, was.sent);
      if (m.fail < kFailAfterRest / 2) m.rests = 0;
      carried_.Add(usual);
      return;
    }
    // Called off, it would have taken longer still. But where later ones were answered, or where answers tell
    // of queues and the last told of none, its answer was lost.
    const bool queue = s_.load_reporting != LoadReporting::kWithResponses || m.queued >= 1;
    if (outcome == Outcome::kCancelled && was.sent > m.answered && queue) {
      const double late = std::min(kLate, Seconds(time) / usual);
      m.latency.Overdue(now, late);
      if (late > crowd.Mean(now, 1)) crowd.Add(now, late);
    }
    if (outcome == Outcome::kMisrouted || outcome == Outcome::kCancelled || outcome == Outcome::kNotRun)
      return;
    ++m.failures;
    const bool lost = outcome == Outcome::kUnreachable || outcome == Outcome::kConnectionLost;
    m.lost = lost || outcome == Outcome::kTimeout ? m.lost + 1 : 0;
    if (IsPrimary(m) && (lost || outcome == Outcome::kTimeout)) groups_[m.group].searching = true;
    if (outcome == Outcome::kOverloaded && now_ >= m.resting_until) {
      // Its queue is full or it drains: more work would be turned away too, and counts as load.
      m.resting_until = now_ + Jittered(kPause * std::min(m.failures, kMostFull));
    }
    if (lost) {
      m.down = m.down || outcome == Outcome::kConnectionLost;
      // A process that broke off and cannot be reached may be starting anew, long before the list says so.
      if (m.failures > 1 && m.down) StartedAt(m, now_);
      if (!m.down && time < s_.connect_timeout / 2) {
        ConnectionRefused(m);
      } else {
        Rest(m, kDownPauses);
      }
    }
    m.fail += kFailGain * (1 - m.fail);
    if (m.fail > kEjectAt && !IsPrimary(m)) {
      Rest(m, kRestPauses);
      m.fail = kFailAfterRest;
    }
  }

  // Refused at once: it runs short of connections, or its process has ended; not all can pay a probe to tell.
  // It rests the longer, the more often in a row; connections to it alone are given back after use for a
  // while: what is short is kept idle by all proxies.
  void ConnectionRefused(Member& m) {
    PaidProbe(m);
    const int doublings = std::min(m.failures - 1, kMostRefusedDoublings);
    m.resting_until = std::max(m.resting_until, now_ + Jittered(kPause * (1 << doublings)));
    m.short_until = now_ + kPause * kShortPauses;
  }

  void Rest(Member& m, int pauses) {
    const int doubled = pauses * (1 << std::min(m.rests, kMostDoublings));
    m.resting_until = now_ + Jittered(kPause * doubled);
    ++m.rests;
  }

  // A proxy that stood still finds answers late, though no member was slow: the beat tells, as it should have
  // come. Without this every member looks slow, and reads are refused long after. Covers any lost time of the
  // proxy (pauses, starved processes); a true pause of all traffic is never counted, as the beat goes on.
  void ForgiveOwnStall() {
    const Duration gap = now_ - handled_;
    if (handled_ != TimePoint{} && gap > kPause * 2) {
      for (auto& [id, m] : members_) {
        for (auto& [key, sent] : m.out) sent.sent = std::min(now_, sent.sent + gap - kPause);
        m.position.Forgive(Since(now_), gap - kPause);
      }
    }
    handled_ = now_;
  }

  // What becomes of a request whose attempt ended without an answer.
  void After(Request& r, Member& m, Outcome outcome) {
    if (Pending(r)) return;
    if (outcome == Outcome::kMisrouted) {
      r.missed.insert(m.id);
      if (!NeedsPrimary(r)) {
        stirred_ = true;
        return Wait(r, s_.position_check == PositionCheck::kWait ? Duration{0} : kPause);
      }
      const Group& g = groups_[r.ask.group];
      r.role_misses = g.role_changes == r.missed_at_change ? r.role_misses + 1 : 1;
      r.missed_at_change = g.role_changes;
      RoleSeen(m, false, now_);
      return Route(r);
    }
    if (outcome == Outcome::kNotRun || !MayRepeat(r)) return Finish(r);
    if (outcome != Outcome::kUnreachable) {  // which is no load
      if (retry_tokens_ < 1) return Finish(r);
      retry_tokens_ -= 1;
    }
    if (!NeedsPrimary(r)) return Route(r);
    Wait(r, Jittered(kPause * static_cast<int>(r.attempts.size())));
  }

  bool MayRepeat(const Request& r) const { return RepeatWithin(r) > Duration{0}; }

  // For how long another attempt may still be written, by what the earlier ones may have done.
  Duration RepeatWithin(const Request& r) const {
    Duration within = Duration::max();
    for (const Attempt& a : r.attempts) {
      if (!a.may_have_run || Class(r).idempotency == Idempotency::kIdempotent) continue;
      const bool keyed = Class(r).idempotency == Idempotency::kIdempotencyKey;
      within = std::min(within, keyed ? a.sent + Class(r).idempotency_window - s_.tick - now_ : Duration{0});
    }
    return within;
  }

  static bool RanElsewhere(const Request& r, ZoneIndex zone) {
    return std::ranges::any_of(r.attempts, [=](const auto& a) { return a.may_have_run && a.zone != zone; });
  }

  void On(const ResponseStartedEvent& event) {
    const auto it = requests_.find(event.id);
    if (it != requests_.end()) Forget(it->second);
  }

  void On(const ClientDisconnectedEvent& event) {
    const auto it = requests_.find(event.id);
    if (it == requests_.end()) return;
    if (now_ + s_.tick * 2 < it->second.deadline) StaySeen(it->second, true);
    CancelPending(it->second);
    Forget(it->second);
  }

  void On(const PeerEvent&) {}

  // ---- Final answers --------------------------------------------------------------------------------
  // Refusing promises that a new try does no harm.
  bool MayRefuse(const Request& r) const {
    const RequestClass& cls = Class(r);
    if (cls.idempotency == Idempotency::kIdempotent ||
        (cls.idempotency == Idempotency::kIdempotencyKey && cls.deduplicated_everywhere))
      return true;
    return std::none_of(r.attempts.begin(), r.attempts.end(),
                        [](const Attempt& a) { return a.may_have_run; });
  }

  // When a new try may fare better: once the member that is soonest ready has rested and has worked off what
  // makes it too slow for this class. Where none is known to take it, after a pause: what is held for a
  // member costs none of them anything. Never under what one answer takes, in which little changes.
  Duration ComeBack(const Request& r) {
    if (!s_.clients_honor_retry_after) return Duration{0};
    std::optional<Duration> soonest;
    for (ServerId id : groups_[r.ask.group].servers) {
      const Member& m = members_.at(id);
      if (m.leaving || NeedsPrimary(r) != IsPrimary(m)) continue;
      const Duration rest = std::max(Duration{0}, m.resting_until - now_);
      const double over = std::max(0.0, Expects(r, m) - kHopeless * Seconds(Aim(r)));
      const Duration ready = rest + Times(Duration(1000000), kWorkedOff * over);
      soonest = std::min(soonest.value_or(ready), ready);
    }
    const Duration least = std::min(kPause, Times(Duration(1000000), class_latency_[r.ask.request_class]));
    return std::min(s_.max_retry_after, std::max(least, soonest.value_or(kPause)));
  }

  void Finish(Request& r) {
    first_tries_[r.ask.request_class].Unserved(now_ - r.asked);
    StaySeen(r, false);
    CancelPending(r);
    out_->push_back(MayRefuse(r) ? Action(Reject{r.ask.id, ComeBack(r)}) : Action(Fail{r.ask.id}));
    Forget(r);
  }

  void CancelPending(const Request& r) {
    for (std::size_t i = 0; s_.may_cancel && i < r.attempts.size(); ++i) {
      if (r.attempts[i].pending) out_->push_back(Cancel{r.ask.id, static_cast<AttemptNumber>(i)});
    }
  }

  void Forget(Request& r) {
    const RequestId id = r.ask.id;
    waiting_.erase(id);
    requests_.erase(id);
  }

  // ---- Probes and discovery -------------------------------------------------------------------------

  void ProbeMember(Member& m) {
    if (!s_.may_health_check || m.leaving || m.probing || now_ - m.probed < kPause) return;
    m.probing = true;
    m.probed = now_;
    out_->push_back(StartHealthCheck{m.id});
  }

  bool PaidProbe(Member& m) {
    if (probe_tokens_ < 1) return false;
    probe_tokens_ -= 1;
    ProbeMember(m);
    return true;
  }

  void On(const HealthCheckEvent& event) {
    const auto it = members_.find(event.server);
    if (it == members_.end()) return;
    Member& m = it->second;
    m.probing = false;
    m.down = m.failures > 0 && event.outcome != Outcome::kOk && event.outcome != Outcome::kError;
    if (event.report) TakeReport(m, *event.report);
  }

  // Nobody is known to qualify and members do not check: ask those that may, by what was last heard of them.
  void Ask(const Request& r) {
    const std::optional<LogPosition> target = Target(r);
    for (ServerId id : groups_[r.ask.group].servers) {
      Member& m = members_.at(id);
      if (!target || !Usable(m) || IsPrimary(m)) continue;
      if (m.position.MayHold(Since(now_), Since(*target))) ProbeMember(m);
    }
  }

  void On(const TimerEvent& event) {
    const auto raw = static_cast<std::uint64_t>(event.id);
    const auto kind = static_cast<TimerKind>(raw >> 32);
    if (kind == TimerKind::kBeat) Beat();
    if (kind == TimerKind::kWatch) out_->push_back(WatchEndpointList{true});
    const auto it = requests_.find(RequestId(static_cast<std::uint32_t>(raw)));
    if (it == requests_.end()) return;
    if (kind == TimerKind::kEnd) Finish(it->second);
  }

  void Beat() {
    SetTimer(TimerKind::kBeat, kPause);
    double warm = 0;  // members' worth of warm capacity
    // One walk: with 730 members each costs a proxy that carries nothing 0.2 % of a core.
    std::erase_if(members_, [&](const auto& item) {
      warm += Usable(item.second) ? WarmShare(item.second) : 0;
      return Forgotten(item.second);
    });
    carried_.End(Seconds(kPause), warm);
    SeekPrimaries();
    ProbeStale();
    stirred_ = true;
  }

  // A held write pays a probe of its group now and then, from the budget of all probes: hundreds of proxies
  // that seek the same primary, or miss it only as connections are short, must not add up to a load.
  void SeekPrimaries() {
    std::set<GroupId> sought;
    for (RequestId id : waiting_) {
      const Request& r = requests_.at(id);
      if (NeedsPrimary(r) && groups_[r.ask.group].searching) sought.insert(r.ask.group);
    }
    for (GroupId id : sought) {
      const std::vector<ServerId>& of = groups_[id].servers;
      if (!of.empty()) PaidProbe(members_.at(of[random_() % of.size()]));
    }
  }

  // The positions heard longest ago, those of unheard members first, within the probes' part of the price; a
  // few a beat, as all proxies may have started together.
  void ProbeStale() {
    if (s_.load_reporting == LoadReporting::kNone || probe_tokens_ < 1) return;
    const int pauses = s_.responses_report_position ? kStaleToldPauses : kStalePauses;
    std::vector<Member*> stale;
    for (auto& [id, m] : members_) {
      if (m.leaving || m.probing) continue;
      const Duration asked = std::max(m.position.heard(), Since(m.probed));
      if (Since(now_) - asked > kPause * pauses) stale.push_back(&m);
    }
    std::shuffle(stale.begin(), stale.end(), random_);
    std::ranges::stable_sort(stale, {}, [](const Member* m) { return m->position.heard(); });
    for (std::size_t i = 0; i < std::min(kMostProbes, stale.size()); ++i) PaidProbe(*stale[i]);
  }

  Duration Jittered(Duration d) {
    return Times(d, std::uniform_real_distribution<double>(0.5, 1.5)(random_));
  }

  void SetTimer(TimerKind kind, Duration delay, std::uint64_t low = 0) {
    out_->push_back(lynxgrade::SetTimer{TimerId((static_cast<std::uint64_t>(kind) << 32) | low), delay});
  }

  Settings s_;
  const fleet::SlowStartRule warm_up_{s_.initial_capacity, s_.slow_start_duration, s_.overload_factor,
                                      s_.overload_duration};
  std::mt19937_64 random_;
  TimePoint now_{};
  TimePoint handled_{};
  Actions* out_ = nullptr;
  bool stirred_ = false;
  std::map<ServerId, Member> members_;
  std::map<GroupId, Group> groups_;
  std::map<RequestId, Request> requests_;
  std::set<RequestId> waiting_;
  std::vector<double> class_latency_;
  std::vector<estimation::FirstAttemptEstimator> first_tries_ =
      std::vector<estimation::FirstAttemptEstimator>(s_.classes.size());
  estimation::ClientPatienceEstimator stay_;
  double miss_share_[2] = {0, 0};  // of other replicas, and of hosts of long reads
  double retry_tokens_ = kRetryBurst;
  double probe_tokens_ = kRetryBurst;
  fleet::WarmServerThroughput carried_;
  fleet::DemandEstimator demand_[2];  // over all groups
  int watch_failures_ = 0;
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(TimePoint now, const Event& event, Actions& actions) {
  impl_->Handle(now, event, actions);
}

}  // namespace lynxgrade
