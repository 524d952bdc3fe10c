package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/load"
)

// loadPlanOptions determine which requests are sent, and when.
type loadPlanOptions struct {
	seed        uint64
	rate        float64 // requests per second
	ramp        string  // replaces rate unless empty; parseRamp describes its form
	length      time.Duration
	trafficFile string // replaces all other options unless empty
	request     load.ScheduledRequest
}

// plan returns the plan for the options.
func (o *loadPlanOptions) plan() (load.Plan, error) {
	if o.trafficFile != "" {
		traffic, err := emulator.LoadTraffic(o.trafficFile)
		if err != nil {
			return nil, err
		}
		return recordedPlan(traffic), nil
	}
	switch o.request.Effect {
	case "safe", "keyed", "unsafe":
	default:
		return nil, fmt.Errorf("--effect is %q, want safe, keyed or unsafe", o.request.Effect)
	}
	if o.request.Deadline <= 0 {
		return nil, fmt.Errorf("--deadline is %v, want above 0", o.request.Deadline)
	}
	if o.request.Class == "" {
		return nil, errors.New("--class is empty, want the name of a class")
	}
	curve := []load.Point{{Rate: o.rate}}
	if o.ramp != "" {
		var err error
		if curve, err = parseRamp(o.ramp); err != nil {
			return nil, err
		}
	}
	return load.Poisson(o.seed, curve, o.length, o.request)
}

// recordedPlan returns the plan that plays recorded traffic.
func recordedPlan(traffic *emulator.Traffic) load.Plan {
	var plan load.Plan
	for _, request := range traffic.Requests {
		for _, class := range traffic.Classes {
			if class.Name != request.Class {
				continue
			}
			plan = append(plan, load.ScheduledRequest{
				At:       request.At(),
				Class:    class.Name,
				Effect:   class.Effect,
				Deadline: time.Duration(class.DeadlineMS * float64(time.Millisecond)),
				Work:     time.Duration(request.WorkUS * float64(time.Microsecond)),
			})
		}
	}
	return plan
}

// parseRamp parses points such as "0s:100,10s:400". Each point has a time and the rate at this time, in requests per
// second.
func parseRamp(text string) ([]load.Point, error) {
	var curve []load.Point
	for pointText := range strings.SplitSeq(text, ",") {
		atText, rateText, hasRate := strings.Cut(pointText, ":")
		at, atErr := time.ParseDuration(atText)
		point := load.Point{At: at}
		_, rateErr := fmt.Sscan(rateText, &point.Rate)
		switch {
		case !hasRate:
			return nil, fmt.Errorf("--ramp: point %q has no colon, want a time and a rate such as 10s:400", pointText)
		case atErr != nil:
			return nil, fmt.Errorf("--ramp: point %q: time %q is not a duration such as 10s", pointText, atText)
		case rateErr != nil:
			return nil, fmt.Errorf("--ramp: point %q: rate %q is not a number", pointText, rateText)
		}
		curve = append(curve, point)
	}
	return curve, nil
}
