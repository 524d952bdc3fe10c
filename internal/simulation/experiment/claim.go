package experiment

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"hazelwing/internal/simulation/simulator"
)

// The scopes of a claim.
const (
	scopeEach = "each" // the claim has to hold with each seed
	scopeMean = "mean" // the claim has to hold for the means of the seeds
	scopeMost = "most" // the claim has to hold with a share of at least mostSeedsShare of the seeds
)

// Claim is a claim in the notation of an experiment's file: "TERM OP TERM", where OP is <, <=, > or >=. A term is a
// number or "MEASURE of POLICY", which may be multiplied by a number before it and may have a number added or
// subtracted after it:
//
//	service of hazelwing >= service of p2c - 0.01
//	p99 of hazelwing <= 0.8 * p99 of round_robin
//	breaks of hazelwing <= 0
type Claim struct {
	Text string `toml:"says" json:"says"`
	// Scope says for which seeds the claim has to hold at the points of the sweep that Where selects: "each" seed (the
	// default), the "mean" of the seeds, or "most" (nine in ten of the seeds at all these points together).
	Scope string `toml:"on" json:"on"`
	// Where selects the points of the sweep that have this factor, in the form "FACTOR = VALUE"; empty: all points.
	Where string `toml:"where" json:"where"`
}

// parsedClaim is a claim whose text has been parsed. The claim holds if the comparison of left with right by the
// operator is true.
type parsedClaim struct {
	Claim
	left, right term
	operator    string
}

// term is one side of a claim: factor times the measure of the policy, plus offset. A term without a measure is the
// number offset.
type term struct {
	factor, offset  float64
	measure, policy string
}

var operators = []string{"<", "<=", ">", ">="}

func (c Claim) parse(policies []string) (out parsedClaim, err error) {
	out.Claim = c
	switch c.Scope {
	case "", scopeEach, scopeMean, scopeMost:
	default:
		return out, fmt.Errorf("on must be \"each\", \"mean\" or \"most\", got %q", c.Scope)
	}
	words := strings.Fields(c.Text)
	operatorIndex := slices.IndexFunc(words, func(s string) bool { return slices.Contains(operators, s) })
	if operatorIndex < 0 {
		return out, errors.New("no comparison operator: one of <, <=, > and >= must stand between two terms")
	}
	out.operator = words[operatorIndex]
	if out.left, err = parseTerm(words[:operatorIndex], policies); err == nil {
		out.right, err = parseTerm(words[operatorIndex+1:], policies)
	}
	return out, err
}

func parseTerm(words, policies []string) (t term, err error) {
	text := strings.Join(words, " ")
	invalid := fmt.Errorf("term %q must be NUMBER or \"[NUMBER *] MEASURE of CONTESTANT [+|- NUMBER]\"", text)
	t.factor = 1
	if len(words) == 1 {
		t.offset, err = strconv.ParseFloat(words[0], 64)
		switch {
		case err != nil:
			return t, invalid
		case math.IsNaN(t.offset):
			return t, fmt.Errorf("term %q is not a number that can be compared", text)
		}
		return t, nil
	}
	if len(words) > 2 && words[1] == "*" {
		if t.factor, err = strconv.ParseFloat(words[0], 64); err != nil {
			return t, fmt.Errorf("term %q: factor must be a number, got %q", text, words[0])
		}
		words = words[2:]
	}
	if len(words) == 5 && (words[3] == "+" || words[3] == "-") {
		if t.offset, err = strconv.ParseFloat(words[3]+words[4], 64); err != nil {
			return t, fmt.Errorf("term %q: offset must be a number, got %q", text, words[4])
		}
		words = words[:3]
	}
	if len(words) != 3 || words[1] != "of" {
		return t, invalid
	}
	t.measure, t.policy = words[0], words[2]
	return t, t.validate(policies)
}

// validate returns an error if the term's measure does not exist, or if its policy is not one of policies.
func (t term) validate(policies []string) error {
	if measures[t.measure] == nil {
		return unknownMeasure(t.measure)
	}
	if !slices.Contains(policies, t.policy) {
		return fmt.Errorf("unknown contestant %q: must be one of %s", t.policy, strings.Join(policies, ", "))
	}
	return nil
}

// value returns the value of the term for the results of all policies, by the names of the policies.
func (t term) value(results map[string]*simulator.Result) float64 {
	if t.measure == "" {
		return t.offset
	}
	return t.factor*measures[t.measure](results[t.policy]) + t.offset
}

// margin returns the difference of the two sides, and whether the claim holds. The difference is positive if the claim
// holds and negative if it does not. If the difference is 0, the claim holds only with <= and >=.
func (c *parsedClaim) margin(left, right float64) (margin float64, holds bool) {
	margin = right - left
	if strings.HasPrefix(c.operator, ">") {
		margin = -margin
	}
	return margin, margin > 0 || margin == 0 && strings.HasSuffix(c.operator, "=")
}
