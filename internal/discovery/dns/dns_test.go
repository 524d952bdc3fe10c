package dns

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"hazelwing/internal/emulator/dnsserver"
	"hazelwing/internal/testutil"
)

const service = "_http._tcp.booking.example.org."

var limits = Limits{MinTTL: 5 * time.Second, MaxTTL: time.Hour, MaxTargets: 4, MaxAddrs: 2}

type records = []dnsmessage.Resource

func srv(ttl uint32, port, priority, weight uint16, target string) dnsmessage.Resource {
	return dnsserver.Record(service, ttl, &dnsmessage.SRVResource{Target: dnsmessage.MustNewName(target), Port: port, Priority: priority, Weight: weight})
}

func a(name string, ttl uint32, last byte) dnsmessage.Resource {
	return dnsserver.Record(name, ttl, &dnsmessage.AResource{A: [4]byte{10, 0, 0, last}})
}

func cname(name, to string, ttl uint32) dnsmessage.Resource {
	return dnsserver.Record(name, ttl, &dnsmessage.CNAMEResource{CNAME: dnsmessage.MustNewName(to)})
}

func show(a Answer) string {
	var b strings.Builder
	for _, t := range a.Targets {
		fmt.Fprintf(&b, "%d/%d %s %v; ", t.Priority, t.Weight, t.Host, t.AddrPorts())
	}
	fmt.Fprintf(&b, "ttl %v", a.TTL)
	if a.NotFound {
		b.WriteString(" none")
	}
	if a.Alias != "" {
		b.WriteString(" follow " + a.Alias)
	}
	if a.Dropped > 0 {
		fmt.Fprintf(&b, " dropped %d", a.Dropped)
	}
	return b.String()
}

