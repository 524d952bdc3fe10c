// Package grpcload generates load on gRPC servers, directly or through a client in this process. It makes unary calls
// with the platform's metadata. Package load paces the calls and counts their outcomes.
package grpcload

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"hazelwing/internal/load"
)

// Metadata keys, as the plug-in and the emulated nodes read them.
const (
	RequestIDKey    = "x-request-id"
	ClassKey        = "x-class"
	ExpectedWorkKey = "x-cost-hint"
	ExtrasKey       = "x-extras"
	IdempotencyKey  = "idempotency-key"

	// notExecutedKey is the key of the trailer that marks a call as rejected before its execution.
	notExecutedKey = "x-not-run"
)

// Metadata returns the metadata of a message.
func Metadata(m load.Message) metadata.MD {
	md := metadata.Pairs(
		RequestIDKey, m.ID,
		ClassKey, m.Class,
		ExpectedWorkKey, load.FormatMicroseconds(m.ExpectedWork),
		ExtrasKey, "work="+load.FormatMicroseconds(m.Work),
	)
	if m.Key != "" {
		md.Set(IdempotencyKey, m.Key)
	}
	return md
}

// Target is a load.Target that calls a gRPC method. Its fields do not change after its creation, and Send is safe for
// concurrent use.
type Target struct {
	name   string
	method string
	conn   grpc.ClientConnInterface
	body   []byte // encoded request message; nil: a google.protobuf.StringValue of the request's ID
	close  func() error
}

// New returns a target that calls a method through any connection, such as the plug-in's. body is the request's encoded
// message; nil stands for a google.protobuf.StringValue of the request's ID. Close does not close the connection.
func New(name string, conn grpc.ClientConnInterface, method string, body []byte) *Target {
	return &Target{
		name:   name,
		method: method,
		conn:   conn,
		body:   body,
		close:  func() error { return nil },
	}
}

// Dial returns a target for "grpc://HOST:PORT/PACKAGE.SERVICE/METHOD", without TLS. It connects at the first call.
func Dial(address string, body []byte) (*Target, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, fmt.Errorf("target is not a valid URL: %w", err)
	}
	if err := checkMethodURL(u); err != nil {
		const example = "grpc://127.0.0.1:8081/booking.v1.Booking/Do"
		return nil, fmt.Errorf("target %q %w; want a URL such as %s", address, err, example)
	}
	conn, err := grpc.NewClient(
		"passthrough:///"+u.Host,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
	)
	if err != nil {
		return nil, fmt.Errorf("cannot create a gRPC client for %s: %w", address, err)
	}
	t := New(address, conn, u.Path, body)
	t.close = conn.Close
	return t, nil
}

// checkMethodURL returns an error if a URL does not name a gRPC method.
func checkMethodURL(u *url.URL) error {
	isMethod := strings.Count(u.Path, "/") == 2 && !strings.HasSuffix(u.Path, "/")
	switch {
	case u.Scheme != "grpc":
		return fmt.Errorf("has the scheme %q instead of grpc", u.Scheme)
	case u.Host == "":
		return errors.New("has no host")
	case !isMethod:
		return fmt.Errorf("has the path %q instead of /PACKAGE.SERVICE/METHOD", u.Path)
	case u.RawQuery != "":
		return fmt.Errorf("has the query %q, which is not permitted", u.RawQuery)
	}
	return nil
}

// Name returns the address given to Dial, or the name given to New.
func (t *Target) Name() string { return t.name }

// Close closes the connection that Dial created.
func (t *Target) Close() error { return t.close() }

// Send makes one call.
func (t *Target) Send(ctx context.Context, id string, r load.ScheduledRequest) load.Outcome {
	m := load.Message{ID: id, Class: r.Class, Effect: r.Effect, Work: r.Work, ExpectedWork: r.Work}
	if r.Effect == "keyed" {
		m.Key = "k" + id
	}
	body := t.body
	if body == nil {
		var err error
		if body, err = proto.Marshal(wrapperspb.String(id)); err != nil {
			return load.Failed
		}
	}
	var response []byte
	var trailer metadata.MD
	callCtx := metadata.NewOutgoingContext(ctx, Metadata(m))
	err := t.conn.Invoke(callCtx, t.method, body, &response, grpc.ForceCodec(rawCodec{}), grpc.Trailer(&trailer))
	return outcomeOf(ctx, err, trailer)
}

// outcomeOf returns the outcome of a call. A call with status UNAVAILABLE was rejected if the trailer marks it as not
// executed, or if the status has details, which state when to retry. Otherwise the connection broke.
func outcomeOf(ctx context.Context, err error, trailer metadata.MD) load.Outcome {
	st := status.Convert(err)
	rejected := len(trailer.Get(notExecutedKey)) > 0 || len(st.Details()) > 0
	switch code := st.Code(); {
	case code == codes.OK:
		return load.Served
	case ctx.Err() != nil || code == codes.DeadlineExceeded:
		return load.TimedOut
	case code == codes.ResourceExhausted, code == codes.Unavailable && rejected:
		return load.Rejected
	case code == codes.Unavailable:
		return load.Broken
	}
	return load.Failed
}

// rawCodec passes on encoded messages unchanged.
type rawCodec struct{}

func (rawCodec) Name() string { return "proto" }

func (rawCodec) Marshal(v any) ([]byte, error) {
	b, ok := v.([]byte)
	if !ok {
		return nil, fmt.Errorf("grpcload: cannot encode a %T; want []byte", v)
	}
	return b, nil
}

func (rawCodec) Unmarshal(data []byte, v any) error {
	p, ok := v.(*[]byte)
	if !ok {
		return fmt.Errorf("grpcload: cannot decode into a %T; want *[]byte", v)
	}
	*p = append((*p)[:0], data...)
	return nil
}
