package operator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/strictdecode"
)

// Parse returns the values in the file, and defaults for the keys that the file leaves out.
func TestParse(t *testing.T) {
	text := "[ledger]\ndir = \"/var/lib/x\"\ndurable = \"batch\"\nsync_every = \"20ms\"\n" +
		"remember = \"2m\"\nmax_size = \"1GiB\"\n[admin]\nlisten = \"[::1]:9180\"\n"
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := Idempotency{
		Dir:         "/var/lib/x",
		Durability:  middleware.DurabilityBatch,
		SyncEvery:   strictdecode.Duration(20 * time.Millisecond),
		OnFailure:   middleware.RejectOnFailure,
		Retention:   strictdecode.Duration(2 * time.Minute),
		MaxEntries:  100_000,
		SegmentSize: 4 << 20,
		MaxBytes:    1 << 30,
	}
	if *c.Idempotency != want || c.Admin.Listen != "[::1]:9180" {
		t.Errorf("got %+v and %+v, want %+v and admin.listen [::1]:9180", c.Idempotency, c.Admin, want)
	}
}

// Parse returns the table [graphql] with its defaults and its fields. Config.Position returns the position of a key.
func TestParseGraphQL(t *testing.T) {
	text := "[graphql]\nlisten = \"127.0.0.1:1\"\nschema = \"/s\"\n" +
		"[graphql.field.\"Query.x\"]\nclass = \"c\"\nwork = \"2ms\"\n"
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if c.GraphQL.Path != "/graphql" || c.GraphQL.MaxDepth != 15 {
		t.Errorf("path %q, max_depth %d; want the defaults /graphql and 15", c.GraphQL.Path, c.GraphQL.MaxDepth)
	}
	want := GraphQLField{Class: "c", ExpectedWork: strictdecode.Duration(2 * time.Millisecond)}
	if c.GraphQL.Fields["Query.x"] != want {
		t.Errorf("field Query.x: got %+v, want %+v", c.GraphQL.Fields["Query.x"], want)
	}
	if got := c.Position("graphql.field.Query.x"); got != ":4:2" {
		t.Errorf("position of graphql.field.Query.x: got %s, want :4:2", got)
	}
}

// An empty file leaves the feature of every table off.
func TestParseEmptyFile(t *testing.T) {
	c, err := Parse(nil)
	if err != nil || c.GraphQL != nil || c.Idempotency != nil || c.Admin != nil {
		t.Errorf("an empty file: got %+v, error %v; want a Config without tables, and no error", c, err)
	}
}

