#!/usr/bin/env python3
"""Measures what costs little, and writes docs/capacity/measurements-cheap.json: what idle clients cost one pooler,
how long the answer of `lynxgrade peers` is and what it costs the pooler, and, by the micro-benchmarks, a decision and a
session in the ledger.

    docs/capacity/measure-cheap.py BUILD BENCH [PART...]     from the project's root

BUILD holds lynxgrade, BENCH the benchmarks. PART: idle_clients, peers_command, decision, ledger; without any, all. A part
that is named goes to a file of its own, docs/capacity/measurements-PART.json: what was recorded before stays. Loopback alone; some minutes. Ends what it started by its own handles. Not played by CI."""
import json, os, resource, socket, struct, subprocess, sys, tempfile, time

build, bench = sys.argv[1], sys.argv[2]
parts = sys.argv[3:] or ["idle_clients", "peers_command", "decision", "ledger"]
path = "docs/capacity/measurements-" + ("-".join(sys.argv[3:]) or "cheap") + ".json"
GENERATION = 2  # of what is measured: slopes go through the records of the last one alone
ANSWERS = 200  # asked one after the other, so that what one costs stands out from what the pooler does anyway
# Of a pooler. Clients over an eighth of them are closed once they are idle for 2.2 s; fewer, for 15 s.
SOCKETS = 20000
commit = subprocess.check_output(["git", "rev-parse", "HEAD"], text=True).strip()[:10]
records = []


def record(script, figures, seconds, poolers=1, databases=0, real=0, clients=0, seed=0, marks=None):
    run = {"poolers": poolers, "databases": databases, "real": real, "script": script, "seed": seed,
           "seconds": round(seconds, 1), "clients": clients, "statements_per_s": 0, "writes_share": 0,
           "roam_share": 0, "changes_per_s": 0, "generation": GENERATION, "commit": commit}
    if marks:
        run["marks"] = marks
    records.append({"run": run, "figures": figures})


def free_port(kind):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Poolers:
    """Poolers beside the stand-ins of `lynxgrade-testbed up`, whose configuration they take over."""

    def __enter__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="lynxgrade-cheap-")
        self.running = []
        self.up = subprocess.Popen([build + "/lynxgrade-testbed", "up"], stdout=subprocess.PIPE, text=True)
        line = self.up.stdout.readline()
        theirs = line.split("its log is ")[1].split("/n1.log")[0]
        with open(theirs + "/config.json") as file:
            self.config = json.load(file)
        return self

    def __exit__(self, *_):
        for process in self.running + [self.up]:
            process.terminate()
        for process in self.running + [self.up]:
            process.wait()
        self.folder.cleanup()

    def start(self, name, settings=None):
        """The process and the port for its clients."""
        port = free_port(socket.SOCK_STREAM)
        config = json.loads(json.dumps(self.config))
        config["name"], config["listen"], config["limits"]["sockets"] = name, f"127.0.0.1:{port}", SOCKETS
        path = f"{self.folder.name}/{name}"
        with open(path + ".json", "w") as file:
            json.dump(config, file)
        words = [build + "/lynxgrade"]
        if settings:
            with open(path + ".toml", "w") as file:
                file.write(settings)
            words += ["serve", "--settings", path + ".toml"]
        log = open(path + ".log", "w")
        process = subprocess.Popen(words, env={**os.environ, "RELAY_CONFIG": path + ".json"}, stdout=log, stderr=log)
        self.running.append(process)
        return process, port


