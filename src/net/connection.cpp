#include "net/connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <utility>

namespace lynxgrade::net {
namespace {

constexpr int kReadsPerWake = 4;  // a busy peer must not starve the others
constexpr Duration kLate{5000};   // what may have come longer ago than this is worth asking the kernel for

// How long ago the newest byte came, as the kernel has it; nothing where it does not say.
std::optional<Duration> SinceNewest(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  Address address;
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  address.host = std::string(host);
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc() || end != port.data() + port.size()) return std::nullopt;
  if (SocketAddress(address) == nullptr) return std::nullopt;
  return address;
}

ObjectPtr<GSocketAddress> SocketAddress(const Address& address) {
  return ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(address.host.c_str(), address.port));
}

ObjectPtr<GSocket> NewSocket(GSocketFamily family, bool* full) {
  ErrorSlot error;
  ObjectPtr<GSocket> socket(g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error.out()));
  // GIO names the shortage of descriptors by its own code.
  if (socket == nullptr) *full = error.Matches(G_IO_ERROR_TOO_MANY_OPEN_FILES);
  if (socket != nullptr) g_socket_set_blocking(socket.get(), FALSE);
  return socket;
}

Connection::Connection(Loop& loop, ObjectPtr<GSocket> socket, Owner& owner, std::size_t in_limit,
                       std::size_t out_limit)
    : loop_(loop), socket_(std::move(socket)), owner_(&owner), in_(in_limit), out_(out_limit) {
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

Connection::~Connection() { Close(); }

std::shared_ptr<Connection> Connection::Adopt(Loop& loop, ObjectPtr<GSocket> socket, Owner& owner,
                                              std::size_t in_limit, std::size_t out_limit) {
  std::shared_ptr<Connection> made(new Connection(loop, std::move(socket), owner, in_limit, out_limit));
  made->up_ = true;
  made->Watch();
  return made;
}

std::shared_ptr<Connection> Connection::Connect(Loop& loop, const Address& address, Owner& owner,
                                                std::size_t in_limit, std::size_t out_limit, bool* full) {
  const ObjectPtr<GSocketAddress> target = SocketAddress(address);
  if (target == nullptr) return nullptr;
  ObjectPtr<GSocket> socket = NewSocket(g_socket_address_get_family(target.get()), full);
  if (socket == nullptr) return nullptr;
  std::shared_ptr<Connection> made(new Connection(loop, std::move(socket), owner, in_limit, out_limit));
  ErrorSlot error;
  if (!g_socket_connect(made->socket_.get(), target.get(), nullptr, error.out()) &&
      !error.Matches(G_IO_ERROR_PENDING)) {
    return nullptr;
  }
  made->writing_ = true;  // an opening connection becomes writable when it is up or has failed
  made->Watch();
  return made;
}

// After the peer's end only a reset is still news; a level-triggered end would be reported for ever.
void Connection::Watch() {
  if (closed() || over_) return;
  const bool reading = up_ && !peer_done_ && (broken_ || !paused_);
  const std::uint32_t events = (reading ? EPOLLIN : 0u) | (writing_ ? EPOLLOUT : 0u);
  if (!watched_) {
    loop_.poller().Add(descriptor(), events, *this);
  } else if (*watched_ != events) {
    loop_.poller().Change(descriptor(), events);
  }
  watched_ = events;
}

void Connection::Unwatch() {
  if (watched_) loop_.poller().Remove(descriptor());
  watched_.reset();
}

void Connection::OnEvents(std::uint32_t events) {
  const std::shared_ptr<Connection> self = shared_from_this();
  const bool over = (events & (EPOLLHUP | EPOLLERR)) != 0;
  if (!up_) return FinishOpening();
  // What has come is read before an end is believed; where nothing is to be read, the end is all there is.
  if (broken_ || (over && (peer_done_ || paused_))) return Break();
  if ((events & EPOLLOUT) != 0 && writing_) {
    Flush();
    if (!closed() && !broken_ && out_.empty()) owner_->OnOutputFlushed();
  }
  if (closed() || broken_ || peer_done_ || paused_) return;
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) Read();
}

void Connection::FinishOpening() {
  if (!g_socket_check_connect_result(socket_.get(), nullptr)) return Break();
  up_ = true;
  writing_ = false;
  Watch();
  if (!out_.empty()) Flush();  // what was written before it was up
  owner_->OnConnected();
}

