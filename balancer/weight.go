package balancer

// The weight of a request determines which requests are shed first.
//
// Inputs: the class's weight and late weight, whether the request is a late client retry (deadline.go), its
// expected work relative to the mean request, the tenant's share of recent requests and its quota (shares,
// 0 to 1), and the settings WeightByWork and OverQuotaWeight (share). The weight has no unit; admission
// control ranks it among the weights of recent requests.
//
// Why: those requests are shed that cost most relative to their value, and a tenant that exceeds its quota
// does not displace the others.

// newTenantRates returns one rate of arriving requests for each of n tenants.
func newTenantRates(n int) []rate {
	rates := make([]rate, n)
	for i := range rates {
		rates[i].memory = offeredRateMemory
	}
	return rates
}

// weightOf returns the weight of a request per unit of work. If a tenant exceeds its quota, randomly chosen
// requests that make up the excess have their weight multiplied by OverQuotaWeight.
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

// isBeyondQuota counts a request of a tenant and reports whether it is treated as beyond the tenant's
// quota. If a tenant sends u times its quota, a random share of 1/u of its requests is within the quota.
func (b *Balancer) isBeyondQuota(tenantIndex int) bool {
	b.tenantRates[tenantIndex].add(1, b.now)
	used := shareOf(b.tenantRates, tenantIndex, b.now)
	return b.rng.Float64()*used > b.settings.Tenants[tenantIndex].Fraction
}
