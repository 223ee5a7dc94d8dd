#include "discovery/discovery_watch.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace lynxgrade::discovery {
namespace {

constexpr std::size_t kBufferBytes = 64u << 10;  // of the connection, in each direction
constexpr int kHttpOk = 200;

}  // namespace

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, net::Address address, EndpointListReader& reader,
                               std::int64_t revision, std::uint64_t seed, DiscoveryService service,
                               UpdateCallback on_update)
    : loop_(loop),
      address_(std::move(address)),
      reader_(reader),
      revision_(revision),
      service_(service),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      on_update_(std::move(on_update)),
      deadline_timer_(loop),
      retry_timer_(loop),
      retry_policy_(service.shared, service.instances, service.drain_grace),
      last_activity_(loop.Now()) {}

DiscoveryWatch::~DiscoveryWatch() {
  if (connection_ != nullptr) connection_->Close();
}

void DiscoveryWatch::Start() { ScheduleFirstRequest(); }

void DiscoveryWatch::ScheduleFirstRequest() {
  Duration delay{0};
  // At most half of the grace: the other half is for the response or a retry.
  if (service_.shared) delay = retry_policy_.InitialWait(DrawUniform(), service_.drain_grace / 2);
  retry_timer_.ScheduleAfter(delay, [this] { SendRequest(); });
}

void DiscoveryWatch::SendRequest() {
  body_ = {};
  response_.emplace();
  bool out_of_descriptors = false;
  connection_ =
      net::Connection::Connect(loop_, address_, *this, kBufferBytes, kBufferBytes, &out_of_descriptors);
  if (connection_ == nullptr) return Retry("cannot open a connection");
  // One deadline for the connect and the head of the response. It counts from the precise time, as the
  // present pass of the loop may have begun long ago.
  deadline_timer_.ScheduleAt(loop_.PreciseNow() + retry_policy_.call_timeout(),
                             [this] { Retry("no response before the deadline"); });
}

void DiscoveryWatch::MoveTo(const net::Address& address) {
  if (address.host == address_.host && address.port == address_.port) return;
  address_ = address;
  if (connection_ != nullptr) connection_->Close();
  retry_policy_.RecordSuccess();  // forgets the failures of the former address
  last_activity_ = loop_.Now();
  deadline_timer_.Cancel();
  ScheduleFirstRequest();
}

void DiscoveryWatch::ExpectActivityWithin(Duration timeout) {
  deadline_timer_.ScheduleAfter(timeout, [this] { Retry("no data before the heartbeat timeout"); });
}

void DiscoveryWatch::OnConnected() {
  connection_->Write("GET /registry/instances?follow=1&since=" + std::to_string(revision_) +
                     " HTTP/1.1\r\nHost: " + address_.host + ":" + std::to_string(address_.port) +
                     "\r\nAccept: application/json\r\n\r\n");
}

void DiscoveryWatch::OnReadable() {
  using State = HttpResponseParser::State;
  const bool head_pending = response_->state() == State::kHead;
  const std::string_view bytes = connection_->input().Linearize();
  const State state = response_->Append(bytes);
  connection_->input().Consume(bytes.size());
  connection_->ResumeReading();
  if (state == State::kMalformed) return Retry(response_->error());
  if (state == State::kHead) return;
  if (response_->status() != kHttpOk) return Retry("HTTP status other than 200");
  if (head_pending) ExpectActivityWithin(retry_policy_.max_silence());
  body_.Append(response_->ExtractBody());
  if (state == State::kComplete) return HandleBodyEnd();
  HandleItems();
}

// Handles all complete items.
DiscoveryWatch::WatchState DiscoveryWatch::HandleItems() {
  while (const auto item = body_.NextItem()) {
    if (HandleItem(*item) == WatchState::kClosed) return WatchState::kClosed;
  }
  return WatchState::kOpen;
}

// Only a complete value and an empty line count as activity, so that a value that never ends leads to a
// timeout.
DiscoveryWatch::WatchState DiscoveryWatch::HandleItem(const WatchBodyParser::Item& item) {
  switch (item.kind) {
    case WatchBodyParser::ItemKind::kTruncated:
      return HandleMalformedItem("truncated endpoint list");
    case WatchBodyParser::ItemKind::kEmptyLine:
      RecordActivity();
      return WatchState::kOpen;
    case WatchBodyParser::ItemKind::kValue:
      break;
  }
  const auto update = reader_.Read(item.text);
  if (!update) return HandleMalformedItem(Describe(update.error()));
  return HandleUpdate(*update);
}

DiscoveryWatch::WatchState DiscoveryWatch::HandleUpdate(const EndpointListUpdate& update) {
  if (update.rejected_entry) {
    spdlog::warn("discovery: endpoint skipped; cause=\"{}\"", Describe(*update.rejected_entry));
  }
  RecordActivity();
  has_received_update_ = true;
  revision_ = update.revision;
  const std::shared_ptr<net::Connection> connection = connection_;
  on_update_(update);
  const bool closed = connection != connection_ || connection->closed();
  return closed ? WatchState::kClosed : WatchState::kOpen;
}

// Retries from the last revision, because later updates do not repeat the content of this one.
DiscoveryWatch::WatchState DiscoveryWatch::HandleMalformedItem(const std::string& cause) {
  const auto level = retry_policy_.failures() > 0 ? spdlog::level::debug : spdlog::level::warn;
  spdlog::log(level, "discovery: update rejected; cause=\"{}\"", cause);
  Retry(cause);
  return WatchState::kClosed;
}

void DiscoveryWatch::RecordActivity() {
  retry_policy_.RecordSuccess();
  // The data may have arrived while the loop was busy or the process was stopped; updates may be missing from
  // that time on.
  last_activity_ = std::max(last_activity_, loop_.EarliestArrival());
  ExpectActivityWithin(retry_policy_.max_silence());
}

void DiscoveryWatch::HandleBodyEnd() {
  body_.Finish();
  if (HandleItems() == WatchState::kOpen) Retry("response ended");
}

void DiscoveryWatch::OnEndOfStream() {
  const bool complete = response_->HandleConnectionEnd() == HttpResponseParser::State::kComplete;
  if (complete && response_->status() == kHttpOk) return HandleBodyEnd();
  Retry("connection closed by the service");
}

void DiscoveryWatch::OnDisconnected() { Retry("connection lost"); }

double DiscoveryWatch::DrawUniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

void DiscoveryWatch::Retry(std::string_view cause) {
  if (connection_ != nullptr) connection_->Close();
  deadline_timer_.Cancel();
  const Duration delay = retry_policy_.NextWait(DrawUniform(), loop_.Now() - last_activity_);
  if (retry_policy_.failures() == 1) {
    spdlog::info("discovery: watch interrupted, reopening; cause=\"{}\" revision={}", cause, revision_);
  } else {
    spdlog::debug("discovery: watch interrupted, reopening; cause=\"{}\" failures={}", cause,
                  retry_policy_.failures());
  }
  retry_timer_.ScheduleAfter(delay, [this] { SendRequest(); });
}

}  // namespace lynxgrade::discovery
