// One source of the event loop for all connections, backed by epoll.
#pragma once

#include <sys/epoll.h>

#include <cstdint>
#include <vector>

#include "net/glib_ptr.h"

namespace lynxgrade::net {

// GLib polls each of its own sources in every pass, at a cost proportional to the number of open connections;
// the cost of epoll depends on the ready ones only. Level-triggered.
class Poller {
 public:
  class Handler {
   public:
    // Called when a watched descriptor is ready. May remove this descriptor or any other.
    virtual void OnEvents(std::uint32_t events) = 0;

   protected:
    ~Handler() = default;
  };

  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Starts to watch a descriptor for `events`; errors and hang-ups are always reported. `handler` must
  // outlive the watch.
  void Add(int descriptor, std::uint32_t events, Handler& handler);
  void Change(int descriptor, std::uint32_t events);
  // Whether more descriptors may have been ready than the latest pass has handled.
  bool has_backlog() const { return has_backlog_; }
  // Must be called before the descriptor is closed.
  void Remove(int descriptor);

 private:
  // By descriptor. The generation tells the present watch of a descriptor from one that was removed earlier
  // in the same batch of events.
  struct Watched {
    Handler* handler = nullptr;
    std::uint32_t generation = 0;
  };

  static gboolean OnReady(gint, GIOCondition, gpointer self);
  void Dispatch();
  void Control(int operation, int descriptor, std::uint32_t events);

  int epoll_descriptor_;
  bool has_backlog_ = false;
  std::vector<Watched> watched_;
  SourcePtr source_;
};

}  // namespace lynxgrade::net
