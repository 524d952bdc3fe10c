//go:build review

package main

import (
	"crypto/rand"
	"encoding/hex"
	"flag"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func newID(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// send sends one request of a class to a sidecar and returns the status; 0 if there was no answer.
func send(client *http.Client, to, class, method, suffix, key string, deadline time.Duration, rec *record) int {
	id := newID(8)
	body := ""
	if method == http.MethodPost {
		body = "for " + id
	}
	request, err := http.NewRequest(method, "http://"+to+"/"+class+suffix, strings.NewReader(body))
	if err != nil {
		fail(err.Error())
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Class", class)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	rec.add("sent class=%s id=%s key=%s", class, id, key)
	response, err := client.Do(request)
	if err != nil {
		rec.add("no answer to id=%s: %v", id, err)
		return 0
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	rec.add("answer to id=%s key=%s: %d %s", id, key, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode
}

func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 64}}
}

// runLoad sends requests at a steady rate: seat searches, which are safe to repeat, and with -bookings every other one a
// booking, which must never run twice.
func runLoad(args []string) {
	flags := flag.NewFlagSet("load", flag.ExitOnError)
	to := flags.String("to", "", "address of the sidecar")
	file := flags.String("record", "", "file of the record")
	rate := flags.Float64("rate", 40, "requests per second")
	length := flags.Duration("for", 10*time.Second, "how long")
	bookings := flags.Bool("bookings", false, "every other request is a booking")
	_ = flags.Parse(args)
	rec, client := openRecord(*file, "client"), newClient(6*time.Second)
	var open sync.WaitGroup
	n := 0
	end := time.Now().Add(*length)
	for next := time.Now(); next.Before(end); next = next.Add(time.Duration(float64(time.Second) / *rate)) {
		time.Sleep(time.Until(next))
		isBooking := *bookings && n%2 == 1
		n++
		open.Go(func() {
			if isBooking {
				send(client, *to, "confirm-booking", http.MethodPost, "", "", 5*time.Second, rec)
			} else {
				send(client, *to, "seat-search", http.MethodGet, "", "", 1500*time.Millisecond, rec)
			}
		})
	}
	open.Wait()
}

// runEffects sends bookings (a class that must never run twice), each with an Idempotency-Key of its own: first some
// whose answers arrive, then some whose answers are lost behind the server. A booking that has failed is asked for
// again, once, with its key and a new request ID.
func runEffects(args []string) {
	flags := flag.NewFlagSet("effects", flag.ExitOnError)
	to := flags.String("to", "", "address of the sidecar")
	file := flags.String("record", "", "file of the record")
	plain := flags.Int("plain", 0, "bookings whose answers arrive")
	lost := flags.Int("lost", 0, "bookings whose answers are lost")
	_ = flags.Parse(args)
	rec, client := openRecord(*file, "client"), newClient(6*time.Second)
	const class, deadline = "confirm-booking", 5 * time.Second
	served := 0
	for range *plain {
		if send(client, *to, class, http.MethodPost, "", newID(16), deadline, rec) == http.StatusOK {
			served++
		}
		time.Sleep(10 * time.Millisecond)
	}
	rec.add("%d of %d bookings are served", served, *plain)
	if served < *plain {
		fail("bookings failed that nothing disturbed")
	}
	for range *lost {
		key := newID(16)
		status := send(client, *to, class, http.MethodPost, "/lost", key, deadline, rec)
		if status == http.StatusOK {
			fail("an answer that was to be lost has arrived")
		}
		time.Sleep(300 * time.Millisecond)
		send(client, *to, class, http.MethodPost, "", key, deadline, rec)
	}
}

// runWave sends bookings, all at once, each with an Idempotency-Key of its own, or with -repeat those whose keys a file has.
// It writes the keys of those that got no answer to a file.
func runWave(args []string) {
	flags := flag.NewFlagSet("wave", flag.ExitOnError)
	to := flags.String("to", "", "address of the sidecar")
	file := flags.String("record", "", "file of the record")
	n := flags.Int("n", 0, "new bookings")
	repeat := flags.String("repeat", "", "file with the keys of the bookings to ask for again")
	unanswered := flags.String("unanswered", "", "file for the keys of bookings without an answer")
	_ = flags.Parse(args)
	var keys []string
	for range *n {
		keys = append(keys, newID(16))
	}
	if *repeat != "" {
		text, _ := os.ReadFile(*repeat) // there is none in the first round
		keys = append(keys, strings.Fields(string(text))...)
	}
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{Proxy: nil}}
	rec := openRecord(*file, "client")
	var mu sync.Mutex
	var left []string
	var open sync.WaitGroup
	for _, key := range keys {
		open.Go(func() {
			if send(client, *to, "confirm-booking", http.MethodPost, "", key, 5*time.Second, rec) == 0 {
				mu.Lock()
				left = append(left, key)
				mu.Unlock()
			}
		})
	}
	open.Wait()
	if *unanswered != "" && os.WriteFile(*unanswered, []byte(strings.Join(left, "\n")), 0o600) != nil {
		fail("cannot write " + *unanswered)
	}
}
