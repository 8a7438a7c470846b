package faultinject

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Until waits for something to hold, and fails the test where it does not in time.
func Until(t T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// Reach waits until connections are taken at an address, host:port.
func Reach(at string, within time.Duration) error {
	for end := time.Now().Add(within); ; time.Sleep(pollInterval) {
		c, err := net.DialTimeout("tcp", at, within)
		if err == nil {
			return c.Close()
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready within %v: %w", at, within, err)
		}
	}
}

var asking = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Healthy waits until the operators' port at an address says that its instance serves.
func Healthy(control string, within time.Duration) error {
	for end := time.Now().Add(within); ; time.Sleep(pollInterval) {
		_, err := Ask(control, "/admin/health")
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

// Ask gets a page of an operators' port. An error is any answer but a yes.
func Ask(control, path string) (string, error) {
	res, err := asking.Get("http://" + control + path)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s%s: status %d", control, path, res.StatusCode)
	}
	return string(b), err
}

// Figure gives a figure that an operators' port shows, such as svc.peers.suspected, and whether there is one.
func Figure(control, name string) (int64, bool) {
	page, err := Ask(control, "/admin/stats")
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(page) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok && key == name {
			n, err := strconv.ParseInt(value, 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}
