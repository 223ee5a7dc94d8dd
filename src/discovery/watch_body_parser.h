// Splits the body of a watch response into JSON values, each on one line or indented over several, with empty
// lines between them. Works on text only: no sockets, no clock.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace lynxgrade::discovery {

class WatchBodyParser {
 public:
  enum class ItemKind {
    kEmptyLine,  // a heartbeat
    kValue,      // `text` is a value with balanced brackets; it may still be malformed JSON
    kTruncated,  // a value that an empty line or the end of the body interrupts, or that is too long
  };
  struct Item {
    ItemKind kind = ItemKind::kEmptyLine;
    std::string text;
  };

  // Parses the next bytes, which may be split anywhere.
  void Append(std::string_view bytes);
  // To be called when the body has ended. The last value needs no line break.
  void Finish();
  // Removes and returns the oldest item that is complete.
  std::optional<Item> NextItem();

 private:
  void ResetValue();
  void RecordTruncated();
  void HandleLineEnd();
  void AppendCharacter(char c);
  void TrackString(char c);

  std::deque<Item> items_;
  std::string value_;
  std::size_t bracket_depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
  bool line_blank_ = true;  // the current line has only white space so far
};

}  // namespace lynxgrade::discovery
