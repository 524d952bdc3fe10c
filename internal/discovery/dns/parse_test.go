package dns

import (
	"strings"
	"testing"

	"golang.org/x/net/dns/dnsmessage"

	"hazelwing/internal/emulator/dnsserver"
)

// Messages that are forged, truncated or do not answer the query must be rejected. Of other messages, only records
// within the limits are used: a message must not be able to exhaust the memory.
func TestParse(t *testing.T) {
	soa := dnsserver.Record("example.org.", 60, &dnsmessage.SOAResource{
		NS:     dnsmessage.MustNewName("ns."),
		MBox:   dnsmessage.MustNewName("m."),
		MinTTL: 30,
	})
	ipv6 := dnsserver.Record("n1.example.org.", 50, &dnsmessage.AAAAResource{AAAA: [16]byte{0xfd, 15: 1}})
	loopback := dnsserver.Record("n.", 60, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}})
	question := dnsmessage.Question{
		Name:  dnsmessage.MustNewName(service),
		Type:  dnsmessage.TypeSRV,
		Class: dnsmessage.ClassINET,
	}
	otherClass := srv(60, 8, 0, 0, service)
	otherClass.Header.Class = dnsmessage.ClassCHAOS
	for name, c := range map[string]struct {
		code         dnsmessage.RCode
		answers      records
		authorities  records
		additionals  records
		changeHeader func(*dnsmessage.Message)
		changeLimits func(*Limits)
		want         string // an answer, or part of an error
	}{
		"two priorities": {
			answers: records{srv(300, 80, 1, 10, "n1.example.org."), srv(200, 81, 2, 0, "N2.example.org.")},
			additionals: records{
				aRecord("n1.example.org.", 100, 1),
				ipv6,
				aRecord("n2.Example.org.", 90, 2),
			},
			want: "1/10 n1.example.org. [10.0.0.1:80 [fd00::1]:80]; 2/0 n2.example.org. [10.0.0.2:81]; ttl 50s",
		},
		"an alias": {
			answers: records{cname(service, "x.example.org.", 40), srvOf("x.example.org.", 100, 8, "n.")},
			want:    "0/0 n. []; ttl 40s",
		},
		"an alias without records": {
			answers: records{cname(service, "x.example.org.", 40)},
			want:    "ttl 40s alias x.example.org.",
		},
		"a cycle of aliases": {
			answers: records{cname(service, "x.", 40), cname("x.", service, 40)},
			want:    errAliasChain.Error(),
		},
		"too many aliases": {
			answers: cnameChain(12),
			want:    errAliasChain.Error(),
		},
		"TTL 0": {
			answers: records{srv(0, 80, 0, 0, "n.")},
			want:    "0/0 n. []; ttl 5s",
		},
		"TTL of 2^31": {
			answers: records{srv(1<<31, 80, 0, 0, "n.")},
			want:    "0/0 n. []; ttl 5s",
		},
		"TTL of years": {
			answers: records{srv(1<<31-1, 80, 0, 0, "n.")},
			want:    "0/0 n. []; ttl 1h0m0s",
		},
		"no such name": {
			code:        dnsmessage.RCodeNameError,
			authorities: records{soa},
			want:        "ttl 30s not found",
		},
		"no such type": {
			authorities: records{soa},
			want:        "ttl 30s not found",
		},
		"no records at all": {
			want: "ttl 5s not found",
		},
		"service not available": {
			answers: records{srv(60, 80, 0, 0, ".")},
			want:    "ttl 5s not found",
		},
		"port 0": {
			answers: records{srv(60, 0, 0, 0, "n."), srv(60, 80, 0, 0, "m.")},
			want:    "0/0 m. []; ttl 1m0s dropped 1",
		},
		"too many targets": {
			answers: records{
				srv(60, 1, 0, 0, "n."),
				srv(60, 2, 0, 0, "n."),
				srv(60, 3, 0, 0, "n."),
				srv(60, 4, 0, 0, "n."),
				srv(60, 5, 0, 0, "n."),
			},
			want: "0/0 n. []; 0/0 n. []; 0/0 n. []; 0/0 n. []; ttl 1m0s dropped 1",
		},
		"too many addresses": {
			answers: records{srv(60, 80, 0, 0, "n.")},
			additionals: records{
				aRecord("n.", 60, 1),
				aRecord("n.", 60, 1),
				aRecord("n.", 60, 2),
				aRecord("n.", 60, 3),
			},
			want: "0/0 n. [10.0.0.1:80 10.0.0.2:80]; ttl 1m0s dropped 1",
		},
		"outside the zone": {
			answers: records{
				srv(60, 80, 0, 0, "n.evil.org."),
				srv(60, 80, 0, 0, "notexample.org."),
				srv(60, 80, 0, 0, "n.example.org."),
			},
			changeLimits: func(l *Limits) { l.Zone = "example.org" },
			want:         "0/0 n.example.org. []; ttl 1m0s dropped 2",
		},
		"loopback, rejected": {
			answers:      records{srv(60, 80, 0, 0, "n.")},
			additionals:  records{loopback},
			changeLimits: func(l *Limits) { l.RejectLocal = true },
			want:         "0/0 n. []; ttl 1m0s dropped 1",
		},
		"loopback": {
			answers:     records{srv(60, 80, 0, 0, "n.")},
			additionals: records{loopback},
			want:        "0/0 n. [127.0.0.1:80]; ttl 1m0s",
		},
		"unspecified address": {
			answers:     records{srv(60, 80, 0, 0, "n.")},
			additionals: records{dnsserver.Record("n.", 60, &dnsmessage.AResource{})},
			want:        "0/0 n. []; ttl 1m0s dropped 1",
		},
		"records of another name": {
			answers: records{srvOf("other.", 60, 8, "n.")},
			want:    "ttl 5s not found",
		},
		"another class": {
			answers: records{otherClass},
			want:    "ttl 5s not found",
		},
		"server failure": {
			code: dnsmessage.RCodeServerFailure,
			want: errServerFailure.Error(),
		},
		"refused": {
			code: dnsmessage.RCodeRefused,
			want: errServerFailure.Error(),
		},
		"truncated": {
			answers:      records{srv(60, 80, 0, 0, "n.")},
			changeHeader: func(m *dnsmessage.Message) { m.Truncated = true },
			want:         errTruncated.Error(),
		},
		"another ID": {
			changeHeader: func(m *dnsmessage.Message) { m.ID++ },
			want:         errMismatch.Error() + ": it has the ID 8, want 7",
		},
		"a query": {
			changeHeader: func(m *dnsmessage.Message) { m.Response = false },
			want:         errMismatch.Error() + ": it is not a response",
		},
		"another question": {
			changeHeader: func(m *dnsmessage.Message) { m.Questions[0].Name = dnsmessage.MustNewName("other.") },
			want:         errMismatch.Error() + ": its question is ",
		},
		"another type": {
			changeHeader: func(m *dnsmessage.Message) { m.Questions[0].Type = dnsmessage.TypeA },
			want:         errMismatch.Error() + ": its question is ",
		},
		"no question": {
			changeHeader: func(m *dnsmessage.Message) { m.Questions = nil },
			want:         errMismatch.Error() + ": it has 0 questions, want 1",
		},
	} {
		limits := testLimits
		if c.changeLimits != nil {
			c.changeLimits(&limits)
		}
		query := dnsmessage.Message{Header: dnsmessage.Header{ID: 7}, Questions: []dnsmessage.Question{question}}
		message := dnsserver.Message(query, c.code, c.answers, c.authorities, c.additionals)
		if c.changeHeader != nil {
			c.changeHeader(&message)
		}
		got, err := parse(dnsserver.Pack(message), 7, question, &limits)
		text := formatAnswer(got)
		if err == nil && text != c.want || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: parse returned %q and the error %v, want %q", name, text, err, c.want)
		}
	}
	cyclic := []byte{0, 7, 0x80, 0, 0, 1, 0, 1, 0, 0, 0, 0, 0xc0, 12, 0, 33, 0, 1} // its name is a pointer to itself
	if _, err := parse(cyclic, 7, question, &testLimits); err == nil {
		t.Error("parse returned no error for a compressed name that points to itself, want an error")
	}
}

// Whatever bytes a message contains, parse returns an error or an answer within the limits. To run the fuzzer:
//
//	go test ./internal/discovery/dns -run xxx -fuzz Parse -fuzztime 2m
func FuzzParse(f *testing.F) {
	question := dnsmessage.Question{
		Name:  dnsmessage.MustNewName(service),
		Type:  dnsmessage.TypeSRV,
		Class: dnsmessage.ClassINET,
	}
	query := dnsmessage.Message{Header: dnsmessage.Header{ID: 7}, Questions: []dnsmessage.Question{question}}
	answers := records{srv(60, 80, 1, 1, "n."), cname(service, "x.", 4)}
	f.Add(dnsserver.Pack(dnsserver.Message(query, 0, answers, nil, records{aRecord("n.", 60, 1)})))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := parse(text, 7, question, &testLimits)
		if err != nil {
			return
		}
		if len(got.Targets) > testLimits.MaxTargets || got.TTL < testLimits.MinTTL || got.TTL > testLimits.MaxTTL {
			t.Errorf("the answer %+v exceeds the limits %+v", got, testLimits)
		}
	})
}
