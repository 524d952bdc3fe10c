// Package runner provides functions that the experiments of several simulations share. ReadFile reads the file of an
// experiment, and ForEach runs the points of an experiment in parallel.
package runner

import (
	"fmt"
	"os"
	"sync"

	"hazelwing/internal/strictdecode"
)

// ReadFile reads a TOML file into experiment, a pointer to a struct with toml tags. The error names the file and,
// if a key is unknown or its value has the wrong type, the line.
func ReadFile(path string, experiment any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if errs := strictdecode.Decode(text, experiment); len(errs) > 0 {
		return fmt.Errorf("%s:%w", path, errs[0])
	}
	return nil
}

// ForEach calls run for each number from 0 to n-1, and returns once all calls have returned. At most maxParallel calls
// run at the same time, or one if maxParallel is below 1.
func ForEach(n, maxParallel int, run func(i int)) {
	slots := make(chan struct{}, max(1, maxParallel))
	var calls sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			run(i)
		})
	}
	calls.Wait()
}
