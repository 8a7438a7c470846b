package sse

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func readAll(text string) (events []Event, rest Event, err error) {
	reader := NewReader(strings.NewReader(text), func(int) bool { return true })
	for {
		event, err := reader.Next()
		if err != nil {
			return events, event, err
		}
		events = append(events, event)
	}
}

func TestEventsKeepTheirBytes(t *testing.T) {
	text := "id: 1\ndata: a\n\nversions: 4\nid:2\r\ndata: b\r\n\r\n: comment\n\n"
	events, rest, err := readAll(text)
	if !errors.Is(err, io.EOF) || len(rest.Raw) != 0 || len(events) != 3 {
		t.Fatalf("%d events, rest %q, error %v", len(events), rest.Raw, err)
	}
	joined := ""
	for _, event := range events {
		joined += string(event.Raw)
	}
	if joined != text {
		t.Errorf("bytes %q", joined)
	}
	if events[0].ID != 1 || !events[1].HasID || events[1].ID != 2 || events[2].HasID {
		t.Errorf("ids %+v", events)
	}
}

// TestTruncatedStream truncates a stream at each byte and checks that only complete events are returned, and
// that the rest of the first incomplete one is returned with the error.
func TestTruncatedStream(t *testing.T) {
	text := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for length := range len(text) {
		events, rest, _ := readAll(text[:length])
		complete := strings.Count(text[:length], "\n\n")
		if len(events) != complete {
			t.Errorf("truncated at %d: %d events, %d are complete", length, len(events), complete)
		}
		if complete == 1 && string(rest.Raw) != text[15:length] {
			t.Errorf("truncated at %d: rest %q", length, rest.Raw)
		}
	}
}

func TestLongLinesAndLongEvents(t *testing.T) {
	long := "data: " + strings.Repeat("x", 100_000) + "\n\n"
	if events, _, _ := readAll(long); len(events) != 1 || len(events[0].Raw) != len(long) {
		t.Errorf("%d events", len(events))
	}
	tooLong := "data: " + strings.Repeat("x", MaxEventBytes+10) + "\n\n"
	if _, _, err := readAll(tooLong); !errors.Is(err, ErrEventTooLong) {
		t.Errorf("error %v", err)
	}
}
