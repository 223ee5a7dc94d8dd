// One TCP connection: a GIO socket, a ring buffer for each direction, and an owner that is called back.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/arrivals.h"
#include "net/glib_ptr.h"
#include "net/loop.h"
#include "net/ring_buffer.h"

namespace lynxgrade::net {

struct Address {
  std::string host;
  std::uint16_t port = 0;
};
// Reads "10.0.0.4:6543" or "[::1]:6543".
std::optional<Address> ParseAddress(std::string_view text);
ObjectPtr<GSocketAddress> SocketAddress(const Address& address);
// A non-blocking TCP socket; nothing, with `full` set, where descriptors have run out.
ObjectPtr<GSocket> NewSocket(GSocketFamily family, bool* full);

// Owned by shared_ptr; every callback holds the connection while it runs, so an owner may close and drop it
// from inside one. After Close nothing is called any more.
class Connection final : private Poller::Handler, public std::enable_shared_from_this<Connection> {
 public:
  class Owner {
   public:
    virtual void OnConnected() {}       // a connection that was opened is up
    virtual void OnReadable() = 0;      // the incoming ring has grown
    virtual void OnOutputFlushed() {}   // the outgoing ring has run empty
    virtual void OnEndOfStream() = 0;   // the peer sends no more; what came before has been read
    virtual void OnDisconnected() = 0;  // refused, reset or hung up: nothing can be sent or read any more

   protected:
    ~Owner() = default;
  };

  // Takes over a socket that is connected.
  static std::shared_ptr<Connection> Adopt(Loop& loop, ObjectPtr<GSocket> socket, Owner& owner,
                                           std::size_t in_limit, std::size_t out_limit);
  // Opens a connection; nothing where it fails at once, with `full` set if for want of a descriptor.
  static std::shared_ptr<Connection> Connect(Loop& loop, const Address& address, Owner& owner,
                                             std::size_t in_limit, std::size_t out_limit, bool* full);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  RingBuffer& input() { return in_; }
  // From now on it is kept when what is in the ring has come; `from`: the first of it no earlier than this.
  void RecordArrivalTimes(TimePoint from);
  // When the byte at `offset` of the ring has come, as far as can be told; never later than it did by more
  // than the kernel's clock ticks.
  TimePoint ArrivalTime(std::size_t offset) const { return arrivals_.TimeAt(offset); }
  // Takes `count` bytes out of the ring.
  void Consume(std::size_t count);
  // While reading is paused: looks how much has come meanwhile, so that it is known from when it is.
  void RecordUnreadArrivals();
  bool connected() const { return up_; }
  bool reading_paused() const { return paused_; }
  bool closed() const { return socket_ == nullptr; }
  int descriptor() const { return closed() ? -1 : g_socket_get_fd(socket_.get()); }
  bool end_of_stream() const { return peer_done_; }
  // Whether everything given to Write has been handed to the kernel.
  bool all_written() const { return out_.empty(); }
  std::size_t unsent_bytes() const { return out_.size(); }

  // Sends now what the kernel takes and keeps the rest. False: it does not fit, and nothing was taken.
  bool Write(std::string_view bytes);
  // Back-pressure: while paused nothing is read, so the peer's window fills.
  void PauseReading();
  void ResumeReading();
  // Ends the sending once all is written; the peer can still be read.
  void ShutdownSending();
  // Whether bytes or an end have come that were not read yet.
  bool HasPendingInput() const;
  void Close();

 private:
  Connection(Loop& loop, ObjectPtr<GSocket> socket, Owner& owner, std::size_t in_limit,
             std::size_t out_limit);
  void OnEvents(std::uint32_t events) override;
  // Bytes that have just been read.
  void KeepArrival(std::size_t count);
  // Tells the poller what this connection waits for now.
  void Watch();
  void Unwatch();
  void Read();
  void Flush();
  void FinishOpening();
  void Break();

  Loop& loop_;
  ObjectPtr<GSocket> socket_;
  Owner* owner_;
  RingBuffer in_;
  RingBuffer out_;
  bool keeps_arrivals_ = false;
  ArrivalTimes arrivals_;  // of what is in the ring
  ArrivalTimes ahead_;     // of what was seen in the kernel while reading was paused
  TimePoint looked_{};     // what is not in `ahead_` has come after this; zero: as the loop says
  std::optional<std::uint32_t> watched_;  // what the poller was told
  bool writing_ = false;                  // room to write is waited for: to be up, or to send the rest
  bool up_ = false;
  bool paused_ = false;
  bool peer_done_ = false;
  bool broken_ = false;
  bool over_ = false;  // and the owner knows
  bool ending_ = false;
};

}  // namespace lynxgrade::net
