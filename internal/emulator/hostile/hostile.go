// Package hostile emulates clients that misuse a sidecar: clients that stop in the middle of a request, that make the
// sidecar hold more than they send, and that send at full speed. Each profile stands for one kind of misuse.
package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hazelwing/internal/netpeek"
)

// Profile is a kind of misuse.
type Profile string

// The profiles. A client of the first six profiles waits until its connection is closed, and connects again. A client
// of the others sends its next request as soon as the previous one is answered or its connection is closed.
const (
	ManyFieldsHead Profile = "many-fields-head" // sends a head of very many short fields and stops before its end
	ManyFieldsBody Profile = "many-fields-body" // the same head, whole, and stops within the body
	LargeBody      Profile = "large-body"       // stops before the last byte of the largest body
	SlowHead       Profile = "slow-head"        // sends its head a byte at a time
	DataBehind     Profile = "data-behind"      // sends a sound request and a lot of data behind it
	UnreadAnswers  Profile = "unread-answers"   // sends sound requests and never reads

	Ready        Profile = "ready"         // readiness checks
	Unsound      Profile = "unsound"       // requests of an unknown class
	Malformed    Profile = "malformed"     // text that is no HTTP
	NewNames     Profile = "new-names"     // sound requests, each with new names in all its headers
	UnsoundNames Profile = "unsound-names" // requests of ever new classes
	ManyFields   Profile = "many-fields"   // sound requests with a head of very many short fields
	Connects     Profile = "connects"      // connections that are closed at once
	FloodReady   Profile = "flood-ready"   // readiness checks without a wait for their answers
	FloodNames   Profile = "flood-names"   // requests of new-names without a wait for their answers
	FloodUnread  Profile = "flood-unread"  // readiness checks whose answers are never read
)

// Profiles returns all profiles.
func Profiles() []Profile {
	return slices.Concat(MemoryProfiles(), []Profile{UnreadAnswers}, SpeedProfiles())
}

// MemoryProfiles returns the profiles that make a sidecar hold memory, except UnreadAnswers, whose clients load it with
// sound requests, too.
func MemoryProfiles() []Profile {
	return []Profile{ManyFieldsHead, ManyFieldsBody, LargeBody, SlowHead, DataBehind}
}

// SpeedProfiles returns the profiles that take processor time.
func SpeedProfiles() []Profile {
	return []Profile{
		Ready, Unsound, Malformed, NewNames, UnsoundNames, ManyFields, Connects, FloodReady, FloodNames, FloodUnread,
	}
}

const (
	manyFieldsBytes = 31 << 10 // bytes of fields in a head of many fields
	largeBodyBytes  = 64 << 10
	behindBytes     = 1 << 20 // data behind a request
	unreadRequests  = 64      // requests of a client that reads no answer
	smallReadBuffer = 4 << 10 // size of the kernel's buffer of such a client
	floodLength     = 64      // readiness checks in each write of a flood

	slowByteInterval = 20 * time.Millisecond
	holdTime         = 10 * time.Second // longest time for which a client waits for its connection's end
	reconnectDelay   = 5 * time.Millisecond
	// closeCheckInterval is the interval at which a client that does not read checks whether its connection is closed.
	closeCheckInterval = 10 * time.Millisecond
)

// Target is the sidecar that the clients misuse.
type Target struct {
	Addr  string
	Class string // a class whose method is GET
	Keyed string // a class whose method is POST, with a key if HasKey is set
	// HasKey means that requests of the class Keyed have an idempotency key.
	HasKey bool
}

// Counts are the counts of a group of clients. They may be read while the clients run.
type Counts struct {
	Connections atomic.Int64
	Requests    atomic.Int64
}

// Clients are running clients.
type Clients struct {
	Counts
	target  Target
	running sync.WaitGroup
}

// Start starts n clients, which run until ctx ends. The seed determines their names and pauses.
func Start(ctx context.Context, target Target, profile Profile, n int, seed uint64) *Clients {
	c := &Clients{target: target}
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		c.running.Go(func() { c.run(ctx, profile, rng) })
	}
	return c
}

// Wait waits until all clients have ended, which is after their context has.
func (c *Clients) Wait() { c.running.Wait() }

// run opens one connection after another until ctx ends.
func (c *Clients) run(ctx context.Context, profile Profile, rng *rand.Rand) {
	for ctx.Err() == nil {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", c.target.Addr)
		if err != nil { // the sidecar is being restarted
			time.Sleep(reconnectDelay)
			continue
		}
		c.Connections.Add(1)
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		c.misuse(conn, profile, rng)
		stop()
		_ = conn.Close()
		if profile != Connects && profile != Malformed {
			time.Sleep(time.Duration(rng.Int64N(int64(reconnectDelay))))
		}
	}
}

// misuse uses a connection until it ends. Errors mean that the sidecar has closed the connection.
func (c *Clients) misuse(conn net.Conn, profile Profile, rng *rand.Rand) {
	switch profile {
	case ManyFieldsHead:
		c.sendAndHold(conn, c.get(rng)+manyFields(rng))
	case ManyFieldsBody:
		c.sendAndHold(conn, c.post(rng, largeBodyBytes)+manyFields(rng)+"\r\n"+strings.Repeat("x", largeBodyBytes/2))
	case LargeBody:
		c.sendAndHold(conn, c.post(rng, largeBodyBytes)+"\r\n"+strings.Repeat("x", largeBodyBytes-1))
	case SlowHead:
		c.sendSlowly(conn, c.get(rng)+"\r\n")
	case DataBehind:
		c.sendAndHold(conn, c.get(rng)+"\r\n"+strings.Repeat("y", behindBytes))
	case UnreadAnswers:
		c.sendAndNeverRead(conn, rng)
	case Connects:
	case FloodUnread:
		c.sendUnread(conn, func() string { return strings.Repeat(ready, floodLength) })
	case FloodReady:
		c.flood(conn, func() string { return strings.Repeat(ready, floodLength) })
	case FloodNames:
		c.flood(conn, func() string { return c.newNames(rng) })
	default:
		c.sendAtFullSpeed(conn, profile, rng)
	}
}

