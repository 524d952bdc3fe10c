package emulator

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// LoadTraffic reads a traffic file. Errors name the file and the line.
func LoadTraffic(path string) (*Traffic, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	traffic, err := ReadTraffic(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return traffic, nil
}

// ReadTraffic reads a recording. Errors name the line.
func ReadTraffic(r io.Reader) (*Traffic, error) {
	reader := trafficReader{traffic: &Traffic{}, classes: map[string]bool{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	number := 0
	for lines.Scan() {
		number++
		if err := reader.readLine(number, lines.Bytes()); err != nil {
			return nil, lineError(number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, lineError(number+1, err)
	}
	if number == 0 {
		return nil, lineError(1, errors.New("no head"))
	}
	return reader.traffic, nil
}

func lineError(number int, err error) error { return fmt.Errorf("traffic, line %d: %w", number, err) }

// trafficReader is the state of reading a recording.
type trafficReader struct {
	traffic *Traffic
	classes map[string]bool // names of the header's classes
}

// readLine reads one line; the first is the header.
func (r *trafficReader) readLine(number int, line []byte) error {
	if number == 1 {
		if err := json.Unmarshal(line, &r.traffic.TrafficHeader); err != nil {
			return err
		}
		return r.traffic.check(r.classes)
	}
	var request Request
	if err := json.Unmarshal(line, &request); err != nil {
		return err
	}
	if err := r.checkRequest(request); err != nil {
		return err
	}
	r.traffic.Requests = append(r.traffic.Requests, request)
	return nil
}

// checkRequest checks a request, which has to follow those read so far.
func (r *trafficReader) checkRequest(request Request) error {
	requests := r.traffic.Requests
	switch last := len(requests) - 1; {
	case !r.classes[request.Class]:
		return fmt.Errorf("class %q is not in the head", request.Class)
	case !isValidNumber(request.AtMS), !isValidNumber(request.WorkUS), !isValidNumber(request.ExpectedWorkUS):
		return errors.New("at_ms, work_us or hint_us is negative or too large")
	case last >= 0 && request.AtMS < requests[last].AtMS:
		return fmt.Errorf("at_ms %v is before the line above", request.AtMS)
	case last+1 >= MaxRequests:
		return fmt.Errorf("more than %d requests", MaxRequests)
	}
	return nil
}

func isValidNumber(x float64) bool { return x >= 0 && x < maxTrafficNumber }

// check checks the header and adds the names of its classes to names.
func (h *TrafficHeader) check(names map[string]bool) error {
	if h.Format != trafficFormat || h.Version != trafficVersion {
		return fmt.Errorf("format %q, version %d: want %q, version %d",
			h.Format, h.Version, trafficFormat, trafficVersion)
	}
	for _, class := range h.Classes {
		if names[class.Name] || !class.isValid() {
			const want = "a name of its own, an effect, aim_ms, deadline_ms, worth and late_share are wanted"
			return fmt.Errorf("class %q: %s", class.Name, want)
		}
		names[class.Name] = true
	}
	return nil
}

// isValid reports whether all fields of a class are set to values that can be used.
func (c TrafficClass) isValid() bool {
	_, hasEffect := effectNames[c.Effect]
	return c.Name != "" && hasEffect && c.ObjectiveMS > 0 && c.DeadlineMS > 0 && c.Weight >= 0 && c.LateWeight >= 0
}
