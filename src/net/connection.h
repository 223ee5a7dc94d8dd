// One TCP connection: a GIO socket, a buffer for each direction, and an owner that receives callbacks.
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
// Parses "10.0.0.4:6543" or "[::1]:6543"; host names are not resolved.
std::optional<Address> ParseAddress(std::string_view text);
ObjectPtr<GSocketAddress> SocketAddress(const Address& address);
// Creates a non-blocking TCP socket. Null on failure; `*out_of_descriptors` then tells whether the limit on
// file descriptors was the cause.
ObjectPtr<GSocket> NewSocket(GSocketFamily family, bool* out_of_descriptors);

// Owned by shared_ptr; every callback holds a reference while it runs, so an owner may close and release the
// connection from inside one. There are no callbacks after Close. To be used on the loop's thread.
class Connection final : private Poller::Handler, public std::enable_shared_from_this<Connection> {
 public:
  class Owner {
   public:
    virtual void OnConnected() {}  // a connection opened by Connect is established
    // Bytes were added to the input buffer, or input waits that there is no memory for.
    virtual void OnReadable() = 0;
    // There is no memory for more input. Returns true if some has been freed. Otherwise, unless the owner
    // consumes input in OnReadable, reading is paused until the owner resumes it.
    virtual bool OnInputStarved() { return false; }
    // Called before buffered output is sent. Returns false if it must not be: the owner has closed the
    // connection.
    virtual bool MayFlush() { return true; }
    virtual void OnOutputFlushed() {}   // the output buffer has become empty
    virtual void OnEndOfStream() = 0;   // the peer has shut down its sending side; all bytes have been read
    virtual void OnDisconnected() = 0;  // refused, reset or hung up: no more sending or reading

   protected:
    ~Owner() = default;
  };

  // Takes over a connected socket. The limits are those of the buffers in bytes, here and below. `memory`
  // counts the buffers; the input of a connection that was adopted belongs to requests, else to responses.
  static std::shared_ptr<Connection> Adopt(Loop& loop, ObjectPtr<GSocket> socket, Owner& owner,
                                           std::size_t input_limit, std::size_t output_limit,
                                           limits::MemoryBudget* memory = nullptr);
  // Opens a connection. Null if that fails at once; see NewSocket for `out_of_descriptors`. Later failures
  // are reported by OnDisconnected.
  static std::shared_ptr<Connection> Connect(Loop& loop, const Address& address, Owner& owner,
                                             std::size_t input_limit, std::size_t output_limit,
                                             bool* out_of_descriptors,
                                             limits::MemoryBudget* memory = nullptr);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  RingBuffer& input() { return input_; }
  // Starts to record the arrival times of input. None of it has arrived before `earliest`.
  void RecordArrivalTimes(TimePoint earliest);
  // An estimate of when the byte at `offset` of the input buffer arrived: earlier than the true time or, by
  // a tick of the kernel's clock at most, later.
  TimePoint ArrivalTime(std::size_t offset) const { return arrivals_.TimeAt(offset); }
  // Removes the first `count` bytes from the input buffer. To be used in place of RingBuffer::Consume once
  // arrival times are recorded.
  void Consume(std::size_t count);
  // While reading is paused: records when the bytes that wait in the kernel have arrived. The more often it
  // is called, the more precise their arrival times.
  void RecordUnreadArrivals();
  bool connected() const { return connected_; }
  bool reading_paused() const { return paused_; }
  bool closed() const { return socket_ == nullptr; }
  int descriptor() const { return closed() ? -1 : g_socket_get_fd(socket_.get()); }
  bool end_of_stream() const { return end_of_stream_; }
  // Whether the kernel has accepted all bytes passed to Write.
  bool all_written() const { return output_.empty(); }
  std::size_t unsent_bytes() const { return output_.size(); }
  // Whether the kernel holds bytes that it has not sent yet, as the peer's window or the network's is full.
  // False if the kernel does not tell.
  bool HasUnsentBytesInKernel() const;

  // Sends what the kernel accepts at once and buffers the rest. Returns false, with nothing sent or buffered,
  // if the bytes do not fit into the output buffer or the connection is closed or broken.
  bool Write(std::string_view bytes);
  // Applies back-pressure: while reading is paused, the TCP window of the peer fills.
  void PauseReading();
  void ResumeReading();
  // Shuts down the sending side once all output has been sent; input is still read.
  void ShutdownSending();
  // Whether the socket has unread bytes, or the connection has ended.
  bool HasPendingInput() const;
  // Whether the connection is closed, was reset or has ended in both directions.
  bool HasHungUp() const;
  void Close();

 private:
  struct BufferOptions {
    std::size_t input_limit = 0;
    std::size_t output_limit = 0;
    limits::MemoryBudget* memory = nullptr;
    limits::MemoryUse input_use = limits::MemoryUse::kResponse;
  };
  Connection(Loop& loop, ObjectPtr<GSocket> socket, Owner& owner, const BufferOptions& buffers);
  void OnEvents(std::uint32_t events) override;
  // Records the arrival time of bytes that have just been read.
  void RecordRead(std::size_t count);
  // Registers the events that the connection waits for at present with the poller.
  void UpdateWatch();
  void StopWatching();
  void Read();
  // The free space of the input buffer; asks the owner to free memory if there is none for it.
  RingBuffer::Span WritableInput();
  void Flush();
  // Sends what the kernel accepts at once, and returns how much that is.
  std::size_t Send(std::string_view bytes);
  void FinishConnect();
  void ReportDisconnect();

  Loop& loop_;
  ObjectPtr<GSocket> socket_;
  Owner* owner_;
  RingBuffer input_;
  RingBuffer output_;
  bool records_arrivals_ = false;
  ArrivalTimes arrivals_;         // of the bytes in the input buffer
  ArrivalTimes unread_arrivals_;  // of bytes that were found in the kernel while reading was paused
  // Bytes that are not in `unread_arrivals_` have arrived after this; zero: since the loop's EarliestArrival.
  TimePoint unread_checked_at_{};
  std::optional<std::uint32_t> watched_events_;  // as registered with the poller
  bool awaiting_writable_ = false;               // to complete the connect, or to send the rest of the output
  bool connected_ = false;
  bool paused_ = false;
  bool end_of_stream_ = false;
  bool broken_ = false;
  bool disconnect_reported_ = false;
  bool shutdown_requested_ = false;
};

}  // namespace lynxgrade::net
