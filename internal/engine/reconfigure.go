package engine

import "hazelwing/balancer"

// Reconfiguration holds the parts of the configuration that can change while calls are in flight.
type Reconfiguration struct {
	Settings  balancer.Settings // see balancer.Reconfigure for the settings that it applies
	Balancers int               // number of sidecars; 0: unchanged
	Source    Source            // new source, as for SetSource; nil: unchanged
}

// Reconfigure applies a reconfiguration as a whole between two events: all earlier decisions use the old settings, all
// later ones the new settings. It blocks until the change has been applied or rejected. If the Balancer rejects the
// settings, Reconfigure returns its error and nothing changes.
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

// reconfigured is the event of a Reconfigure call, which waits for the result on done.
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