// Each invalid value is reported with its line and column, its key, and the values or the form that are valid.
func TestInvalidFiles(t *testing.T) {
	const misspelledKey = "clas" //nolint:misspell // misspelled on purpose
	const ledger = "[ledger]\ndir = \"/x\"\n"
	const graphql = "[graphql]\nlisten = \"127.0.0.1:1\"\nschema = \"/s\"\n"
	const srv = "[members]\n[members.srv]\nname = \"_a._tcp.b\"\nservers = [\"10.0.0.2:53\"]\n"
	const fleet = "[fleet]\nname = \"f\"\nlisten = \"10.0.0.4:7946\"\n" +
		"seeds = [\"10.0.0.5:7946\"]\nnetworks = [\"10.0.0.0/8\"]\n"
	tests := []struct{ name, text, want string }{
		{
			name: "recovery without fleet",
			text: "[recovery]\nask = 3",
			want: "1:2: recovery: requires [fleet]",
		},
		{
			name: "config without fleet",
			text: "[config]\norigins = [\"10.0.0.9:7950\"]\ndir = \"/x\"",
			want: "1:2: config: requires [fleet]",
		},
		{
			name: "config.origins missing",
			text: fleet + "[config]\ndir = \"/x\"",
			want: "6:2: config.origins: must list 1 to 7 origins, got 0",
		},
		{
			name: "config.origins has no port",
			text: fleet + "[config]\norigins = [\"10.0.0.9\"]\ndir = \"/x\"",
			want: "7:1: config.origins: must be an IP address and a port such as \"10.0.0.9:7950\", got \"10.0.0.9\"",
		},
		{
			name: "config.origins twice",
			text: fleet + "[config]\norigins = [\"10.0.0.9:1\", \"10.0.0.9:1\"]\ndir = \"/x\"",
			want: "7:1: config.origins: \"10.0.0.9:1\" is listed twice",
		},
		{
			name: "config.dir is not an absolute path",
			text: fleet + "[config]\norigins = [\"10.0.0.9:1\"]\ndir = \"x\"",
			want: "8:1: config.dir: must be an absolute path, got \"x\"",
		},
		{
			name: "config.wait out of bounds",
			text: fleet + "[config]\norigins = [\"10.0.0.9:1\"]\ndir = \"/x\"\nwait = \"1h\"",
			want: "9:1: config.wait: must be from 100ms to 30s, got 1h0m0s",
		},
		{
			name: "config.fan out of bounds",
			text: fleet + "[config]\norigins = [\"10.0.0.9:1\"]\ndir = \"/x\"\nfan = 99",
			want: "9:1: config.fan: must be from 1 to 32, got 99",
		},
		{
			name: "recovery.fan out of bounds",
			text: fleet + "[recovery]\nfan = 99",
			want: "7:1: recovery.fan: must be from 1 to 32, got 99",
		},
		{
			name: "recovery.rate out of bounds",
			text: fleet + "[recovery]\nrate = -1.0",
			want: "7:1: recovery.rate: must be from 0.1 to 10,000, got -1",
		},
		{
			name: "fleet.name missing",
			text: "[fleet]\nlisten = \"10.0.0.4:7946\"\nseeds = [\"10.0.0.5:7946\"]\nnetworks = [\"10.0.0.0/8\"]",
			want: "1:2: fleet.name: must have 1 to 64 bytes, got none",
		},
		{
			name: "fleet.listen has no port",
			text: "[fleet]\nname = \"f\"\nlisten = \"10.0.0.4\"\nseeds = [\"10.0.0.5:7946\"]\n" +
				"networks = [\"10.0.0.0/8\"]",
			want: "3:1: fleet.listen: must be an IP address and a port such as \"10.0.0.4:7946\", got \"10.0.0.4\"",
		},
		{
			name: "fleet.advertise missing",
			text: "[fleet]\nname = \"f\"\nlisten = \"0.0.0.0:7946\"\nseeds = [\"10.0.0.5:7946\"]\n" +
				"networks = [\"10.0.0.0/8\"]",
			want: "1:2: fleet.advertise: must be set",
		},
		{
			name: "fleet.networks missing",
			text: "[fleet]\nname = \"f\"\nlisten = \"10.0.0.4:7946\"\nseeds = [\"10.0.0.5:7946\"]",
			want: "1:2: fleet.networks: must list the networks of the peers",
		},
		{
			name: "fleet.seeds missing",
			text: "[fleet]\nname = \"f\"\nlisten = \"10.0.0.4:7946\"\nnetworks = [\"10.0.0.0/8\"]",
			want: "1:2: fleet.seeds: there must be 1 to 64 seeds, got 0",
		},
		{
			name: "fleet.advertise outside the networks",
			text: fleet + "advertise = \"192.168.0.1:7946\"",
			want: "6:1: fleet.advertise: 192.168.0.1:7946 is in none of fleet.networks",
		},
		{
			name: "fleet.timeout not below fleet.probe",
			text: fleet + "timeout = \"2s\"",
			want: "6:1: fleet.timeout: must be below fleet.probe (1s), got 2s",
		},
		{
			name: "fleet.probe out of bounds",
			text: fleet + "probe = \"1ms\"",
			want: "6:1: fleet.probe: must be from 50ms to 1m0s, got 1ms",
		},
		{
			name: "fleet.suspicion out of bounds",
			text: fleet + "suspicion = 0.5",
			want: "6:1: fleet.suspicion: must be from 1 to 100, got 0.5",
		},
		{
			name: "fleet.most out of bounds",
			text: fleet + "most = 1",
			want: "6:1: fleet.most: must be from 2 to 100000, got 1",
		},
		{
			name: "fleet.forget out of bounds",
			text: fleet + "forget = \"1s\"",
			want: "6:1: fleet.forget: must be from 5s to 168h0m0s, got 1s",
		},
		{
			name: "fleet.seeds_file is not an absolute path",
			text: fleet + "seeds_file = \"seeds\"",
			want: "6:1: fleet.seeds_file: must be an absolute path, got \"seeds\"",
		},
		{
			name: "fleet.seeds_file does not exist",
			text: fleet + "seeds_file = \"/nowhere/seeds\"",
			want: "6:1: fleet.seeds_file: open /nowhere/seeds",
		},
		{
			name: "fleet.translate lengths differ",
			text: fleet + "translate = [{from = \"10.0.0.0/8\", to = \"10.0.0.0/9\"}]",
			want: "6:1: fleet.translate: entry 1: from and to must have the same prefix length",
		},
		{
			name: "unknown key fleet.seed",
			text: fleet + "seed = \"x\"",
			want: "6:1: no such key: fleet.seed",
		},
		{
			name: "fleet.seeds outside the networks",
			text: strings.Replace(fleet, "10.0.0.5:7946", "192.168.0.5:1", 1),
			want: "4:1: fleet.seeds: 192.168.0.5:1 is in none of fleet.networks",
		},
		{
			name: "fleet.networks contains every address",
			text: strings.Replace(fleet, "10.0.0.0/8", "0.0.0.0/0", 1),
			want: "5:1: fleet.networks: 0.0.0.0/0 contains every address",
		},
		{
			name: "fleet.networks has an address in place of a network",
			text: strings.Replace(fleet, "10.0.0.0/8", "10.0.0.0", 1),
			want: "5:1: fleet.networks: must list networks such as \"10.0.0.0/8\", got \"10.0.0.0\"",
		},
		{
			name: "unknown key ledgr",
			text: "[ledgr]\ndir = \"/x\"\n",
			want: "1:2: no such key: ledgr",
		},
		{
			name: "graphql.listen missing",
			text: "[graphql]\nschema = \"/s\"\n",
			want: "1:2: graphql.listen: must be an IP address and a port such as \"127.0.0.1:8090\", got \"\"",
		},
		{
			name: "graphql.schema is not an absolute path",
			text: "[graphql]\nlisten = \"[::1]:1\"\nschema = \"s\"",
			want: "3:1: graphql.schema: must be the absolute path of a schema, got \"s\"",
		},
		{
			name: "graphql.path has no slash at its beginning",
			text: graphql + "path = \"graphql\"",
			want: "4:1: graphql.path: must begin with a slash, as in \"/graphql\", got \"graphql\"",
		},
		{
			name: "graphql.node_path has a query",
			text: graphql + "node_path = \"/x?y\"",
			want: "4:1: graphql.node_path: must not contain '?', '#' or a space, got \"/x?y\"",
		},
		{
			name: "graphql.trusted is not an absolute path",
			text: graphql + "trusted = \"t\"",
			want: "4:1: graphql.trusted: must be an absolute path, got \"t\"",
		},
		{
			name: "graphql.only_trusted without graphql.trusted",
			text: graphql + "only_trusted = true",
			want: "4:1: graphql.only_trusted: requires graphql.trusted and graphql.persisted = false, " +
				"but graphql.trusted is not set",
		},
		{
			name: "graphql.deadline out of bounds",
			text: graphql + "deadline = \"1ms\"",
			want: "4:1: graphql.deadline: must be from 10ms to 10m0s, got 1ms",
		},
		{
			name: "graphql.max_body out of bounds",
			text: graphql + "max_body = \"1GiB\"",
			want: "4:1: graphql.max_body: must be from 1KiB to 16MiB, got 1073741824B",
		},
		{
			name: "graphql.max_document above graphql.max_body",
			text: graphql + "max_document = \"1MiB\"",
			want: "4:1: graphql.max_document: must be from 64B to graphql.max_body, got 1048576B",
		},
		{
			name: "graphql.max_batch out of bounds",
			text: graphql + "max_batch = 5000",
			want: "4:1: graphql.max_batch: must be from 1 to 1000, got 5000",
		},
		{
			name: "graphql.max_depth out of bounds",
			text: graphql + "max_depth = -1",
			want: "4:1: graphql.max_depth: must be from 1 to 500, got -1",
		},
		{
			name: "unknown key of a graphql.field",
			text: graphql + "[graphql.field.\"Query.x\"]\n" + misspelledKey + " = \"c\"",
			want: "5:1: no such key: graphql.field.Query.x." + misspelledKey,
		},
		{
			name: "unknown key ledger.durably",
			text: ledger + "durably = 1\nother = 2\n",
			want: "3:1: no such key: ledger.durably",
		},
		{
			name: "ledger.durable has an unknown value",
			text: ledger + "durable = \"sometimes\"",
			want: "3:1: ledger.durable: must be \"always\", \"batch\" or \"off\", got \"sometimes\"",
		},
		{
			name: "ledger.durable is a number",
			text: ledger + "durable = 5",
			want: "3:11: ",
		},
		{
			name: "ledger.on_failure has an unknown value",
			text: ledger + "on_failure = \"pray\"",
			want: "3:1: ledger.on_failure: must be \"refuse\" or \"continue\", got \"pray\"",
		},
		{
			name: "ledger.dir missing",
			text: "[ledger]\n",
			want: "1:2: ledger.dir: must be an absolute path, got \"\"",
		},
		{
			name: "ledger.dir is not an absolute path",
			text: "[ledger]\ndir = \"here\"\n",
			want: "2:1: ledger.dir: must be an absolute path, got \"here\"",
		},
		{
			name: "ledger.dir without durable records",
			text: ledger + "durable = \"off\"",
			want: "2:1: ledger.dir: must not be set when durable = \"off\", got \"/x\"",
		},
		{
			name: "ledger.sync_every without ledger.durable batch",
			text: ledger + "sync_every = \"1s\"",
			want: "3:1: ledger.sync_every: requires durable = \"batch\", got durable = \"always\"",
		},
		{
			name: "ledger.sync_every out of bounds",
			text: ledger + "durable = \"batch\"\nsync_every = \"1h\"",
			want: "4:1: ledger.sync_every: must be from 1ms to 10s, got 1h0m0s",
		},
		{
			name: "ledger.remember is no duration",
			text: ledger + "remember = \"5 minutes\"",
			want: "3:12: invalid duration \"5 minutes\": must be written like",
		},
		{
			name: "ledger.remember out of bounds",
			text: ledger + "remember = \"1s\"",
			want: "3:1: ledger.remember: must be from 10s to 168h0m0s, got 1s",
		},
		{
			name: "ledger.max_entries out of bounds",
			text: ledger + "max_entries = 3",
			want: "3:1: ledger.max_entries: must be from 100 to 10000000, got 3",
		},
		{
			name: "ledger.segment_size has an unknown unit",
			text: ledger + "segment_size = \"4MB\"",
			want: "3:16: \"4MB\" is not a size such as",
		},
		{
			name: "ledger.max_size below eight segments",
			text: ledger + "segment_size = \"8MiB\"\nmax_size = \"16MiB\"",
			want: "4:1: ledger.max_size: must be from 8 segments to 64GiB, got 16777216B",
		},
		{
			name: "ledger.max_size exceeds 64 bits",
			text: ledger + "max_size = \"99999999999GiB\"",
			want: "is too large",
		},
		{
			name: "admin.listen not on loopback",
			text: "[admin]\nlisten = \"0.0.0.0:80\"",
			want: "2:1: admin.listen: must be a loopback address, got 0.0.0.0:80",
		},
		{
			name: "admin.listen is a host name",
			text: "[admin]\nlisten = \"localhost\"",
			want: "2:1: admin.listen: must be an IP address and a port such as \"127.0.0.1:9180\", got \"localhost\"",
		},
		{
			name: "key twice",
			text: "[admin]\nlisten = \"127.0.0.1:1\"\nlisten = \"again\"",
			want: "3:",
		},
		{
			name: "members without a source",
			text: "[members]\n",
			want: "1:2: members: must have a source of endpoints",
		},
		{
			name: "members.srv.tries out of bounds",
			text: srv + "tries = 9",
			want: "5:1: members.srv.tries: must be from 1 to 5, got 9",
		},
		{
			name: "members.srv.max_ttl below min_ttl",
			text: srv + "min_ttl = \"9m\"",
			want: "members.srv.max_ttl: must not be below min_ttl (9m0s), got 5m0s",
		},
		{
			name: "members.srv.spread out of bounds",
			text: srv + "spread = \"2m\"",
			want: "5:1: members.srv.spread: must be from 0 to 1m, got 2m0s",
		},
		{
			name: "unknown key members.srv.ttl",
			text: srv + "ttl = 3",
			want: "5:1: no such key: members.srv.ttl",
		},
		{
			name: "members.share out of bounds",
			text: "[members]\nshare = 1.5\nmost = -1\nsettle = \"1us\"\n[members.srv]\nname = \"booking\"\n" +
				"servers = [\"dns\"]",
			want: "2:1: members.share: must be above 0 and at most 1, got 1.5",
		},
		{
			name: "members.srv.name has no protocol",
			text: "[members.srv]\nname = \"booking\"\nservers = [\"10.0.0.2:53\"]",
			want: "2:1: members.srv.name: must be a service name such as " +
				"\"_booking._tcp.example.org\", got \"booking\"",
		},
		{
			name: "members.srv.servers has a host name",
			text: "[members.srv]\nname = \"_a._tcp.b\"\nservers = [\"dns\"]",
			want: "3:1: members.srv.servers: must be an IP address and a port such as \"10.0.0.2:53\", got \"dns\"",
		},
		{
			name: "members.srv.servers missing",
			text: "[members.srv]\nname = \"_a._tcp.b\"",
			want: "members.srv.servers: must list 1 to 8 name servers, got 0",
		},
		{
			name: "table is a number",
			text: "admin = 1",
			want: "1:9: ",
		},
		{
			name: "table is not closed",
			text: "[ledger",
			want: "1:",
		},
		{
			name: "not UTF-8",
			text: "\xff\xfe",
			want: "1:",
		},
		{
			name: "table in place of a value",
			text: ledger + "[ledger.dir]\nx = 1\n[[ledger]]\n",
			want: "",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, err := Parse([]byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%q: got %+v, error %v; want an error with %q", test.text, c, err, test.want)
			}
		})
	}
}

