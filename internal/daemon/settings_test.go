package daemon

import (
	"bufio"
	"fmt"
	"io"
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

// customer is a deployment that another customer could have.
type customer struct {
	classes string // of the settings, as JSON objects
	change  []string
}

const class = `{"Name":%q,"AimMs":%d,"DeadlineMs":%d,"Importance":%v,"LateShare":%v,"Semantics":%q,"KeyScope":%q,"DedupWindowMs":%d}`

func classes(list ...string) string { return strings.Join(list, ",") }

var customers = map[string]customer{
	"names of one letter":      {classes: classes(fmt.Sprintf(class, "q", 100, 500, 1, 0, "retryable", "all", 300), fmt.Sprintf(class, "Q", 100, 500, 1, 0, "fragile", "", 0))},
	"odd names":                {classes: classes(fmt.Sprintf(class, "board.show_all~1", 100, 500, 1, 0, "retryable", "all", 300), fmt.Sprintf(class, "50% off", 100, 500, 1, 0, "dedup", "all", 300), fmt.Sprintf(class, "réservé", 100, 500, 1, 0, "fragile", "all", 300))},
	"all unsafe":               {classes: classes(fmt.Sprintf(class, "a", 100, 500, 1, 0, "fragile", "all", 0), fmt.Sprintf(class, "b", 2000, 60000, 9, 1, "fragile", "cell", 0))},
	"all keyed":                {classes: classes(fmt.Sprintf(class, "a", 100, 300, 1, 0, "dedup", "all", 300), fmt.Sprintf(class, "b", 100, 900, 1, 0, "dedup", "zone", 300), fmt.Sprintf(class, "c", 100, 60000, 1, 0, "dedup", "cell", 90000))},
	"all safe":                 {classes: classes(fmt.Sprintf(class, "a", 100, 300, 0, 0, "retryable", "", 0))},
	"aims beyond deadlines":    {classes: classes(fmt.Sprintf(class, "a", 5000, 300, 1, 0, "retryable", "", 0))},
	"no aims and no worth":     {classes: `{"Name":"a","DeadlineMs":400,"Semantics":"retryable"}`},
	"one attempt, no copies":   {change: []string{`"SendCap":3`, `"SendCap":1`, `"Cancelling":true`, `"Cancelling":false,"SecondCopies":false,"Probes":false`, `"RetryAfter":true`, `"RetryAfter":false`}},
	"second copies and probes": {change: []string{`"Cancelling":true`, `"Cancelling":true,"SecondCopies":true,"Probes":true`}},
	"short times":              {change: []string{`"ConnIdleMs":15000`, `"ConnIdleMs":1000`, `"ConnectTimeoutMs":1000`, `"ConnectTimeoutMs":50`, `"DrainGraceMs":250`, `"DrainGraceMs":100`}},
	"no limits told":           {change: []string{`"Limits":{"Cancelling":true,"ConnIdleMs":15000,"ConnectTimeoutMs":1000,"SendCap":3,"RetryAfter":true,"MaxRetryAfterMs":1500}`, `"Limits":{}`}},
	"no rules told":            {change: []string{`"Rules":{"ColdFrom":0.3,"WarmUpMs":8000,"FallMultiple":3,"FallMs":2000,"DrainGraceMs":250}`, `"Rules":{}`}},
	"few sockets":              {change: []string{`"sockets":1024`, `"sockets":22`}},
	"little memory":            {change: []string{`"memory_mb":192`, `"memory_mb":32`}},
	"lists pushed":             {change: []string{`"Discovery":"ask"`, `"Discovery":"push"`}},
	"many sidecars, no zone":   {change: []string{`"Balancers":1`, `"Balancers":5000`, `"Zone":"a"`, `"Zone":""`}},
	"tenants":                  {change: []string{`"TickMs":5`, `"TickMs":5,"Tenants":[{"Name":"x","Fraction":0.5},{"Name":"ünder & sons","Fraction":0.5}],"OverShareWorth":0.1,"WorthBy":"work"`}},
	"keys that are not known":  {change: []string{`"TickMs":5`, `"TickMs":5,"NotKnown":{"a":[1,2,{"b":null}]},"Stats":null,"Prices":{"Odd":1}`}},
	"a long tick":              {change: []string{`"TickMs":5`, `"TickMs":50`}},
}

// Under each customer's settings the sidecar starts, serves each of its classes, turns away what is none, and drains.
func TestSettingsOfOtherCustomers(t *testing.T) {
	for name, c := range customers {
		t.Run(name, func(t *testing.T) {
			addr := testutil.Raw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for testutil.ReadRequest(r) != nil {
					io.WriteString(conn, testutil.OKAnswer)
				}
			})
			text := strings.NewReplacer(c.change...).Replace(fmt.Sprintf(testutil.Config, testutil.NoAddr, addr))
			if c.classes != "" {
				before, rest, _ := strings.Cut(text, `"Classes":[`)
				_, after, _ := strings.Cut(rest, `"DedupWindowMs":5000}]`)
				text = before + `"Classes":[` + c.classes + "]" + after
			}
			for i := 0; i+1 < len(c.change); i += 2 {
				if !strings.Contains(text, c.change[i+1]) {
					t.Fatalf("the settings do not have %s", c.change[i])
				}
			}
			cfg := loadText(t, text)
			r, stop := run(t, cfg, new(operator.Config))
			defer stop()
			for i, k := range cfg.Settings.Classes {
				served := 0
				for n := range 3 {
					method, body := "POST", "x"
					if k.Effect == "retryable" {
						method, body = "GET", ""
					}
					req, err := http.NewRequest(method, r.url+"/"+url.PathEscape(k.Name)+"/x", strings.NewReader(body))
					if err != nil {
						t.Fatal(err)
					}
					if body == "" {
						req.Body, req.ContentLength = nil, 0
					}
					req.Header = http.Header{"X-Request-Id": {fmt.Sprint(i, "-", n)}, "X-Class": {k.Name}, "X-Deadline-Ms": {fmt.Sprint(int(k.DeadlineMs))},
						"X-Tenant": {"ünder & sons"}}
					if k.Effect == "dedup" {
						req.Header.Set("Idempotency-Key", fmt.Sprintf("k%d-%d", i, n))
					}
					resp, got := r.do(t, req)
					if late := resp.StatusCode == http.StatusGatewayTimeout || resp.StatusCode == http.StatusServiceUnavailable; late && k.DeadlineMs < 1000 {
						continue // a slow machine; the others have to be served
					}
					if resp.StatusCode != http.StatusOK || got != "ok" {
						t.Errorf("class %q: %s %q", k.Name, resp.Status, got)
						continue
					}
					served++
				}
				if served == 0 {
					t.Errorf("class %q: none was served", k.Name)
				}
			}
			if resp, _ := r.do(t, r.request(t, "GET", "no-such-class", "z", "")); resp.StatusCode != http.StatusNotFound {
				t.Errorf("a class that is none: %s", resp.Status)
			}
		})
	}
}

