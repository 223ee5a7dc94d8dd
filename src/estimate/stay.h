// How long clients stay for an answer, which may be long before their word says. Owns one smoothed figure.
#pragma once

namespace lynxgrade::estimate {

class Stay {
 public:
  // A client was answered, or left, after so many of its class's aims. An early answer tells nothing of how
  // much longer it would have stayed, nor does a late leaving.
  void Seen(double aims, bool left);
  // The part of its aim for which a client is taken to stay, 1 at most.
  double Part() const;

 private:
  static constexpr double kMost = 1.5;  // aims: beyond one it changes nothing
  double aims_ = kMost;
};

}  // namespace lynxgrade::estimate
