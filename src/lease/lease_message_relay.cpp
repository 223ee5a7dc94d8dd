#include "lease/lease_message_relay.h"

#include <algorithm>
#include <iterator>

namespace lynxgrade::lease {

void LeaseMessageRelay::UpdateView(std::uint64_t view, const std::vector<IncarnationId>& managers,
                                   IncarnationId relay) {
  if (view != view_) managers_ = managers;
  view_ = view;
  relay_ = relay;
}

void LeaseMessageRelay::Send(TimePoint now, const OutgoingLeaseMessage& outgoing, Hops& out) {
  if (IsForManager(outgoing.message)) {
    SendToManager(now, outgoing, out);
  } else {
    SendToHolder(now, outgoing, out);
  }
}

void LeaseMessageRelay::SendToManager(TimePoint now, const OutgoingLeaseMessage& outgoing, Hops& out) {
  Hop hop{outgoing.receiver, outgoing.message, outgoing.attempts};
  // A release under another view goes directly to its receiver: whether that manages the key in the other
  // view cannot be checked here.
  const bool manages_key = outgoing.message.view == view_ &&
                           outgoing.receiver == SelectLeaseManager(outgoing.message.key, managers_);
  if (!outgoing.may_batch || relay_ == 0 || !manages_key) return out.push_back(hop);
  hop.receiver = relay_;
  hop.via_relay = true;
  AddToBatch(now, hop);
}

void LeaseMessageRelay::SendToHolder(TimePoint now, const OutgoingLeaseMessage& outgoing, Hops& out) {
  Hop hop{outgoing.receiver, outgoing.message, outgoing.attempts};
  const auto route = routes_.find(outgoing.receiver);
  // A retry is sent directly, as the relay may have failed.
  if (route == routes_.end() || now > route->second.expires || outgoing.attempts > 1 ||
      outgoing.message.view != view_) {
    return out.push_back(hop);
  }
  if (route->second.relay == options_.self) {
    hop.via_relay = true;
    return AddToBatch(now, hop);
  }
  hop.relay_to = std::exchange(hop.receiver, route->second.relay);
  out.push_back(hop);
}

IncarnationId LeaseMessageRelay::Receive(TimePoint now, IncarnationId sender, const Hop& hop, Hops& out) {
  const LeaseMessage& message = hop.message;
  if (hop.via_relay || hop.relay_to != 0) {
    // An instance of another view selects other managers. A dropped message is retried, then directly.
    const IncarnationId manager = message.view == view_ ? SelectLeaseManager(message.key, managers_) : 0;
    if (manager == 0) return Drop();
    if (hop.via_relay) return ReceiveViaRelay(now, sender, message, manager, out);
    return ReceiveToRelay(now, sender, hop, manager);
  }
  if (hop.origin != 0) {
    routes_[hop.origin] = {sender, now + kRouteLifetime};
    return hop.origin;
  }
  if (IsForManager(message)) routes_.erase(sender);
  return sender;
}

IncarnationId LeaseMessageRelay::ReceiveViaRelay(TimePoint now, IncarnationId sender,
                                                 const LeaseMessage& message, IncarnationId manager,
                                                 Hops& out) {
  if (!IsForManager(message)) return manager;
  if (manager == options_.self) {
    routes_[sender] = {options_.self, now + kRouteLifetime};
    return sender;
  }
  ++counts_.relayed;
  Hop next{manager, message};
  next.origin = sender;
  out.push_back(next);
  return 0;
}

IncarnationId LeaseMessageRelay::ReceiveToRelay(TimePoint now, IncarnationId sender, const Hop& hop,
                                                IncarnationId manager) {
  // The receiver attributes a relayed message to the key's manager, so only that manager may send one.
  if (manager != sender || IsForManager(hop.message)) return Drop();
  ++counts_.relayed;
  Hop next{hop.relay_to, hop.message};
  next.via_relay = true;
  AddToBatch(now, next);
  return 0;
}

IncarnationId LeaseMessageRelay::Drop() {
  ++counts_.dropped;
  return 0;
}

void LeaseMessageRelay::AddToBatch(TimePoint now, const Hop& hop) {
  ++counts_.batched;
  Batch& batch = batches_[{hop.receiver, hop.message.view}];
  if (batch.hops.empty()) batch.due = now + options_.batching_delay;
  batch.hops.push_back(hop);
}

void LeaseMessageRelay::FlushDue(TimePoint now, Hops& out) {
  std::erase_if(batches_, [&](auto& item) {
    if (now < item.second.due) return false;
    std::ranges::move(item.second.hops, std::back_inserter(out));
    return true;
  });
  if (now - last_route_expiry_ < kRouteLifetime) return;
  last_route_expiry_ = now;
  std::erase_if(routes_, [now](const auto& item) { return now > item.second.expires; });
}

}  // namespace lynxgrade::lease
