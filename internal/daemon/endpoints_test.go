package daemon

import (
	"fmt"
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

const bookingService = "_booking._tcp.example.org."

// srvReply returns the replies of a name service that lists ports of 127.0.0.1. The TTL of the replies is 0, which the
// sidecar raises to min_ttl.
func srvReply(ports ...string) dnsserver.ReplyFunc {
	return func(q dnsmessage.Message, _ bool) [][]byte {
		var list []dnsmessage.Resource
		for i, text := range ports {
			port, _ := strconv.Atoi(text)
			host := fmt.Sprintf("n%d.example.org.", i)
			switch q.Questions[0].Type {
			case dnsmessage.TypeSRV:
				target := dnsmessage.MustNewName(host)
				srv := &dnsmessage.SRVResource{Target: target, Port: uint16(port), Weight: 1}
				list = append(list, dnsserver.Record(bookingService, 0, srv))
			case dnsmessage.TypeA:
				if q.Questions[0].Name.String() == host {
					list = append(list, dnsserver.Record(host, 0, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}}))
				}
			}
		}
		return [][]byte{dnsserver.Pack(dnsserver.Message(q, 0, list, nil, nil))}
	}
}

// A name service is an additional source besides discovery. An endpoint that only the name service lists gets requests.
// An endpoint that discovery reports as draining gets no new requests after the drain grace, although the name service
// still lists this endpoint. If the name service stops answering, the endpoints that it listed stay in the list.
func TestSRVBesideDiscovery(t *testing.T) {
	var seen [2]atomic.Int64
	var ports [2]string
	for i := range ports {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			seen[i].Add(1)
			send(w, "ok")
		}))
		defer node.Close()
		_, ports[i], _ = net.SplitHostPort(node.Listener.Addr().String())
	}
	d, err := emulator.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	host := emulator.Endpoint{Name: "n0", Address: "127.0.0.1:" + ports[0], Zone: "a", Kind: "m", Health: "SERVING"}
	d.Set(host)
	dns, err := dnsserver.New(srvReply(ports[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer dns.Close()
	table := fmt.Sprintf("[members]\nsettle = \"10ms\"\n[members.srv]\nname = %q\nservers = [%q]\n"+
		"min_ttl = \"100ms\"\ntimeout = \"200ms\"\nprivate = true\n", bookingService, dns.Addr)
	op, err := operator.Parse([]byte(table))
	if err != nil {
		t.Fatal(err)
	}
	r, stop := run(t, config(t, d.Addr(), testutil.UnusedAddr), op)
	defer stop()
	n := 0
	// request sends a request and reports whether it was served. A rejection is also valid, because a new node is in
	// slow start.
	request := func() bool {
		n++
		resp, _ := r.do(t, r.request(t, "GET", "look", strconv.Itoa(n), ""))
		if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request %d: got %s, want 200 or 503", n, resp.Status)
		}
		return resp.StatusCode == http.StatusOK
	}
	request()
	dns.SetReply(srvReply(ports[0], ports[1]))
	testutil.Until(t, "a request to the node that only the name service lists", func() bool {
		request()
		return seen[1].Load() > 0
	})

	host.Health = "DRAINING"
	drainedAt := time.Now()
	d.Set(host)
	for time.Since(drainedAt) < 600*time.Millisecond { // the drain grace, plus a delay for a busy machine
		request()
	}
	before := seen[0].Load()
	for range 50 {
		request()
	}
	if after := seen[0].Load(); after > before {
		t.Errorf("%d requests were sent to a draining node, want none", after-before)
	}
	for _, e := range r.endpoints.Status() {
		drains := e.Addr == host.Address || e.ID == "addr "+host.Address
		if e.Listed == drains || drains && e.Reason != "list says that it has left" {
			t.Errorf("endpoint status: got %+v, want Listed %v; the draining node needs the reason %q",
				e, !drains, "list says that it has left")
		}
	}
	dns.SetReply(func(dnsmessage.Message, bool) [][]byte { return nil })
	queries := dns.Queries()
	testutil.Until(t, "queries that the name service does not answer", func() bool {
		request()
		return dns.Queries() > queries+2
	})
	testutil.Until(t, "a response of the remaining node", request)
}
