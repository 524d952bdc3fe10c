package transport

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"hazelwing/internal/controlplane"
)

// Headers of each request.
const (
	clusterHeader = "X-Config-Fleet" // the cluster that both sides have to belong to
	senderHeader  = "X-Config-For"   // the name of the sender
)

// Paths that members and origins serve; alivePath is served by origins only.
const (
	watchPath    = "/config/watch"
	reportPath   = "/config/report"
	snapshotPath = "/config/snapshot"
	alivePath    = "/config/alive"
)

const (
	// keepAliveInterval is the time between empty lines while nothing changes. A higher value sends fewer bytes, and
	// leaves fewer of them that may be late before silenceTimeout.
	keepAliveInterval = 500 * time.Millisecond
	// silenceTimeout is how long an upstream may send nothing before it is left. This prevents waiting for one that is
	// cut off, which TCP does not notice. A higher value tolerates slower upstreams, and leaves one that hangs later.
	silenceTimeout = 1500 * time.Millisecond
	// writeTimeout is how long a subscriber may take to receive what there is. A higher value tolerates slower
	// subscribers, and holds the place of one that does not read for longer.
	writeTimeout = 3 * time.Second
	// upstreamWait is how long a subscriber waits for this process to have an upstream itself. It prevents
	// rejections down the whole tree when all members of a cluster start at once. A higher value rejects fewer, and
	// lets a subscriber of a process without an upstream look for another one later.
	upstreamWait = time.Second
	// maxIntermediates is how many members may stand between a member and the origin. A higher value tolerates larger
	// trees, and lets a change arrive later: each member adds its own delay.
	maxIntermediates = 8
	// MaxLineSize is the size in bytes of a frame as a line of JSON: its text in base64, and the rest.
	MaxLineSize = controlplane.MaxSnapshotSize*4/3 + 4<<10
)

var (
	errUnusablePath   = errors.New("its configuration comes from here, or from far")
	errLineTooLong    = fmt.Errorf("line exceeds %d bytes", MaxLineSize)
	errTextTooLong    = fmt.Errorf("unpacked text exceeds %d bytes", controlplane.MaxSnapshotSize)
	errSilent         = fmt.Errorf("no data from the upstream for %v", silenceTimeout)
	errUnidentified   = errors.New("upstream sent data before its path")
	errBetterUpstream = errors.New("a better upstream is available")
)

// line is one line of a subscription. An empty one is a keep-alive.
type line struct {
	Path     []string               `json:"path,omitempty"` // of the upstream: its own name first, the origin last
	Revision *controlplane.Revision `json:"holds,omitempty"`
	// NonParticipating is set beside Path by an origin that does not participate in the consensus and so learns of no changes.
	NonParticipating  bool                `json:"idle,omitempty"`
	Frame *controlplane.Frame `json:"frame,omitempty"`
	// Packed is the frame's text compressed by gzip (RFC 1952), sent in place of Frame.Text.
	Packed []byte `json:"packed,omitempty"`
}

// pack makes a line of a frame. It compresses the text unless that makes it longer.
func pack(frame controlplane.Frame) line {
	var packed bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&packed, gzip.BestCompression) // fails for unknown levels only
	_, err := writer.Write(frame.Text)
	err = errors.Join(err, writer.Close())
	if err != nil || packed.Len() >= len(frame.Text) {
		return line{Frame: &frame}
	}
	withoutText := frame
	withoutText.Text = nil
	return line{Frame: &withoutText, Packed: packed.Bytes()}
}

// unpack restores the frame's text. It decompresses no more than a snapshot may have.
func (l *line) unpack() error {
	if l.Frame == nil || len(l.Packed) == 0 {
		return nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(l.Packed))
	if err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(reader, controlplane.MaxSnapshotSize+1))
	if err != nil {
		return err
	}
	if len(text) > controlplane.MaxSnapshotSize {
		return errTextTooLong
	}
	l.Frame.Text, l.Packed = text, nil
	return nil
}

// validatePath returns an error if the member called self must not subscribe to an upstream with this path:
// it would receive its own configuration, or be too far from the origin. This prevents members from following each
// other in a circle, which no change ever enters; it would show as members that are behind while their upstreams work.
func validatePath(path []string, self string) error {
	if slices.Contains(path, self) || len(path) > maxIntermediates+1 {
		return fmt.Errorf("%w: %s", errUnusablePath, strings.Join(path, ", "))
	}
	return nil
}
