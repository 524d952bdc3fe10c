package engine

import "hazelwing/balancer"

// Reconfiguration is what may change while calls are in flight.
type Reconfiguration struct {
	Settings  balancer.Settings // see balancer.Reconfigure for those that apply
	Balancers int               // number of sidecars; 0: as before
	Source    Source            // as by SetSource; nil: as before
}

// Reconfigure applies a reconfiguration, all of it between two events: every decision before it was made by the old
// settings, and every one after it by the new. It blocks until that has happened, and returns the Balancer's error;
// then nothing has changed.
func (e *Engine) Reconfigure(r Reconfiguration) error {
	done := make(chan error, 1)
	if !e.post(reconfigured{r, done}) {
		return errClosed
	}
	select {
	case err := <-done:
		return err
	case <-e.closed:
		return errClosed
	}
}

// reconfigured is the event of Reconfigure, which waits for an answer on done.
type reconfigured struct {
	Reconfiguration
	done chan<- error
}

func (v reconfigured) handle(e *Engine) { v.done <- e.reconfigure(v.Reconfiguration) }

func (e *Engine) reconfigure(r Reconfiguration) error {
	if e.stopping {
		return errClosed
	}
	if err := e.balancer.Reconfigure(r.Settings); err != nil {
		return err
	}
	if r.Balancers > 0 {
		e.pendingBalancers.Store(0)
		e.balancer.SetBalancers(r.Balancers)
	}
	if r.Source != nil {
		e.changeSource(r.Source)
	}
	return nil
}
