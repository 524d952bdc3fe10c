package daemon

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"

	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/dnsserver"
	"hazelwing/internal/operator"
	"hazelwing/internal/testutil"
)

// keyRecorder records at which nodes the keys of keyed requests have run.
type keyRecorder struct {
	mu    sync.Mutex
	nodes map[string]map[int]bool // numbers of nodes, by key
	keys  map[int]int             // number of keys, by node
}

func (k *keyRecorder) record(key string, node int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.nodes[key] == nil {
		k.nodes[key] = map[int]bool{}
	}
	k.nodes[key][node] = true
	k.keys[node]++
}

// keysAt returns how many keys have arrived at a node.
func (k *keyRecorder) keysAt(node int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys[node]
}

// forgetfulNode starts a node that runs each request, and resets the connection of every other one in place of an
// answer.
func (k *keyRecorder) forgetfulNode(t *testing.T, number int) (addr string) {
	return testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for req := testutil.ReadRequest(r); req != nil; req = testutil.ReadRequest(r) {
			if key := req.Header.Get("Idempotency-Key"); key != "" {
				k.record(key, number)
				if k.keysAt(number)%2 == 0 {
					_ = conn.(*net.TCPConn).SetLinger(0) // so that the close resets the connection
					conn.Close()
					return
				}
			}
			send(conn, testutil.OKResponse)
		}
	})
}

// Guards against a second run of a keyed request at nodes that only the name service lists. A name service reports
// neither zones nor cells, so the nodes may be in different ones, which do not know each other's keys. Each of the
// three nodes here has a zone and a cell of its own, and loses answers; each key may arrive at one of them only.
func TestKeyedRequestStaysWhereTheLocationIsUnknown(t *testing.T) {
	for _, scope := range []string{"zone", "cell"} {
		t.Run(scope, func(t *testing.T) {
			recorder := &keyRecorder{nodes: map[string]map[int]bool{}, keys: map[int]int{}}
			var addrs, ports []string
			for i := range 3 {
				addr := recorder.forgetfulNode(t, i)
				_, port, _ := net.SplitHostPort(addr)
				addrs, ports = append(addrs, addr), append(ports, port)
			}
			d, err := emulator.NewDiscovery()
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			d.Set(emulator.Endpoint{Name: "n0", Address: addrs[0], Zone: "a", Kind: "m", Health: "SERVING"})
			dns, err := dnsserver.New(srvReply(ports...))
			if err != nil {
				t.Fatal(err)
			}
			defer dns.Close()
			op, err := operator.Parse(fmt.Appendf(nil, "[members]\nsettle = \"10ms\"\n[members.srv]\nname = %q\n"+
				"servers = [%q]\nmin_ttl = \"100ms\"\ntimeout = \"200ms\"\nprivate = true\n", bookingService, dns.Addr))
			if err != nil {
				t.Fatal(err)
			}
			cfg := config(t, d.Addr(), testutil.UnusedAddr,
				`"DedupWindowMs":5000`, fmt.Sprintf(`"DedupWindowMs":5000,"KeyScope":%q`, scope))
			r, stop := run(t, cfg, op)
			defer stop()
			n := 0
			testutil.Until(t, "20 keyed requests at each node that only the name service lists", func() bool {
				n++
				req := r.request(t, "POST", "pay", strconv.Itoa(n), "x")
				req.Header.Set("Idempotency-Key", fmt.Sprint("k", n))
				r.do(t, req)
				return recorder.keysAt(1) >= 20 && recorder.keysAt(2) >= 20
			})
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			for key, nodes := range recorder.nodes {
				if len(nodes) > 1 {
					t.Errorf("%s ran at %d nodes that do not know each other's keys, want 1", key, len(nodes))
				}
			}
		})
	}
}
