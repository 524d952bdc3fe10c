package balancer

// Weights: what a request counts for when requests have to be shed.
//
// Inputs: the class's weight and late weight, whether the request is a late repeat (deadline.go), its
// expected work relative to the mean request, and the tenant's share of recent requests and its quota
// (shares, 0 to 1). The weight has no unit; admission control ranks it among recent ones.
//
// Why: work is shed where it costs most for what it earns, and a tenant that sends more than its quota does
// not push out the others.

// newTenantRates returns the rates of arriving requests of n tenants.
func newTenantRates(n int) []rate {
	rates := make([]rate, n)
	for i := range rates {
		rates[i].memory = offeredRateMemory
	}
	return rates
}

// weightOf is a request's weight for each unit of work. A part of the requests that a tenant sends beyond
// its quota, chosen at random, has OverQuotaWeight.
func (b *Balancer) weightOf(r *request) float64 {
	weight := r.class.Weight
	if !b.settings.WeightByWork {
		weight /= r.relativeWork
	}
	if r.lateClientRetry {
		weight *= r.class.LateWeight
	}
	if r.tenantIndex >= 0 && b.isBeyondQuota(r.tenantIndex) {
		weight *= b.settings.OverQuotaWeight
	}
	return weight
}

// isBeyondQuota counts a request of a tenant and reports whether it is taken to be beyond the tenant's
// quota. Of a tenant that sends u times its quota, one in u requests at random is within it.
func (b *Balancer) isBeyondQuota(tenantIndex int) bool {
	b.tenantRates[tenantIndex].add(1, b.now)
	used := shareOf(b.tenantRates, tenantIndex, b.now)
	return b.rng.Float64()*used > b.settings.Tenants[tenantIndex].Fraction
}