// What cannot be used is named, and nothing starts.
func TestSettingsThatCannotBeUsed(t *testing.T) {
	for want, change := range map[string][]string{
		"Effect":         {`"retryable"`, `"perhaps"`},
		"Group":          {`"dedup"`, `"dedup","KeyScope":"planet"`},
		"Deadline":       {`"DeadlineMs":20000,"LateShare":0.5,"Semantics":"fragile"`, `"DeadlineMs":-1,"Semantics":"fragile"`},
		"ConnectTimeout": {`"ConnectTimeoutMs":1000`, `"ConnectTimeoutMs":-1`},
		"Name":           {`"Name":"book"`, `"Name":"look"`},
		"MaxAttempts":    {`"SendCap":3`, `"SendCap":-3`},
		"settings":       {`"settings"`, `"setting"`},
		"discovery":      {`"127.0.0.1:1"`, `"127.0.0.1"`},
		"seed":           {`"00000000000000ff"`, `"x"`},
		"configuration":  {`"settings":{`, `"settings":`},
	} {
		t.Run(want, func(t *testing.T) {
			text := strings.NewReplacer(change...).Replace(fmt.Sprintf(testutil.Config, testutil.NoAddr, testutil.NoAddr))
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			cfg, err := platform.Load(func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] })
			if err == nil {
				_, err = build(cfg, new(operator.Config), quietLog)
			}
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want an error that names %s", err, want)
			}
		})
	}
}
