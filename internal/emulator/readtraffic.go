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
		return nil, lineError(1, errors.New("file is empty; want a header"))
	}
	return reader.traffic, nil
}

func lineError(number int, err error) error {
	return fmt.Errorf("traffic file, line %d: %w", number, err)
}

// trafficReader holds the parts of a recording that ReadTraffic has read so far.
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

// checkRequest checks a request against the header and the requests read before it.
func (r *trafficReader) checkRequest(request Request) error {
	requests := r.traffic.Requests
	switch last := len(requests) - 1; {
	case !r.classes[request.Class]:
		return fmt.Errorf("class %q is not defined in the header", request.Class)
	case !isValidNumber(request.AtMS):
		return rangeError("at_ms", request.AtMS)
	case !isValidNumber(request.WorkUS):
		return rangeError("work_us", request.WorkUS)
	case !isValidNumber(request.ExpectedWorkUS):
		return rangeError("hint_us", request.ExpectedWorkUS)
	case last >= 0 && request.AtMS < requests[last].AtMS:
		return fmt.Errorf("at_ms %v is less than at_ms %v of the previous request", request.AtMS, requests[last].AtMS)
	case last+1 >= MaxRequests:
		return fmt.Errorf("recording has more than %d requests", MaxRequests)
	}
	return nil
}

func isValidNumber(x float64) bool { return x >= 0 && x < maxTrafficNumber }

func rangeError(key string, value float64) error {
	return fmt.Errorf("%s %v is out of range; want at least 0 and less than %v", key, value, maxTrafficNumber)
}

// check checks the header and adds the names of its classes to names.
func (h *TrafficHeader) check(names map[string]bool) error {
	if h.Format != trafficFormat {
		return fmt.Errorf("format %q is not supported; want %q", h.Format, trafficFormat)
	}
	if h.Version != trafficVersion {
		return fmt.Errorf("version %d is not supported; want %d", h.Version, trafficVersion)
	}
	for _, class := range h.Classes {
		if names[class.Name] {
			return fmt.Errorf("class %q is defined more than once", class.Name)
		}
		if err := class.check(); err != nil {
			return fmt.Errorf("class %q: %w", class.Name, err)
		}
		names[class.Name] = true
	}
	return nil
}

// check returns an error if a field of the class is missing or out of range.
func (c TrafficClass) check() error {
	_, hasEffect := effectNames[c.Effect]
	switch {
	case c.Name == "":
		return errors.New("name is empty")
	case !hasEffect:
		return fmt.Errorf("effect %q is unknown; want safe, keyed or unsafe", c.Effect)
	case c.ObjectiveMS <= 0:
		return fmt.Errorf("aim_ms is %v; want above 0", c.ObjectiveMS)
	case c.DeadlineMS <= 0:
		return fmt.Errorf("deadline_ms is %v; want above 0", c.DeadlineMS)
	case c.Weight < 0:
		return fmt.Errorf("worth is %v; want 0 or more", c.Weight)
	case c.LateWeight < 0:
		return fmt.Errorf("late_share is %v; want 0 or more", c.LateWeight)
	}
	return nil
}
