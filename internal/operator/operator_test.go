package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/strictdecode"
)

func TestParse(t *testing.T) {
	c, err := Parse([]byte("[ledger]\ndir = \"/var/lib/x\"\ndurable = \"batch\"\nsync_every = \"20ms\"\nremember = \"2m\"\nmax_size = \"1GiB\"\n[admin]\nlisten = \"[::1]:9180\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := Ledger{Dir: "/var/lib/x", Durable: middleware.DurabilityBatch, SyncEvery: strictdecode.Duration(20 * time.Millisecond), OnFailure: middleware.RejectOnFailure,
		Remember: strictdecode.Duration(2 * time.Minute), MaxEntries: 100_000, SegmentSize: 4 << 20, MaxSize: 1 << 30}
	if *c.Ledger != want || c.Admin.Listen != "[::1]:9180" {
		t.Errorf("%+v, %+v", c.Ledger, c.Admin)
	}
	c, err = Parse([]byte("[graphql]\nlisten = \"127.0.0.1:1\"\nschema = \"/s\"\n[graphql.field.\"Query.x\"]\nclass = \"c\"\nwork = \"2ms\"\n"))
	if err != nil || c.GraphQL.Path != "/graphql" || c.GraphQL.MaxDepth != 15 || c.GraphQL.Field["Query.x"] != (GraphQLField{Class: "c", Work: strictdecode.Duration(2 * time.Millisecond)}) ||
		c.At("graphql.field.Query.x") != ":4:2" {
		t.Errorf("%+v, %s, %v", c.GraphQL, c.At("graphql.field.Query.x"), err)
	}
	if c, err := Parse(nil); err != nil || c.GraphQL != nil || c.Ledger != nil || c.Admin != nil {
		t.Errorf("an empty file: %+v, %v", c, err)
	}
}

// What cannot be used is named with its line, its column, and what could be.
func TestFaults(t *testing.T) {
	const ok = "[ledger]\ndir = \"/x\"\n"
	const gql = "[graphql]\nlisten = \"127.0.0.1:1\"\nschema = \"/s\"\n"
	const srv = "[members]\n[members.srv]\nname = \"_a._tcp.b\"\nservers = [\"10.0.0.2:53\"]\n"
	const fl = "[fleet]\nname = \"f\"\nlisten = \"10.0.0.4:7946\"\nseeds = [\"10.0.0.5:7946\"]\nnetworks = [\"10.0.0.0/8\"]\n"
	for text, want := range map[string]string{
		"[recovery]\nask = 3": "1:2: recovery: needs [fleet]",
		"[config]\norigins = [\"10.0.0.9:7950\"]\ndir = \"/x\"":                                                      "1:2: config: needs [fleet]",
		fl + "[config]\ndir = \"/x\"":                                                                                "6:2: config.origins: 0 origins, and 1 to 7",
		fl + "[config]\norigins = [\"10.0.0.9\"]\ndir = \"/x\"":                                                      "7:1: config.origins: \"10.0.0.9\" is no address",
		fl + "[config]\norigins = [\"10.0.0.9:1\", \"10.0.0.9:1\"]\ndir = \"/x\"":                                    "7:1: config.origins: \"10.0.0.9:1\" is there twice",
		fl + "[config]\norigins = [\"10.0.0.9:1\"]\ndir = \"x\"":                                                     "8:1: config.dir: \"x\" is no absolute path",
		fl + "[config]\norigins = [\"10.0.0.9:1\"]\ndir = \"/x\"\nwait = \"1h\"":                                     "9:1: config.wait: 1h0m0s is not from",
		fl + "[config]\norigins = [\"10.0.0.9:1\"]\ndir = \"/x\"\nfan = 99":                                          "9:1: config.fan: 99 is not from 1 to 32",
		fl + "[recovery]\nfan = 99":                                                                                  "7:1: recovery.fan: 99 is not from 1 to 32",
		fl + "[recovery]\nrate = -1.0":                                                                               "7:1: recovery.rate: -1 is not from",
		"[fleet]\nlisten = \"10.0.0.4:7946\"\nseeds = [\"10.0.0.5:7946\"]\nnetworks = [\"10.0.0.0/8\"]":              "1:2: fleet.name: ",
		"[fleet]\nname = \"f\"\nlisten = \"10.0.0.4\"\nseeds = [\"10.0.0.5:7946\"]\nnetworks = [\"10.0.0.0/8\"]":     "3:1: fleet.listen: \"10.0.0.4\" is no address",
		"[fleet]\nname = \"f\"\nlisten = \"0.0.0.0:7946\"\nseeds = [\"10.0.0.5:7946\"]\nnetworks = [\"10.0.0.0/8\"]": "1:2: fleet.advertise: is wanted",
		"[fleet]\nname = \"f\"\nlisten = \"10.0.0.4:7946\"\nseeds = [\"10.0.0.5:7946\"]":                             "1:2: fleet.networks: the networks of the other",
		"[fleet]\nname = \"f\"\nlisten = \"10.0.0.4:7946\"\nnetworks = [\"10.0.0.0/8\"]":                             "1:2: fleet.seeds: 0 seeds",
		fl + "advertise = \"192.168.0.1:7946\"":                                                                      "6:1: fleet.advertise: 192.168.0.1:7946 is in none of the networks",
		fl + "timeout = \"2s\"":                                                                                      "6:1: fleet.timeout: 2s is not below probe, 1s",
		fl + "probe = \"1ms\"":                                                                                       "6:1: fleet.probe: 1ms is not from 50ms",
		fl + "suspicion = 0.5":                                                                                       "6:1: fleet.suspicion: 0.5 is not from 1 to 100",
		fl + "most = 1":                                                                                              "6:1: fleet.most: 1 is not from 2",
		fl + "forget = \"1s\"":                                                                                       "6:1: fleet.forget: ",
		fl + "seeds_file = \"seeds\"":                                                                                "6:1: fleet.seeds_file: \"seeds\" is no absolute path",
		fl + "seeds_file = \"/nowhere/seeds\"":                                                                       "6:1: fleet.seeds_file: open /nowhere/seeds",
		fl + "translate = [{from = \"10.0.0.0/8\", to = \"10.0.0.0/9\"}]":                                            "6:1: fleet.translate: entry 1",
		fl + "seed = \"x\"":                                                                                          "6:1: no such key: fleet.seed",
		strings.Replace(fl, "10.0.0.5:7946", "192.168.0.5:1", 1):                                                     "4:1: fleet.seeds: 192.168.0.5:1 is in none of the networks",
		strings.Replace(fl, "10.0.0.0/8", "0.0.0.0/0", 1):                                                            "5:1: fleet.networks: 0.0.0.0/0 is everybody",
		strings.Replace(fl, "10.0.0.0/8", "10.0.0.0", 1):                                                             "5:1: fleet.networks: \"10.0.0.0\" is no network",
		"[ledgr]\ndir = \"/x\"\n":                                                                                    "1:2: no such key: ledgr",
		"[graphql]\nschema = \"/s\"\n":                                                                               "1:2: graphql.listen: \"\" is no address",
		"[graphql]\nlisten = \"[::1]:1\"\nschema = \"s\"":                                                            "3:1: graphql.schema: \"s\" is no absolute path",
		gql + "path = \"graphql\"":                                                                                   "4:1: graphql.path: \"graphql\" is no path",
		gql + "node_path = \"/x?y\"":                                                                                 "4:1: graphql.node_path: ",
		gql + "trusted = \"t\"":                                                                                      "4:1: graphql.trusted: \"t\" is no absolute path",
		gql + "only_trusted = true":                                                                                  "4:1: graphql.only_trusted: goes with trusted",
		gql + "deadline = \"1ms\"":                                                                                   "4:1: graphql.deadline: 1ms is not from 10ms to 10m",
		gql + "max_body = \"1GiB\"":                                                                                  "4:1: graphql.max_body: ",
		gql + "max_document = \"1MiB\"":                                                                              "4:1: graphql.max_document: ",
		gql + "max_batch = 5000":                                                                                     "4:1: graphql.max_batch: 5000 is not from 1 to 1000",
		gql + "max_depth = -1":                                                                                       "4:1: graphql.max_depth: -1 is not",
		gql + "[graphql.field.\"Query.x\"]\nclas = \"c\"":                                                            "5:1: no such key: graphql.field.Query.x.clas",
		ok + "durably = 1\nother = 2\n":                                                                              "3:1: no such key: ledger.durably",
		ok + "durable = \"sometimes\"":                                                                               "3:1: ledger.durable: \"sometimes\" is not \"always\", \"batch\" or \"off\"",
		ok + "durable = 5":                                                                                           "3:11: ",
		ok + "on_failure = \"pray\"":                                                                                 "3:1: ledger.on_failure: ",
		"[ledger]\n":                                                                                                 "1:2: ledger.dir: \"\" is no absolute path",
		"[ledger]\ndir = \"here\"\n":                                                                                 "2:1: ledger.dir: \"here\" is no absolute path",
		ok + "durable = \"off\"":                                                                                     "2:1: ledger.dir: is of no use",
		ok + "sync_every = \"1s\"":                                                                                   "3:1: ledger.sync_every: goes with",
		ok + "durable = \"batch\"\nsync_every = \"1h\"":                                                              "4:1: ledger.sync_every: 1h0m0s is not from 1ms to 10s",
		ok + "remember = \"5 minutes\"":                                                                              "3:12: \"5 minutes\" is no time such as",
		ok + "remember = \"1s\"":                                                                                     "3:1: ledger.remember: 1s is not from 10s",
		ok + "max_entries = 3":                                                                                       "3:1: ledger.max_entries: 3 is not",
		ok + "segment_size = \"4MB\"":                                                                                "3:16: \"4MB\" is no size such as",
		ok + "segment_size = \"8MiB\"\nmax_size = \"16MiB\"":                                                         "4:1: ledger.max_size: ",
		ok + "max_size = \"99999999999GiB\"":                                                                         "is too large",
		"[admin]\nlisten = \"0.0.0.0:80\"":                                                                           "2:1: admin.listen: 0.0.0.0:80 is not on loopback",
		"[admin]\nlisten = \"localhost\"":                                                                            "2:1: admin.listen: \"localhost\" is no address",
		"[admin]\nlisten = \"127.0.0.1:1\"\nlisten = \"again\"":                                                      "3:",
		"[members]\n":            "1:2: members: no source",
		srv + "tries = 9":        "5:1: members.srv.tries: 9 is not from 1 to 5",
		srv + "min_ttl = \"9m\"": "members.srv.max_ttl: 5m0s is below min_ttl, 9m0s",
		srv + "spread = \"2m\"":  "5:1: members.srv.spread: 2m0s is not from 0 to 1m",
		srv + "ttl = 3":          "5:1: no such key: members.srv.ttl",
		"[members]\nshare = 1.5\nmost = -1\nsettle = \"1us\"\n[members.srv]\nname = \"booking\"\nservers = [\"dns\"]": "2:1: members.share: 1.5 is not above 0 and up to 1",
		"[members.srv]\nname = \"booking\"\nservers = [\"10.0.0.2:53\"]":                                              "2:1: members.srv.name: \"booking\" is no service's name",
		"[members.srv]\nname = \"_a._tcp.b\"\nservers = [\"dns\"]":                                                    "3:1: members.srv.servers: \"dns\" is no address",
		"[members.srv]\nname = \"_a._tcp.b\"":                                                                         "members.srv.servers: one to eight",
		"admin = 1":                                                                                                   "1:9: ",
		"[ledger":                                                                                                     "1:",
		"\xff\xfe":                                                                                                    "1:",
		ok + "[ledger.dir]\nx = 1\n[[ledger]]\n":                                                                      "",
	} {
		c, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %+v, %v; want %q", text, c, err, want)
		}
	}
}

