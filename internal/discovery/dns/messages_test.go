package dns

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"hazelwing/internal/emulator/dnsserver"
)

// service is the name that the tests look up.
const service = "_http._tcp.booking.example.org."

var testLimits = Limits{MinTTL: 5 * time.Second, MaxTTL: time.Hour, MaxTargets: 4, MaxAddrs: 2}

type records = []dnsmessage.Resource

// srv returns an SRV record of service.
func srv(ttl uint32, port, priority, weight uint16, target string) dnsmessage.Resource {
	record := srvOf(service, ttl, port, target)
	body := record.Body.(*dnsmessage.SRVResource)
	body.Priority, body.Weight = priority, weight
	return record
}

// srvOf returns an SRV record of any name.
func srvOf(name string, ttl uint32, port uint16, target string) dnsmessage.Resource {
	return dnsserver.Record(name, ttl, &dnsmessage.SRVResource{Target: dnsmessage.MustNewName(target), Port: port})
}

func aRecord(name string, ttl uint32, last byte) dnsmessage.Resource {
	return dnsserver.Record(name, ttl, &dnsmessage.AResource{A: [4]byte{10, 0, 0, last}})
}

func cname(name, target string, ttl uint32) dnsmessage.Resource {
	return dnsserver.Record(name, ttl, &dnsmessage.CNAMEResource{CNAME: dnsmessage.MustNewName(target)})
}

// cnameChain returns a chain of aliases that starts with service.
func cnameChain(length int) records {
	var list records
	name := service
	for i := range length {
		next := fmt.Sprintf("c%d.example.org.", i)
		list = append(list, cname(name, next, 100))
		name = next
	}
	return list
}

func formatAnswer(answer Answer) string {
	var b strings.Builder
	for _, target := range answer.Targets {
		fmt.Fprintf(&b, "%d/%d %s %v; ", target.Priority, target.Weight, target.Host, addrPorts(target))
	}
	fmt.Fprintf(&b, "ttl %v", answer.TTL)
	if answer.NotFound {
		b.WriteString(" not found")
	}
	if answer.Alias != "" {
		b.WriteString(" alias " + answer.Alias)
	}
	if answer.Dropped > 0 {
		fmt.Fprintf(&b, " dropped %d", answer.Dropped)
	}
	return b.String()
}

// addrPorts returns the addresses of a target, each with the target's port.
func addrPorts(target Target) []netip.AddrPort {
	var list []netip.AddrPort
	for _, addr := range target.Addrs {
		list = append(list, netip.AddrPortFrom(addr, target.Port))
	}
	return list
}
