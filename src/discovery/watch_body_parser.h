// Takes a watch's body apart: one JSON value after another, each on a line or indented over several, with
// empty lines between. Pure text: no sockets, no clock.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace lynxgrade::discovery {

class WatchBodyParser {
 public:
  // kBlank: an empty line. kCut: an empty line or an end inside a value, or one that is too long.
  enum class Kind { kBlank, kValue, kCut };
  struct Piece {
    Kind kind = Kind::kBlank;
    std::string text;
  };

  void Feed(std::string_view bytes);
  // The body has ended as it should: what stands there is whole without its line's end.
  void End();
  // The next whole piece, the first to come first.
  std::optional<Piece> Take();

 private:
  void Clear();
  void EndLine();
  void Scan(char c);

  std::deque<Piece> pieces_;
  std::string value_;
  std::size_t depth_ = 0;  // of brackets that stand open
  bool in_string_ = false;
  bool escaped_ = false;
  bool bare_ = true;  // the present line holds nothing but blanks
};

}  // namespace lynxgrade::discovery
