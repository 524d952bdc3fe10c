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

func startServer(t *testing.T, reply dnsserver.ReplyFunc) *dnsserver.Server {
	t.Helper()
	server, err := dnsserver.New(reply)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// goodReply answers a query for the service with one target, and a query for the target with its address.
func goodReply(query dnsmessage.Message, _ bool) [][]byte {
	switch query.Questions[0].Type {
	case dnsmessage.TypeSRV:
		return reply(query, 0, records{srv(60, 80, 1, 1, "n1.example.org.")})
	case dnsmessage.TypeA:
		return reply(query, 0, records{aRecord(query.Questions[0].Name.String(), 30, 1)})
	}
	return nil
}

func silentReply(dnsmessage.Message, bool) [][]byte { return nil }

// reply returns a reply of one message.
func reply(query dnsmessage.Message, code dnsmessage.RCode, answers records) [][]byte {
	return [][]byte{dnsserver.Pack(dnsserver.Message(query, code, answers, nil, nil))}
}

// codeReply returns a reply function whose replies have a response code and no records.
func codeReply(code dnsmessage.RCode) dnsserver.ReplyFunc {
	return func(query dnsmessage.Message, _ bool) [][]byte { return reply(query, code, nil) }
}

// forgedReply returns a reply function that sends a forged message, bytes that are not a message, an empty message and
// then the good reply. The forged message has a wrong target, and is modified by change.
func forgedReply(change func(*dnsmessage.Message)) dnsserver.ReplyFunc {
	return func(query dnsmessage.Message, tcp bool) [][]byte {
		m := dnsserver.Message(query, 0, records{srv(60, 99, 1, 1, "evil.")}, nil, nil)
		m.Questions = append([]dnsmessage.Question(nil), m.Questions...)
		change(&m)
		return append([][]byte{dnsserver.Pack(m), []byte("noise"), nil}, goodReply(query, tcp)...)
	}
}

// longReply replies with 200 records over TCP, and with a truncated message over UDP.
func longReply(query dnsmessage.Message, tcp bool) [][]byte {
	if query.Questions[0].Type != dnsmessage.TypeSRV {
		return goodReply(query, tcp)
	}
	m := dnsserver.Message(query, 0, records{srv(60, 80, 1, 1, "n1.example.org.")}, nil, nil)
	m.Truncated = !tcp
	for i := range 199 {
		m.Answers = append(m.Answers, srvOf(fmt.Sprintf("other%d.example.org.", i), 60, 1, "n."))
	}
	if !tcp {
		m.Answers = nil
	}
	return [][]byte{dnsserver.Pack(m)}
}

// aliasReply answers a query for the service with an alias, and a query for the name behind the alias with a target.
func aliasReply(query dnsmessage.Message, tcp bool) [][]byte {
	question := query.Questions[0]
	if question.Name.String() == service {
		return reply(query, 0, records{cname(service, "real.example.org.", 3600)})
	}
	if question.Type == dnsmessage.TypeSRV {
		record := srv(60, 80, 1, 1, "n1.example.org.")
		record.Header.Name = question.Name
		return reply(query, 0, records{record})
	}
	return goodReply(query, tcp)
}

// Name servers do not respond, return errors, send forged or truncated messages, or answer with an alias. A lookup must
// neither accept a forged answer nor fail while one of the servers returns a good answer.
func TestResolver(t *testing.T) {
	const good = "1/1 n1.example.org. [10.0.0.1:80]; ttl 30s"
	failing := codeReply(dnsmessage.RCodeServerFailure)
	wrongID := forgedReply(func(m *dnsmessage.Message) { m.ID++ })
	wrongQuestion := forgedReply(func(m *dnsmessage.Message) { m.Questions[0].Name = dnsmessage.MustNewName("x.") })
	alwaysTruncated := forgedReply(func(m *dnsmessage.Message) { m.Truncated = true })
	for name, c := range map[string]struct {
		replies    []dnsserver.ReplyFunc // one for each server
		timeout    time.Duration         // timeout of a query; 0 means testutil.WaitTimeout
		want       string                // answer, or part of the error
		minQueries int                   // minimum number of queries to all servers together
	}{
		"good": {
			replies:    []dnsserver.ReplyFunc{goodReply},
			want:       good,
			minQueries: 2,
		},
		"one is silent": {
			replies:    []dnsserver.ReplyFunc{silentReply, goodReply},
			timeout:    2 * time.Second, // applies to the good server, too
			want:       good,
			minQueries: 2,
		},
		"one fails": {
			replies:    []dnsserver.ReplyFunc{failing, goodReply},
			want:       good,
			minQueries: 2,
		},
		"one refuses": {
			replies:    []dnsserver.ReplyFunc{codeReply(dnsmessage.RCodeRefused), goodReply},
			want:       good,
			minQueries: 2,
		},
		"wrong ID": {
			replies:    []dnsserver.ReplyFunc{wrongID},
			want:       good,
			minQueries: 2,
		},
		"wrong question": {
			replies:    []dnsserver.ReplyFunc{wrongQuestion},
			want:       good,
			minQueries: 2,
		},
		"truncated": {
			replies:    []dnsserver.ReplyFunc{longReply},
			want:       good,
			minQueries: 3,
		},
		"an alias": {
			replies:    []dnsserver.ReplyFunc{aliasReply},
			want:       good,
			minQueries: 3,
		},
		"no such name": {
			replies:    []dnsserver.ReplyFunc{codeReply(dnsmessage.RCodeNameError)},
			want:       "ttl 5s not found",
			minQueries: 1,
		},
		"all fail": {
			replies:    []dnsserver.ReplyFunc{failing, failing},
			timeout:    time.Second, // also determines the pause between attempts
			want:       errServerFailure.Error(),
			minQueries: 4,
		},
		"all silent": {
			replies:    []dnsserver.ReplyFunc{silentReply},
			timeout:    200 * time.Millisecond,
			want:       "i/o timeout",
			minQueries: 2,
		},
		"always truncated": {
			replies:    []dnsserver.ReplyFunc{alwaysTruncated},
			timeout:    time.Second, // also determines the pause between attempts
			want:       "truncated",
			minQueries: 4,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resolver := &Resolver{Attempts: 2, Timeout: testutil.WaitTimeout, Limits: testLimits}
			if c.timeout > 0 {
				resolver.Timeout = c.timeout
			}
			var servers []*dnsserver.Server
			for _, reply := range c.replies {
				server := startServer(t, reply)
				servers = append(servers, server)
				resolver.Servers = append(resolver.Servers, server.Addr)
			}
			got, err := resolver.LookupSRV(t.Context(), service)
			text := formatAnswer(got)
			if err == nil && text != c.want || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("LookupSRV returned %q and the error %v, want %q", text, err, c.want)
			}
			queries := 0
			for _, server := range servers {
				queries += server.Queries()
			}
			if queries < c.minQueries {
				t.Errorf("the servers received %d queries, want at least %d", queries, c.minQueries)
			}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	resolver := &Resolver{
		Servers:  []string{testutil.UnusedAddr},
		Attempts: 5,
		Timeout:  testutil.WaitTimeout,
		Limits:   testLimits,
	}
	if _, err := resolver.LookupSRV(ctx, service); !errors.Is(err, context.Canceled) {
		t.Errorf("LookupSRV with a canceled context returned the error %v, want %v", err, context.Canceled)
	}
}
