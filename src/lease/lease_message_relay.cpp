#include "lease/lease_message_relay.h"

#include <algorithm>
#include <iterator>

namespace lynxgrade::lease {

void LeaseMessageRelay::See(std::uint64_t view, const std::vector<IncarnationId>& owners, IncarnationId by) {
  if (view != view_) owners_ = owners;
  view_ = view;
  by_ = by;
}

void LeaseMessageRelay::Post(TimePoint now, const OutgoingLeaseMessage& one, Legs& out) {
  Leg leg{one.to, one.message, one.tries};
  if (ForOwner(one.message)) {
    // A release of another view is for who owned the key there.
    const bool found = one.message.view == view_ && one.to == OwnerOf(one.message.key, owners_);
    if (!one.may_wait || by_ == 0 || !found) return out.push_back(std::move(leg));
    leg.to = by_;
    leg.by_way = true;
    return Wait(now, std::move(leg));
  }
  const auto heard = heard_.find(one.to);
  // What had no answer goes straight: the one by way of which it went may be gone.
  if (heard == heard_.end() || now > heard->second.until || one.tries > 1 || one.message.view != view_) {
    return out.push_back(std::move(leg));
  }
  if (heard->second.by == options_.self) {
    leg.by_way = true;
    return Wait(now, std::move(leg));
  }
  leg.pass_to = std::exchange(leg.to, heard->second.by);
  out.push_back(std::move(leg));
}

IncarnationId LeaseMessageRelay::Take(TimePoint now, IncarnationId sender, const Leg& leg, Legs& out) {
  const LeaseMessage& message = leg.message;
  const bool between = leg.by_way || leg.pass_to != 0;
  // Whoever stands by another view finds other owners; what is dropped is said again, and then straight.
  const IncarnationId owner = between && message.view == view_ ? OwnerOf(message.key, owners_) : 0;
  if (between && owner == 0) {
    ++counts_.strays;
    return 0;
  }
  if (leg.by_way && !ForOwner(message)) return owner;
  if (leg.by_way) {
    if (owner != options_.self) {
      ++counts_.passed_on;
      Leg on{owner, message};
      on.origin = sender;
      out.push_back(std::move(on));
      return 0;
    }
    heard_[sender] = {options_.self, now + kHeardFor};
    return sender;
  }
  if (leg.pass_to != 0) {
    // Who gets it takes it for the word of the key's owner.
    if (owner != sender || ForOwner(message)) {
      ++counts_.strays;
      return 0;
    }
    ++counts_.passed_on;
    Leg on{leg.pass_to, message};
    on.by_way = true;
    Wait(now, std::move(on));
    return 0;
  }
  if (leg.origin != 0) {
    heard_[leg.origin] = {sender, now + kHeardFor};
    return leg.origin;
  }
  if (ForOwner(message)) heard_.erase(sender);
  return sender;
}

void LeaseMessageRelay::Wait(TimePoint now, Leg leg) {
  ++counts_.waited;
  Waiting& waiting = waiting_[{leg.to, leg.message.view}];
  if (waiting.legs.empty()) waiting.due = now + options_.coalesce;
  waiting.legs.push_back(std::move(leg));
}

void LeaseMessageRelay::Due(TimePoint now, Legs& out) {
  std::erase_if(waiting_, [&](auto& item) {
    if (now < item.second.due) return false;
    std::ranges::move(item.second.legs, std::back_inserter(out));
    return true;
  });
  if (now - swept_ < kHeardFor) return;
  swept_ = now;
  std::erase_if(heard_, [now](const auto& item) { return now > item.second.until; });
}

}  // namespace lynxgrade::lease
