// Package transport puts sockets, disks and a clock round internal/controlplane: Member is a sidecar's place in the distribution of
// configuration, Origin one of the machines set aside, and Client what the commands ask an origin with.
//
// Whoever follows asks GET /config/watch?epoch=E&version=V&hash=H and gets lines of JSON for as long as it likes: first who it is that
// serves and by which way that one has it (path, nearest first, the origin last), a whole snapshot where there is a later one than was
// asked from, another path when it changes, and an empty line each half second. Who follows stays when its upstream loses its own: the whole
// tree of a region that is cut off waits for the healing as it is, and has what it misses meanwhile from whom it hears of. It tells POST /config/report upward. GET /config/snapshot is
// one snapshot, once. Members serve these on the fleet's own address, origins on one of their own, with more: see Origin.
//
// # Bounds
//
//	what                                   bound
//	a line, a snapshot, a push             MaxLine; 256 KiB of text, 256 KiB and the head of a request
//	a report                               controlplane.MaxReport
//	followers of one member; of an origin  MemberConfig.Most; OriginConfig.Most (256)
//	what waits for a follower              nothing: it gets the latest when it can take it, within writeTime (3 s), or is let go
//	a watch in which nothing comes         silence (1.5 s), then another upstream
//	a dial; an answer's head               dialTime (0.5 s); headTime (2 s); origins are tried 250 ms apart, the first one counts
//	events that wait for the core          256 at a member, 1,024 at an origin; who posts waits, datagrams' hints are dropped
//	fetches at a time                      2; more are dropped, the next datagram asks again
//	an origin's connections                512; messages that wait for another origin 64, the oldest go first
//
// A frame that is too long, of another fleet or cut short closes that connection alone.
package transport

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"hazelwing/internal/controlplane"
)

const (
	fleetHeader = "X-Config-Fleet" // of which fleet both sides have to be
	whoHeader   = "X-Config-For"   // who asks

	watchPath    = "/config/watch"
	reportPath   = "/config/report"
	snapshotPath = "/config/snapshot"
	alivePath    = "/config/alive" // of origins alone

	alive     = 500 * time.Millisecond
	silence   = 1500 * time.Millisecond
	writeTime = 3 * time.Second
	dialTime  = 500 * time.Millisecond
	headTime  = 2 * time.Second
	// holdTime is how long one that asks waits for this member to have an upstream itself. Guards against a fleet that starts at once:
	// each would turn those behind it away.
	holdTime = time.Second
	// mostSteps is how many members may stand between one and the origin.
	mostSteps = 8
	// MaxLine is a frame as a line of JSON: its text in base64, and the rest.
	MaxLineSize = controlplane.MaxSnapshotSize*4/3 + 4<<10
)

// line is what a watch brings; all fields absent: it lives.
type line struct {
	Path   []string               `json:"path,omitempty"` // nearest first, the origin last
	Holds  *controlplane.Revision `json:"holds,omitempty"`
	Idle   bool                   `json:"idle,omitempty"` // beside Path: an origin that takes no part, and hears of no changes
	Frame  *controlplane.Frame    `json:"frame,omitempty"`
	Packed []byte                 `json:"packed,omitempty"` // the frame's text by gzip (RFC 1952), in the place of the text
}

// pack is a frame as a line.
func pack(f controlplane.Frame) line {
	var b bytes.Buffer
	z, _ := gzip.NewWriterLevel(&b, gzip.BestCompression)
	_, err := z.Write(f.Text)
	if err = errors.Join(err, z.Close()); err != nil || b.Len() >= len(f.Text) {
		return line{Frame: &f}
	}
	bare := f
	bare.Text = nil
	return line{Frame: &bare, Packed: b.Bytes()}
}

// unpack puts the frame's text in its place. It reads no more than a snapshot may have.
func (l *line) unpack() error {
	if l.Frame == nil || len(l.Packed) == 0 {
		return nil
	}
	z, err := gzip.NewReader(bytes.NewReader(l.Packed))
	if err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(z, controlplane.MaxSnapshotSize+1))
	if err != nil {
		return err
	}
	if len(text) > controlplane.MaxSnapshotSize {
		return errLength
	}
	l.Frame.Text, l.Packed = text, nil
	return nil
}

var (
	errPath     = errors.New("its configuration comes from here, or from far")
	errLength   = errors.New("a line that is too long")
	errQuiet    = fmt.Errorf("nothing came for %v", silence)
	errNameless = errors.New("it has not said who it is")
	errBetter   = errors.New("there is a better one")
)

// pathFits says whether one of a name may follow who has a path.
func pathFits(path []string, self string) error {
	if slices.Contains(path, self) || len(path) > mostSteps+1 {
		return fmt.Errorf("%w: %s", errPath, strings.Join(path, ", "))
	}
	return nil
}

// Dial opens a stream, as net.Dialer's DialContext. Stand-ins put a network between by it.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// newClient makes calls, by a dial or, where it is nil, as the kernel does; connections that nothing is asked on are kept for a second.
func newClient(dial DialFunc) *http.Client {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, end := context.WithTimeout(ctx, dialTime)
			defer end()
			return dial(ctx, network, addr)
		},
		ResponseHeaderTimeout: headTime, IdleConnTimeout: time.Second, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}
}

// sleep waits; false: ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
