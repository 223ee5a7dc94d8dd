#include "net/connection.h"

// This header has all fields of tcp_info, unlike <netinet/tcp.h>.
#include <linux/tcp.h>
#include <netinet/in.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <ctime>
#include <utility>

namespace lynxgrade::net {
namespace {

constexpr int kMaxReadsPerEvent = 4;              // so that one busy peer does not starve the others
constexpr Duration kMaxArrivalUncertainty{5000};  // above it the kernel is asked when the bytes arrived

// The resolution of the kernel's times of arrival.
Duration KernelTick() {
  timespec tick{};
  clock_getres(CLOCK_MONOTONIC_COARSE, &tick);
  return std::chrono::ceil<Duration>(std::chrono::nanoseconds(tick.tv_nsec));
}

// How long ago at most the kernel received the newest byte; absent if the kernel does not report it. The
// kernel reports the ticks in between, which may be nearly one tick less than the time.
std::optional<Duration> MaxTimeSinceLastReceive(int descriptor) {
  static const Duration kTick = KernelTick();
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv) + kTick;
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

ObjectPtr<GSocket> NewSocket(GSocketFamily family, bool* out_of_descriptors) {
  ErrorSlot error;
  ObjectPtr<GSocket> socket(g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error.out()));
  // GIO reports EMFILE and ENFILE by a code of its own.
  if (socket == nullptr) *out_of_descriptors = error.Matches(G_IO_ERROR_TOO_MANY_OPEN_FILES);
  if (socket != nullptr) g_socket_set_blocking(socket.get(), FALSE);
  return socket;
}

Connection::Connection(Loop& loop, ObjectPtr<GSocket> socket, Owner& owner, const BufferOptions& buffers)
    : loop_(loop),
      socket_(std::move(socket)),
      owner_(&owner),
      input_(buffers.input_limit, buffers.memory, buffers.input_use),
      output_(buffers.output_limit, buffers.memory) {
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

Connection::~Connection() { Close(); }

std::shared_ptr<Connection> Connection::Adopt(Loop& loop, ObjectPtr<GSocket> socket, Owner& owner,
                                              std::size_t input_limit, std::size_t output_limit,
                                              limits::MemoryBudget* memory) {
  std::shared_ptr<Connection> connection(new Connection(
      loop, std::move(socket), owner, {input_limit, output_limit, memory, limits::MemoryUse::kRequest}));
  connection->connected_ = true;
  connection->UpdateWatch();
  return connection;
}

std::shared_ptr<Connection> Connection::Connect(Loop& loop, const Address& address, Owner& owner,
                                                std::size_t input_limit, std::size_t output_limit,
                                                bool* out_of_descriptors, limits::MemoryBudget* memory) {
  const ObjectPtr<GSocketAddress> socket_address = SocketAddress(address);
  if (socket_address == nullptr) return nullptr;
  ObjectPtr<GSocket> socket =
      NewSocket(g_socket_address_get_family(socket_address.get()), out_of_descriptors);
  if (socket == nullptr) return nullptr;
  std::shared_ptr<Connection> connection(
      new Connection(loop, std::move(socket), owner, {input_limit, output_limit, memory}));
  ErrorSlot error;
  if (!g_socket_connect(connection->socket_.get(), socket_address.get(), nullptr, error.out()) &&
      !error.Matches(G_IO_ERROR_PENDING)) {
    return nullptr;
  }
  // The socket becomes writable once the connect has succeeded or failed.
  connection->awaiting_writable_ = true;
  connection->UpdateWatch();
  return connection;
}

// After the end of the stream only errors are watched for: the poller is level-triggered and would report the
// end in every pass.
void Connection::UpdateWatch() {
  if (closed() || disconnect_reported_) return;
  const bool reading = connected_ && !end_of_stream_ && (broken_ || !paused_);
  const std::uint32_t events = (reading ? EPOLLIN : 0u) | (awaiting_writable_ ? EPOLLOUT : 0u);
  if (!watched_events_) {
    loop_.poller().Add(descriptor(), events, *this);
  } else if (*watched_events_ != events) {
    loop_.poller().Change(descriptor(), events);
  }
  watched_events_ = events;
}

void Connection::StopWatching() {
  if (watched_events_) loop_.poller().Remove(descriptor());
  watched_events_.reset();
}

void Connection::OnEvents(std::uint32_t events) {
  const std::shared_ptr<Connection> self = shared_from_this();
  const bool hung_up = (events & (EPOLLHUP | EPOLLERR)) != 0;
  if (!connected_) return FinishConnect();
  // Input that arrived before a hang-up is read first, unless reading is paused or has ended.
  if (broken_ || (hung_up && (end_of_stream_ || paused_))) return ReportDisconnect();
  if ((events & EPOLLOUT) != 0 && awaiting_writable_) {
    if (!owner_->MayFlush()) return;
    Flush();
    if (!closed() && !broken_ && output_.empty()) owner_->OnOutputFlushed();
  }
  if (closed() || broken_ || end_of_stream_ || paused_) return;
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) Read();
}

void Connection::FinishConnect() {
  if (!g_socket_check_connect_result(socket_.get(), nullptr)) return ReportDisconnect();
  connected_ = true;
  awaiting_writable_ = false;
  UpdateWatch();
  if (!output_.empty()) Flush();  // bytes written before the connection was established
  owner_->OnConnected();
}

void Connection::Read() {
  bool received = false;
  bool broken = false;
  for (int i = 0; i < kMaxReadsPerEvent; ++i) {
    const RingBuffer::Span span = WritableInput();
    // Full or without memory: the owner consumes some of it, or reading is paused below.
    if (span.size == 0) break;
    ErrorSlot error;
    const gssize count = g_socket_receive(socket_.get(), span.data, span.size, nullptr, error.out());
    if (count > 0) {
      input_.Commit(static_cast<std::size_t>(count));
      if (records_arrivals_) RecordRead(static_cast<std::size_t>(count));
      received = true;
      if (static_cast<std::size_t>(count) < span.size) break;
      continue;
    }
    if (count == 0) {
      end_of_stream_ = true;
    } else if (!error.Matches(G_IO_ERROR_WOULD_BLOCK)) {
      broken = true;
    }
    break;
  }
  if (end_of_stream_) UpdateWatch();
  if (received || input_.starved()) owner_->OnReadable();
  if (closed()) return;
  if (broken) return ReportDisconnect();
  if (end_of_stream_) return owner_->OnEndOfStream();
  // With a full buffer the readable socket would wake the loop in every pass.
  if (input_.free_space() == 0 || input_.starved()) PauseReading();
}

RingBuffer::Span Connection::WritableInput() {
  RingBuffer::Span span = input_.WritableSpan();
  while (span.size == 0 && input_.starved() && owner_->OnInputStarved()) span = input_.WritableSpan();
  return span;
}

// Bytes that the kernel accepts at once are not copied.
bool Connection::Write(std::string_view bytes) {
  if (closed() || broken_ || bytes.size() > output_.free_space()) return false;
  if (connected_ && output_.empty()) bytes.remove_prefix(Send(bytes));
  output_.Append(bytes);
  if (broken_) {
    UpdateWatch();
  } else if (connected_) {
    Flush();
  }
  return true;
}

std::size_t Connection::Send(std::string_view bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    ErrorSlot error;
    const gssize count =
        g_socket_send(socket_.get(), bytes.data() + sent, bytes.size() - sent, nullptr, error.out());
    if (count < 0) {
      // No callback from here, as the owner may be in the middle of an operation. The kernel reports the
      // error from now on, and the poller passes it on.
      broken_ = !error.Matches(G_IO_ERROR_WOULD_BLOCK);
      awaiting_writable_ = !broken_;
      break;
    }
    sent += static_cast<std::size_t>(count);
  }
  return sent;
}

