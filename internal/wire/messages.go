package wire

import (
	"encoding/json"
	"math"
	"time"
)

// batch is one input line: events that occur at the same time.
type batch struct {
	TimeMs float64           `json:"TsMs"`
	Events []json.RawMessage `json:"in"`
}

// reply is one output line: the actions that result from a batch.
type reply struct {
	Actions []action `json:"outbox"`
}

// The verbs of events.
const (
	verbEndpointTable      = "Inventory"
	verbStart              = "PowerOn"
	verbStop               = "Teardown"
	verbEndpointUpdate     = "Topology"
	verbRequest            = "Order"
	verbFirstByte          = "FirstByte"
	verbOutcome            = "Returned"
	verbClientDisconnected = "Hangup"
	verbTimerFired         = "Wakeup"
	verbProbeResult        = "ProbeDone"
	verbPeerMessage        = "Heard"
)

// event holds the fields of all supported verbs. The verb determines which fields are set.
type event struct {
	Verb           string             `json:"verb"`
	Instance       int                `json:"I"`
	Seed           json.Number        `json:"Prng"`
	Env            *Env               `json:"Env"`
	Table          int                `json:"Table"`
	Endpoints      []entry            `json:"MembersList"`
	Scope          string             `json:"Scope"`
	ID             string             `json:"Id"`
	Class          string             `json:"Type"`
	Tenant         any                `json:"Billing"` // a string; any other type means that the request has no tenant
	AffinityKey    string             `json:"Item"`
	ExpiresAtMs    float64            `json:"ExpiresMs"`
	ExpectedWorkMs float64            `json:"PredictedMs"`
	Flags          int                `json:"Bits"`
	Attempt        int                `json:"Hop"`
	Upstream       string             `json:"Upstream"`
	Result         int                `json:"Result"`
	ElapsedMs      float64            `json:"ElapsedMs"`
	Finished       bool               `json:"Finished"`
	Load           map[string]float64 `json:"Load"`
	From           int                `json:"By"`
	Message        string             `json:"Contents"`
}

// flagExpectedWork is the bit of event.Flags that indicates that ExpectedWorkMs is valid.
const flagExpectedWork = 1

// The scopes of verbEndpointUpdate.
const (
	scopeDelta        = "INCREMENTAL"
	scopeCompleteList = "FULL"
	scopeCachedList   = "SAVED"
	scopeWatchFailed  = "FAILED"
)

// entry is an entry of an endpoint table.
type entry struct {
	Zone        string  `json:"RackZone"`
	Cell        int     `json:"Cell"`
	State       string  `json:"StageState"`
	Kind        string  `json:"Machine"`
	ID          string  `json:"Upstream"`
	StartedAtMs float64 `json:"CameUpMs"`
}

// The states of an endpoint. Any other value means that the endpoint is active.
const (
	stateDraining = "leaving"
	stateRemoved  = "left"
)

// The result codes of attempts and probes. Any other value is an error response.
const (
	resultOK            = 200
	resultTimeout       = 408
	resultNotSent       = 409
	resultOverloaded    = 429
	resultCancelled     = 444
	resultReset         = 520
	resultConnectFailed = 521
)

// The verbs of actions.
const (
	verbSend      = "Try"
	verbCancel    = "Retract"
	verbReject    = "Refuse"
	verbFail      = "Error"
	verbSetTimer  = "Defer"
	verbSubscribe = "Watch"
	verbProbe     = "Touch"
	verbCloseIdle = "LetGo"
	verbLog       = "Emit"
	verbPanic     = "BailOut"
)

// timerCookie identifies the timer of an instance. Each instance has only one timer.
const timerCookie = "w"

// action holds the fields of all actions. The verb determines which fields are set.
type action struct {
	Verb         string  `json:"verb"`
	Instance     int     `json:"I"`
	ID           string  `json:"Id,omitempty"`
	Upstream     string  `json:"Upstream,omitempty"`
	TimeoutMs    float64 `json:"LimitMs,omitempty"`
	Attempt      *int    `json:"Hop,omitempty"` // a pointer, so that attempt 0 is not omitted
	RetryAfterMs float64 `json:"RetryInMs,omitempty"`
	AtMs         float64 `json:"MomentMs,omitempty"`
	Cookie       string  `json:"Cookie,omitempty"`
	Enable       bool    `json:"Enable,omitempty"`
	Text         string  `json:"ReasonText,omitempty"`
}

// microsecondsPerMillisecond converts the protocol's unit of time, milliseconds, to the simulator's internal unit.
const microsecondsPerMillisecond = 1000

// Duration converts milliseconds to a time.Duration. It rounds to whole microseconds, the simulator's internal unit of
// time.
func Duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms*microsecondsPerMillisecond)) * time.Microsecond
}

// milliseconds converts a time.Duration to milliseconds. Fractions of a microsecond are dropped.
func milliseconds(d time.Duration) float64 {
	return float64(d/time.Microsecond) / microsecondsPerMillisecond
}
