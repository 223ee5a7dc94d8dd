#include "discovery/watch.h"

#include <spdlog/spdlog.h>

namespace lynxgrade::discovery {
namespace {

constexpr Duration kConnectWithin{1000000};
constexpr Duration kHeadWithin{3000000};
constexpr Duration kLineWithin{5000000};  // an empty line is due every 2 s
// Waits between calls: one instance's first is up to this; each further instance widens it, so that all
// together make about fifty calls a second in the first round and twelve from the fourth on.
constexpr Duration kFirstPause{150000};
constexpr Duration kSpacing{20000};
constexpr std::size_t kMostLine = 4 << 20;
constexpr std::size_t kRing = 64 * 1024;

}  // namespace

Watch::Watch(net::Loop& loop, net::Address address, RosterReader& reader, std::int64_t since,
             std::uint64_t seed, Callers callers, Changed changed)
    : loop_(loop),
      address_(std::move(address)),
      reader_(reader),
      since_(since),
      callers_(callers),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      changed_(std::move(changed)),
      deadline_(loop),
      again_(loop),
      backoff_(callers.shared ? callers.instances : 1, kFirstPause, kSpacing) {}

Watch::~Watch() {
  if (connection_ != nullptr) connection_->Close();
}

void Watch::Start() { CallFirst(); }

// Spreading calls that cost nobody anything made 300 instances wait up to 6 s after a start, and send to
// members that their agents had long known to drain.
void Watch::CallFirst() {
  const Duration wait = callers_.shared ? backoff_.Spread(Chance(), callers_.first_within) : Duration{0};
  again_.After(wait, [this] { Call(); });
}

void Watch::Call() {
  lines_.clear();
  response_.emplace();
  bool full = false;
  connection_ = net::Connection::Open(loop_, address_, *this, kRing, kRing, &full);
  if (connection_ == nullptr) return Again("no connection to be had");
  ExpectWithin(kConnectWithin, "no connection in time");
}

void Watch::MoveTo(const net::Address& address) {
  if (address.host == address_.host && address.port == address_.port) return;
  address_ = address;
  if (connection_ != nullptr) connection_->Close();
  backoff_.Succeeded();  // the failures were the old address's
  deadline_.Clear();
  CallFirst();
}

void Watch::ExpectWithin(Duration time, const char* what) {
  deadline_.After(time, [this, what] { Again(what); });
}

void Watch::OnUp() {
  connection_->Write("GET /registry/instances?follow=1&since=" + std::to_string(since_) +
                     " HTTP/1.1\r\nHost: " + address_.host + ":" + std::to_string(address_.port) +
                     "\r\nAccept: application/json\r\n\r\n");
  ExpectWithin(kHeadWithin, "no answer in time");
}

void Watch::OnReadable() {
  const std::string_view bytes = connection_->in().All();
  const HttpResponse::State state = response_->Feed(bytes);
  connection_->in().Consume(bytes.size());
  connection_->ResumeReading();
  if (state == HttpResponse::State::kBad) return Again(response_->fault().c_str());
  if (state == HttpResponse::State::kHead) return;
  if (response_->status() != 200) return Again("an answer other than 200");
  ExpectWithin(kLineWithin, "silent for too long");
  TakeLines();
  if (state == HttpResponse::State::kDone) Again("the watch has ended");
}

void Watch::TakeLines() {
  lines_ += response_->TakeBody();
  std::size_t from = 0;
  for (std::size_t end; (end = lines_.find('\n', from)) != std::string::npos; from = end + 1) {
    TakeLine(lines_.substr(from, end - from));
  }
  lines_.erase(0, from);
  if (lines_.size() > kMostLine) {
    spdlog::warn("discovery: dropped a line of over {} bytes", kMostLine);
    lines_.clear();
  }
}

void Watch::TakeLine(const std::string& line) {
  std::string wrong;
  std::optional<RosterChange> change;
  const bool blank = line.find_first_not_of(" \t\r") == std::string::npos;
  if (!blank) change = reader_.Read(line, wrong);
  // One that answers and cannot be understood has failed: called again at once, it would be called without
  // end, by all instances.
  const auto level = backoff_.failures() > 0 && !change ? spdlog::level::debug : spdlog::level::warn;
  if (!wrong.empty()) spdlog::log(level, "discovery: {}", wrong);
  if (!blank && !change) return;
  backoff_.Succeeded();
  heard_ = true;
  if (!change) return;
  since_ = change->revision;
  changed_(*change);
}

void Watch::OnPeerDone() { Again("the connection was closed"); }
void Watch::OnBroken() { Again("the connection broke"); }

double Watch::Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

// What was missed comes first on the next watch, as it asks from the version that was reached.
void Watch::Again(const char* why) {
  if (connection_ != nullptr) connection_->Close();
  deadline_.Clear();
  const Duration wait = backoff_.Next(Chance());
  if (backoff_.failures() == 1) {
    spdlog::info("discovery: {}; watching anew from version {}", why, since_);
  } else {
    spdlog::debug("discovery: {}, {} times in a row", why, backoff_.failures());
  }
  again_.After(wait, [this] { Call(); });
}

}  // namespace lynxgrade::discovery
