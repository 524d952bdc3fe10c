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
	conn.(*Conn).BeginRequest()
	return l, c.(*net.TCPConn), conn.(*Conn)
}

// A look at the connection tells of a close behind far more than the kernel holds, though nobody reads: the process may be behind.
func TestDisconnectBehindUnreadBytesIsNoticed(t *testing.T) {
	_, client, here := pair(t)
	if here.Disconnected() {
		t.Error("it is gone before it left")
	}
	if _, err := client.Write(make([]byte, 6*minReadAhead)); err != nil {
		t.Fatal(err)
	}
	if here.Disconnected() {
		t.Error("it is gone, and has only sent")
	}
	client.Close()
	testutil.Until(t, "the leaving", here.Disconnected)
}

// What a client sends beyond all bounds is not lost and not held: it is no longer read until the answer is begun.
func TestReadAheadIsBounded(t *testing.T) {
	l, client, here := pair(t)
	sent := make([]byte, 4*maxReadAhead)
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
		if here.Disconnected() {
			t.Fatal("gone, with bytes on the way")
		}
	}
	if got := here.readAhead.size(); got > maxReadAhead || got < maxReadAhead/2 || l.readAheadPool.Load() != sharedReadAhead-int64(here.borrowed) {
		t.Errorf("%d bytes are put by, and %d of the pool are left", got, l.readAheadPool.Load())
	}
	close(closes)
	here.BeginResponse()
	rest, err := io.ReadAll(here)
	if err != nil || !bytes.Equal(append(one[:], rest...), sent) {
		t.Errorf("%d bytes of %d came, %v", 1+len(rest), len(sent), err)
	}
	if err := testutil.Receive(t, wrote, "the client's end"); err != nil {
		t.Error(err)
	}
	if l.readAheadPool.Load() != sharedReadAhead || !here.readAhead.isEmpty() {
		t.Errorf("%d of %d of the pool came back", l.readAheadPool.Load(), sharedReadAhead)
	}
}

// Where the pool is empty each connection still has a request's size of its own, and a connection that ends gives back.
func TestSharedReadAhead(t *testing.T) {
	l, client, here := pair(t)
	l.readAheadPool.Store(borrowStep)
	go client.Write(make([]byte, maxReadAhead))
	testutil.Until(t, "the bound", func() bool {
		here.Disconnected()
		here.readMu.Lock()
		defer here.readMu.Unlock()
		return here.paused
	})
	if got := here.readAhead.size(); got <= minReadAhead || got > minReadAhead+borrowStep || l.readAheadPool.Load() != 0 {
		t.Errorf("%d bytes are put by, %d of the pool are left", got, l.readAheadPool.Load())
	}
	here.Close()
	if l.readAheadPool.Load() != borrowStep {
		t.Errorf("%d of the pool came back", l.readAheadPool.Load())
	}
}
