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

// Scopes of claims: what a claim has to hold on.
const (
	scopeEach = "each" // seed
	scopeMean = "mean" // of the seeds
	scopeMost = "most" // seeds: a share of mostSeedsShare
)

// Claim is a claim as it is written: "MEASURE of POLICY OP TERM", where OP is <, <=, > or >=, and TERM is a number or
// "MEASURE of POLICY", which may be multiplied by a number before it and have one added or subtracted after it:
//
//	service of hazelwing >= service of p2c - 0.01
//	p99 of hazelwing <= 0.8 * p99 of round_robin
//	breaks of hazelwing <= 0
type Claim struct {
	Text string `toml:"says" json:"says"`
	// Scope is what it has to hold on: "each" seed (the default), the "mean" of the seeds, or "most" (nine in ten
	// seeds); at every point of the sweep that Where leaves.
	Scope string `toml:"on" json:"on"`
	// Where is "FACTOR = VALUE": the claim is for the points with it; empty: for all.
	Where string `toml:"where" json:"where"`
}

// parsedClaim is a claim: left operator right.
type parsedClaim struct {
	Claim
	left, right term
	operator    string
}

// term is factor x measure of policy + offset, or offset alone.
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
		return out, fmt.Errorf("on = %q is not \"each\", \"mean\" or \"most\"", c.Scope)
	}
	words := strings.Fields(c.Text)
	operatorIndex := slices.IndexFunc(words, func(s string) bool { return slices.Contains(operators, s) })
	if operatorIndex < 0 {
		return out, errors.New("it compares nothing: <, <=, > or >= is missing")
	}
	out.operator = words[operatorIndex]
	if out.left, err = parseTerm(words[:operatorIndex], policies); err == nil {
		out.right, err = parseTerm(words[operatorIndex+1:], policies)
	}
	return out, err
}

func parseTerm(words, policies []string) (t term, err error) {
	invalid := fmt.Errorf("%q is no number, and not \"[NUMBER *] MEASURE of CONTESTANT [+|- NUMBER]\"",
		strings.Join(words, " "))
	t.factor = 1
	if len(words) == 1 {
		t.offset, err = strconv.ParseFloat(words[0], 64)
		if err != nil || math.IsNaN(t.offset) {
			return t, invalid
		}
		return t, nil
	}
	if len(words) > 2 && words[1] == "*" {
		if t.factor, err = strconv.ParseFloat(words[0], 64); err != nil {
			return t, invalid
		}
		words = words[2:]
	}
	if len(words) == 5 && (words[3] == "+" || words[3] == "-") {
		if t.offset, err = strconv.ParseFloat(words[3]+words[4], 64); err != nil {
			return t, invalid
		}
		words = words[:3]
	}
	if len(words) != 3 || words[1] != "of" {
		return t, invalid
	}
	t.measure, t.policy = words[0], words[2]
	return t, t.validate(policies)
}

// validate checks that the term's measure and policy exist.
func (t term) validate(policies []string) error {
	if measures[t.measure] == nil {
		return fmt.Errorf("there is no measure %q", t.measure)
	}
	if !slices.Contains(policies, t.policy) {
		return fmt.Errorf("%q is no contestant here", t.policy)
	}
	return nil
}

// value is the term's value with the results of all policies.
func (t term) value(results map[string]*simulator.Result) float64 {
	if t.measure == "" {
		return t.offset
	}
	return t.factor*measures[t.measure](results[t.policy]) + t.offset
}

// margin is by how much a claim holds; below 0 it does not, and at 0 only with an operator that allows it.
func (c *parsedClaim) margin(left, right float64) (margin float64, holds bool) {
	margin = right - left
	if strings.HasPrefix(c.operator, ">") {
		margin = -margin
	}
	return margin, margin > 0 || margin == 0 && strings.HasSuffix(c.operator, "=")
}
