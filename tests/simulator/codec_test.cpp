// The codec in both directions, and the executable with a small session.
#include "simulator/codec.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <string>

namespace lynxgrade::simulator {
namespace {

const char kSpawn[] =
    R"({"op":"spawn","who":3,"random_seed":18446744073709551615,"facts":{"future":[1],"classes":[)"
    R"({"name":"w","objective_us":500000,"deadline_us":900000,"effect":"deduplicated","key_scope":"cell",)"
    R"("repeat_window_us":77,"worth":4,"late_value":0.5}],"discovery":"ask","me":1,"peers_total":3,)"
    R"("extra":{"class_read":["mutate"],"oldest_data_us":[0],"list_role":"static","server_checks":"await",)"
    R"("session_marks":"kept","tells_position":true,"zero_us":1000000,"patience_us":100},)"
    R"("load_report":{"columns":["x0","x1","q"],"how":"on_probe"},"limits":{"max_attempts":8},)"
    R"("rules":{"ask_within_us":10,"drain_grace_us":20},"tariffs":{"probe":0.01}}})";

template <typename T>
T DecodeEvent(Codec& codec, const std::string& text) {
  Line line = codec.Decode(text);
  return std::get<T>(std::get<InstanceEvent>(line).event);
}

std::string DecodeError(Codec& codec, const std::string& text) {
  try {
    codec.Decode(text);
  } catch (const WireError& error) {
    return error.what();
  }
  return "";
}

TEST(Decode, Framing) {
  Codec codec;
  Line line = codec.Decode(R"({"op":"tick","sim_time_us":8412250,"serial":12,"extra":0})");
  EXPECT_EQ(std::get<BatchStart>(line).now, TimePoint(Duration(8412250)));
  EXPECT_EQ(std::get<BatchStart>(line).serial, 12);
  line = codec.Decode(R"({"op":"eob"})");
  EXPECT_TRUE(std::holds_alternative<BatchEnd>(line));
}

TEST(Decode, Spawn) {
  Codec codec;
  Line line = codec.Decode(kSpawn);
  const StartInstance& start = std::get<StartInstance>(line);
  EXPECT_EQ(start.instance, 3);
  EXPECT_EQ(start.seed, 18446744073709551615ull);
  const Settings& s = start.settings;
  ASSERT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.classes[0].kind, AccessKind::kWrite);
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::kIdempotencyKey);
  EXPECT_FALSE(s.classes[0].deduplicated_everywhere);
  EXPECT_EQ(s.classes[0].idempotency_window, Duration(77));
  EXPECT_TRUE(s.poll_endpoint_list);
  EXPECT_FALSE(s.clients_carry_watermarks);
  EXPECT_EQ(s.position_check, PositionCheck::kWait);
  EXPECT_EQ(s.load_reporting, LoadReporting::kOnHealthCheck);
  EXPECT_EQ(s.max_attempts, 8u);
  EXPECT_EQ(s.max_poll_interval, Duration(10));
  EXPECT_TRUE(s.tenants.empty());
}

TEST(Decode, AnAbsentNumberOfPoolersIsZero) {
  std::string text = kSpawn;
  text.replace(text.find(R"("peers_total":3,)"), 16, "");
  Codec codec;
  EXPECT_EQ(std::get<StartInstance>(codec.Decode(text)).settings.fleet_size, 0u);
}

