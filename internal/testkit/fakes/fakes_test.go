package fakes

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/testkit/history"
)

func TestCounter(t *testing.T) {
	c, err := NewCounter()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	conn, err := net.Dial("tcp", c.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	calls := []struct{ say, want string }{
		{"ping", "pong"}, {"bump a 2.5 4000", "ok 2.5"}, {"bump a -1 1", "ok 1.5"}, {"bump b 1 1", "ok 1"},
		{"bump a 1", "error"}, {"bump a NaN 9", "error"}, {"bump a 1 0", "error"}, {"drop a", "error"},
	}
	for _, call := range calls { // one behind another
		fmt.Fprintf(conn, "%s\r\n", call.say)
	}
	for _, call := range calls {
		if got, _ := r.ReadString('\n'); got != call.want+"\r\n" {
			t.Errorf("%q: %q, want %q", call.say, got, call.want)
		}
	}
	time.Sleep(5 * time.Millisecond)
	fmt.Fprint(conn, "bump b 1 1\r\n") // its life has ended
	if got, _ := r.ReadString('\n'); got != "ok 1\r\n" {
		t.Errorf("after its life: %q", got)
	}
	c.Busy(true)
	fmt.Fprint(conn, "bump a 1 9\r\n")
	if got, _ := r.ReadString('\n'); got != "busy\r\n" || c.Total("a") != 1.5 {
		t.Errorf("%q, total %v", got, c.Total("a"))
	}
}

func TestDiscovery(t *testing.T) {
	w, err := NewWorker("w0", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	d, err := NewDiscovery(w.Endpoint("z"))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	res, err := http.Get("http://" + d.Addr + "/discovery/hosts?stream=1&index=1")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	next := func() (l List) {
		for lines.Scan() {
			if len(lines.Bytes()) > 0 {
				if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
					t.Fatal(err)
				}
				return l
			}
		}
		t.Fatal("the watch has ended")
		return l
	}
	e := w.Endpoint("z")
	e.Status = "leaving"
	d.Publish(e)
	if l := next(); l.Index != 2 || l.Snapshot || l.Endpoints[0].Status != "leaving" {
		t.Errorf("told %+v", l)
	}
	d.Down(true)
	e.Status = "left"
	d.Publish(e)
	time.Sleep(20 * time.Millisecond)
	d.Down(false)
	if l := next(); l.Index != 3 || len(d.List().Endpoints) != 0 {
		t.Errorf("after it was down: %+v", l)
	}
}

// What comes is written down with the rules that it names, before it is answered.
func TestRecord(t *testing.T) {
	w, err := NewWorker("w", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	var m history.Memory
	w.Record = m.As("w", 1)
	for range 2 {
		req, _ := http.NewRequest("GET", "http://"+w.Addr+"/check", nil)
		req.Header.Set("X-Request-Id", "1")
		req.Header.Set("X-Rules", "12")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
	}
	says := ""
	for _, e := range m.Record().Events {
		says += fmt.Sprintf("%s %s %d %d, ", e.Kind, e.Txn, e.Serial, e.Version)
	}
	if !strings.HasSuffix(says, "got 1 0 12, ran 1 0 0, got 1 1 12, ran 1 1 0, ") ||
		w.Received()[0].Version != "12" {
		t.Errorf("%q, %+v", says, w.Received())
	}
}

// A worker that is down takes no calls until it is there again, at its address and with what it knows.
func TestReopen(t *testing.T) {
	w, err := NewWorker("w", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	ask := func() error {
		req, _ := http.NewRequest("GET", "http://"+w.Addr+"/check", nil)
		req.Header.Set("X-Request-Id", "1")
		res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err == nil {
			err = res.Body.Close()
		}
		return err
	}
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	if w.Down(); ask() == nil {
		t.Error("down, it answers")
	}
	if err := w.Reopen(); err != nil {
		t.Fatal(err)
	}
	if err := ask(); err != nil || len(w.Received()) != 2 {
		t.Errorf("%v, %d txns", err, len(w.Received()))
	}
}
