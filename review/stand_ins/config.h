// The platform's configuration of a small deployment, as JSON, and the program's own settings.
#pragma once

#include <string>
#include <vector>

#include "kit.h"

namespace kit {

struct ClassOptions {
  std::string name, effect, read;
  int objective_ms, deadline_ms;
  double worth;
  int bound_ms = 0;
};

struct ConfigOptions {
  std::string name;
  int port = 0, discovery_port = 0, me = 0, poolers = 2;
  std::vector<ClassOptions> classes;
  std::string checks = "off", marks = "kept", list_role = "off", report_how = "on_probe";
  bool tells_position = true, may_duplicate = true;
  int window_ms = 3000, max_attempts = 8, quota_per_s = 1000;
  double overload_factor = 3;
  int cold_ms = 18000;
  std::string known;  // the list, in discovery's form
};

inline std::string PlatformConfig(const ConfigOptions& o) {
  std::string classes, reads, bounds;
  for (const ClassOptions& c : o.classes) {
    const std::string comma = classes.empty() ? "" : ",";
    classes += comma + R"({"name":")" + c.name + R"(","effect":")" + c.effect +
               R"(","objective_us":)" + std::to_string(c.objective_ms * 1000) + R"(,"deadline_us":)" +
               std::to_string(c.deadline_ms * 1000) + R"(,"key_scope":"cell","repeat_window_us":)" +
               std::to_string(o.window_ms * 1000) + R"(,"worth":)" + std::to_string(c.worth) +
               R"(,"late_value":0.2,"stream":false})";
    reads += comma + "\"" + c.read + "\"";
    bounds += comma + std::to_string(c.bound_ms * 1000);
  }
  const auto yes = [](bool value) { return value ? "true" : "false"; };
  return R"({"name":")" + o.name + R"(","listen":"127.0.0.1:)" + std::to_string(o.port) +
         R"(","discovery":"127.0.0.1:)" + std::to_string(o.discovery_port) +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)" +
         (o.known.empty() ? "" : R"("known":)" + o.known + ",") + R"("settings":{"classes":[)" + classes +
         R"(],"customers":[{"name":"t1","share":1.0,"quota_per_s":)" + std::to_string(o.quota_per_s) +
         R"(}],"clients":{"marks_retry":false},"zones":["a"],"zone":0,"host_types":["m1"],"me":)" +
         std::to_string(o.me) + R"(,"peers_total":)" + std::to_string(o.poolers) +
         R"(,"discovery":"push","family":"replicas","load_report":{"how":")" + o.report_how +
         R"(","columns":["x0","x1"]},"limits":{"may_probe":true,"may_cancel":true,"may_duplicate":)" +
         yes(o.may_duplicate) +
         R"(,"retry_after":true,"max_retry_after_us":500000,"conn_idle_us":15000000,"max_attempts":)" +
         std::to_string(o.max_attempts) +
         R"(,"connect_timeout_us":250000,"streams_per_conn":1,"peers":false},"rules":{"answer_slack_us":20000,)" +
         R"("drain_grace_us":2000000,"start_capacity":0.15,"cold_us":)" + std::to_string(o.cold_ms * 1000) +
         R"(,"overload_factor":)" + std::to_string(o.overload_factor) +
         R"(,"fall_us":3000000},"tariffs":{"probe":0.038},"tick_us":5000,"weight_source":"off","extra":{"class_read":[)" +
         reads + R"(],"oldest_data_us":[)" + bounds + R"(],"server_checks":")" + o.checks +
         R"(","session_marks":")" + o.marks + R"(","tells_position":)" + yes(o.tells_position) +
         R"(,"patience_us":20000,"list_role":")" + o.list_role + "\"}}}";
}

inline std::vector<ClassOptions> HoabinhClasses() {
  return {{"lobby-read", "idempotent", "lag_bound", 300, 1200, 3, 200},
          {"own-read", "idempotent", "causal", 300, 1200, 1},
          {"history-read", "idempotent", "eventual", 400, 1000, 1},
          {"match-write", "deduplicated", "mutate", 500, 5000, 6}};
}

inline std::string Comment(const std::string& id, const std::string& cls, int d_ms, int group,
                           const std::string& more = "") {
  return "/* id=" + id + ",c=" + cls + ",t=t1,d=" + std::to_string(d_ms) + more +
         ",cluster=" + std::to_string(group) + " */ ";
}
inline std::string Id() {
  static std::atomic<unsigned long long> next{1};
  char text[40];
  snprintf(text, sizeof text, "%08llx%08llx", static_cast<unsigned long long>(getpid()), next++);
  return text;
}
inline std::string WriteStatement(const std::string& id, const std::string& cls, int d_ms, int group,
                                  const std::string& oid, const std::string& body) {
  return Comment(id, cls, d_ms, group, ",k=" + id) + "INSERT INTO objects (oid, body) VALUES ('" + oid + "', '" +
         body + "') RETURNING body";
}
inline std::string ReadStatement(const std::string& id, const std::string& cls, int d_ms, int group,
                                 const std::string& oid, const std::string& more = "") {
  return Comment(id, cls, d_ms, group, more) + "SELECT body FROM objects WHERE oid = '" + oid + "'";
}

}  // namespace kit