void Connection::Flush() {
  while (!output_.empty()) {
    const std::string_view front = output_.FrontSpan();
    const std::size_t sent = Send(front);
    output_.Consume(sent);
    if (sent < front.size()) return UpdateWatch();
  }
  awaiting_writable_ = false;
  UpdateWatch();
  if (shutdown_requested_) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

void Connection::ShutdownSending() {
  if (closed() || broken_) return;
  shutdown_requested_ = true;
  Flush();
}

void Connection::RecordArrivalTimes(TimePoint earliest) {
  records_arrivals_ = true;
  unread_checked_at_ = earliest;
}

void Connection::Consume(std::size_t count) {
  input_.Consume(count);
  arrivals_.Consume(count);
}

void Connection::RecordRead(std::size_t count) {
  while (count > 0 && unread_arrivals_.size() > 0) {
    const std::size_t part = std::min(count, unread_arrivals_.FirstSpanBytes());
    arrivals_.RecordArrival(part, unread_arrivals_.TimeAt(0));
    unread_arrivals_.Consume(part);
    count -= part;
  }
  if (count == 0) return;
  const TimePoint now = loop_.Now();
  TimePoint at = loop_.EarliestArrival();
  if (unread_checked_at_ != TimePoint{}) at = std::min(at, std::exchange(unread_checked_at_, TimePoint{}));
  if (now - at >= kMaxArrivalUncertainty) {
    if (const auto age = MaxTimeSinceLastReceive(descriptor())) at = std::clamp(now - *age, at, now);
  }
  arrivals_.RecordArrival(count, at);
}

void Connection::RecordUnreadArrivals() {
  if (!paused_ || !records_arrivals_ || closed()) return;
  const gssize unread = g_socket_get_available_bytes(socket_.get());
  if (unread < 0) return;  // unknown: all bytes may have arrived since the last check
  const TimePoint now = loop_.Now();
  const auto count = static_cast<std::size_t>(unread);
  if (count > unread_arrivals_.size()) {
    unread_arrivals_.RecordArrival(count - unread_arrivals_.size(), std::min(unread_checked_at_, now));
  }
  unread_checked_at_ = now;
}

void Connection::PauseReading() {
  if (paused_) return;
  paused_ = true;
  unread_checked_at_ = loop_.EarliestArrival();
  RecordUnreadArrivals();
  UpdateWatch();
}

void Connection::ResumeReading() {
  if (!paused_) return;
  RecordUnreadArrivals();
  paused_ = false;
  UpdateWatch();
}

bool Connection::HasPendingInput() const {
  return closed() || broken_ || end_of_stream_ || g_socket_condition_check(socket_.get(), G_IO_IN) != 0;
}

bool Connection::HasUnsentBytesInKernel() const {
  if (closed()) return false;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(descriptor(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return false;
  if (size < offsetof(tcp_info, tcpi_notsent_bytes) + sizeof info.tcpi_notsent_bytes) return false;
  return info.tcpi_notsent_bytes > 0;
}

bool Connection::HasHungUp() const {
  constexpr auto kHangUp = static_cast<GIOCondition>(G_IO_HUP | G_IO_ERR);
  return closed() || broken_ || g_socket_condition_check(socket_.get(), kHangUp) != 0;
}

void Connection::ReportDisconnect() {
  broken_ = disconnect_reported_ = true;
  StopWatching();
  owner_->OnDisconnected();
}

void Connection::Close() {
  if (socket_ == nullptr) return;
  StopWatching();
  g_socket_close(socket_.get(), nullptr);
  socket_.reset();
}

}  // namespace lynxgrade::net