TEST(Decode, EveryOtherEvent) {
  Codec codec;
  codec.Decode(kSpawn);
  Line line = codec.Decode(
      R"({"op":"table","page":2,"records":[{"member":5,"az":1,"set":9,"lifecycle":"DRAINING","writer":1,)"
      R"("heft":1.5,"came_up_us":6},{"member":6,"set":9,"lifecycle":"SERVING"}]})");
  const auto& page = std::get<ListPage>(line);
  EXPECT_EQ(page.page, 2);
  ASSERT_EQ(page.entries.size(), 2u);
  EXPECT_EQ(page.entries[0].lifecycle, Lifecycle::kDraining);
  EXPECT_TRUE(page.entries[0].primary);
  EXPECT_EQ(page.entries[0].started, TimePoint(Duration(6)));
  EXPECT_FALSE(page.entries[1].started);
  line = codec.Decode(R"({"op":"directory_update","who":3,"how":"Partial","epoch":4,"page":2})");
  EXPECT_EQ(std::get<ListUpdate>(line).kind, EndpointListKind::kPartial);
  line = codec.Decode(R"({"op":"directory_update","who":3,"how":"Error"})");
  EXPECT_EQ(std::get<ListUpdate>(line).kind, EndpointListKind::kError);
  line = codec.Decode(R"({"op":"teardown","who":3})");
  EXPECT_EQ(std::get<StopInstance>(line).instance, 3);

  const auto request = DecodeEvent<RequestEvent>(
      codec, R"({"op":"incoming","who":3,"req":7,"partition_no":9,"state_bits":6,"client_key":"ab","team":1,)"
             R"("wrote_ms_ago":1.5,"time_left_us":100,"tier_class":0})");
  EXPECT_EQ(request.id, RequestId(7));
  EXPECT_TRUE(request.is_retry);
  EXPECT_EQ(request.time_since_write, Duration(1500));
  const auto outcome = DecodeEvent<AttemptEndedEvent>(
      codec, R"({"op":"completed","who":3,"req":7,"shot":1,"member":5,"code":"absent","time_taken_us":9,)"
             R"("stand":25486,"health_info":[2.5,1,4]})");
  EXPECT_EQ(outcome.outcome, Outcome::kMisrouted);
  EXPECT_FALSE(outcome.request_done);
  EXPECT_EQ(outcome.metadata.primary, false);
  EXPECT_EQ(outcome.metadata.position, LogPosition(Duration(1000000 + 6371000)));
  EXPECT_EQ(outcome.report->position, LogPosition(Duration(3500000)));
  EXPECT_EQ(outcome.report->primary, true);
  EXPECT_EQ(outcome.report->queued, 4.0);
  EXPECT_EQ(
      DecodeEvent<HealthCheckEvent>(codec, R"({"op":"pong","who":3,"member":5,"code":"success"})").outcome,
      Outcome::kOk);
  EXPECT_EQ(DecodeEvent<TimerEvent>(codec, R"({"op":"fired","who":3,"ctx":77})").id, TimerId(77));
  EXPECT_EQ(DecodeEvent<ClientDisconnectedEvent>(codec, R"({"op":"gone","who":3,"req":8})").id, RequestId(8));
  EXPECT_EQ(DecodeEvent<PeerEvent>(codec, R"({"op":"memo","who":3,"by":1,"msg":"x"})").message, "x");
  EXPECT_EQ(DecodeEvent<ResponseStartedEvent>(codec,
                                              R"({"op":"head_received","who":3,"req":8,"shot":0,"member":5})")
                .attempt,
            0u);
}

TEST(Decode, EveryOutcome) {
  Codec codec;
  const std::array<std::pair<const char*, Outcome>, 9> codes = {{{"success", Outcome::kOk},
                                                                 {"failure", Outcome::kError},
                                                                 {"overloaded", Outcome::kOverloaded},
                                                                 {"timed_out", Outcome::kTimeout},
                                                                 {"unreachable", Outcome::kUnreachable},
                                                                 {"broken", Outcome::kConnectionLost},
                                                                 {"withdrawn", Outcome::kCancelled},
                                                                 {"void", Outcome::kNotRun},
                                                                 {"absent", Outcome::kMisrouted}}};
  for (const auto& [code, outcome] : codes) {
    const std::string text =
        std::string(R"({"op":"completed","who":1,"req":1,"shot":0,"member":1,"code":")") + code + "\"}";
    EXPECT_EQ(DecodeEvent<AttemptEndedEvent>(codec, text).outcome, outcome);
  }
}

TEST(Decode, ErrorsNameTheProblem) {
  Codec codec;
  EXPECT_NE(DecodeError(codec, "{oops").find("malformed JSON"), std::string::npos);
  EXPECT_NE(DecodeError(codec, R"({"op":"dance","who":1})").find("'dance': unknown event"),
            std::string::npos);
  EXPECT_NE(DecodeError(codec, R"({"op":"gone","who":1})").find("'gone': field 'req' is missing"),
            std::string::npos);
  EXPECT_NE(DecodeError(codec, R"({"op":"gone","who":1,"req":"x"})").find("'req' is not"), std::string::npos);
  EXPECT_NE(DecodeError(codec, R"({"op":"gone","req":1})").find("'who' is missing"), std::string::npos);
  EXPECT_NE(DecodeError(codec, R"({"op":"tick","serial":1})").find("'sim_time_us'"), std::string::npos);
}

