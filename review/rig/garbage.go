package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	garbageRunTime = 16 * time.Second
	garbageAfter   = 4 * time.Second // after the look-ups have begun
	garbageChunk   = 1 << 20
	// garbagePause paces the garbage to 33 MB in a second, a quarter of what a link of 1,000 Mbit/s carries.
	garbagePause = 30 * time.Millisecond
	garbageTime  = 5 * time.Second // the worker's trouble, at most
)

// garbageCase has one worker send bytes that form no answer to one request, while clients look things up at
// sound workers through the same edge.
func garbageCase(root string, trouble bool, record *record) (bool, error) {
	help := answerStream
	if trouble {
		help = func(w http.ResponseWriter, _ *http.Request) { sendGarbage(w, record) }
	}
	k, err := startDesk(root, record, help)
	if err != nil {
		return false, err
	}
	defer k.stop()
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		time.Sleep(garbageAfter)
		client := &http.Client{Timeout: 12 * time.Second}
		edge := k.address(k.edges[0], frontPort)
		status := send(client, edge, "/help/x", "help-1", "12000", strings.NewReader("body"))
		record.add("client: help-1 ends with %d", status)
	}()
	lookups := k.runLookups(k.edges[:1], garbageRunTime)
	<-asked
	k.countEnds()
	return k.countCut(lookups) > maxCut, nil
}

// answerStream is the stream of a sound worker.
func answerStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a caller that breaks off gets no answer anyway
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 30 {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		_ = http.NewResponseController(w).Flush() // it fails where the caller has left
		time.Sleep(100 * time.Millisecond)
	}
}

// sendGarbage sends bytes that form no answer until the connection is closed or the trouble is over.
func sendGarbage(w http.ResponseWriter, record *record) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	chunk := bytes.Repeat([]byte("0123456789abcdef"), garbageChunk/16)
	sent := 0
	for begun := time.Now(); time.Since(begun) < garbageTime; time.Sleep(garbagePause) {
		n, err := connection.Write(chunk)
		sent += n
		if err != nil {
			break
		}
	}
	record.add("the worker in trouble has sent %d MB that form no answer", sent>>20)
}
