package clientconn

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

// pair is a listener, and a client's connection to it from both sides, with a request in hand.
func pair(t *testing.T) (l *Listener, client *net.TCPConn, here *Conn) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tcp.Close() })
	l = New(tcp, 10, func() {})
	c, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.(*Conn).Begin()
	return l, c.(*net.TCPConn), conn.(*Conn)
}

// A look at the connection tells of a close behind far more than the kernel holds, though nobody reads: the process may be behind.
func TestGoneBehindUnreadBytes(t *testing.T) {
	_, client, here := pair(t)
	if here.Gone() {
		t.Error("it is gone before it left")
	}
	if _, err := client.Write(make([]byte, 6*maxAhead)); err != nil {
		t.Fatal(err)
	}
	if here.Gone() {
		t.Error("it is gone, and has only sent")
	}
	client.Close()
	testutil.Until(t, "the leaving", here.Gone)
}

// What a client sends beyond all bounds is not lost and not held: it is no longer read until the answer is begun.
func TestReadAheadIsBounded(t *testing.T) {
	l, client, here := pair(t)
	sent := make([]byte, 4*mostAhead)
	for i := range sent {
		sent[i] = byte(rand.Uint32())
	}
	wrote, closes := make(chan error, 1), make(chan struct{})
	go func() {
		_, err := client.Write(sent)
		<-closes // else the kernel may hold all of it, and the close behind it is noticed as it should be
		client.CloseWrite()
		wrote <- err
	}()
	var one [1]byte
	n, err := here.Read(one[:]) // as net/http does while a request is in hand
	if n != 1 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end); {
		if here.Gone() {
			t.Fatal("gone, with bytes on the way")
		}
	}
	if got := here.ahead.size(); got > mostAhead || got < mostAhead/2 || l.pool.Load() != sharedAhead-int64(here.borrowed) {
		t.Errorf("%d bytes are put by, and %d of the pool are left", got, l.pool.Load())
	}
	close(closes)
	here.Done()
	rest, err := io.ReadAll(here)
	if err != nil || !bytes.Equal(append(one[:], rest...), sent) {
		t.Errorf("%d bytes of %d came, %v", 1+len(rest), len(sent), err)
	}
	if err := testutil.Receive(t, wrote, "the client's end"); err != nil {
		t.Error(err)
	}
	if l.pool.Load() != sharedAhead || !here.ahead.empty() {
		t.Errorf("%d of %d of the pool came back", l.pool.Load(), sharedAhead)
	}
}

// Where the pool is empty each connection still has a request's size of its own, and a connection that ends gives back.
func TestSharedReadAhead(t *testing.T) {
	l, client, here := pair(t)
	l.pool.Store(lent)
	go client.Write(make([]byte, mostAhead))
	testutil.Until(t, "the bound", func() bool {
		here.Gone()
		here.reading.Lock()
		defer here.reading.Unlock()
		return here.full
	})
	if got := here.ahead.size(); got <= maxAhead || got > maxAhead+lent || l.pool.Load() != 0 {
		t.Errorf("%d bytes are put by, %d of the pool are left", got, l.pool.Load())
	}
	here.Close()
	if l.pool.Load() != lent {
		t.Errorf("%d of the pool came back", l.pool.Load())
	}
}
