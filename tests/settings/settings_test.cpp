// Errors in the platform's configuration and in the program's settings.
#include <doctest/doctest.h>

#include <string>

#include "settings/platform_config.h"
#include "settings/program_settings.h"

namespace lynxgrade {
namespace {

using namespace std::string_literals;

TEST_CASE("platform configuration: each error is one sentence") {
  const std::string start = R"({"name":"n","discovery":"127.0.0.1:1","seed":"1f",)";
  for (const std::string& bad :
       {"{"s, "[]"s, "{}"s, start + R"("listen":"nowhere","settings":{}})",
        start + R"("listen":"127.0.0.1:1"})", start + R"("listen":"127.0.0.1:1","settings":{"classes":[]}})",
        start + R"("listen":"127.0.0.1:1","settings":{"classes":[{"name":"c"}]}})"}) {
    CAPTURE(bad);
    const auto config = ParsePlatformConfig(bad);
    REQUIRE_FALSE(config);
    CHECK_FALSE(config.error().problem.empty());
    CHECK(config.error().problem.find('\n') == std::string::npos);
  }
}

TEST_CASE("program settings: an error names its line, its column and the key") {
  struct Case {
    const char* text;
    const char* phrase;
  };
  for (const Case& c :
       {Case{"[sessions]\nscop = 1\n", "line 2, column 1: 'sessions.scop' is an unknown key"},
        Case{"[sessions]\nscope = \"all\"\n", "line 2, column 9: 'sessions.scope' is not \"instance\""},
        Case{"[sessions]\nrecall_s = 0\n",
             "line 2, column 12: 'sessions.recall_s' is out of range (1 to 86400)"},
        Case{"[sessions]\nrecall_s = \"x\"\n", "is not an integer"},
        Case{"[sesions]\n", "line 1, column 2: 'sesions' is an unknown section"},
        Case{"sessions = 3\n", "'sessions' is not a table"},
        Case{"[state]\nfolder = \"/x\"\n", "requires sessions.scope"},
        Case{"[sessions]\nscope = \"everywhere\"\n[peers]\nlisten = \"127.0.0.1\"\n",
             "line 4, column 10: 'peers.listen': \"127.0.0.1\" is not an IP address with a port"},
        Case{"[sessions]\nscope = \"everywhere\"\n[peers]\nlisten = \"127.0.0.1:1\"\n", "key_file"},
        Case{"[peers]\nseeds = [\"127.0.0.1:1\"]\n", "'peers.seeds' requires 'peers.listen'"},
        Case{"[sessions\n", "line 1"}}) {
    CAPTURE(c.text);
    const auto settings = ParseProgramSettings(c.text);
    REQUIRE_FALSE(settings);
    const std::string sentence = Describe(settings.error());
    CAPTURE(sentence);
    CHECK(sentence.find(c.phrase) != std::string::npos);
  }
  CHECK(ParseProgramSettings(""));
  const auto all = LoadProgramSettings(SETTINGS_FILE);
  REQUIRE(all);
  CHECK(all->sessions.scope == consistency::Scope::kInstance);
}

TEST_CASE("program settings: the admin address has to be on loopback") {
  const auto on = [](const std::string& address) {
    return ParseProgramSettings("[control]\nlisten = \"" + address + "\"\n");
  };
  CHECK(on("127.0.0.1:7")->admin_address->port == 7);
  CHECK(on("[::1]:7"));
  for (const char* address : {"0.0.0.0:7", "10.0.0.1:7", "[::]:7", "127.0.0.1"}) {
    CAPTURE(address);
    const auto settings = on(address);
    REQUIRE_FALSE(settings);
    CHECK(Describe(settings.error()).starts_with("line 2, column 10: 'control.listen'"));
  }
  CHECK_FALSE(ParseProgramSettings("").value().admin_address);
}

}  // namespace
}  // namespace lynxgrade
