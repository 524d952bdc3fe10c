package transport

import "context"

// sendReports sends the latest report to the upstream whenever there is a new one, and retries while that fails. It
// runs until ctx is done.
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

// sendPendingReports sends reports until none is left or there is no upstream. Without an upstream the report is
// dropped, since the next upstream is sent a new report once it has sent its path and its revision.
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
