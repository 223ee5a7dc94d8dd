// Which way the directory's messages go, and which of them wait for company. While bytes are short an
// instance says all it has to say to owners by way of one of them, and what goes that way waits a little for
// more: of a message's bytes three in four are the heads of its packet. Owners pass on what is for others,
// and coalesce what is for one.
//
// Owns what waits, and by which owner each instance was last heard; free of sockets and clocks. It changes no
// message and answers none: to the directory it is a network that delays and loses.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lease/lease_message.h"

namespace lynxgrade::lease {

class LeaseMessageRelay {
 public:
  struct Options {
    IncarnationId self = 0;
    Duration coalesce{};  // for which a message waits for company, at the most
  };
  // One message on its next leg.
  struct Leg {
    IncarnationId to = 0;  // who gets it next
    LeaseMessage message;
    int tries = 1;
    bool by_way = false;        // between an instance and the owner by way of which it speaks
    IncarnationId origin = 0;   // between two owners: who says it, to the owner of its key
    IncarnationId pass_to = 0;  // likewise: for whom the owner of its key says it
  };
  using Legs = std::vector<Leg>;
  struct Counts {
    std::uint64_t waited = 0, passed_on = 0, strays = 0;
  };

  explicit LeaseMessageRelay(const Options& options) : options_(options) {}

  // The view by which this instance stands, its owners, and the one of these by way of which it speaks while
  // bytes are short; zero: none, as no one is set aside, some do not pass on, or this instance owns itself.
  void See(std::uint64_t view, const std::vector<IncarnationId>& owners, IncarnationId by);
  // What this instance says.
  void Post(TimePoint now, const OutgoingLeaseMessage& one, Legs& out);
  // A message as it came in from `sender`; `leg.to` is not looked at. Who says it, where it is for this
  // instance; zero: it goes on, by `out` or later, or is dropped and will be said again.
  IncarnationId Take(TimePoint now, IncarnationId sender, const Leg& leg, Legs& out);
  // What has waited long enough. To be called every few milliseconds.
  void Due(TimePoint now, Legs& out);

  const Counts& counts() const { return counts_; }

 private:
  // For which an instance that has spoken by way of an owner is answered, and recalled, by way of it.
  static constexpr Duration kHeardFor{2000000};
  struct Heard {
    IncarnationId by = 0;
    TimePoint until{};
  };
  struct Waiting {
    TimePoint due{};
    Legs legs;
  };

  static bool ForOwner(const LeaseMessage& message) {
    return message.kind == LeaseMessage::Kind::kAcquire || message.kind == LeaseMessage::Kind::kRelease;
  }
  void Wait(TimePoint now, Leg leg);

  Options options_;
  std::uint64_t view_ = 0;
  std::vector<IncarnationId> owners_;
  IncarnationId by_ = 0;
  std::map<std::pair<IncarnationId, std::uint64_t>, Waiting> waiting_;  // by receiver and view: one packet's
  std::unordered_map<IncarnationId, Heard> heard_;
  TimePoint swept_{};
  Counts counts_;
};

}  // namespace lynxgrade::lease
