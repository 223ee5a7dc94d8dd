// A single source of the event loop for all connections, backed by an epoll set.
#pragma once

#include <sys/epoll.h>

#include <cstdint>
#include <vector>

#include "net/glib_ptr.h"

namespace lynxgrade::net {

// GLib polls each of its own sources in every pass, at a cost proportional to the number of open connections;
// epoll costs only for those that are ready.
class Poller {
 public:
  class Handler {
   public:
    // Called while it is watched; it may end the watch, or that of any other, from inside.
    virtual void OnEvents(std::uint32_t events) = 0;

   protected:
    ~Handler() = default;
  };

  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Starts to watch a descriptor; errors and hang-ups are told whatever `events` asks for.
  void Add(int descriptor, std::uint32_t events, Handler& handler);
  void Change(int descriptor, std::uint32_t events);
  // To be called before the descriptor is closed.
  void Remove(int descriptor);

 private:
  // By descriptor. The turn tells a descriptor's present owner from one closed earlier in the same batch.
  struct Watched {
    Handler* handler = nullptr;
    std::uint32_t turn = 0;
  };

  static gboolean Ready(gint, GIOCondition, gpointer self);
  void Dispatch();
  void Control(int operation, int descriptor, std::uint32_t events);

  int set_;
  std::vector<Watched> watched_;
  SourcePtr source_;
};

}  // namespace lynxgrade::net
