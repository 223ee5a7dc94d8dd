#include "front/front.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace lynxgrade::front {
namespace {

constexpr Duration kSweepEvery{1000000};
constexpr Duration kStartupWithin{10000000};  // a connection that does not say who it is goes
constexpr Duration kLeaveWithin{2000000};     // for a client to read why it was turned out
// After SIGTERM the front layer still hands out connections for a while.
constexpr Duration kStillComing{500000};
constexpr Duration kQuiet{150000};
constexpr Duration kLongestComing{650000};
constexpr Duration kDrainStep{20000};

}  // namespace

Front::Front(net::Loop& loop, proxy::Proxy& proxy, net::DescriptorBudget& budget,
             std::vector<std::string> classes, std::vector<std::string> tenants, const Settings& settings,
             std::function<bool()> shed)
    : loop_(loop),
      proxy_(proxy),
      budget_(budget),
      classes_(std::move(classes)),
      tenants_(std::move(tenants)),
      kinds_(settings.classes),
      shed_(std::move(shed)),
      listener_(
          loop, [this] { return MayAccept(); },
          [this](net::ObjectPtr<GSocket> socket) { Accepted(std::move(socket)); }),
      sweep_(loop),
      drain_(loop) {
  sweep_.After(kSweepEvery, [this] { Sweep(); });
}

Front::~Front() = default;

bool Front::MayAccept() { return budget_.ClientFits() || ShedIdle() || (shed_() && budget_.ClientFits()); }

void Front::Accepted(net::ObjectPtr<GSocket> socket) {
  accepted_at_ = loop_.Now();
  auto session = std::make_shared<Session>(*this, budget_);
  sessions_.emplace(session.get(), session);
  session->Begin(std::move(socket));
}

void Front::Closed(Session& session) {
  sessions_.erase(&session);
  if (leaving_ && sessions_.empty() && done_) std::exchange(done_, nullptr)();
}

bool Front::ShedIdle() {
  Session* oldest = nullptr;
  for (const auto& [raw, session] : sessions_) {
    if (session->idle() && (oldest == nullptr || raw->since() < oldest->since())) oldest = raw;
  }
  if (oldest == nullptr) return false;
  const auto held = sessions_.at(oldest);
  held->Close();
  return true;
}

void Front::Sweep() {
  std::vector<std::shared_ptr<Session>> late;
  for (const auto& [raw, session] : sessions_) {
    const Duration quiet = loop_.Now() - session->since();
    if (session->silent() && quiet > kStartupWithin) late.push_back(session);
    if (session->leaving() && quiet > kLeaveWithin) late.push_back(session);
  }
  for (const auto& session : late) session->Close();
  sweep_.After(kSweepEvery, [this] { Sweep(); });
}

void Front::Drain(std::function<void()> done) {
  if (done_ || leaving_) return;
  done_ = std::move(done);
  drain_from_ = loop_.Now();
  drain_.After(kStillComing, [this] { StopListening(); });
}

void Front::StopListening() {
  const bool quiet = loop_.Now() - accepted_at_ >= kQuiet;
  if (!quiet && loop_.Now() - drain_from_ < kLongestComing) {
    return drain_.After(kDrainStep, [this] { StopListening(); });
  }
  listener_.Close();
  leaving_ = true;
  std::vector<std::shared_ptr<Session>> idle;
  for (const auto& [raw, session] : sessions_) {
    if (session->idle() || session->silent() || session->leaving()) idle.push_back(session);
  }
  for (const auto& session : idle) session->Close();
  if (sessions_.empty() && done_) std::exchange(done_, nullptr)();
}

}  // namespace lynxgrade::front