// The text of a FileError has one line for each error. Each line begins with the file's name.
func TestLoadNamesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.toml")
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("a missing file: got error %v, want one that names %s", err, path)
	}
	if err := os.WriteFile(path, []byte("[ledger]\ndir = \"x\"\nremember = \"1s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	if err == nil || strings.Count(err.Error(), path+":") != 2 ||
		!strings.Contains(err.Error(), path+":3:1: ledger.remember") {
		t.Errorf("got error %v, want two lines that begin with %s:, one for ledger.remember at 3:1", err, path)
	}
}

// For any text, Parse succeeds or returns at least one error.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[ledger]\ndir = \"/x\"\nremember = \"1m\"\n[admin]\nlisten = \"127.0.0.1:1\""))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := Parse(text)
		var joined interface{ Unwrap() []error }
		if err != nil && (!errors.As(err, &joined) || len(joined.Unwrap()) == 0) {
			t.Errorf("%q: got error %v, want one that joins the errors of the file", text, err)
		}
	})
}

// Parse reads seeds from fleet.seeds and from a file with comments. The error for an invalid line of the file names the
// line.
func TestFleetSeeds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seeds")
	head := "[fleet]\nname = \"f\"\nlisten = \"10.0.0.4:7946\"\nnetworks = [\"10.0.0.0/8\"]\n" +
		"seeds_file = \"" + path + "\"\n"
	if err := os.WriteFile(path, []byte("# ours\n10.0.0.5:7946 # the first\n\n10.0.0.6:7946\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Parse([]byte(head + "seeds = [\"10.0.0.7:7946\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	cluster := c.Cluster
	if len(cluster.SeedAddrs) != 3 || cluster.SeedAddrs[1].String() != "10.0.0.5:7946" {
		t.Errorf("seeds %v, want 3 with 10.0.0.5:7946 as the second", cluster.SeedAddrs)
	}
	if cluster.AdvertiseAddr.String() != "10.0.0.4:7946" || cluster.MaxMembers != 10_000 ||
		time.Duration(cluster.ProbeTimeout) != 300*time.Millisecond {
		t.Errorf("got %+v, want defaults for advertise, most and timeout", cluster)
	}
	if err := os.WriteFile(path, []byte("10.0.0.5:7946\n10.0.0.6\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	want := "5:1: fleet.seeds_file: " + path +
		":2: must be an IP address and a port such as \"10.0.0.4:7946\", got \"10.0.0.6\""
	if _, err := Parse([]byte(head)); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("seeds file with an invalid line: got error %v, want one with %q", err, want)
	}
}

// LoadOrigin reads the file of an origin and fills in the defaults. Each error names the file, the line, the column and
// the key.
func TestOriginFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "origin.toml")
	load := func(text string) (*Origin, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadOrigin(path)
	}
	const good = "name = \"b\"\nlisten = \"10.0.0.9:7950\"\ndir = \"/x\"\nfleet = \"f\"\nepoch = 2\n" +
		"peers = [{name = \"b\", addr = \"10.0.0.9:7950\"}, {name = \"a\", addr = \"10.0.0.8:7950\"}]\n" +
		"networks = [\"10.0.0.0/8\"]\n"
	o, err := load(good)
	if err != nil || o.Epoch != 2 || time.Duration(o.TickInterval) != 50*time.Millisecond {
		t.Fatalf("got %+v, error %v; want epoch 2 and the default tick, 50ms", o, err)
	}
	if strings.Join(o.OriginNames, " ") != "a b" || o.OriginAddrs["a"] != "10.0.0.8:7950" || o.AllowedNetworks == nil {
		t.Fatalf("got %+v, want the origins a and b, the address of a, and the networks", o)
	}
	tests := []struct{ name, old, new, want string }{
		{
			"origin is not among its peers", "name = \"b\"\n", "name = \"c\"\n",
			":6:1: peers: must list this origin itself, \"c\"",
		},
		{
			"listen has no port", "10.0.0.9:7950\"\ndir", "10.0.0.9\"\ndir",
			":2:1: listen: must be an IP address and a port such as \"10.0.0.9:7950\", got \"10.0.0.9\"",
		},
		{"dir is not an absolute path", "\"/x\"", "\"x\"", ":3:1: dir: must be an absolute path, got \"x\""},
		{
			"fleet missing", "fleet = \"f\"\n", "",
			":1:1: fleet: must be the name of the sidecars' fleet, 1 to 64 bytes, got none",
		},
		{"epoch too low", "epoch = 2", "epoch = 0", ":5:1: epoch: must be at least 1, got 0"},
		{"peer listed twice", "name = \"a\"", "name = \"b\"", ":6:1: peers: the name \"b\" is listed twice"},
		{
			"peer has no IP address", "10.0.0.8:7950", "here",
			":6:1: peers: the address of \"a\" must be an IP address and a port such as \"10.0.0.9:7950\", " +
				"got \"here\"",
		},
		{
			"networks contains every address", "10.0.0.0/8", "0.0.0.0/0",
			":7:1: networks: 0.0.0.0/0 contains every address",
		},
		{
			"tick out of bounds", "epoch = 2", "epoch = 2\ntick = \"1m\"",
			":6:1: tick: must be from 10ms to 1s, got 1m0s",
		},
		{"unknown key", "epoch = 2", "epoch = 2\nepochs = 2", ":6:1: no such key: epochs"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := load(strings.Replace(good, test.old, test.new, 1))
			if err == nil || !strings.Contains(err.Error(), path+test.want) {
				t.Errorf("%s: got error %v, want one with %q", test.new, err, path+test.want)
			}
		})
	}
}
