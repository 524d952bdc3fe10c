package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"hazelwing/internal/simulation/baseline"
	"hazelwing/internal/simulation/simulator"
)

// maxUnwrittenPerCore limits how many results a core may be ahead of the one that is written next: results would pile up
// behind a slow one.
const maxUnwrittenPerCore = 4

// task is a run to be made.
type task struct {
	point, seed int
	policy      string
}

// tasks are all runs, in the order of their lines.
func (e *Experiment) tasks() (list []task) {
	for p := range e.Points {
		for s := range e.Seeds {
			for _, name := range e.Policies {
				list = append(list, task{p, s + 1, name})
			}
		}
	}
	return list
}

// Execute simulates an experiment on a number of cores (0: all) and writes its runs to a file, in an order that
// does not depend on the cores: the same experiment, program and seeds give the same bytes. Runs that an
// interrupted execution has left in the file are kept. progress is called after each run, by one goroutine at a
// time.
func (e *Experiment) Execute(
	ctx context.Context, path string, cores int, progress func(done, total int),
) (runs []Run, err error) {
	tasks := e.tasks()
	f, runs, err := e.openResults(path, len(tasks))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer func() { err = cmp.Or(err, f.Close()) }()
	cores = min(cmp.Or(cores, runtime.GOMAXPROCS(0)), max(len(tasks), 1))
	ctx, stop := context.WithCancel(ctx)
	pool := e.startWorkers(ctx, cores, tasks[len(runs):])
	defer pool.workers.Wait()
	defer stop()
	progress(len(runs), len(tasks))
	for _, result := range pool.results {
		select {
		case run := <-result:
			<-pool.unwritten
			if err := writeRun(f, run); err != nil {
				return nil, fmt.Errorf("%s: %w", path, err)
			}
			runs = append(runs, run)
			progress(len(runs), len(tasks))
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	return runs, nil
}

// writeRun writes a run as a line of JSON.
func writeRun(w io.Writer, run Run) error {
	line, err := json.Marshal(run)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}

// pool is the workers of one execution.
type pool struct {
	workers sync.WaitGroup
	// results get one run each, in the order of the tasks.
	results []chan Run
	// unwritten has an element for each task that has been handed out and not been written.
	unwritten chan struct{}
}

// startWorkers starts a worker a core for some tasks. They end when all tasks are done or the context ends.
func (e *Experiment) startWorkers(ctx context.Context, cores int, tasks []task) *pool {
	p := &pool{results: make([]chan Run, len(tasks)), unwritten: make(chan struct{}, maxUnwrittenPerCore*cores)}
	for i := range p.results {
		p.results[i] = make(chan Run, 1)
	}
	next := make(chan int)
	p.workers.Go(func() {
		defer close(next)
		for i := range tasks {
			select {
			case p.unwritten <- struct{}{}:
			case <-ctx.Done():
				return
			}
			select {
			case next <- i:
			case <-ctx.Done():
				return
			}
		}
	})
	for range cores {
		p.workers.Go(func() {
			for i := range next {
				p.results[i] <- e.executeTask(tasks[i])
			}
		})
	}
	return p
}

// executeTask simulates one policy. A panic becomes its error, and the other runs go on.
func (e *Experiment) executeTask(t task) (run Run) {
	run = Run{Point: t.point, Seed: t.seed, Policy: t.policy}
	setError := func(reason string) {
		run.Error = reason
		run.Result = &simulator.Result{ViolationCount: 1, Violations: []string{reason}}
	}
	defer func() {
		if x := recover(); x != nil {
			setError(fmt.Sprint("it crashed: ", x))
		}
	}()
	policy, err := baseline.New(t.policy)
	if err == nil {
		run.Result, err = simulator.Run(e.Points[t.point].Config, policy, uint64(t.seed))
	}
	if err != nil {
		setError(err.Error())
	}
	return run
}

// EstimateRemaining estimates the time to the end from how long the runs so far took: startedAt is when the execution
// began, with initial runs that were done before.
func EstimateRemaining(startedAt time.Time, initial, done, total int) time.Duration {
	if done <= initial {
		return 0
	}
	return time.Since(startedAt) / time.Duration(done-initial) * time.Duration(total-done)
}