def resident_mb(pid):
    for line in open(f"/proc/{pid}/smaps_rollup"):
        if line.startswith("Rss:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise RuntimeError("the process has ended")


def spent_s(pid):
    """Processor time by the kernel's account."""
    with open(f"/proc/{pid}/schedstat") as file:
        return int(file.read().split()[0]) * 1e-9


def ask(port):
    with socket.create_connection(("127.0.0.1", port), timeout=5) as s:
        s.sendall(b"peers\n")
        size = 0
        while piece := s.recv(65536):
            size += len(piece)
        return size


def answer_cpu_ms(process, port):
    """Of one answer, less what the pooler spends in the same time without being asked."""
    def spent(act):
        began, before = time.time(), spent_s(process.pid)
        act()
        return spent_s(process.pid) - before, time.time() - began
    idle, idle_for = spent(lambda: time.sleep(3))
    asked, asked_for = spent(lambda: [ask(port) for _ in range(ANSWERS)])
    return (asked - idle / idle_for * asked_for) / ANSWERS * 1e3


def client(port):
    """A client that has said who it is, has been told to go on, and says no more."""
    s = socket.create_connection(("127.0.0.1", port), timeout=5)
    body = struct.pack("!i", 196608) + b"user\0worker\0database\0catalog\0\0"
    s.sendall(struct.pack("!i", len(body) + 4) + body)
    got = b""
    while not got.endswith(b"Z\0\0\0\5I"):
        piece = s.recv(4096)
        if not piece:
            raise RuntimeError("the pooler closed a client")
        got += piece
    return s


def closed(s):
    s.setblocking(False)
    try:
        return s.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False


def idle_clients():
    for seed in (1, 2, 3):
        began = time.time()
        with Poolers() as poolers:
            process, port = poolers.start("idle")
            time.sleep(2)
            for count in range(0, 2001, 250):
                clients = [client(port) for _ in range(count)]
                time.sleep(1)
                figures = {"memory_mb": round(resident_mb(process.pid), 3),
                           "descriptors": len(os.listdir(f"/proc/{process.pid}/fd"))}
                if any(closed(s) for s in clients):
                    raise RuntimeError("the pooler closed idle clients while they were counted")
                record("idle_clients", figures, time.time() - began, real=1, databases=6, clients=count, seed=seed)
                for s in clients:
                    s.close()
                time.sleep(1)


def peers_command():
    for count in (2, 4, 8, 12):
        began = time.time()
        with Poolers() as poolers:
            key = poolers.folder.name + "/key"
            with open(key, "w") as file:
                file.write("1 " + "a" * 64 + "\n")
            os.chmod(key, 0o600)
            ports = [free_port(socket.SOCK_DGRAM) for _ in range(count)]
            started = []
            for i, port in enumerate(ports):
                seeds = ", ".join(f'"127.0.0.1:{p}"' for p in ports if p != port)
                control = free_port(socket.SOCK_STREAM)
                process, _ = poolers.start(f"pooler-{i}", f'[sessions]\nscope = "everywhere"\n[peers]\n'
                              f'listen = "127.0.0.1:{port}"\nseeds = [{seeds}]\nkey_file = "{key}"\n'
                              f'[control]\nlisten = "127.0.0.1:{control}"\n')
                started.append((process, control))
            time.sleep(8)
            for i in range(2):
                answer = subprocess.check_output([build + "/lynxgrade", "peers", "--json", "--settings",
                                                  f"{poolers.folder.name}/pooler-{i}.toml"])
                told = json.loads(answer)
                if len(told["peers"]) != count - 1:
                    raise RuntimeError("not all poolers have found each other")
                figures = {"peers_answer_bytes": len(answer),
                           "peers_answer_cpu_ms": round(answer_cpu_ms(*started[i]), 4)}
                record("peers_command", figures, time.time() - began, poolers=count, real=count, databases=6,
                       seed=i + 1)


def benchmarks():
    def runs(program, which, part):
        if part not in parts:
            return []
        out = subprocess.check_output([f"{bench}/{program}", f"--benchmark_filter={which}", "--benchmark_format=json",
                                       "--benchmark_repetitions=5"], stderr=subprocess.DEVNULL)
        return [one for one in json.loads(out)["benchmarks"] if one["run_type"] == "iteration"]
    for one in runs("decision_bench", "Decision", "decision"):
        unit = {"ns": 1e-3, "us": 1, "ms": 1e3}[one["time_unit"]]
        record("decision", {"module_cpu_us_per_statement": round(one["cpu_time"] * unit, 4)},
               one["real_time"] * unit * one["iterations"] / 1e6, databases=int(one["name"].split("/")[1]),
               seed=one["repetition_index"] + 1)
    for one in runs("ledger_bench", "LookUp<Flat>/1000000$", "ledger"):
        record("ledger", {"ledger_bytes_per_session": round(one["bytes_a_session"], 2)},
               one["real_time"] * one["iterations"] / 1e9, seed=one["repetition_index"] + 1)


soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
if hard < SOCKETS:
    sys.exit(f"measure-cheap.py: {SOCKETS} descriptors are needed, and this machine allows {hard}")
resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, hard))
if "idle_clients" in parts:
    idle_clients()
if "peers_command" in parts:
    peers_command()
benchmarks()
with open(path, "w") as file:
    file.write("[\n" + ",\n".join(json.dumps(one) for one in records) + "\n]\n")
print(f"{len(records)} records")
