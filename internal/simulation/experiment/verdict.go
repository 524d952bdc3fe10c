package experiment

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"hazelwing/internal/simulation/simulator"
)

// mostSeedsShare is the share of its cases in which a claim with the scope "most" has to hold.
const mostSeedsShare = 0.9

// Verdict reports whether a claim holds. A claim without cases, whose Where selects no point, does not hold.
type Verdict struct {
	Text  string `json:"says"`
	Scope string `json:"on"`
	Holds bool   `json:"holds"`
	// HoldsOn is the number of cases in which the claim holds, out of Total cases. A case is a seed at a point or, with
	// the scope "mean", a point. Worst describes the case with the smallest margin.
	HoldsOn int    `json:"good"`
	Total   int    `json:"of"`
	Worst   string `json:"worst"`
}

// Judge judges the claims of a file of results. The runs have to be complete and in order, as Execute writes them.
func Judge(h Header, runs []Run) (verdicts []Verdict, err error) {
	for i, claim := range h.Claims {
		c, err := claim.parse(h.Policies)
		if err != nil {
			return nil, fmt.Errorf("claim %d, %q: %w", i+1, claim.Text, err)
		}
		verdicts = append(verdicts, c.judge(h, runs))
	}
	return verdicts, nil
}

// judgement collects the cases of a claim.
type judgement struct {
	claim       *parsedClaim
	verdict     Verdict
	worstMargin float64
}

// add counts the case at the given point and seed, with the values of the two sides of the claim.
func (j *judgement) add(where string, left, right float64) {
	margin, holds := j.claim.margin(left, right)
	j.verdict.Total++
	if holds {
		j.verdict.HoldsOn++
	}
	if margin < j.worstMargin {
		j.worstMargin = margin
		j.verdict.Worst = strings.TrimSuffix(fmt.Sprintf("%.4g against %.4g at %s", left, right, where), " at ")
	}
}

func (c *parsedClaim) judge(h Header, runs []Run) Verdict {
	j := &judgement{
		claim:       c,
		verdict:     Verdict{Text: c.Text, Scope: cmp.Or(c.Scope, scopeEach)},
		worstMargin: math.Inf(1),
	}
	for point, factors := range h.Points {
		if c.Where == "" || slices.Contains(factors, c.Where) {
			j.addPoint(h, runs, point)
		}
	}
	v := j.verdict
	need := v.Total
	if v.Scope == scopeMost {
		need = int(math.Ceil(mostSeedsShare * float64(v.Total)))
	}
	v.Holds = v.Total > 0 && v.HoldsOn >= need
	return v
}

// addPoint adds one case for each seed at a point or, with the scope "mean", one case for their mean.
func (j *judgement) addPoint(h Header, runs []Run, point int) {
	where := strings.Join(h.Points[point], ", ")
	leftSum, rightSum := 0.0, 0.0
	for seed := 1; seed <= h.Seeds; seed++ {
		results := h.results(runs, point, seed)
		left, right := j.claim.left.value(results), j.claim.right.value(results)
		leftSum, rightSum = leftSum+left, rightSum+right
		if j.verdict.Scope != scopeMean {
			j.add(strings.TrimPrefix(fmt.Sprintf("%s, seed %d", where, seed), ", "), left, right)
		}
	}
	if j.verdict.Scope == scopeMean {
		j.add(where, leftSum/float64(h.Seeds), rightSum/float64(h.Seeds))
	}
}

// results returns the results of all policies at a point with a seed, by the names of the policies. The runs have to be
// complete and in order.
func (h Header) results(runs []Run, point, seed int) map[string]*simulator.Result {
	out := map[string]*simulator.Result{}
	from := (point*h.Seeds + seed - 1) * len(h.Policies)
	for _, r := range runs[from : from+len(h.Policies)] {
		out[r.Policy] = r.Result
	}
	return out
}
