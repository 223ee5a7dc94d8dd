#include "discovery/watch.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace lynxgrade::discovery {
namespace {

constexpr std::size_t kRing = 64 * 1024;

}  // namespace

Watch::Watch(net::Loop& loop, net::Address address, EndpointListReader& reader, std::int64_t since,
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
      waits_(callers.shared, callers.instances, callers.grace),
      heard_at_(loop.Now()) {}

Watch::~Watch() {
  if (connection_ != nullptr) connection_->Close();
}

void Watch::Start() { CallFirst(); }

// Spreading calls that cost nobody anything made 300 instances wait up to 6 s after a start, and send to
// members that their agents had long known to drain.
void Watch::CallFirst() {
  // Half of the grace at most: the rest is for the answer, or a retry.
  const Duration wait = callers_.shared ? waits_.FirstWait(Chance(), callers_.grace / 2) : Duration{0};
  again_.After(wait, [this] { Call(); });
}

void Watch::Call() {
  text_ = {};
  response_.emplace();
  bool full = false;
  connection_ = net::Connection::Open(loop_, address_, *this, kRing, kRing, &full);
  if (connection_ == nullptr) return Again("no connection to be had");
  // One limit for the whole call, however it spends its time. It begins here, not with this pass.
  deadline_.Set(loop_.Precise() + waits_.call(), [this] { Again("no answer in time"); });
}

void Watch::MoveTo(const net::Address& address) {
  if (address.host == address_.host && address.port == address_.port) return;
  address_ = address;
  if (connection_ != nullptr) connection_->Close();
  waits_.RecordSuccess();  // the failures were the old address's
  heard_at_ = loop_.Now();
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
}

void Watch::OnReadable() {
  const bool head = response_->state() == HttpResponse::State::kHead;
  const std::string_view bytes = connection_->in().All();
  const HttpResponse::State state = response_->Feed(bytes);
  connection_->in().Consume(bytes.size());
  connection_->ResumeReading();
  if (state == HttpResponse::State::kBad) return Again(response_->fault().c_str());
  if (state == HttpResponse::State::kHead) return;
  if (response_->status() != 200) return Again("an answer other than 200");
  if (head) ExpectWithin(waits_.silence(), "silent for too long");
  text_.Feed(response_->TakeBody());
  if (state == HttpResponse::State::kDone) return Ended();
  TakePieces();
}

// What has come whole; false where the watch is to be opened anew. Only a whole value and an empty line are
// signs of life: bytes of one that never ends are none.
bool Watch::TakePieces() {
  const std::shared_ptr<net::Connection> connection = connection_;
  while (auto piece = text_.Take()) {
    std::string wrong = "a list that was cut";
    std::optional<EndpointListUpdate> change;
    if (piece->kind != WatchBodyParser::Kind::kCut) wrong.clear();
    if (piece->kind == WatchBodyParser::Kind::kValue) change = reader_.Read(piece->text, wrong);
    if (piece->kind != WatchBodyParser::Kind::kBlank && !change) {
      // What it would have told is asked for again: the next change would not bring it.
      const auto level = waits_.failures() > 0 ? spdlog::level::debug : spdlog::level::warn;
      spdlog::log(level, "discovery: {}", wrong);
      Again(wrong.c_str());
      return false;
    }
    if (!wrong.empty()) spdlog::warn("discovery: {}", wrong);
    waits_.RecordSuccess();
    // It may have come while this loop was busy or stood still, and what was missed counts from then.
    heard_at_ = std::max(heard_at_, loop_.Since());
    ExpectWithin(waits_.silence(), "silent for too long");
    if (!change) continue;
    heard_ = true;
    since_ = change->revision;
    changed_(*change);
    if (connection != connection_ || connection->closed()) return false;  // moved from inside
  }
  return true;
}

// The answer has come to its end: its last line needs no end of its own.
void Watch::Ended() {
  text_.End();
  if (TakePieces()) Again("the watch has ended");
}

// The end of an answer of no stated length; of any other, and of a broken connection, it is none.
void Watch::OnPeerDone() {
  if (response_->End() == HttpResponse::State::kDone && response_->status() == 200) return Ended();
  Again("the connection was closed");
}
void Watch::OnBroken() { Again("the connection broke"); }

double Watch::Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

// What was missed comes first on the next watch, as it asks from the version that was reached.
void Watch::Again(const char* why) {
  if (connection_ != nullptr) connection_->Close();
  deadline_.Clear();
  const Duration wait = waits_.NextWait(Chance(), loop_.Now() - heard_at_);
  if (waits_.failures() == 1) {
    spdlog::info("discovery: {}; watching anew from version {}", why, since_);
  } else {
    spdlog::debug("discovery: {}, {} times in a row", why, waits_.failures());
  }
  again_.After(wait, [this] { Call(); });
}

}  // namespace lynxgrade::discovery
