package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hazelwing/internal/operator"
	"hazelwing/internal/platform"
	"hazelwing/internal/testutil"
)

// deployment is a platform's configuration with settings that an operator could choose.
type deployment struct {
	name    string
	classes []string // classes as JSON objects; empty: the classes of testutil.PlatformConfig
	change  []string // pairs of old and new text in testutil.PlatformConfig
}

// class returns the JSON object of a class.
func class(
	name string, objectiveMS, deadlineMS int, weight, lateShare any, semantics, scope string, windowMS int,
) string {
	return fmt.Sprintf(`{"Name":%q,"AimMs":%d,"DeadlineMs":%d,"Importance":%v,"LateShare":%v,`+
		`"Semantics":%q,"KeyScope":%q,"DedupWindowMs":%d}`,
		name, objectiveMS, deadlineMS, weight, lateShare, semantics, scope, windowMS)
}

var deployments = []deployment{
	{
		name: "names of one letter",
		classes: []string{
			class("q", 100, 500, 1, 0, "retryable", "all", 300),
			class("Q", 100, 500, 1, 0, "fragile", "", 0),
		},
	},
	{
		name: "odd names",
		classes: []string{
			class("board.show_all~1", 100, 500, 1, 0, "retryable", "all", 300),
			class("50% off", 100, 500, 1, 0, "dedup", "all", 300),
			class("réservé", 100, 500, 1, 0, "fragile", "all", 300),
		},
	},
	{
		name: "all unsafe",
		classes: []string{
			class("a", 100, 500, 1, 0, "fragile", "all", 0),
			class("b", 2000, 60000, 9, 1, "fragile", "cell", 0),
		},
	},
	{
		name: "all keyed",
		classes: []string{
			class("a", 100, 300, 1, 0, "dedup", "all", 300),
			class("b", 100, 900, 1, 0, "dedup", "zone", 300),
			class("c", 100, 60000, 1, 0, "dedup", "cell", 90000),
		},
	},
	{
		name:    "all safe",
		classes: []string{class("a", 100, 300, 0, 0, "retryable", "", 0)},
	},
	{
		name:    "objectives beyond deadlines",
		classes: []string{class("a", 5000, 300, 1, 0, "retryable", "", 0)},
	},
	{
		name:    "no objectives and no weights",
		classes: []string{`{"Name":"a","DeadlineMs":400,"Semantics":"retryable"}`},
	},
	{
		name: "one attempt, no hedging",
		change: []string{
			`"SendCap":3`, `"SendCap":1`,
			`"Cancelling":true`, `"Cancelling":false,"SecondCopies":false,"Probes":false`,
			`"RetryAfter":true`, `"RetryAfter":false`,
		},
	},
	{
		name:   "hedging and probes",
		change: []string{`"Cancelling":true`, `"Cancelling":true,"SecondCopies":true,"Probes":true`},
	},
	{
		name: "short times",
		change: []string{
			`"ConnIdleMs":15000`, `"ConnIdleMs":1000`,
			`"ConnectTimeoutMs":1000`, `"ConnectTimeoutMs":50`,
			`"DrainGraceMs":250`, `"DrainGraceMs":100`,
		},
	},
	{
		name: "no limits",
		change: []string{
			`"Limits":{"Cancelling":true,"ConnIdleMs":15000,"ConnectTimeoutMs":1000,` +
				`"SendCap":3,"RetryAfter":true,"MaxRetryAfterMs":1500}`,
			`"Limits":{}`,
		},
	},
	{
		name: "no rules",
		change: []string{
			`"Rules":{"ColdFrom":0.3,"WarmUpMs":8000,"FallMultiple":3,"FallMs":2000,"DrainGraceMs":250}`,
			`"Rules":{}`,
		},
	},
	{name: "few sockets", change: []string{`"sockets":1024`, `"sockets":22`}},
	{name: "little memory", change: []string{`"memory_mb":192`, `"memory_mb":32`}},
	{name: "lists pushed", change: []string{`"Discovery":"ask"`, `"Discovery":"push"`}},
	{
		name:   "many sidecars, no zone",
		change: []string{`"Balancers":1`, `"Balancers":5000`, `"Zone":"a"`, `"Zone":""`},
	},
	{
		name: "tenants",
		change: []string{
			`"TickMs":5`,
			`"TickMs":5,"Tenants":[{"Name":"x","Fraction":0.5},{"Name":"ünder & sons","Fraction":0.5}],` +
				`"OverShareWorth":0.1,"WorthBy":"work"`,
		},
	},
	{
		name: "unknown keys",
		change: []string{
			`"TickMs":5`,
			`"TickMs":5,"NotKnown":{"a":[1,2,{"b":null}]},"Stats":null,"Prices":{"Odd":1}`,
		},
	},
	{name: "a long tick", change: []string{`"TickMs":5`, `"TickMs":50`}},
}