// What a message means, and what makes it none.
func TestParse(t *testing.T) {
	soa := dnsserver.Record("example.org.", 60, &dnsmessage.SOAResource{NS: dnsmessage.MustNewName("ns."), MBox: dnsmessage.MustNewName("m."), MinTTL: 30})
	v6 := dnsserver.Record("n1.example.org.", 50, &dnsmessage.AAAAResource{AAAA: [16]byte{0xfd, 15: 1}})
	q := dnsmessage.Question{Name: dnsmessage.MustNewName(service), Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}
	chain := func(n int) (list records) {
		name := service
		for i := range n {
			next := fmt.Sprintf("c%d.example.org.", i)
			list = append(list, cname(name, next, 100))
			name = next
		}
		return list
	}
	for name, c := range map[string]struct {
		code                dnsmessage.RCode
		answers, auth, more records
		change              func(*dnsmessage.Message)
		limits              func(*Limits)
		want                string // an answer, or part of an error
	}{
		"two, by level": {answers: records{srv(300, 80, 1, 10, "n1.example.org."), srv(200, 81, 2, 0, "N2.example.org.")}, more: records{a("n1.example.org.", 100, 1), v6, a("n2.Example.org.", 90, 2)},
			want: "1/10 n1.example.org. [10.0.0.1:80 [fd00::1]:80]; 2/0 n2.example.org. [10.0.0.2:81]; ttl 50s"},
		"an alias":             {answers: records{cname(service, "x.example.org.", 40), dnsserver.Record("x.example.org.", 100, &dnsmessage.SRVResource{Target: dnsmessage.MustNewName("n."), Port: 8})}, want: "0/0 n. []; ttl 40s"},
		"an alias, no more":    {answers: records{cname(service, "x.example.org.", 40)}, want: "ttl 40s follow x.example.org."},
		"aliases in a circle":  {answers: records{cname(service, "x.", 40), cname("x.", service, 40)}, want: errChain.Error()},
		"too many aliases":     {answers: chain(12), want: errChain.Error()},
		"TTL 0":                {answers: records{srv(0, 80, 0, 0, "n.")}, want: "0/0 n. []; ttl 5s"},
		"TTL of 2^31":          {answers: records{srv(1<<31, 80, 0, 0, "n.")}, want: "0/0 n. []; ttl 5s"},
		"TTL of years":         {answers: records{srv(1<<31-1, 80, 0, 0, "n.")}, want: "0/0 n. []; ttl 1h0m0s"},
		"no such name":         {code: dnsmessage.RCodeNameError, auth: records{soa}, want: "ttl 30s none"},
		"no such type":         {auth: records{soa}, want: "ttl 30s none"},
		"nothing at all":       {want: "ttl 5s none"},
		"not available":        {answers: records{srv(60, 80, 0, 0, ".")}, want: "ttl 5s none"},
		"port 0":               {answers: records{srv(60, 0, 0, 0, "n."), srv(60, 80, 0, 0, "m.")}, want: "0/0 m. []; ttl 1m0s dropped 1"},
		"too many":             {answers: records{srv(60, 1, 0, 0, "n."), srv(60, 2, 0, 0, "n."), srv(60, 3, 0, 0, "n."), srv(60, 4, 0, 0, "n."), srv(60, 5, 0, 0, "n.")}, want: "0/0 n. []; 0/0 n. []; 0/0 n. []; 0/0 n. []; ttl 1m0s dropped 1"},
		"too many addresses":   {answers: records{srv(60, 80, 0, 0, "n.")}, more: records{a("n.", 60, 1), a("n.", 60, 1), a("n.", 60, 2), a("n.", 60, 3)}, want: "0/0 n. [10.0.0.1:80 10.0.0.2:80]; ttl 1m0s dropped 1"},
		"outside the zone":     {answers: records{srv(60, 80, 0, 0, "n.evil.org."), srv(60, 80, 0, 0, "notexample.org."), srv(60, 80, 0, 0, "n.example.org.")}, limits: func(l *Limits) { l.Zone = "example.org" }, want: "0/0 n.example.org. []; ttl 1m0s dropped 2"},
		"loopback, barred":     {answers: records{srv(60, 80, 0, 0, "n.")}, more: records{dnsserver.Record("n.", 60, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}})}, limits: func(l *Limits) { l.RejectLocal = true }, want: "0/0 n. []; ttl 1m0s dropped 1"},
		"loopback":             {answers: records{srv(60, 80, 0, 0, "n.")}, more: records{dnsserver.Record("n.", 60, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}})}, want: "0/0 n. [127.0.0.1:80]; ttl 1m0s"},
		"unspecified":          {answers: records{srv(60, 80, 0, 0, "n.")}, more: records{dnsserver.Record("n.", 60, &dnsmessage.AResource{})}, want: "0/0 n. []; ttl 1m0s dropped 1"},
		"another's records":    {answers: records{dnsserver.Record("other.", 60, &dnsmessage.SRVResource{Target: dnsmessage.MustNewName("n."), Port: 8})}, want: "ttl 5s none"},
		"another class":        {answers: records{{Header: dnsmessage.ResourceHeader{Name: q.Name, Class: dnsmessage.ClassCHAOS, TTL: 60}, Body: &dnsmessage.SRVResource{Target: q.Name, Port: 8}}}, want: "ttl 5s none"},
		"server failure":       {code: dnsmessage.RCodeServerFailure, want: errServer.Error()},
		"refused":              {code: dnsmessage.RCodeRefused, want: errServer.Error()},
		"truncated":            {answers: records{srv(60, 80, 0, 0, "n.")}, change: func(m *dnsmessage.Message) { m.Truncated = true }, want: errTruncated.Error()},
		"another id":           {change: func(m *dnsmessage.Message) { m.ID++ }, want: errOther.Error()},
		"a question":           {change: func(m *dnsmessage.Message) { m.Response = false }, want: errOther.Error()},
		"another question":     {change: func(m *dnsmessage.Message) { m.Questions[0].Name = dnsmessage.MustNewName("other.") }, want: errOther.Error()},
		"another type of them": {change: func(m *dnsmessage.Message) { m.Questions[0].Type = dnsmessage.TypeA }, want: errOther.Error()},
		"no question":          {change: func(m *dnsmessage.Message) { m.Questions = nil }, want: errOther.Error()},
	} {
		l := limits
		if c.limits != nil {
			c.limits(&l)
		}
		m := dnsserver.Message(dnsmessage.Message{Header: dnsmessage.Header{ID: 7}, Questions: []dnsmessage.Question{q}}, c.code, c.answers, c.auth, c.more)
		if c.change != nil {
			c.change(&m)
		}
		got, err := parse(dnsserver.Pack(m), 7, q, &l)
		if text := show(got); err == nil && text != c.want || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %s, %v; want %s", name, text, err, c.want)
		}
	}
	if _, err := parse([]byte{0, 7, 0x80, 0, 0, 1, 0, 1, 0, 0, 0, 0, 0xc0, 12, 0, 33, 0, 1}, 7, q, &limits); err == nil { // a name that points to itself
		t.Error("a pointer loop was taken")
	}
}