TEST(Encode, EveryAction) {
  const auto text = [](const Action& action) {
    std::string out;
    Codec::EncodeAction(3, action, out);
    return out;
  };
  EXPECT_EQ(text(StartAttempt{RequestId(7), ServerId(5), Duration(80)}),
            "{\"op\":\"pass_on\",\"who\":3,\"req\":7,\"member\":5,\"limit_us\":80}\n");
  EXPECT_EQ(text(Reject{RequestId(7), Duration(0)}), "{\"op\":\"refuse\",\"who\":3,\"req\":7}\n");
  EXPECT_EQ(text(Reject{RequestId(7), Duration(9)}),
            "{\"op\":\"refuse\",\"who\":3,\"req\":7,\"hold_off_us\":9}\n");
  EXPECT_EQ(text(Fail{RequestId(7)}), "{\"op\":\"report_failure\",\"who\":3,\"req\":7}\n");
  EXPECT_EQ(text(Cancel{RequestId(7), 2}), "{\"op\":\"retract\",\"who\":3,\"req\":7,\"shot\":2}\n");
  EXPECT_EQ(text(SetTimer{TimerId(77), Duration(5)}),
            "{\"op\":\"notify_me\",\"who\":3,\"sleep_for_us\":5,\"ctx\":77}\n");
  EXPECT_EQ(text(StartHealthCheck{ServerId(5)}), "{\"op\":\"inspect\",\"who\":3,\"member\":5}\n");
  EXPECT_EQ(text(WatchEndpointList{true}), "{\"op\":\"subscribe\",\"who\":3,\"on\":true}\n");
  EXPECT_EQ(text(FetchEndpointList{}), "{\"op\":\"read_list\",\"who\":3}\n");
  EXPECT_EQ(text(SendToPeers{std::nullopt, "a\"b"}),
            "{\"op\":\"broadcast_to\",\"who\":3,\"addressee\":\"*\",\"msg\":\"a\\\"b\"}\n");
  EXPECT_EQ(text(SendToPeers{4, "x"}), "{\"op\":\"broadcast_to\",\"who\":3,\"addressee\":4,\"msg\":\"x\"}\n");
  EXPECT_EQ(text(CloseIdleConnections{ServerId(5)}), "{\"op\":\"close_idle\",\"who\":3,\"member\":5}\n");
  EXPECT_EQ(text(Log{"hi"}), "{\"op\":\"debug\",\"who\":3,\"what\":\"hi\"}\n");
}

// Runs the executable on a session and returns its exit code, output and errors.
struct RunResult {
  int exit_code = 0;
  std::string output, errors;
};

RunResult RunAdapter(const std::string& input) {
  const std::string base = testing::TempDir() + "adapter_" + std::to_string(getpid());
  std::ofstream(base + ".in") << input;
  const std::string command = std::string(ADAPTER) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  RunResult result;
  result.exit_code = WEXITSTATUS(std::system(command.c_str()));
  const auto read_file = [&](const char* extension) {
    std::ifstream file(base + extension);
    return std::string(std::istreambuf_iterator<char>(file), {});
  };
  result.output = read_file(".out");
  result.errors = read_file(".err");
  return result;
}

TEST(Executable, HandlesASmallSession) {
  const std::string session =
      std::string(R"({"op":"tick","sim_time_us":5000000,"serial":1})") + "\n" + kSpawn + "\n" +
      R"({"op":"table","page":0,"records":[{"member":5,"set":9,"lifecycle":"SERVING","writer":1}]})"
      "\n"
      R"({"op":"directory_update","who":3,"how":"Persisted","epoch":1,"page":0})"
      "\n"
      R"({"op":"table","page":0,"records":[]})"
      "\n"
      R"({"op":"incoming","who":3,"req":7,"partition_no":9,"state_bits":4,"client_key":"ab",)"
      R"("time_left_us":900000,"tier_class":0})"
      "\n"
      R"({"op":"eob"})"
      "\n"
      R"({"op":"tick","sim_time_us":5005000,"serial":2})"
      "\n"
      R"({"op":"teardown","who":3})"
      "\n" +
      kSpawn +
      "\n"
      R"({"op":"eob"})"
      "\n";
  const RunResult result = RunAdapter(session);
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  EXPECT_NE(result.output.find("\"op\":\"pass_on\",\"who\":3,\"req\":7,\"member\":5"), std::string::npos)
      << result.output;
  EXPECT_NE(result.output.find("{\"op\":\"ok\",\"serial\":1}\n"), std::string::npos);
  EXPECT_NE(result.output.find("{\"op\":\"ok\",\"serial\":2}\n"), std::string::npos);
}

TEST(Executable, StopsWithAnErrorThatNamesBatchEventAndField) {
  const RunResult result =
      RunAdapter("{\"op\":\"tick\",\"sim_time_us\":1,\"serial\":8}\n{\"op\":\"gone\",\"who\":1}\n");
  EXPECT_NE(result.exit_code, 0);
  EXPECT_TRUE(result.output.empty());
  EXPECT_NE(result.errors.find("batch 8"), std::string::npos) << result.errors;
  EXPECT_NE(result.errors.find("'gone'"), std::string::npos);
  EXPECT_NE(result.errors.find("'req'"), std::string::npos);
}

}  // namespace
}  // namespace lynxgrade::simulator
