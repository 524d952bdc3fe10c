package watch

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"testing"

	"hazelwing/internal/testutil"
)

// A client must report the data that has arrived on its connections and was not read, and nothing once it was read or
// the connection was closed.
func TestClientReportsUnreadData(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, _ *bufio.Reader) { accepted <- conn })
	client := NewClient(addr, false, slog.New(slog.DiscardHandler))
	conn, err := client.transport.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := testutil.Receive(t, accepted, "the connection")
	if client.HasBacklog() {
		t.Error("a backlog before any data, want none")
	}
	if _, err := server.Write([]byte("data")); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "a backlog", client.HasBacklog)
	if _, err := conn.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	if client.HasBacklog() {
		t.Error("a backlog after all data was read, want none")
	}
	if _, err := server.Write([]byte("data")); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "a second backlog", client.HasBacklog)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if client.HasBacklog() || len(client.conns.conns) > 0 {
		t.Errorf("a backlog or %d connections after the close, want none", len(client.conns.conns))
	}
}
