// Splits the body of a watch into JSON values, each on one line or indented over several, with empty lines
// between them. Text only: no sockets, no clock.
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
    kValue,      // `text` has a value with balanced brackets; whether it is JSON is not checked
    kTruncated,  // a value that was interrupted by an empty line or by the end, or is too long
  };
  struct Item {
    ItemKind kind = ItemKind::kEmptyLine;
    std::string text;
  };

  // Parses the next bytes, in pieces of any size.
  void Append(std::string_view bytes);
  // The body has ended: a last value needs no line end.
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
  bool line_blank_ = true;  // the present line has white space only
};

}  // namespace lynxgrade::discovery