void Connection::Read() {
  bool came = false;
  bool broken = false;
  for (int i = 0; i < kReadsPerWake; ++i) {
    const RingBuffer::Span span = in_.Writable();
    if (span.size == 0) break;  // full: the owner takes something out, or reading pauses below
    ErrorSlot error;
    const gssize count = g_socket_receive(socket_.get(), span.data, span.size, nullptr, error.out());
    if (count > 0) {
      in_.Commit(static_cast<std::size_t>(count));
      if (keeps_arrivals_) KeepArrival(static_cast<std::size_t>(count));
      came = true;
      if (static_cast<std::size_t>(count) < span.size) break;
      continue;
    }
    if (count == 0) {
      peer_done_ = true;
    } else if (!error.Matches(G_IO_ERROR_WOULD_BLOCK)) {
      broken = true;
    }
    break;
  }
  if (peer_done_) Watch();
  if (came) owner_->OnReadable();
  if (closed()) return;
  if (broken) return Break();
  if (peer_done_) return owner_->OnEndOfStream();
  // A full ring that its owner leaves as it is must not spin on a readable socket.
  if (in_.free_space() == 0) PauseReading();
}

bool Connection::Write(std::string_view bytes) {
  if (closed() || broken_ || !out_.Append(bytes)) return false;
  if (up_) Flush();
  return true;
}

void Connection::Flush() {
  while (!out_.empty()) {
    const std::string_view front = out_.Front();
    ErrorSlot error;
    const gssize count = g_socket_send(socket_.get(), front.data(), front.size(), nullptr, error.out());
    if (count < 0) {
      // The owner may be in the middle of something: it is told of a broken connection by the poller, as the
      // kernel reports it from now on.
      broken_ = !error.Matches(G_IO_ERROR_WOULD_BLOCK);
      writing_ = !broken_;
      return Watch();
    }
    out_.Consume(static_cast<std::size_t>(count));
  }
  writing_ = false;
  Watch();
  if (ending_) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

void Connection::ShutdownSending() {
  if (closed() || broken_) return;
  ending_ = true;
  Flush();
}

void Connection::RecordArrivalTimes(TimePoint from) {
  keeps_arrivals_ = true;
  looked_ = from;
}

void Connection::Consume(std::size_t count) {
  in_.Consume(count);
  arrivals_.Consume(count);
}

void Connection::KeepArrival(std::size_t count) {
  while (count > 0 && ahead_.size() > 0) {
    const std::size_t part = std::min(count, ahead_.FirstSpanBytes());
    arrivals_.RecordArrival(part, ahead_.TimeAt(0));
    ahead_.Consume(part);
    count -= part;
  }
  if (count == 0) return;
  const TimePoint now = loop_.Now();
  TimePoint at = loop_.EarliestArrival();
  if (looked_ != TimePoint{}) at = std::min(at, std::exchange(looked_, TimePoint{}));
  if (now - at >= kLate) {
    if (const auto ago = SinceNewest(descriptor())) at = std::clamp(now - *ago, at, now);
  }
  arrivals_.RecordArrival(count, at);
}

void Connection::RecordUnreadArrivals() {
  if (!paused_ || !keeps_arrivals_ || closed()) return;
  const gssize there = g_socket_get_available_bytes(socket_.get());
  if (there < 0) return;  // not to be told: all of it may have come since the last look
  const TimePoint now = loop_.Now();
  const auto count = static_cast<std::size_t>(there);
  if (count > ahead_.size()) ahead_.RecordArrival(count - ahead_.size(), std::min(looked_, now));
  looked_ = now;
}

void Connection::PauseReading() {
  if (paused_) return;
  paused_ = true;
  looked_ = loop_.EarliestArrival();
  RecordUnreadArrivals();
  Watch();
}

void Connection::ResumeReading() {
  if (!paused_) return;
  RecordUnreadArrivals();
  paused_ = false;
  Watch();
}

bool Connection::HasPendingInput() const {
  return closed() || broken_ || peer_done_ || g_socket_condition_check(socket_.get(), G_IO_IN) != 0;
}

void Connection::Break() {
  broken_ = over_ = true;
  Unwatch();
  owner_->OnDisconnected();
}

void Connection::Close() {
  if (socket_ == nullptr) return;
  Unwatch();
  g_socket_close(socket_.get(), nullptr);
  socket_.reset();
}

}  // namespace lynxgrade::net
