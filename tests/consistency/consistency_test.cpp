// The sessions' guarantee without sockets: the ledger against a plain model, and what changes of primary,
// restarts and other instances do to a read's target.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consistency/session_consistency_guard.h"

namespace lynxgrade::consistency {
namespace {

LogPosition At(std::int64_t ms) { return LogPosition(Duration(1'700'000'000'000'000 + ms * 1000)); }
constexpr ServerId kA{1}, kB{2}, kC{3};
constexpr GroupId kGroup{2};

TEST_CASE("ledger: against a plain map, no session is ever known by less than its newest write") {
  CHECK(rc::check("ledger", [](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& writes) {
    SessionWatermarkTable watermark_table(24);  // six buckets: most of 256 sessions have to be forgotten
    std::map<std::uint8_t, WriteWatermark> model;
    for (const auto& [session, ms] : writes) {
      const SessionKey key = SessionKeyOf(kGroup, std::to_string(session));
      const WriteWatermark watermark{At(ms), ServerId(session % 3u)};
      watermark_table.Note(key, watermark);
      WriteWatermark& newest = model.try_emplace(session, watermark).first->second;
      if (watermark.position > newest.position) newest = watermark;
      for (const auto& [other, known] : model) {
        const auto found = watermark_table.Find(SessionKeyOf(kGroup, std::to_string(other)));
        const bool exact = found.watermark && found.watermark->position == known.position;
        const bool covered = !found.watermark && found.floor && *found.floor >= known.position;
        RC_ASSERT(exact || covered);
        if (exact) RC_ASSERT(found.watermark->by == known.by || !found.watermark->by);
      }
    }
    RC_ASSERT(watermark_table.size() <= 24 * 2);
  }));
}

TEST_CASE("ledger: a session that never wrote gets no target while nothing was forgotten") {
  SessionWatermarkTable watermark_table(1000);
  watermark_table.Note(SessionKeyOf(kGroup, "a"), {At(5), kA});
  const auto other = watermark_table.Find(SessionKeyOf(kGroup, "b"));
  CHECK_FALSE(other.watermark);
  CHECK_FALSE(other.floor);
  CHECK(SessionKeyOf(kGroup, "a") != SessionKeyOf(GroupId(3), "a"));
}

TEST_CASE("ledger: positions keep their order over the re-basing, and round up where they are too old") {
  SessionWatermarkTable watermark_table(100);
  watermark_table.Note(SessionKeyOf(kGroup, "old"), {At(0), kA});
  const std::int64_t weeks = 50LL * 86'400'000;
  watermark_table.Note(SessionKeyOf(kGroup, "new"), {At(weeks), kA});
  CHECK(watermark_table.Find(SessionKeyOf(kGroup, "new")).watermark->position == At(weeks));
  CHECK(watermark_table.Find(SessionKeyOf(kGroup, "old")).watermark->position >= At(0));
  CHECK(watermark_table.Find(SessionKeyOf(kGroup, "old")).watermark->position < At(weeks));
}

TEST_CASE(
    "reigns: what a lost primary answered after its successor's last word is in doubt, the rest is not") {
  PrimaryTimeline timelines(Duration(1'000'000));
  CHECK(timelines.Primary(kA, At(0)));
  timelines.Standby(kB, At(90));
  CHECK_FALSE(timelines.Primary(kA, At(100)));
  CHECK(timelines.Primary(kB, At(3000)));
  struct Case {
    WriteWatermark watermark;
    bool doubt;
  };
  for (const Case& c : {Case{{At(90), kA}, false}, Case{{At(91), kA}, true}, Case{{At(3100), kA}, true},
                        Case{{At(2900), kB}, false}, Case{{At(91), std::nullopt}, true}}) {
    CAPTURE(c.watermark.position.time_since_epoch().count());
    CHECK(timelines.InDoubt(c.watermark) == c.doubt);
  }
  CHECK(timelines.InDoubt(At(50), At(95)));
  CHECK_FALSE(timelines.InDoubt(At(3001), At(3100)));
}

TEST_CASE("reigns: a replica's position proves nothing past what a reign that is known can have lasted") {
  PrimaryTimeline timelines(Duration(1'000'000));
  CHECK_FALSE(timelines.Believed());
  timelines.Primary(kA, At(100));
  CHECK(*timelines.Believed() == At(1100));
  timelines.Standby(kB, At(80));
  timelines.Standby(kB, At(5000));  // on the timeline of a successor that was not heard yet
  timelines.Primary(kB, At(6000));
  CHECK(timelines.held() == At(80));
}

TEST_CASE("reigns: a primary that was a replica in between proves nothing of its own earlier writes") {
  PrimaryTimeline timelines(Duration(1'000'000));
  timelines.Primary(kA, At(100));
  timelines.Standby(kA, At(4000));
  timelines.Primary(kA, At(9000));
  CHECK(timelines.InDoubt(WriteWatermark{At(90), kA}));
  CHECK_FALSE(timelines.Primary(kA, At(9100)));
}

TEST_CASE("reigns: another instance's word narrows a loss, and tells of a reign that was missed") {
  PrimaryTimeline timelines(Duration(1'000'000));
  timelines.Primary(kA, At(100));
  timelines.Primary(kB, At(5000));
  CHECK(timelines.InDoubt(WriteWatermark{At(80), kA}));
  timelines.Learn(kB, At(3000), At(95), At(5000));
  CHECK_FALSE(timelines.InDoubt(WriteWatermark{At(80), kA}));
  CHECK(timelines.InDoubt(WriteWatermark{At(96), kA}));
  timelines.Learn(kC, At(8000), At(7000), At(8200));
  CHECK(timelines.primary() == kC);
  CHECK(timelines.InDoubt(WriteWatermark{At(7500), kB}));
}

// A keeper with requests of one session, answered at will.
struct Rig {
  explicit Rig(Options options = Everywhere()) : consistency_guard(SettingsHere(), options) {
    ListEvent list{ListKind::kPersisted, {}};
    for (const ServerId id : {kA, kB, kC}) list.entries.push_back({.server = id, .group = kGroup});
    Give(list);
  }
  static Options Everywhere() {
    Options options;
    options.scope = Scope::kEverywhere;
    options.recall = Duration(30'000'000);
    return options;
  }
  static Settings SettingsHere() {
    Settings s;
    s.classes.resize(2);
    s.classes[0].kind = AccessKind::kSessionRead;
    s.classes[1].kind = AccessKind::kWrite;
    s.clients_carry_watermarks = false;
    return s;
  }
  Event Give(Event event) {
    consistency_guard.Before(now, event);
    for (const RejectedRead& turned : consistency_guard.TakeTurned()) gone.push_back(turned);
    return event;
  }
  RequestEvent Ask(ClassIndex cls, const char* session) {
    RequestEvent ask;
    ask.id = RequestId(++last);
    ask.group = kGroup;
    ask.request_class = cls;
    ask.session = session;
    return std::get<RequestEvent>(Give(ask));
  }
  AttemptEndedEvent Answer(RequestId id, ServerId server, bool primary, LogPosition position,
                           Outcome outcome = Outcome::kOk) {
    AttemptEndedEvent event;
    event.id = id;
    event.server = server;
    event.outcome = outcome;
    event.metadata = {position, primary};
    return std::get<AttemptEndedEvent>(Give(event));
  }
  void Write(const char* session, ServerId by, LogPosition commit) {
    Answer(Ask(1, session).id, by, true, commit);
  }
  std::optional<LogPosition> Target(const char* session) { return Ask(0, session).required_position; }

  SessionConsistencyGuard consistency_guard;
  TimePoint now = At(0);
  std::vector<RejectedRead> gone;
  std::uint32_t last = 0;
};

TEST_CASE("keeper: a read's target is its session's newest answered write") {
  Rig rig;
  rig.Write("s", kA, At(10));
  rig.Write("s", kA, At(20));
  rig.Answer(rig.Ask(1, "s").id, kA, true, At(30), Outcome::kError);  // not answered
  rig.now = At(50);
  CHECK(*rig.Target("s") == At(20));
  CHECK_FALSE(rig.Target("other"));
  CHECK(rig.gone.empty());
  rig.now = At(31'000);
  CHECK_FALSE(rig.Target("s"));  // past recall
}

TEST_CASE("keeper: after a start from nothing each session may have written until then") {
  Rig rig;
  rig.now = At(10'000);
  rig.consistency_guard.LearnReign(kGroup, kA, At(-60'000), At(-60'000), At(9'000));
  rig.consistency_guard.Started(rig.now, std::nullopt);
  CHECK(*rig.Target("s") == At(10'000));
  CHECK(rig.gone.empty());
  rig.Write("s", kA, At(10'500));
  CHECK(*rig.Target("s") == At(10'500));
  rig.now = At(41'000);
  CHECK_FALSE(rig.Target("other"));
}

TEST_CASE("keeper: where the reign's begin is not known after a start from nothing, reads are turned away") {
  Rig rig;
  rig.now = At(10'000);
  rig.consistency_guard.Started(rig.now, std::nullopt);
  rig.Write("w", kA, At(10'100));
  rig.Ask(0, "s");
  REQUIRE(rig.gone.size() == 1);
  CHECK(rig.gone[0].reason == Reason::kUnknown);
  rig.Ask(0, "w");  // wrote since
  CHECK(rig.gone.size() == 1);
}

TEST_CASE("keeper: the tail that a primary took with it turns its sessions' reads away, open ones too") {
  Rig rig;
  rig.Write("held", kA, At(100));
  rig.Answer(rig.Ask(0, "x").id, kB, false, At(100));
  rig.Write("lost", kA, At(130));
  rig.now = At(200);
  const RequestId open = rig.Ask(0, "lost").id;
  CHECK(rig.gone.empty());
  rig.now = At(3000);
  rig.Answer(rig.Ask(0, "x").id, kB, true, At(3000));
  REQUIRE(rig.gone.size() == 1);
  CHECK(rig.gone[0].id == open);
  CHECK(rig.gone[0].reason == Reason::kLost);
  rig.Ask(0, "lost");
  CHECK(rig.gone.size() == 2);
  CHECK(*rig.Target("held") == At(100));
  CHECK(rig.gone.size() == 2);
  rig.Write("lost", kB, At(3100));
  CHECK(*rig.Target("lost") == At(3100));
  CHECK(rig.gone.size() == 2);
}

TEST_CASE("keeper: a new reign that another instance tells of ends the reads under way too") {
  Rig rig;
  rig.Write("s", kA, At(130));
  rig.now = At(3000);
  const RequestId read = rig.Ask(0, "s").id;
  rig.consistency_guard.LearnReign(kGroup, kB, At(2900), At(100), At(2950));
  for (const RejectedRead& turned : rig.consistency_guard.TakeTurned()) rig.gone.push_back(turned);
  REQUIRE(rig.gone.size() == 1);
  CHECK(rig.gone[0].id == read);
}

TEST_CASE("keeper: an answer that shows a new primary is not itself served where it lacks the write") {
  Rig rig;
  rig.Write("s", kA, At(130));
  rig.now = At(3000);
  const RequestId read = rig.Ask(0, "s").id;
  rig.Answer(read, kB, true, At(3000));
  REQUIRE(rig.gone.size() == 1);
  CHECK(rig.gone[0].id == read);
}

TEST_CASE("keeper: an answer older than its target is a miss") {
  Rig rig;
  rig.Write("s", kA, At(130));
  CHECK(rig.Answer(rig.Ask(0, "s").id, kB, false, At(129)).outcome == Outcome::kMisrouted);
  CHECK(rig.Answer(rig.Ask(0, "s").id, kB, false, At(130)).outcome == Outcome::kOk);
}

TEST_CASE("keeper: a replaced primary that still answers is not believed, whenever it spoke") {
  Rig rig;
  rig.Write("s", kA, At(100));
  rig.Answer(rig.Ask(0, "x").id, kB, false, At(100));
  rig.Write("s", kB, At(3000));
  rig.now = At(3001);
  // From before the change: it is old. From after it: a second primary, and the session's write is in doubt.
  CHECK(rig.Answer(rig.Ask(0, "s").id, kA, true, At(2000)).outcome == Outcome::kMisrouted);
  CHECK(rig.gone.empty());
  const RequestId read = rig.Ask(0, "s").id;
  rig.Answer(read, kA, true, At(3001));
  REQUIRE(rig.gone.size() == 2);  // the one that is waiting to be sent again, and this one
  CHECK((rig.gone[0].id == read || rig.gone[1].id == read));
}

// Cut down to what is believed, such a position would vouch for a tail that its member may not hold.
TEST_CASE("keeper: a position from past where the known reign may have ended is kept from the module") {
  Rig rig;
  CHECK_FALSE(rig.Answer(rig.Ask(0, "s").id, kB, false, At(5)).metadata.position);
  rig.Write("s", kA, At(10));
  rig.now = At(9000);
  CHECK(*rig.Answer(rig.Ask(0, "x").id, kB, false, At(1010)).metadata.position == At(1010));
  CHECK_FALSE(rig.Answer(rig.Ask(0, "x").id, kB, false, At(9000)).metadata.position);
}

TEST_CASE("keeper: while another instance is not covered, a read's target is its own arrival") {
  Rig rig;
  rig.Write("s", kA, At(10));
  rig.now = At(100);
  rig.consistency_guard.Covered(7, At(90));
  RequestEvent ask;
  ask.request_class = 0;
  CHECK(rig.consistency_guard.WorthHolding(ask, rig.now));
  CHECK(*rig.Target("x") == At(100));
  rig.consistency_guard.Covered(7, At(100));
  CHECK_FALSE(rig.Target("x"));
  rig.consistency_guard.Learn(kGroup, SessionKeyOf(kGroup, "x"), {At(95), kA});
  CHECK(*rig.Target("x") == At(95));
  rig.consistency_guard.Learn(kGroup, SessionKeyOf(kGroup, "y"),
                              {At(120), kB});  // its word tells of a new primary
  rig.Ask(0, "x");
  CHECK(rig.gone.back().reason == Reason::kLost);
}

TEST_CASE("keeper: what a session carries counts only where sessions are said to carry it") {
  for (const bool carried : {false, true}) {
    Settings settings = Rig::SettingsHere();
    settings.clients_carry_watermarks = carried;
    SessionConsistencyGuard consistency_guard(settings, Options{});
    RequestEvent ask;
    ask.required_position = At(7);
    ask.time_since_write = Duration(2000);
    Event event = ask;
    consistency_guard.Before(At(10), event);
    const auto target = std::get<RequestEvent>(event).required_position;
    if (carried) CHECK(*target == At(8));
    if (!carried) CHECK_FALSE(target);
  }
}

TEST_CASE("keeper: for one instance's own writes nothing is turned away, and positions pass as they come") {
  Rig rig{Options{}};
  rig.Write("s", kA, At(130));
  const RequestEvent read = rig.Ask(0, "s");
  CHECK(*read.required_position == At(130));
  CHECK_FALSE(read.require_proven_position);
  CHECK(*rig.Answer(read.id, kB, true, At(9000)).metadata.position == At(9000));
  CHECK(rig.gone.empty());
  CHECK_FALSE(rig.Target("other"));
}

}  // namespace
}  // namespace lynxgrade::consistency
