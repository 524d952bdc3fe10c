package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/dnsserver"
	"hazelwing/internal/operator"
	"hazelwing/internal/testutil"
)

const bookings = "_booking._tcp.example.org."

// names is a name service that lists these ports of 127.0.0.1, for a tenth of a second.
func names(ports ...string) dnsserver.Reply {
	return func(q dnsmessage.Message, _ bool) [][]byte {
		var list []dnsmessage.Resource
		for i, text := range ports {
			port, _ := strconv.Atoi(text)
			host := fmt.Sprintf("n%d.example.org.", i)
			switch q.Questions[0].Type {
			case dnsmessage.TypeSRV:
				list = append(list, dnsserver.Record(bookings, 0, &dnsmessage.SRVResource{Target: dnsmessage.MustNewName(host), Port: uint16(port), Weight: 1}))
			case dnsmessage.TypeA:
				if q.Questions[0].Name.String() == host {
					list = append(list, dnsserver.Record(host, 0, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}}))
				}
			}
		}
		return [][]byte{dnsserver.Pack(dnsserver.Message(q, 0, list, nil, nil))}
	}
}

// A name service beside discovery: what only it names is sent to; what the list says to drain is sent nothing new
// beyond the grace, though the name service lists it on; and a name service that is silent takes nothing away.
func TestSRVBesideDiscovery(t *testing.T) {
	var seen [2]atomic.Int64
	var ports [2]string
	for i := range ports {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			seen[i].Add(1)
			io.WriteString(w, "ok")
		}))
		defer node.Close()
		_, ports[i], _ = net.SplitHostPort(node.Listener.Addr().String())
	}
	d, err := emulator.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	host := emulator.Host{Host: "n0", Dial: "127.0.0.1:" + ports[0], Site: "a", Class: "m", Health: "SERVING"}
	d.Set(host)
	dns, err := dnsserver.New(names(ports[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer dns.Close()
	op, err := operator.Parse([]byte(fmt.Sprintf("[members]\nsettle = \"10ms\"\n[members.srv]\nname = %q\nservers = [%q]\nmin_ttl = \"100ms\"\ntimeout = \"200ms\"\nprivate = true\n",
		bookings, dns.Addr)))
	if err != nil {
		t.Fatal(err)
	}
	r, stop := run(t, config(t, d.Addr(), testutil.NoAddr), op)
	defer stop()
	n := 0
	ask := func() bool { // refused is as good: a node that may just have started is spared
		n++
		resp, _ := r.do(t, r.request(t, "GET", "look", strconv.Itoa(n), ""))
		if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request %d: %s", n, resp.Status)
		}
		return resp.StatusCode == http.StatusOK
	}
	ask()
	dns.Answer(names(ports[0], ports[1]))
	testutil.Until(t, "a request to the node that only the name service names", func() bool { ask(); return seen[1].Load() > 0 })

	host.Health = "DRAINING"
	told := time.Now()
	d.Set(host)
	for time.Since(told) < 600*time.Millisecond { // the grace, and what a busy machine adds to it
		ask()
	}
	before := seen[0].Load()
	for range 50 {
		ask()
	}
	if after := seen[0].Load(); after > before {
		t.Errorf("%d requests went to a node that drains", after-before)
	}
	for _, e := range r.endpoints.Status() {
		if drains := e.Addr == host.Dial || e.ID == "addr "+host.Dial; e.Listed == drains || drains && e.Reason != "list says that it has left" {
			t.Errorf("in the list: %+v", e)
		}
	}
	dns.Answer(func(dnsmessage.Message, bool) [][]byte { return nil })
	asked := dns.Asked()
	testutil.Until(t, "lookups that nobody answers", func() bool { ask(); return dns.Asked() > asked+2 })
	testutil.Until(t, "an answer of the node that is left", ask)
}
