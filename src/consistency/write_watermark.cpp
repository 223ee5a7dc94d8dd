#include "consistency/write_watermark.h"

#include <xxhash.h>

namespace lynxgrade::consistency {

SessionKey SessionKeyOf(GroupId group, std::string_view session) {
  return SessionKey(XXH3_64bits_withSeed(session.data(), session.size(), static_cast<std::uint64_t>(group)));
}

}  // namespace lynxgrade::consistency