func server(t *testing.T, reply dnsserver.Reply) *dnsserver.Server {
	t.Helper()
	s, err := dnsserver.New(reply)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// good answers with one target, and its address where it is asked for that.
func good(q dnsmessage.Message, _ bool) [][]byte {
	switch q.Questions[0].Type {
	case dnsmessage.TypeSRV:
		return [][]byte{dnsserver.Pack(dnsserver.Message(q, 0, records{srv(60, 80, 1, 1, "n1.example.org.")}, nil, nil))}
	case dnsmessage.TypeA:
		return [][]byte{dnsserver.Pack(dnsserver.Message(q, 0, records{a(q.Questions[0].Name.String(), 30, 1)}, nil, nil))}
	}
	return nil
}

// Servers that are silent, fail, forge, cut short or spread their answer: the good answer is found where there is one.
func TestResolver(t *testing.T) {
	const want = "1/1 n1.example.org. [10.0.0.1:80]; ttl 30s"
	code := func(c dnsmessage.RCode) dnsserver.Reply {
		return func(q dnsmessage.Message, _ bool) [][]byte {
			return [][]byte{dnsserver.Pack(dnsserver.Message(q, c, nil, nil, nil))}
		}
	}
	forged := func(change func(*dnsmessage.Message)) dnsserver.Reply {
		return func(q dnsmessage.Message, tcp bool) [][]byte {
			m := dnsserver.Message(q, 0, records{srv(60, 99, 1, 1, "evil.")}, nil, nil)
			m.Questions = append([]dnsmessage.Question(nil), m.Questions...)
			change(&m)
			return append([][]byte{dnsserver.Pack(m), []byte("noise"), nil}, good(q, tcp)...)
		}
	}
	many := func(q dnsmessage.Message, tcp bool) [][]byte { // 200 records, which only TCP holds
		if q.Questions[0].Type != dnsmessage.TypeSRV {
			return good(q, tcp)
		}
		m := dnsserver.Message(q, 0, records{srv(60, 80, 1, 1, "n1.example.org.")}, nil, nil)
		m.Truncated = !tcp
		for i := range 199 {
			m.Answers = append(m.Answers, dnsserver.Record(fmt.Sprintf("other%d.example.org.", i), 60, &dnsmessage.SRVResource{Target: dnsmessage.MustNewName("n."), Port: 1}))
		}
		if !tcp {
			m.Answers = nil
		}
		return [][]byte{dnsserver.Pack(m)}
	}
	alias := func(q dnsmessage.Message, tcp bool) [][]byte {
		if q.Questions[0].Name.String() == service {
			return [][]byte{dnsserver.Pack(dnsserver.Message(q, 0, records{cname(service, "real.example.org.", 3600)}, nil, nil))}
		}
		if q.Questions[0].Type == dnsmessage.TypeSRV {
			r := srv(60, 80, 1, 1, "n1.example.org.")
			r.Header.Name = q.Questions[0].Name
			return [][]byte{dnsserver.Pack(dnsserver.Message(q, 0, records{r}, nil, nil))}
		}
		return good(q, tcp)
	}
	silent := func(dnsmessage.Message, bool) [][]byte { return nil }
	for name, c := range map[string]struct {
		replies []dnsserver.Reply
		want    string
		asked   int // of all, at least
	}{
		"good":           {[]dnsserver.Reply{good}, want, 2},
		"one is silent":  {[]dnsserver.Reply{silent, good}, want, 2},
		"one fails":      {[]dnsserver.Reply{code(dnsmessage.RCodeServerFailure), good}, want, 2},
		"one refuses":    {[]dnsserver.Reply{code(dnsmessage.RCodeRefused), good}, want, 2},
		"wrong id":       {[]dnsserver.Reply{forged(func(m *dnsmessage.Message) { m.ID++ })}, want, 2},
		"wrong question": {[]dnsserver.Reply{forged(func(m *dnsmessage.Message) { m.Questions[0].Name = dnsmessage.MustNewName("x.") })}, want, 2},
		"truncated":      {[]dnsserver.Reply{many}, want, 3},
		"an alias":       {[]dnsserver.Reply{alias}, want, 3},
		"no such name":   {[]dnsserver.Reply{code(dnsmessage.RCodeNameError)}, "ttl 5s none", 1},
		"all fail":       {[]dnsserver.Reply{code(dnsmessage.RCodeServerFailure), code(dnsmessage.RCodeServerFailure)}, errServer.Error(), 4},
		"all silent":     {[]dnsserver.Reply{silent}, "i/o timeout", 2},
		"truncated on":   {[]dnsserver.Reply{forged(func(m *dnsmessage.Message) { m.Truncated = true })}, "truncated", 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &Resolver{Attempts: 2, Timeout: testutil.Patience, Limits: limits}
			switch name {
			case "one is silent":
				r.Timeout = 2 * time.Second // the good one has as long
			case "all silent":
				r.Timeout = 200 * time.Millisecond
			}
			var all []*dnsserver.Server
			for _, reply := range c.replies {
				s := server(t, reply)
				all = append(all, s)
				r.Servers = append(r.Servers, s.Addr)
			}
			if name == "truncated on" || name == "all fail" {
				r.Timeout = time.Second // and the pause between tries
			}
			got, err := r.LookupSRV(t.Context(), service)
			if text := show(got); err == nil && text != c.want || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s, %v; want %s", text, err, c.want)
			}
			asked := 0
			for _, s := range all {
				asked += s.Asked()
			}
			if asked < c.asked {
				t.Errorf("%d questions, want %d", asked, c.asked)
			}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := (&Resolver{Servers: []string{testutil.NoAddr}, Attempts: 5, Timeout: testutil.Patience, Limits: limits}).LookupSRV(ctx, service); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}

// Whatever a message holds, it is read within its limits or is an error.
//
//	go test ./internal/discovery/dns -run xxx -fuzz Parse -fuzztime 2m
func FuzzParse(f *testing.F) {
	q := dnsmessage.Question{Name: dnsmessage.MustNewName(service), Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}
	base := dnsmessage.Message{Header: dnsmessage.Header{ID: 7}, Questions: []dnsmessage.Question{q}}
	f.Add(dnsserver.Pack(dnsserver.Message(base, 0, records{srv(60, 80, 1, 1, "n."), cname(service, "x.", 4)}, nil, records{a("n.", 60, 1)})))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := parse(text, 7, q, &limits)
		if err == nil && (len(got.Targets) > limits.MaxTargets || got.TTL < limits.MinTTL || got.TTL > limits.MaxTTL) {
			t.Errorf("%+v", got)
		}
	})
}
