package edge

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
)

// discardingWorker answers each request and keeps nothing of it.
func discardingWorker(b *testing.B) *fakeWorker {
	b.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(connection)
		}
	}()
	return &fakeWorker{listener: listener}
}

// answerAll answers the requests on a connection until it ends.
func answerAll(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		complete(200, "answer", "Server-Signature: s")(connection, request, "")
	}
}

// benchmarkProxy has clients send requests with a body of so many bytes through an edge, each on a kept
// connection.
func benchmarkProxy(b *testing.B, bodyBytes int) {
	b.Helper()
	_, server := startEdge(b, discardingWorker(b))
	body := make([]byte, bodyBytes)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
		for pb.Next() {
			request, err := http.NewRequest(http.MethodPost, server.URL+"/once/x", bytes.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			request.Host = "h"
			request.Header.Set("Request-Id", "q-1")
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Errorf("status %d", response.StatusCode)
			}
		}
	})
}

// BenchmarkSmallRequest proxies requests of the ordinary size.
func BenchmarkSmallRequest(b *testing.B) { benchmarkProxy(b, 600) }

// BenchmarkLongRequest proxies requests with a body of 1 MiB.
func BenchmarkLongRequest(b *testing.B) { benchmarkProxy(b, 1<<20) }
