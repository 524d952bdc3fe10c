package grpcbalancer

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/grpc"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	transport "hazelwing/internal/transport/grpc"
)

const (
	defaultMaxCalls = 4096
	maxDrainGrace   = 250 * time.Millisecond
)

// Config configures a Plugin. Settings.Classes, Methods and Endpoints have no default.
type Config struct {
	// Settings are the settings of the balancer. Settings.Tick is the minimum time between two rounds of decisions; the
	// default is 1 ms.
	Settings balancer.Settings
	// Methods configures methods by name. For a method, the first of these names that has an entry applies:
	// "/package.Service/Method", "/package.Service/" (all methods of a service) and "" (all methods).
	Methods map[string]Method
	// Endpoints is the source of the endpoint list.
	Endpoints EndpointSource
	// DialOptions are the options of the connections to endpoints; transport credentials are required. Retries, service
	// configurations and wait-for-ready have no effect, because the balancer decides on every attempt. Interceptors
	// among these options see each attempt with its encoded message. To intercept calls and their decoded messages, use
	// Plugin.DialOptions and give the interceptors to grpc.NewClient.
	DialOptions []grpc.DialOption
	// Seed is the seed of the random numbers; 0 means a random seed.
	Seed uint64
	// DrainGrace is how long requests may still be sent to an endpoint after its source has reported that the endpoint
	// drains. The default and the maximum are 250 ms.
	DrainGrace time.Duration
	// MaxCalls limits the calls in flight; further calls are rejected at once. The default is 4096. A higher value uses
	// more memory when endpoints are slow.
	MaxCalls int
	// LoadMetrics are the names of the metrics that count an endpoint's requests in flight in its ORCA load reports,
	// which are in the trailers of responses and probes. Load reports are not read if LoadMetrics is empty.
	LoadMetrics []string
	// HealthService is the name of the service in the grpc.health.v1 requests of probes, if Settings.Probes allows
	// probes. An empty name asks for the health of the server as a whole.
	HealthService string
	// Log is the log for operators; nil discards it.
	Log *slog.Logger
}

// Method configures the calls of a method. Fields other than Class may be zero.
type Method struct {
	Class  string // the name of one of Settings.Classes
	Tenant string // the name of one of Settings.Tenants
	// AffinityKey returns the affinity key of a request, such as a user's ID. Invoke and SendMsg call it with the
	// request message, in the goroutine of their caller.
	AffinityKey func(request any) string
	// ExpectedWork returns the expected work of a request, or 0 if the work is not known. Like AffinityKey, it is
	// called by Invoke and SendMsg with the request message, in the goroutine of their caller.
	ExpectedWork func(request any) time.Duration
}

// validate checks the fields that engine.New does not check. classes are the classes of the settings, by name.
func (c Config) validate(classes map[string]balancer.Class) error {
	if c.Endpoints.open == nil {
		return errors.New("hazelgrpc: Config.Endpoints: no source given; use Static, Watch or Resolver")
	}
	if c.DrainGrace < 0 || c.DrainGrace > maxDrainGrace {
		return fmt.Errorf("hazelgrpc: Config.DrainGrace: %v is not between 0 and %v", c.DrainGrace, maxDrainGrace)
	}
	if c.MaxCalls < 0 {
		return fmt.Errorf("hazelgrpc: Config.MaxCalls: %d is negative", c.MaxCalls)
	}
	for name, m := range c.Methods {
		if _, ok := classes[m.Class]; !ok {
			return fmt.Errorf("hazelgrpc: Config.Methods: %q: class %q is not in Settings.Classes", name, m.Class)
		}
		if name != "" && (!strings.HasPrefix(name, "/") || strings.Count(name, "/") != 2) {
			return fmt.Errorf("hazelgrpc: Config.Methods: name %q has the wrong form, "+
				"want \"/package.Service/Method\", \"/package.Service/\" or an empty name", name)
		}
	}
	return nil
}

// withDefaults returns c with defaults in place of zero values of MaxCalls, Log and Seed. The transport and the engine
// set the other defaults.
func (c Config) withDefaults() Config {
	c.MaxCalls = cmp.Or(c.MaxCalls, defaultMaxCalls)
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}

func (c Config) transportConfig() transport.Config {
	return transport.Config{
		ConnectTimeout: c.Settings.ConnectTimeout,
		DrainGrace:     c.DrainGrace,
		DialOptions:    c.DialOptions,
		LoadMetrics:    c.LoadMetrics,
		HealthService:  c.HealthService,
	}
}

// engineConfig returns the configuration of the engine. initial has the endpoints that are known before the source's
// first notification.
func (c Config) engineConfig(t *transport.Transport, s engine.Source, initial []engine.Endpoint) engine.Config {
	settings := c.Settings
	settings.MustSubscribe = true // if the source fails, the balancer starts a new watch, with backoff
	return engine.Config{
		Settings:           settings,
		Seed:               c.Seed,
		Transport:          t,
		Source:             s,
		CachedList:         engine.EndpointUpdate{Endpoints: initial},
		Log:                c.Log,
		MaxCalls:           c.MaxCalls,
		CancelOnDisconnect: true,
	}
}

// method returns the configuration of a method: the entry of the method, or else the entry of its service, or else the
// entry of all methods.
func (p *Plugin) method(name string) Method {
	if m, ok := p.methods[name]; ok {
		return m
	}
	if m, ok := p.methods[name[:strings.LastIndex(name, "/")+1]]; ok {
		return m
	}
	return p.methods[""]
}
