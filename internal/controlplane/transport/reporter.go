package transport

import "context"

// sendReports sends the latest report to the upstream, and repeats that while it fails.
func (m *Member) sendReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.reports.wake:
			m.sendPendingReports(ctx)
		}
	}
}

// sendPendingReports sends reports until there is none left, or no upstream: the next upstream gets a new report when
// it answers.
func (m *Member) sendPendingReports(ctx context.Context) {
	for ctx.Err() == nil {
		report := m.reports.take()
		if report == nil {
			return
		}
		upstream := m.currentUpstream()
		if upstream == nil {
			return
		}
		if m.client.sendReport(ctx, upstream.addr, *report) != nil {
			m.reports.putBack(report)
			sleep(ctx, reportRetryDelay)
		}
	}
}
