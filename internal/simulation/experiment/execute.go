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

// maxUnwrittenPerCore limits the tasks per core that have been started and whose results have not been written. Results
// are written in order: without a limit, they would accumulate in memory while an earlier task is slow.
const maxUnwrittenPerCore = 4

// task is one simulation: a policy at a point with a seed.
type task struct {
	point, seed int
	policy      string
}

// tasks returns the tasks of all runs, in the order of the runs in the file of results.
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

// Execute simulates an experiment on a number of cores (0: all) and writes its runs to the file of results at path. The
// order of the runs does not depend on the number of cores: the same experiment, program and seeds give the same bytes.
// Runs that an interrupted execution has left in the file are kept, and only the missing ones are simulated. It returns
// ErrResultsMismatch if the file has results of another experiment or program. It calls progress at the start and after
// each run, from one goroutine at a time.
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

// pool has the workers of one execution.
type pool struct {
	workers sync.WaitGroup
	// results has a channel for each task, in the order of the tasks. Each of them receives one run.
	results []chan Run
	// unwritten is a semaphore with an element for each task that has been started and whose run has not been written.
	unwritten chan struct{}
}

// startWorkers starts one worker per core for the tasks. The workers end when all tasks are done or the context ends.
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

// executeTask simulates one policy at one point with one seed. An error or a panic becomes the error of the run, so
// that the other runs go on. The text of the error is part of the results.
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

// EstimateRemaining estimates the time to the end of an execution that began at startedAt, from the time that its runs
// have taken so far. initial is the number of runs that the file of results had when the execution began, done the
// number that it has now, and total the number that it will have at the end. The estimate is 0 as long as no run has
// ended.
func EstimateRemaining(startedAt time.Time, initial, done, total int) time.Duration {
	if done <= initial {
		return 0
	}
	return time.Since(startedAt) / time.Duration(done-initial) * time.Duration(total-done)
}
