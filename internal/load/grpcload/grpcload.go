// Package grpcload makes load on gRPC servers, and on whatever calls them in this process: unary calls with the platform's
// metadata, paced and counted by package load.
package grpcload

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"hazelwing/internal/load"
)

// Names of the metadata, as the plug-in and the stand-in nodes read them.
const (
	ID    = "x-request-id"
	Class = "x-class"
	Hint  = "x-cost-hint"
	Extra = "x-extras"
	Key   = "idempotency-key"

	notRun = "x-not-run" // a trailer: the call was turned away unseen
)

// Metadata is what a message tells beside its body.
func Metadata(m load.Message) metadata.MD {
	us := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d)/float64(time.Microsecond), 'f', -1, 64)
	}
	md := metadata.Pairs(ID, m.ID, Class, m.Class, Hint, us(m.ExpectedWork), Extra, "work="+us(m.Work))
	if m.Key != "" {
		md.Set(Key, m.Key)
	}
	return md
}

// Target is a method that is called. Its own fields do not change; Send may be called from many goroutines.
type Target struct {
	name, method string
	cc           grpc.ClientConnInterface
	body         []byte // nil: a google.protobuf.StringValue of the request's id
	close        func() error
}

// New calls a method through any connection, such as the plug-in. body is the request's encoded message; nil: a
// google.protobuf.StringValue with the request's id.
func New(name string, cc grpc.ClientConnInterface, method string, body []byte) *Target {
	return &Target{name: name, method: method, cc: cc, body: body, close: func() error { return nil }}
}

// Dial makes a target of "grpc://HOST:PORT/PACKAGE.SERVICE/METHOD", in clear text. It connects with the first call.
func Dial(text string, body []byte) (*Target, error) {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "grpc" || u.Host == "" || strings.Count(u.Path, "/") != 2 || strings.HasSuffix(u.Path, "/") || u.RawQuery != "" {
		return nil, fmt.Errorf("%q is no target such as grpc://127.0.0.1:8081/booking.v1.Booking/Do", text)
	}
	cc, err := grpc.NewClient("passthrough:///"+u.Host, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", text, err)
	}
	t := New(text, cc, u.Path, body)
	t.close = cc.Close
	return t, nil
}

// Name is its address, or what it was given.
func (t *Target) Name() string { return t.name }

// Close lets a dialled connection go.
func (t *Target) Close() error { return t.close() }

// Send makes one call.
func (t *Target) Send(ctx context.Context, id string, s load.ScheduledRequest) load.Outcome {
	m := load.Message{ID: id, Class: s.Class, Effect: s.Effect, Work: s.Work, ExpectedWork: s.Work}
	if s.Effect == "keyed" {
		m.Key = "k" + id
	}
	body := t.body
	if body == nil {
		var err error
		if body, err = proto.Marshal(wrapperspb.String(id)); err != nil {
			return load.Failed
		}
	}
	var answer []byte
	var trailer metadata.MD
	err := t.cc.Invoke(metadata.NewOutgoingContext(ctx, Metadata(m)), t.method, body, &answer, grpc.ForceCodec(raw{}), grpc.Trailer(&trailer))
	return kindOf(ctx, err, trailer)
}

// kindOf says what a status means to a client: a refusal is one that says so, or names when to come back.
func kindOf(ctx context.Context, err error, trailer metadata.MD) load.Outcome {
	st := status.Convert(err)
	turnedAway := len(trailer.Get(notRun)) > 0 || len(st.Details()) > 0
	switch code := st.Code(); {
	case code == codes.OK:
		return load.Served
	case ctx.Err() != nil || code == codes.DeadlineExceeded:
		return load.TimedOut
	case code == codes.ResourceExhausted, code == codes.Unavailable && turnedAway:
		return load.Rejected
	case code == codes.Unavailable:
		return load.Broken
	}
	return load.Failed
}

// raw passes encoded messages through.
type raw struct{}

func (raw) Name() string { return "proto" }

func (raw) Marshal(v any) ([]byte, error) {
	b, ok := v.([]byte)
	if !ok {
		return nil, fmt.Errorf("grpcload: %T is no encoded message", v)
	}
	return b, nil
}

func (raw) Unmarshal(data []byte, v any) error {
	p, ok := v.(*[]byte)
	if !ok {
		return fmt.Errorf("grpcload: %T takes no encoded message", v)
	}
	*p = append((*p)[:0], data...)
	return nil
}
