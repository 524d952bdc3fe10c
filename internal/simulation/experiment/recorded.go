package experiment

import (
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/simulation/simulator"
)

// trafficPath returns the path of the file of recorded traffic that a document names, or an empty string if it names
// none.
func trafficPath(document tomlTable) string {
	for _, name := range []string{"world", "clients"} {
		table, ok := document[name].(tomlTable)
		if !ok {
			return ""
		}
		document = table
	}
	if path, ok := document["traffic"].(string); ok {
		return path
	}
	return ""
}

// loadRecorded reads a file of recorded traffic and converts it for the simulator.
func loadRecorded(path string) ([]simulator.RecordedRequest, error) {
	t, err := emulator.LoadTraffic(path)
	if err != nil {
		return nil, err
	}
	return RecordedRequests(t), nil
}

// RecordedRequests converts recorded traffic for the simulator. Affinity keys are numbered from 1 in the order of their
// first appearance; requests without one get 0.
func RecordedRequests(t *emulator.Traffic) (list []simulator.RecordedRequest) {
	micros := func(x float64) time.Duration { return time.Duration(x * float64(time.Microsecond)) }
	keys := map[string]int{"": 0}
	for _, request := range t.Requests {
		if _, ok := keys[request.AffinityKey]; !ok {
			keys[request.AffinityKey] = len(keys)
		}
		list = append(list, simulator.RecordedRequest{
			At:           request.At(),
			Class:        request.Class,
			Work:         micros(request.WorkUS),
			ExpectedWork: micros(request.ExpectedWorkUS),
			AffinityKey:  keys[request.AffinityKey],
		})
	}
	return list
}
