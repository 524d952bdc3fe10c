package hollow

import (
	"context"
	"io"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hazelwing/internal/cluster"
	"hazelwing/internal/testutil"
)

// TestMain fails if a test leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fastKeys are keys of the table [fleet] with which a cluster detects faults within seconds.
const fastKeys = "probe = \"150ms\"\ntimeout = \"70ms\"\ngossip = \"20ms\"\nsync = \"1s\"\nretry = " +
	"\"400ms\"\nsuspicion = 1.5\n"

func newCluster(t *testing.T, config Config) *Cluster {
	t.Helper()
	c, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func everywhere(Location) bool { return true }

// waitAgreed waits until each running member of an area sees exactly the other running members of the area.
func waitAgreed(t *testing.T, c *Cluster, what string, in func(Location) bool) {
	t.Helper()
	begin, last := time.Now(), ""
	for ; time.Since(begin) < testutil.WaitTimeout; time.Sleep(10 * time.Millisecond) {
		if last = c.Disagreement(in); last == "" {
			t.Logf("%s: %v", what, time.Since(begin).Round(time.Millisecond))
			return
		}
	}
	t.Fatalf("%s: timed out after %v: %s", what, testutil.WaitTimeout, last)
}

// waitCurrent waits until all running members have the latest endpoint list.
func waitCurrent(t *testing.T, c *Cluster, what string) {
	t.Helper()
	testutil.Until(t, what, func() bool { return c.CountOutdated(everywhere) == 0 })
}

// Measurements with hollow members are valid only if the members behave like sidecars. The test cuts and heals links
// between regions and racks, kills members, and lets members leave and start again. The members have to join the
// cluster and get the endpoint list through a tree in which only the roots call discovery. After each fault, all views
// and lists have to be correct.
func TestClusterThroughFaults(t *testing.T) {
	c := newCluster(t, Config{
		Members:       16,
		Endpoints:     40,
		RackSize:      2,
		ClusterKeys:   fastKeys,
		BootstrapKeys: "ask = 2\nfan = 3",
	})
	if err := c.Start(c.Members...); err != nil {
		t.Fatal(err)
	}
	waitAgreed(t, c, "all members see all others", everywhere)
	waitCurrent(t, c, "all members have the list")
	testutil.Until(t, "a tree with two roots and at least three levels", func() bool {
		roots, depth := 0, 0
		for _, m := range c.Members {
			s, _ := m.SourceState()
			if s.Source == "discovery" {
				roots++
			}
			depth = max(depth, len(s.Server.Path))
		}
		return roots == 2 && depth >= 2
	})
	c.Discovery.Set(c.Endpoint(3, "DRAINING", 0))
	waitCurrent(t, c, "all members have the list with the draining endpoint")

	one, two := Area("r1"), Area("r2")
	if len(c.MembersIn(one)) != 8 || len(c.MembersIn(two)) != 8 || len(c.MembersIn("k1")) != 2 ||
		c.Members[15].Location != (Location{2, 4, 8}) {
		t.Fatalf(
			"members in region 1: %d, want 8; in region 2: %d, want 8; in rack 1: %d, want 2; "+
				"location of the last member: %+v, want %+v",
			len(c.MembersIn(one)), len(c.MembersIn(two)), len(c.MembersIn("k1")),
			c.Members[15].Location, Location{2, 4, 8},
		)
	}
	if err := c.Links.Apply("cut r1 r2"); err != nil {
		t.Fatal(err)
	}
	c.Discovery.Set(c.Endpoint(4, "DRAINING", 0))
	waitAgreed(t, c, "during the cut, region 1 sees only its own members", one.Contains)
	waitAgreed(t, c, "during the cut, region 2 sees only its own members", two.Contains)
	testutil.Until(t, "updates of the list in discovery's region during the cut", func() bool {
		return c.CountOutdated(one.Contains) == 0
	})
	if n := c.CountOutdated(two.Contains); n != 8 {
		t.Errorf("%d members of region 2 lack the update that was made during the cut, want all 8", n)
	}
	c.Links.Heal()
	waitAgreed(t, c, "after the cut, all members see all others", everywhere)
	waitCurrent(t, c, "after the cut, all members have the list")

	if err := c.Links.Apply("cut k2 rest"); err != nil {
		t.Fatal(err)
	}
	outside := func(p Location) bool { return p.Rack != 2 }
	waitAgreed(t, c, "members outside the rack that was cut off see only each other", outside)
	c.Links.Heal()
	waitAgreed(t, c, "after the rack's return, all members see all others", everywhere)

	c.Kill(c.Members[0], c.Members[5])
	waitAgreed(t, c, "after two members were killed", everywhere)
	c.Leave(c.Members[9])
	waitAgreed(t, c, "after one member has left", everywhere)
	if err := c.Start(c.Members[0], c.Members[5], c.Members[9]); err != nil {
		t.Fatal(err)
	}
	waitAgreed(t, c, "after the three members were started again", everywhere)
	waitCurrent(t, c, "members that were started again have the list")
}

// In a cluster started by StartJoined, one member subscribes to discovery and each other member to its parent in the
// tree. The total of the bytes that members and discovery have sent must differ by at most 10 % from the total that
// they have received.
func TestStartJoined(t *testing.T) {
	c := newCluster(t, Config{Members: 8, ClusterKeys: fastKeys, BootstrapKeys: "ask = 1\nfan = 2"})
	if err := c.StartJoined(t.Context(), testutil.WaitTimeout); err != nil {
		t.Fatal(err)
	}
	waitAgreed(t, c, "all members see all others", everywhere)
	waitCurrent(t, c, "all members have the list")
	ranks := map[int]string{}
	for _, m := range c.Members {
		s, _ := m.SourceState()
		ranks[s.Rank] = m.Name
	}
	for _, m := range c.Members {
		s, _ := m.SourceState()
		want := "discovery"
		if s.Rank > 0 {
			want = ranks[(s.Rank-1)/2]
		}
		if s.Source != want {
			t.Errorf("%s, which has rank %d, gets the list from %s, want %s", m.Name, s.Rank, s.Source, want)
		}
	}
	total := func() (sum Counts) {
		for _, m := range c.Members {
			sum = sum.Plus(m.Counts())
		}
		return sum.Plus(c.DiscoveryCounts())
	}
	before := total() // StartJoined has sent bytes to the members, which count as received but not as sent
	for i := range 40 {
		c.Discovery.Set(c.Endpoint(i%8, "DRAINING", 0))
	}
	waitCurrent(t, c, "all members have the changes")
	c.Kill(c.Members...)
	sum := total().Minus(before)
	// Some bytes were still in transit when the members were killed.
	if sum.StreamOut < 40*8*100 || math.Abs(float64(sum.BytesIn)/float64(sum.BytesOut)-1) > 0.1 {
		t.Errorf("total traffic is %+v, want StreamOut of at least %d, and BytesIn within 10%% of BytesOut",
			sum, 40*8*100)
	}
}

// An attachment responds at its member's address, is notified when the member's view changes, reaches other members
// over the cluster's links, and ends with its member.
func TestAttach(t *testing.T) {
	var changes, ended atomic.Int64
	c := newCluster(t, Config{Members: 4, RackSize: 1, ClusterKeys: fastKeys, Attach: func(m *Member) Attachment {
		return Attachment{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if _, err := w.Write([]byte(m.Name)); err != nil {
					t.Log(err) // the client has closed the connection
				}
			}),
			OnMembersChanged: func([]cluster.Member, bool) { changes.Add(1) },
			Run:              func(ctx context.Context) { <-ctx.Done(); ended.Add(1) },
		}
	}})
	if err := c.Start(c.Members...); err != nil {
		t.Fatal(err)
	}
	waitAgreed(t, c, "all members see all others", everywhere)
	transport := &http.Transport{DialContext: c.Members[0].Network().Dial, DisableKeepAlives: true}
	get := func(timeout time.Duration) (string, error) {
		client := http.Client{Transport: transport, Timeout: timeout}
		url := "http://" + c.Members[2].Addr.String() + "/other"
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
		if err != nil {
			return "", err
		}
		resp, err := client.Do(request)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		return string(text), err
	}
	if text, err := get(testutil.WaitTimeout); text != "sidecar-0003" {
		t.Errorf("response of the attached handler: %q, error %v, want sidecar-0003 without an error", text, err)
	}
	if err := c.Links.Apply("cut z1 z3"); err != nil {
		t.Fatal(err)
	}
	if text, err := get(50 * time.Millisecond); err == nil {
		t.Errorf("got response %q over a cut link, want an error", text)
	}
	if err := c.Links.Apply("slow z1 z3 30ms"); err != nil { // replaces the cut
		t.Fatal(err)
	}
	begun := time.Now()
	if text, err := get(testutil.WaitTimeout); text != "sidecar-0003" || time.Since(begun) < 60*time.Millisecond {
		t.Errorf("response over a link with 30 ms delay: %q, error %v, after %v, want sidecar-0003 after at least 60ms",
			text, err, time.Since(begun))
	}
	c.Close()
	if changes.Load() < 4 || ended.Load() != 4 {
		t.Errorf("got %d changes of views, want at least 4; Run returned in %d attachments, want 4",
			changes.Load(), ended.Load())
	}
}

// Invalid link steps are rejected with an error that names the mistake. Invalid configurations are rejected.
func TestBadInput(t *testing.T) {
	l := newLinks()
	defer l.close()
	for step, want := range map[string]string{
		"cut r1":          "want a verb and two areas",
		"cut r1 x2":       `"x2" is not an area`,
		"cut r0 r1":       `"r0" is not an area`,
		"slow r1 r2":      "got 3 words, want 4",
		"slow r1 r2 fast": "fast",
		"lose r1 r2 2":    "loss rate is 2",
		"melt r1 r2":      `unknown verb "melt"`,
		"cut rest r1":     `"rest" is not an area`,
		"heal r1":         "want a verb and two areas",
	} {
		if err := l.Apply(step); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("step %q: got error %v, want one that contains %q", step, err, want)
		}
	}
	for _, config := range []Config{
		{},
		{Members: MaxMembers + 1},
		{Members: 4, Regions: 5},
		{Members: 4, RackSize: -1},
	} {
		if c, err := New(config); err == nil {
			c.Close()
			t.Errorf("configuration %+v was accepted, want an error", config)
		}
	}
}