const ready = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n"

// sendAtFullSpeed sends requests and reads their answers.
func (c *Clients) sendAtFullSpeed(conn net.Conn, profile Profile, rng *rand.Rand) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, c.request(profile, rng)); err != nil {
			return
		}
		c.Requests.Add(1)
		if skipAnswer(reader) != nil {
			return
		}
	}
}

// flood sends requests without waiting for their answers, which it discards.
func (c *Clients) flood(conn net.Conn, next func() string) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn) // until the connection ends
		_ = conn.Close()
	}()
	c.sendUnread(conn, next)
	_ = conn.Close()
	<-ended
}

// request returns the text of a request.
func (c *Clients) request(profile Profile, rng *rand.Rand) string {
	switch profile {
	case Unsound:
		return "GET /nothing/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: x\r\n\r\n"
	case Malformed:
		return "nonsense\r\n\r\n"
	case UnsoundNames:
		return fmt.Sprintf("GET /%016x/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: %016x\r\n\r\n",
			rng.Uint64(), rng.Uint64())
	case NewNames:
		return c.newNames(rng)
	case ManyFields:
		return c.get(rng) + manyFields(rng) + "\r\n"
	}
	return ready
}

// newNames returns a sound request with new names in all its headers.
func (c *Clients) newNames(rng *rand.Rand) string {
	return c.get(rng) + fmt.Sprintf("X-Tenant: %016x\r\nCookie: user=%016x\r\nX-%016x: 1\r\n\r\n",
		rng.Uint64(), rng.Uint64(), rng.Uint64())
}

// skipAnswer reads an answer that has a length.
func skipAnswer(reader *bufio.Reader) error {
	length := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return err
		}
		if line == "\r\n" {
			_, err := reader.Discard(length)
			return err
		}
		if n, _ := fmt.Sscanf(strings.ToLower(line), "content-length: %d", &length); n == 0 {
			continue
		}
	}
}

// sendAndHold sends text and waits until the connection ends. It reads what the sidecar sends.
func (c *Clients) sendAndHold(conn net.Conn, text string) {
	c.Requests.Add(1)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(conn, text) // fails if the sidecar closes the connection
	}()
	_ = conn.SetDeadline(time.Now().Add(holdTime))
	_, _ = io.Copy(io.Discard, conn) // until the connection ends
	_ = conn.Close()
	<-sent
}

// sendSlowly sends text, a byte at a time.
func (c *Clients) sendSlowly(conn net.Conn, text string) {
	c.Requests.Add(1)
	for i := range len(text) {
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
			return
		}
		time.Sleep(slowByteInterval)
	}
	_ = conn.SetReadDeadline(time.Now().Add(holdTime))
	_ = skipAnswer(bufio.NewReader(conn))
}

// sendUnread sends requests and reads none of their answers.
func (c *Clients) sendUnread(conn net.Conn, next func() string) {
	_ = conn.SetDeadline(time.Now().Add(holdTime))
	for {
		if _, err := io.WriteString(conn, next()); err != nil {
			return
		}
		c.Requests.Add(1)
	}
}

// sendAndNeverRead sends some sound requests and waits until the sidecar closes the connection. The kernel buffers
// little of their answers.
func (c *Clients) sendAndNeverRead(conn net.Conn, rng *rand.Rand) {
	_ = conn.(*net.TCPConn).SetReadBuffer(smallReadBuffer) // without it, the answers take longer to fill the buffer
	for range unreadRequests {
		if _, err := io.WriteString(conn, c.get(rng)+"\r\n"); err != nil {
			return
		}
		c.Requests.Add(1)
	}
	closed := time.Now().Add(holdTime)
	for time.Now().Before(closed) && !netpeek.PeerClosed(conn) {
		time.Sleep(closeCheckInterval)
	}
}

// get returns the beginning of the head of a sound request without a body, with a new ID.
func (c *Clients) get(rng *rand.Rand) string {
	return fmt.Sprintf("GET /%s/%016x HTTP/1.1\r\n", c.target.Class, rng.Uint64()) + commonFields(c.target.Class, rng)
}

// post returns the beginning of the head of a sound request with a body.
func (c *Clients) post(rng *rand.Rand, length int) string {
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nContent-Length: %d\r\n", c.target.Keyed, length)
	head += commonFields(c.target.Keyed, rng)
	if c.target.HasKey {
		head += fmt.Sprintf("Idempotency-Key: %016x\r\n", rng.Uint64())
	}
	return head
}

// commonFields returns the fields that each request of a class has, with a new ID.
func commonFields(class string, rng *rand.Rand) string {
	return fmt.Sprintf("Host: a\r\nX-Class: %s\r\nX-Deadline-Ms: 1000\r\nX-Request-Id: %016x\r\n", class, rng.Uint64())
}

// manyFields returns fields of the shortest form, with names that repeat as little as possible.
func manyFields(rng *rand.Rand) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var text strings.Builder
	text.Grow(manyFieldsBytes)
	for i := rng.IntN(len(letters)); text.Len() < manyFieldsBytes; i++ {
		text.WriteByte(letters[i%len(letters)])
		text.WriteByte(letters[i/len(letters)%len(letters)])
		text.WriteByte(letters[i/len(letters)/len(letters)%len(letters)])
		text.WriteString(":\r\n")
	}
	return text.String()
}
