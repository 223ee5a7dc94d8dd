// Answers to writes that wait until this instance holds the lease of their session.
//
// Owns the callbacks; no clock, no I/O. Not thread-safe.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "consistency/session_watermark_table.h"

namespace lynxgrade::replication {

class PendingWriteAnswers {
 public:
  struct Answer {
    GroupId group{};
    consistency::SessionKey key{};
    std::function<void()> send;
    TimePoint expires{};  // dropped without being sent after this time
  };

  void Add(Answer answer) { answers_.push_back(std::move(answer)); }
  // Sends the answers whose session satisfies `may_answer(key)`, and calls `acquire(group, key)` for the
  // others. Sending an answer may add further ones.
  template <typename MayAnswer, typename Acquire>
  void Process(TimePoint now, MayAnswer may_answer, Acquire acquire) {
    for (Answer& answer : std::exchange(answers_, {})) {
      if (now >= answer.expires) continue;
      if (may_answer(answer.key)) {
        answer.send();
        continue;
      }
      acquire(answer.group, answer.key);
      answers_.push_back(std::move(answer));
    }
  }
  bool empty() const { return answers_.empty(); }

 private:
  std::vector<Answer> answers_;
};

}  // namespace lynxgrade::replication
