package grpcbalancer_test

import (
	"context"
	"fmt"
	"log"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"hazelwing/balancer"
	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/grpcnode"
	"hazelwing/rpc/grpcbalancer"
)

// newFleet starts two emulated nodes on loopback. In an application, these are its own gRPC servers.
func newFleet() *emulator.Fleet {
	f, err := emulator.NewFleet(emulator.FleetConfig{
		NewServer: grpcnode.New,
		Effects:   map[string]emulator.Effect{"confirm": emulator.NonIdempotent},
		Nodes: []emulator.NodeConfig{
			{Name: "n1", Zone: "a", Speed: 1},
			{Name: "n2", Zone: "a", Speed: 1},
		},
	})
	if err != nil {
		log.Fatal(err)
	}
	return f
}

// newConfig returns the configuration of a plug-in for the fleet.
func newConfig(f *emulator.Fleet) grpcbalancer.Config {
	return grpcbalancer.Config{
		Settings: balancer.Settings{
			Zone:           "a",
			MaxAttempts:    3,
			Cancellation:   true,
			ConnectTimeout: time.Second,
			Classes: []balancer.Class{{
				Name:             "confirm",
				Effect:           balancer.NonIdempotent,
				LatencyObjective: 10 * time.Second,
				Deadline:         20 * time.Second,
			}},
		},
		Methods:     map[string]grpcbalancer.Method{"/booking.v1.Booking/": {Class: "confirm"}},
		Endpoints:   grpcbalancer.Watch(f.Discovery.Addr()),
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
	}
}

// A Plugin implements grpc.ClientConnInterface, so that generated clients accept it in place of a *grpc.ClientConn.
func ExampleNew() {
	f := newFleet()
	defer f.Close()
	p, err := grpcbalancer.New(newConfig(f))
	if err != nil {
		log.Fatal(err) //nolint:gocritic // the process ends, and with it the fleet
	}
	defer func() { _ = p.Close() }()

	ctx := metadata.AppendToOutgoingContext(context.Background(), "x-request-id", "r1", "x-class", "confirm")
	var reply wrapperspb.StringValue
	if err := p.Invoke(ctx, grpcnode.DoMethod, wrapperspb.String("seat 12"), &reply); err != nil {
		if retryAfter, ok := grpcbalancer.Rejected(err); ok {
			fmt.Println("rejected; retry after", retryAfter)
		}
		log.Fatal(err)
	}
	fmt.Println(reply.Value[:len("seat 12 by n")])
	// Output: seat 12 by n
}

// Where a *grpc.ClientConn is needed, such as for the application's own interceptors, DialOptions make grpc.NewClient
// return one that uses the Plugin.
func ExamplePlugin_DialOptions() {
	f := newFleet()
	defer f.Close()
	p, err := grpcbalancer.New(newConfig(f))
	if err != nil {
		log.Fatal(err) //nolint:gocritic // the process ends, and with it the fleet
	}
	defer func() { _ = p.Close() }()
	conn, err := grpc.NewClient("passthrough:///booking", p.DialOptions()...)
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = conn.Close() }()

	ctx := metadata.AppendToOutgoingContext(context.Background(), "x-request-id", "r1", "x-class", "confirm")
	var reply wrapperspb.StringValue
	err = conn.Invoke(ctx, grpcnode.DoMethod, wrapperspb.String("seat 12"), &reply)
	fmt.Println(err)
	// Output: <nil>
}