// text returns the text of the deployment's configuration, with one upstream.
func (d *deployment) text(t *testing.T, upstream string) string {
	t.Helper()
	original := fmt.Sprintf(testutil.PlatformConfig, testutil.UnusedAddr, upstream)
	text := strings.NewReplacer(d.change...).Replace(original)
	if len(d.classes) > 0 {
		before, rest, _ := strings.Cut(text, `"Classes":[`)
		_, after, _ := strings.Cut(rest, `"DedupWindowMs":5000}]`)
		text = before + `"Classes":[` + strings.Join(d.classes, ",") + "]" + after
	}
	for i := 0; i+1 < len(d.change); i += 2 {
		if !strings.Contains(text, d.change[i+1]) {
			t.Fatalf("testutil.PlatformConfig does not contain %s", d.change[i])
		}
	}
	return text
}

// settingsClass is a class in the settings of a deployment.
type settingsClass struct {
	index           int // index in the settings
	name, semantics string
	deadlineMS      float64
}

// classRequest returns the request with number n of a class.
func (r *testSidecar) classRequest(t *testing.T, c settingsClass, n int) *http.Request {
	t.Helper()
	method, body := "POST", "x"
	if c.semantics == "retryable" {
		method, body = "GET", ""
	}
	target := r.url + "/" + url.PathEscape(c.name) + "/x"
	req, err := http.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if body == "" {
		req.Body, req.ContentLength = nil, 0
	}
	req.Header = http.Header{
		"X-Request-Id":  {fmt.Sprint(c.index, "-", n)},
		"X-Class":       {c.name},
		"X-Deadline-Ms": {fmt.Sprint(int(c.deadlineMS))},
		"X-Tenant":      {"ünder & sons"},
	}
	if c.semantics == "dedup" {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("k%d-%d", c.index, n))
	}
	return req
}

// With the settings of each deployment, the sidecar starts, serves requests of each class, rejects an unknown class and
// stops.
func TestSettingsOfOtherDeployments(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for testutil.ReadRequest(r) != nil {
					send(conn, testutil.OKResponse)
				}
			})
			cfg := parseConfig(t, d.text(t, addr))
			r, stop := run(t, cfg, new(operator.Config))
			defer stop()
			for i, c := range cfg.Settings.Classes {
				checkClassIsServed(t, r, settingsClass{i, c.Name, c.Effect, c.DeadlineMs})
			}
			resp, _ := r.do(t, r.request(t, "GET", "no-such-class", "z", ""))
			if resp.StatusCode != http.StatusNotFound {
				t.Errorf("a request of an unknown class: got %s, want 404", resp.Status)
			}
		})
	}
}

// checkClassIsServed sends three requests of a class. Requests with a deadline below one second may miss it on a slow
// machine, but at least one request must be served.
func checkClassIsServed(t *testing.T, r *testSidecar, c settingsClass) {
	t.Helper()
	served := 0
	for n := range 3 {
		resp, got := r.do(t, r.classRequest(t, c, n))
		late := resp.StatusCode == http.StatusGatewayTimeout || resp.StatusCode == http.StatusServiceUnavailable
		if late && c.deadlineMS < 1000 {
			continue
		}
		if resp.StatusCode != http.StatusOK || got != "ok" {
			t.Errorf("class %q: got %s with body %q, want 200 with \"ok\"", c.name, resp.Status, got)
			continue
		}
		served++
	}
	if served == 0 {
		t.Errorf("class %q: got 0 of 3 requests served, want at least 1", c.name)
	}
}

// Each invalid setting prevents the start, with an error that names the setting.
func TestInvalidSettings(t *testing.T) {
	for want, change := range map[string][]string{
		"Effect": {`"retryable"`, `"perhaps"`},
		"Group":  {`"dedup"`, `"dedup","KeyScope":"planet"`},
		"Deadline": {
			`"DeadlineMs":20000,"LateShare":0.5,"Semantics":"fragile"`,
			`"DeadlineMs":-1,"Semantics":"fragile"`,
		},
		"ConnectTimeout": {`"ConnectTimeoutMs":1000`, `"ConnectTimeoutMs":-1`},
		"Name":           {`"Name":"book"`, `"Name":"look"`},
		"MaxAttempts":    {`"SendCap":3`, `"SendCap":-3`},
		"settings":       {`"settings"`, `"setting"`},
		"discovery":      {`"127.0.0.1:1"`, `"127.0.0.1"`},
		"seed":           {`"00000000000000ff"`, `"x"`},
		"configuration":  {`"settings":{`, `"settings":`},
	} {
		t.Run(want, func(t *testing.T) {
			text := fmt.Sprintf(testutil.PlatformConfig, testutil.UnusedAddr, testutil.UnusedAddr)
			text = strings.NewReplacer(change...).Replace(text)
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			cfg, err := platform.Load(func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] })
			if err == nil {
				_, err = build(t.Context(), cfg, new(operator.Config), discardLog)
			}
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got error %v, want one that names %s", err, want)
			}
		})
	}
}
