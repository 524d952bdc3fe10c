package transport

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"hazelwing/internal/controlplane"
)

// Headers of every request.
const (
	clusterHeader = "X-Config-Fleet" // the sender's cluster, which must be the receiver's too
	senderHeader  = "X-Config-For"   // the name of the sender
)

// Paths that members and origins serve. Only origins serve alivePath.
const (
	watchPath    = "/config/watch"
	reportPath   = "/config/report"
	snapshotPath = "/config/snapshot"
	alivePath    = "/config/alive"
)

const (
	// keepAliveInterval is the time between empty lines while nothing changes. A higher value sends fewer bytes, but
	// then fewer late lines are enough to reach silenceTimeout.
	keepAliveInterval = 500 * time.Millisecond
	// silenceTimeout is the time without data after which a subscriber leaves its upstream. It is needed because TCP
	// does not notice that an idle peer is cut off. A higher value tolerates slower upstreams, but delays the switch
	// from one that hangs.
	silenceTimeout = 1500 * time.Millisecond
	// writeTimeout limits how long a subscriber may take to receive the lines that are due, and a client to receive a
	// snapshot or to send a report. A higher value tolerates slower subscribers, but one that does not read counts
	// towards the limit of subscribers for longer.
	writeTimeout = 3 * time.Second
	// upstreamWait limits how long a request for a subscription waits for this process to get an upstream itself. The
	// wait prevents rejections at all levels of the tree when all members of a cluster start at once. A higher value
	// rejects fewer subscribers, but a subscriber of a process that gets no upstream turns to another process later.
	upstreamWait = time.Second
	// maxIntermediates limits the number of members between a member and the origin. A higher value allows deeper
	// trees, in which changes arrive later because each member adds its own delay.
	maxIntermediates = 8
	// MaxLineSize limits the size in bytes of a frame that is encoded as a line of JSON: the text in base64, and 4 KiB
	// for the other fields.
	MaxLineSize = controlplane.MaxSnapshotSize*4/3 + 4<<10
)

var (
	// errUnusablePath means that a path contains the subscriber itself, or has more than maxIntermediates members
	// before the origin. The text is sent to rejected subscribers.
	errUnusablePath   = errors.New("its configuration comes from here, or from far")
	errLineTooLong    = fmt.Errorf("line exceeds %d bytes", MaxLineSize)
	errTextTooLong    = fmt.Errorf("decompressed snapshot text exceeds %d bytes", controlplane.MaxSnapshotSize)
	errSilent         = fmt.Errorf("upstream sent no data for %v", silenceTimeout)
	errUnidentified   = errors.New("upstream sent data before its path")
	errBetterUpstream = errors.New("a better upstream is available")
)

// Parameters of alivePath in a probe of a member that has no upstream. Members of earlier versions do not send them.
const (
	waitingParameter = "waiting"
	waitingValue     = "1"
	epochParameter   = "epoch"
	versionParameter = "version"
)

// formatWaiting returns the parameters of a probe by a member that has no upstream and the given active revision.
func formatWaiting(active controlplane.Revision) url.Values {
	return url.Values{
		waitingParameter: {waitingValue},
		epochParameter:   {strconv.FormatUint(active.Epoch, 10)},
		versionParameter: {strconv.FormatUint(active.Version, 10)},
	}
}

// parseWaiting returns the active revision in the parameters of a probe. It returns false unless the sender has no
// upstream and the parameters are valid.
func parseWaiting(parameters url.Values) (active controlplane.Revision, ok bool) {
	if parameters.Get(waitingParameter) != waitingValue {
		return active, false
	}
	epoch, err := strconv.ParseUint(parameters.Get(epochParameter), 10, 64)
	if err != nil {
		return active, false
	}
	version, err := strconv.ParseUint(parameters.Get(versionParameter), 10, 64)
	if err != nil {
		return active, false
	}
	return controlplane.Revision{Epoch: epoch, Version: version}, true
}

// line is one line of a subscription. An empty line is a keep-alive.
type line struct {
	Path     []string               `json:"path,omitempty"`  // names from the upstream to the origin
	Revision *controlplane.Revision `json:"holds,omitempty"` // the upstream's own revision; set beside Path
	// NonParticipating is set beside Path by an origin that does not participate in the consensus and therefore
	// receives no changes.
	NonParticipating bool                `json:"idle,omitempty"`
	Frame            *controlplane.Frame `json:"frame,omitempty"`
	// Packed is the frame's text compressed by gzip (RFC 1952), sent in place of Frame.Text.
	Packed []byte `json:"packed,omitempty"`
}

// pack returns a line that contains the frame. If compression makes the frame's text shorter, the line has the
// compressed text in Packed instead of the text in the frame.
func pack(frame controlplane.Frame) line {
	var packed bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&packed, gzip.BestCompression) // fails only for unknown levels
	_, err := writer.Write(frame.Text)
	err = errors.Join(err, writer.Close())
	if err != nil || packed.Len() >= len(frame.Text) {
		return line{Frame: &frame}
	}
	withoutText := frame
	withoutText.Text = nil
	return line{Frame: &withoutText, Packed: packed.Bytes()}
}

// unpack restores the frame's text from Packed. If the text exceeds controlplane.MaxSnapshotSize, unpack returns
// errTextTooLong, and decompresses no more than the first byte beyond that size.
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

// validatePath returns an error if the member called self must not subscribe to an upstream with this path, because
// the path contains the member itself or has more than maxIntermediates members before the origin. Otherwise members
// could subscribe to each other in a cycle, which no change would ever reach: their upstreams would look healthy, yet
// the members would stay behind.
func validatePath(path []string, self string) error {
	if slices.Contains(path, self) || len(path) > maxIntermediates+1 {
		return fmt.Errorf("%w: %s", errUnusablePath, strings.Join(path, ", "))
	}
	return nil
}
