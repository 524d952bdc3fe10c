package engine

import "hazelwing/balancer"

// Revision is what may change at once while calls are in hand.
type Reconfiguration struct {
	Settings  balancer.Settings // of which balancer.Revise takes what it names
	Balancers int               // how many there are; 0: as before
	Source    Source            // to which the list moves, as by Move; nil: it stays
}

// Revise puts a revision in force, all of it between two events: every decision before was made by the old settings, and every one
// after by the new. It may be called from any goroutine, blocks until that has happened, and returns the module's error; then nothing
// has changed.
func (e *Engine) Reconfigure(r Reconfiguration) error {
	done := make(chan error, 1)
	if !e.post(revise{r, done}) {
		return errClosed
	}
	select {
	case err := <-done:
		return err
	case <-e.closed:
		return errClosed
	}
}

func (e *Engine) revise(r Reconfiguration) error {
	if e.ending {
		return errClosed
	}
	if err := e.bal.Reconfigure(r.Settings); err != nil {
		return err
	}
	if r.Balancers > 0 {
		e.sized.Store(0)
		e.bal.SetBalancers(r.Balancers)
	}
	if r.Source != nil {
		e.move(r.Source)
	}
	return nil
}

// revise is the event of a Revision, and where the answer goes.
type revise struct {
	Reconfiguration
	done chan<- error
}