// Each fault is a line that begins with the file's name.
func TestLoadNamesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.toml")
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("%v", err)
	}
	if err := os.WriteFile(path, []byte("[ledger]\ndir = \"x\"\nremember = \"1s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	if err == nil || strings.Count(err.Error(), path+":") != 2 || !strings.Contains(err.Error(), path+":3:1: ledger.remember") {
		t.Errorf("%v", err)
	}
}

// Whatever the file holds, it is read or an error names a line.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[ledger]\ndir = \"/x\"\nremember = \"1m\"\n[admin]\nlisten = \"127.0.0.1:1\""))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := Parse(text); err != nil && len(unwrap(err)) == 0 {
			t.Errorf("%v", err)
		}
	})
}

// Seeds come from the list and from a file, with remarks; a line of it that cannot be used is named.
func TestFleetSeeds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seeds")
	head := "[fleet]\nname = \"f\"\nlisten = \"10.0.0.4:7946\"\nnetworks = [\"10.0.0.0/8\"]\nseeds_file = \"" + path + "\"\n"
	if err := os.WriteFile(path, []byte("# ours\n10.0.0.5:7946 # the first\n\n10.0.0.6:7946\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Parse([]byte(head + "seeds = [\"10.0.0.7:7946\"]\n"))
	if err != nil || len(c.Fleet.Peers) != 3 || c.Fleet.Peers[1].String() != "10.0.0.5:7946" || c.Fleet.Self.String() != "10.0.0.4:7946" ||
		time.Duration(c.Fleet.Timeout) != 300*time.Millisecond || c.Fleet.Most != 10_000 {
		t.Errorf("%+v, %v", c, err)
	}
	if err := os.WriteFile(path, []byte("10.0.0.5:7946\n10.0.0.6\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Parse([]byte(head)); err == nil || !strings.Contains(err.Error(), "5:1: fleet.seeds_file: "+path+":2: \"10.0.0.6\" is no address") {
		t.Errorf("%v", err)
	}
}

// An origin's file is read with its defaults, and each fault is named with file, line, column and key.
func TestOriginFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "origin.toml")
	load := func(text string) (*Origin, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadOrigin(path)
	}
	const good = "name = \"b\"\nlisten = \"10.0.0.9:7950\"\ndir = \"/x\"\nfleet = \"f\"\nepoch = 2\npeers = [{name = \"b\", addr = \"10.0.0.9:7950\"}, {name = \"a\", addr = \"10.0.0.8:7950\"}]\nnetworks = [\"10.0.0.0/8\"]\n"
	o, err := load(good)
	if err != nil || o.Epoch != 2 || time.Duration(o.Tick) != 50*time.Millisecond || strings.Join(o.Names, " ") != "a b" || o.Addrs["a"] != "10.0.0.8:7950" || o.Allowed == nil {
		t.Fatalf("%+v, %v", o, err)
	}
	for _, x := range []struct{ old, new, want string }{
		{"name = \"b\"\n", "name = \"c\"\n", ":6:1: peers: \"c\", this origin itself"},
		{"10.0.0.9:7950\"\ndir", "10.0.0.9\"\ndir", ":2:1: listen: \"10.0.0.9\" is no address"},
		{"\"/x\"", "\"x\"", ":3:1: dir: \"x\" is no absolute path"},
		{"fleet = \"f\"\n", "", ":1:1: fleet: the fleet's name"},
		{"epoch = 2", "epoch = 0", ":5:1: epoch: 0: 1 or more"},
		{"name = \"a\"", "name = \"b\"", ":6:1: peers: the name \"b\" is empty, or there twice"},
		{"10.0.0.8:7950", "here", ":6:1: peers: \"a\": \"here\" is no address"},
		{"10.0.0.0/8", "0.0.0.0/0", ":7:1: networks: 0.0.0.0/0 is everybody"},
		{"epoch = 2", "epoch = 2\ntick = \"1m\"", ":6:1: tick: 1m0s is not from"},
		{"epoch = 2", "epoch = 2\nepochs = 2", ":6:1: no such key: epochs"},
	} {
		if _, err := load(strings.Replace(good, x.old, x.new, 1)); err == nil || !strings.Contains(err.Error(), path+x.want) {
			t.Errorf("%s: %v", x.new, err)
		}
	}
}
